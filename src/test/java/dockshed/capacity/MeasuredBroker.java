package dockshed.capacity;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The built program as a process under measurement; it ends with {@link #close} or with this JVM. */
final class MeasuredBroker implements AutoCloseable {

    private static final long START_TIMEOUT_SECONDS = 30;
    private static final int MAX_LOG_LINES_KEPT = 20;
    private static final Pattern LISTEN_ADDRESS = Pattern.compile("listen=/?([0-9.]+):([0-9]+)");

    private final Process process;
    private final Deque<String> lastLines = new ArrayDeque<>();
    private final CompletableFuture<InetSocketAddress> rtsp = new CompletableFuture<>();
    private final CompletableFuture<InetSocketAddress> hls = new CompletableFuture<>();
    private final Thread shutdownHook = new Thread(this::kill);

    /**
     * Starts the program and waits until it serves.
     *
     * @throws Exception if it cannot be started, ends, or does not serve within the time limit
     */
    MeasuredBroker(RunLine command, Path config) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command.words()).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        Thread reader = new Thread(this::readLog, "log of the measured broker");
        reader.setDaemon(true);
        reader.start();
        rtsp.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Starts the program with {@link #runLine}, extended by arguments of the program. */
    static MeasuredBroker withLargeHeap(Path config, String... arguments) throws Exception {
        return new MeasuredBroker(runLine().plus(arguments), config);
    }

    /** The deploy file's run line, with a heap and direct memory that many connections do not fill. */
    static RunLine runLine() throws IOException {
        return RunLine.read(Path.of("deploy/balancer.toml"))
                .with("-Xmx", "1g")
                .with("-XX:MaxDirectMemorySize=", "256m");
    }

    /** The process id. */
    long pid() {
        return process.pid();
    }

    /** The address that the RTSP front listens on. */
    InetSocketAddress rtsp() {
        return rtsp.join();
    }

    /** Waits for the address that the HLS front listens on; only for a program started with {@code --hls}. */
    InetSocketAddress hls() throws Exception {
        return hls.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Whether the process still runs. */
    boolean alive() {
        return process.isAlive();
    }

    /** The last lines of the program's log. */
    List<String> lastLines() {
        synchronized (lastLines) {
            return List.copyOf(lastLines);
        }
    }

    @Override
    public void close() {
        kill();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private void kill() {
        process.destroyForcibly().onExit().join();
    }

    private void readLog() {
        try (BufferedReader in = process.inputReader()) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                keepLine(line);
                Matcher listens = LISTEN_ADDRESS.matcher(line);
                if (listens.find()) {
                    InetSocketAddress address =
                            new InetSocketAddress(listens.group(1), Integer.parseInt(listens.group(2)));
                    (line.contains("serving HLS:") ? hls : rtsp).complete(address);
                }
            }
        } catch (IOException e) {
            keepLine("log cannot be read further: " + e.getMessage());
        }
        rtsp.completeExceptionally(new IllegalStateException("the program ended; its last log lines: " + lastLines()));
    }

    private void keepLine(String line) {
        synchronized (lastLines) {
            lastLines.add(line);
            if (lastLines.size() > MAX_LOG_LINES_KEPT) {
                lastLines.remove();
            }
        }
    }
}
