package dockshed.capacity;

import dockshed.capacity.RtspViewers.Kind;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures what one more connection costs the program, idle or with a playing session: heap, direct memory and file
 * descriptors. Also measures the cost of a reconnect, in which all connections are closed and opened again at the same time.
 * Run by {@code bench/connection.sh}.
 */
public final class ConnectionBench {

    private static final String COMMAND = "sh bench/connection.sh";
    private static final int[] CONNECTION_COUNTS = {500, 1000, 2000, 3500, 5000, 7000};
    private static final int[] QUICK_CONNECTION_COUNTS = {200, 400, 600, 800};
    private static final int[] RECONNECT_CONNECTION_COUNTS = {500, 1000, 2000, 3000, 4000};
    /** File descriptors that the broker may open; three eighths of them are for viewers. */
    private static final int MAX_DESCRIPTORS = 20_000;

    private static final int EDGE_SERVERS = 36;
    private static final int MAX_CONCURRENT_OPENS = 200;
    private static final long OPEN_TIMEOUT_SECONDS = 30;
    /** A longer reconnect is given up, and its row has the number of connections that were not served. */
    private static final long RECONNECT_TIMEOUT_SECONDS = 20;

    /** Time for the broker's work after the last answer, such as messages from edge servers, to finish. */
    private static final long SETTLING_TIME_MILLIS = 300;

    private final Arguments arguments;
    private final Results connections;
    private final Results reconnects;

    private ConnectionBench(Arguments arguments) throws Exception {
        this.arguments = arguments;
        connections = new Results(
                "connection.csv",
                COMMAND,
                arguments,
                List.of(
                        "run",
                        "kind",
                        "connections",
                        "heap_bytes",
                        "direct_bytes",
                        "mapped_bytes",
                        "descriptors",
                        "rss_kb"));
        reconnects = new Results(
                "reconnect.csv",
                COMMAND,
                arguments,
                List.of(
                        "run",
                        "connections",
                        "heap_before_bytes",
                        "heap_peak_bytes",
                        "heap_after_bytes",
                        "heap_committed_bytes",
                        "direct_bytes",
                        "allocated_bytes",
                        "collections",
                        "collection_ms",
                        "rss_before_kb",
                        "rss_peak_kb",
                        "cpu_s",
                        "served_again_s",
                        "refused",
                        "turned_away",
                        "not_connected",
                        "unserved"));
    }

    /** Runs the benchmark; {@code --quick} for small sizes, {@code --append} to add a run to the files. */
    public static void main(String[] arguments) throws Exception {
        new ConnectionBench(Arguments.of(arguments)).run();
        System.exit(0); // client loops may still be closing
    }

    private void run() throws Exception {
        connections.header();
        for (Kind kind : Kind.values()) {
            measureGrowth(kind, arguments.quick() ? QUICK_CONNECTION_COUNTS : CONNECTION_COUNTS);
        }
        connections.write();
        reconnects.header();
        for (int size : arguments.quick() ? QUICK_CONNECTION_COUNTS : RECONNECT_CONNECTION_COUNTS) {
            measureReconnect(size);
        }
        reconnects.write();
        printFits();
    }

    /** Measures one broker at each number of connections, as they grow. */
    private void measureGrowth(Kind kind, int[] sizes) throws Exception {
        try (StandInEdgeServers servers = new StandInEdgeServers(EDGE_SERVERS);
                MeasuredBroker broker = MeasuredBroker.withLargeHeap(config(servers));
                JvmProbe jvm = new JvmProbe(broker.pid());
                RtspViewers viewers = new RtspViewers(broker.rtsp(), kind)) {
            ProcessFigures process = new ProcessFigures(broker.pid());
            int open = 0;
            for (int size : sizes) {
                open(viewers, size - open, MAX_CONCURRENT_OPENS, broker);
                open = size;
                TimeUnit.MILLISECONDS.sleep(SETTLING_TIME_MILLIS);
                require(viewers.opened() == size, viewers.opened() + " of " + size + " connections are open", broker);
                require(
                        servers.playing() == (kind == Kind.SESSION ? size : 0),
                        servers.playing() + " sessions play at " + size + " connections",
                        broker);
                long heap = jvm.heapAfterCollection();
                connections.add(
                        kind.name().toLowerCase(Locale.ROOT),
                        size,
                        heap,
                        jvm.directBytes(),
                        jvm.mappedBytes(),
                        process.descriptors(),
                        process.residentKb());
            }
        }
    }

