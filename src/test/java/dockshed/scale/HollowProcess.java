package dockshed.scale;

import com.google.gson.Gson;
import dockshed.fleet.FleetInspection.Ages;
import dockshed.fleet.FleetSettings;
import dockshed.fleet.LocalEvent;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A process that runs hollow brokers. Reads commands as lines from its standard input and answers each with one line. The
 * end of its input ends it and the processes registered with the command {@code take}, so that none outlives the benchmark.
 */
public final class HollowProcess {
    /** The answer to a command that returns nothing. */
    static final String OK = "ok";

    /** Begins the answer to a command that failed. */
    static final String FAILED = "failed ";

    private static final long OBSERVE_INTERVAL_MILLIS = 50;
    private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 250;
    /** Threads that start and end brokers; each broker is bound to one of them. */
    private static final int WORKER_THREADS = 4;
    /** Requests within {@link #LOAD_SAMPLE_INTERVAL_MILLIS}, by priority rank; {@code FleetCosts} uses the same load. */
    private static final int[] REQUESTS_BY_RANK = requestsByRank();

    private static final Gson GSON = new Gson();

    private final Map<Integer, HollowBroker> brokers = new TreeMap<>();
    private final Map<Integer, Integer> ownerByChange = new ConcurrentHashMap<>();
    private final Map<Integer, Long> cpuBeforeRestart = new HashMap<>();
    private final List<Long> processesToEnd = new ArrayList<>();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, HollowProcess::daemon);
    private final List<ExecutorService> workers = new ArrayList<>();
    private final int heapBeforeKb;
    private volatile LinkFaults faults = LinkFaults.NONE;
    private volatile String failure;
    private Observations observed = Observations.empty();

    private HollowProcess(HollowProcessSpec spec) {
        List<InetSocketAddress> addresses = spec.addresses();
        FleetSettings settings = Mechanism.of(spec.mechanism()).settings(new FleetLayout(addresses.size()));
        BitSet real = BrokerRanges.parse(spec.real());
        BrokerRanges.parse(spec.brokers()).stream()
                .forEach(number -> brokers.put(
                        number,
                        new HollowBroker(
                                number, settings, addresses, real, () -> faults, spec.seed() + 1000L * number)));
        for (int worker = 0; worker < WORKER_THREADS; worker++) {
            workers.add(Executors.newSingleThreadExecutor(HollowProcess::daemon));
        }
        heapBeforeKb = heapKb();
        timer.scheduleAtFixedRate(
                this::observeBrokers, OBSERVE_INTERVAL_MILLIS, OBSERVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(
                this::offerLoadSamples,
                LOAD_SAMPLE_INTERVAL_MILLIS,
                LOAD_SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "hollow");
        thread.setDaemon(true);
        return thread;
    }

    private static int[] requestsByRank() {
        int[] requests = new int[32];
        requests[0] = 3;
        requests[1] = 1;
        requests[4] = 1;
        return requests;
    }

    private void observeBrokers() {
        long now = System.currentTimeMillis();
        synchronized (this) {
            for (HollowBroker broker : brokers.values()) {
                broker.observe(now, ownerByChange, observed);
            }
            notifyAll();
        }
    }

    private void offerLoadSamples() {
        for (HollowBroker broker : brokers.values()) {
            broker.offer(
                    new LocalEvent.LoadSample(REQUESTS_BY_RANK.clone(), 4, 1, 0, LOAD_SAMPLE_INTERVAL_MILLIS * 1000));
        }
    }

    // ---- Commands.

    /** Executes one command and returns its answer. */
    private String execute(String line) throws InterruptedException {
        if (failure != null) {
            return FAILED + failure;
        }
        String[] words = line.split(" ");
        switch (words[0]) {
            case "start" -> forEachBroker(words[1], this::start);
            case "kill" -> forEachBroker(words[1], this::kill);
            case "leave" -> forEachBroker(words[1], this::leave);
            case "pause" -> pause(Integer.parseInt(words[1]), Long.parseLong(words[2]));
            case "cut" -> faults = faults.withCut(BrokerRanges.parse(words[1]), BrokerRanges.parse(words[2]));
            case "join" -> faults = faults.withoutCuts();
            case "loss" -> faults = faults.withLoss(Double.parseDouble(words[1]));
            case "change" -> change(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
            case "take" -> processesToEnd.add(Long.parseLong(words[1]));
            case "collect" -> {
                return collect(words.length > 1 ? Long.parseLong(words[1]) : 0);
            }
            case "totals" -> {
                return totals();
            }
            case "ages" -> {
                return ages();
            }
            case "memory" -> {
                return Double.toString(memoryKb());
            }
            default -> {
                return FAILED + "unknown command " + words[0];
            }
        }
        return OK;
    }

    /** Queues an action for each broker of a set that this process runs. */
    private void forEachBroker(String ranges, Consumer<HollowBroker> action) {
        BrokerRanges.parse(ranges).stream()
                .mapToObj(brokers::get)
                .filter(broker -> broker != null)
                .forEach(broker -> workerOf(broker).execute(() -> runKeepingFailure(() -> action.accept(broker))));
    }

    /** The same thread for all commands of a broker, so that they run in order. */
    private ExecutorService workerOf(HollowBroker broker) {
        return workers.get(broker.number % WORKER_THREADS);
    }

    /** Keeps the failure of a background task, which is the answer to all further commands. */
    private void runKeepingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failure = e.toString();
        }
    }

    private void start(HollowBroker broker) {
        try {
            broker.start();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void kill(HollowBroker broker) {
        saveCpu(broker);
        broker.kill();
    }

    private void leave(HollowBroker broker) {
        saveCpu(broker);
        try {
            broker.leave();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pause(int number, long millis) {
        HollowBroker broker = brokers.get(number);
        if (broker != null) {
            broker.pause(millis);
        }
    }

    /** Publishes a change at its owner, if this process runs it; all brokers are observed for the change. */
    private void change(int owner, int change) {
        ownerByChange.put(change, owner);
        HollowBroker broker = brokers.get(owner);
        if (broker != null) {
            broker.offer(new LocalEvent.HealthReport(change, false));
        }
    }

    /** Observations since the last call, as JSON; if there are none, waits up to the time limit for one. */
    private synchronized String collect(long maxMillis) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        for (long leftNanos = untilNanos - System.nanoTime();
                observed.isEmpty() && leftNanos > 0;
                leftNanos = untilNanos - System.nanoTime()) {
            TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
        }
        Observations since = observed;
        observed = Observations.empty();
        return GSON.toJson(since);
    }

    /** Adds a broker's CPU time to that of its earlier starts, while its thread still runs. */
    private synchronized void saveCpu(HollowBroker broker) {
        cpuBeforeRestart.merge(broker.number, cpuSinceStart(broker), Long::sum);
    }

    private long cpuSinceStart(HollowBroker broker) {
        long thread = broker.threadId();
        return thread < 0 ? 0 : Math.max(0, threads.getThreadCpuTime(thread));
    }

    private synchronized String totals() {
        List<BrokerTotals> totals = new ArrayList<>();
        for (HollowBroker broker : brokers.values()) {
            FaultyPeers.Counts counts = broker.counts;
            totals.add(new BrokerTotals(
                    broker.number,
                    counts.bytesSent.get(),
                    counts.bytesReceived.get(),
                    cpuBeforeRestart.getOrDefault(broker.number, 0L) + cpuSinceStart(broker)));
        }
        return GSON.toJson(new HollowProcessTotals(totals));
    }

    private String ages() {
        Ages ages = new Ages();
        brokers.values().forEach(broker -> broker.recordFigureAges(ages));
        return GSON.toJson(FigureAges.of(ages));
    }

    /** Heap in use after a garbage collection, in kB. */
    private static int heapKb() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (int) ((runtime.totalMemory() - runtime.freeMemory()) / 1024);
    }

    /** Heap that each running broker has added since the process began, in kB, after a garbage collection. */
    private double memoryKb() {
        long running = brokers.values().stream().filter(HollowBroker::running).count();
        return running == 0 ? 0 : (heapKb() - heapBeforeKb) / (double) running;
    }

    /** Ends the registered processes, once the benchmark has ended or no longer needs them. */
    private void endRegisteredProcesses() {
        for (long pid : processesToEnd) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    /** Runs until the end of the input. The only argument is the path of a {@link HollowProcessSpec} as JSON. */
    public static void main(String[] args) throws IOException, InterruptedException {
        PrintStream out = System.out;
        HollowProcessSpec spec = GSON.fromJson(Files.readString(Path.of(args[0])), HollowProcessSpec.class);
        HollowProcess process = new HollowProcess(spec);
        out.println(OK);
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.println(process.execute(line));
            }
        } finally {
            process.endRegisteredProcesses();
        }
        System.exit(0);
    }
}
