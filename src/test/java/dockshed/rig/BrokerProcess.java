package dockshed.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** A broker in a process of its own. Tests wait for lines of its log, which holds standard output and error. */
final class BrokerProcess {
    private static final long WAIT_LIMIT_S = 60; // for a line or an exit; only a failure takes so long

    private final List<String> command;
    private final Path configFile;
    private final List<String> logLines = new ArrayList<>();
    private Process process;
    private InetSocketAddress listenAddress;

    /** A broker with the options of {@code serve}, such as {@code --conf} and a file. */
    BrokerProcess(Path configFile, List<String> options) {
        this.configFile = configFile;
        command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Djava.net.preferIPv4Stack=true",
                "-Dorg.slf4j.simpleLogger.log.dockshed.fleet=debug",
                "-cp",
                System.getProperty("java.class.path"),
                "dockshed.Main",
                "serve"));
        command.addAll(options);
    }

    /** Starts the process and waits until it serves viewers. */
    BrokerProcess start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", configFile.toString());
        process = builder.start();
        Process started = process;
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader input = new BufferedReader(
                            new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = input.readLine(); line != null; line = input.readLine()) {
                            synchronized (logLines) {
                                logLines.add(line);
                                logLines.notifyAll();
                            }
                        }
                    } catch (IOException e) {
                        // the process has ended
                    }
                },
                "log of a broker");
        reader.setDaemon(true);
        reader.start();
        String servingLine =
                awaitLine(logPosition() == 0 ? 0 : logPosition() - 1, logged -> logged.contains("serving: name="));
        String address = servingLine.replaceAll(".*listen=/([0-9.:]+) .*", "$1");
        listenAddress = new InetSocketAddress(
                address.substring(0, address.indexOf(':')),
                Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        return this;
    }

    /** Address at which the running process listens for viewers. */
    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    /** Number of lines logged so far, as the position from which later lines are read. */
    int logPosition() {
        synchronized (logLines) {
            return logLines.size();
        }
    }

    List<String> linesSince(int position) {
        synchronized (logLines) {
            return List.copyOf(logLines.subList(position, logLines.size()));
        }
    }

    /** Waits for the first line from a position on that meets a condition, and returns it. */
    String awaitLine(int position, Predicate<String> condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_S);
        synchronized (logLines) {
            for (int i = position; ; i++) {
                while (i >= logLines.size()) {
                    long remaining = deadline - System.nanoTime();
                    if (remaining <= 0 || !process.isAlive() && i >= logLines.size()) {
                        throw new AssertionError(
                                "awaited line was not logged within 60 s or before the process ended; last lines: "
                                        + logLines.subList(Math.max(0, logLines.size() - 5), logLines.size()));
                    }
                    logLines.wait(remaining / 1_000_000 + 1);
                }
                if (condition.test(logLines.get(i))) {
                    return logLines.get(i);
                }
            }
        }
    }

    /** Sends a signal, such as STOP, CONT or TERM, to this process alone. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    /** Waits for the end of the process and returns its exit status. */
    int awaitExit() throws Exception {
        if (!process.waitFor(WAIT_LIMIT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("broker process did not exit within 60 s");
        }
        return process.exitValue();
    }
}
