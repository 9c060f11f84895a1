package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * What every case needs: the record, the processes that it started, a temporary folder, a time limit, and the verdict.
 * A case ends with exit status 1 if the rule was broken, 0 if it held, and 2 if it could not run.
 */
abstract class Case {
    /** A case that takes longer cannot run here. */
    private static final long TIME_LIMIT_MS = 110_000;

    /** False: the case runs without its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.currentTimeMillis();
    private final List<BrokerProcess> brokers = new ArrayList<>();

    Case(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        temporary = Files.createTempDirectory("dockshed-review");
        record("trouble=%s", trouble);
    }

    /** Runs the case; true if the rule held. */
    abstract boolean run() throws Exception;

    /** Runs the case within the time limit and ends this process with its verdict. */
    final void runAndExit() {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(TIME_LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            finish(2, "not finished within the time limit");
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        try {
            boolean held = run();
            finish(held ? 0 : 1, held ? "rule held" : "RULE BROKEN");
        } catch (Exception | AssertionError e) {
            finish(2, "could not run: " + e);
        }
    }

    private void finish(int status, String verdict) {
        record("verdict: %s", verdict);
        System.out.println(verdict);
        endProcesses();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private synchronized void endProcesses() {
        brokers.forEach(BrokerProcess::kill);
        brokers.clear();
    }

    /** Starts a broker, which is ended with the case, and waits until it serves. */
    final BrokerProcess startBroker(String name, String config, String listen, String options) throws Exception {
        BrokerProcess broker = new BrokerProcess(this, name, config, listen, options);
        synchronized (this) {
            brokers.add(broker);
        }
        broker.awaitServing();
        record("broker %s serves at %s", name, listen);
        return broker;
    }

    /** Adds a line to the record, with the milliseconds since the start. */
    final void record(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.printf(Locale.ROOT, "%7d %s%n", System.currentTimeMillis() - startedAt, text);
            record.flush();
        }
    }
}