    /** Measures a reconnect with a broker of its own: all viewers leave at the same time and as many others connect. */
    private void measureReconnect(int size) throws Exception {
        try (StandInEdgeServers servers = new StandInEdgeServers(EDGE_SERVERS);
                MeasuredBroker broker = MeasuredBroker.withLargeHeap(config(servers));
                JvmProbe jvm = new JvmProbe(broker.pid());
                RtspViewers viewers = new RtspViewers(broker.rtsp(), Kind.SESSION)) {
            ProcessFigures process = new ProcessFigures(broker.pid());
            open(viewers, size, MAX_CONCURRENT_OPENS, broker);
            TimeUnit.MILLISECONDS.sleep(SETTLING_TIME_MILLIS);
            long heapBefore = jvm.heapAfterCollection();
            long residentBefore = process.residentKb();
            long collectionsBefore = jvm.collections();
            long collectionMillisBefore = jvm.collectionMillis();
            long allocatedBefore = jvm.loopAllocatedBytes();
            double processorBefore = process.processorSeconds();
            int refusedBefore = viewers.refused();
            int turnedAwayBefore = viewers.turnedAway();
            int notConnectedBefore = viewers.notConnected();
            jvm.resetPeaks();
            long startNanos = System.nanoTime();
            viewers.drop();
            viewers.open(size, size, RECONNECT_TIMEOUT_SECONDS);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            double processorAfter = process.processorSeconds();
            long allocatedAfter = jvm.loopAllocatedBytes();
            long peak = jvm.peakHeapBound();
            long direct = jvm.directBytes();
            long collectionsAfter = jvm.collections();
            long collectionMillisAfter = jvm.collectionMillis();
            long committed = jvm.heapCommitted();
            TimeUnit.MILLISECONDS.sleep(SETTLING_TIME_MILLIS);
            reconnects.add(
                    size,
                    heapBefore,
                    peak,
                    jvm.heapAfterCollection(),
                    committed,
                    direct,
                    allocatedAfter - allocatedBefore,
                    collectionsAfter - collectionsBefore,
                    collectionMillisAfter - collectionMillisBefore,
                    residentBefore,
                    process.peakResidentKb(),
                    decimals(processorAfter - processorBefore),
                    decimals(seconds),
                    viewers.refused() - refusedBefore,
                    viewers.turnedAway() - turnedAwayBefore,
                    viewers.notConnected() - notConnectedBefore,
                    size - viewers.opened());
        }
    }

    private void printFits() {
        for (Kind kind : Kind.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT);
            CapacityCsv rows = connections.table().where("kind", name);
            for (String figure : List.of("heap_bytes", "direct_bytes", "descriptors", "rss_kb")) {
                System.out.println(
                        "fit " + name + " " + figure + " per connection: " + rows.fit("connections", figure));
            }
        }
        CapacityCsv allServed = reconnects.table().where("unserved", "0");
        if (allServed.rows().size() < LinearFit.MIN_POINTS) {
            System.out.println("fit reconnect: none, all were served at "
                    + allServed.rows().size() + " sizes only");
            return;
        }
        for (String figure : List.of(
                "heap_peak_bytes", "heap_after_bytes", "allocated_bytes", "rss_peak_kb", "cpu_s", "served_again_s")) {
            System.out.println("fit reconnect " + figure + " per connection: " + allServed.fit("connections", figure));
        }
        for (String figure : List.of("allocated_bytes", "cpu_s")) {
            System.out.println("fit reconnect " + figure + " of each connection, per connection: "
                    + growthPerConnection(allServed, figure));
        }
    }

    /** Fits a line to a figure divided by the connections; its slope is the part that grows with their square. */
    private static LinearFit growthPerConnection(CapacityCsv rows, String figure) {
        double[] connections = rows.numbers("connections");
        double[] perConnection = rows.numbers(figure);
        for (int row = 0; row < perConnection.length; row++) {
            perConnection[row] /= connections[row];
        }
        return LinearFit.of(connections, perConnection);
    }

    private static void open(RtspViewers viewers, int count, int atOnce, MeasuredBroker broker) throws Exception {
        boolean all = viewers.open(count, atOnce, OPEN_TIMEOUT_SECONDS);
        require(
                all,
                "not all of " + count + " connections were served within " + OPEN_TIMEOUT_SECONDS + " s: refused="
                        + viewers.refused() + " turned_away=" + viewers.turnedAway(),
                broker);
    }

    private static void require(boolean condition, String failure, MeasuredBroker broker) {
        if (!condition) {
            throw new IllegalStateException(failure + "; the broker's last log lines: " + broker.lastLines());
        }
    }

    private static Path config(StandInEdgeServers servers) throws Exception {
        Path file = Files.createTempFile("capacity", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, TestbedFiles.config(MAX_DESCRIPTORS, servers.addresses()));
    }

    private static String decimals(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
