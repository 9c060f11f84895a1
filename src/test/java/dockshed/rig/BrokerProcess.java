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

/** A broker in a process of its own, with what it logs; tests wait on its lines. */
final class BrokerProcess {
    private static final long WAIT_LIMIT_S = 60; // seconds for a line to come; only a failure takes so long

    private final List<String> command;
    private final Path config;
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private InetSocketAddress listenAddress;

    BrokerProcess(Path config, Path conf) {
        this.config = config;
        command = List.of(
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
                "serve",
                "--conf",
                conf.toString());
    }

    BrokerProcess start() throws Exception {
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.environment().put("EDGE_CONFIG", config.toString());
        process = b.start();
        Process mine = process;
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader in =
                            new BufferedReader(new InputStreamReader(mine.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            synchronized (lines) {
                                lines.add(line);
                                lines.notifyAll();
                            }
                        }
                    } catch (IOException e) {
                        // its end
                    }
                },
                "log of a broker");
        reader.setDaemon(true);
        reader.start();
        String serving = awaitLine(logPosition() == 0 ? 0 : logPosition() - 1, l -> l.contains("serving: name="));
        String at = serving.replaceAll(".*listen=/([0-9.:]+) .*", "$1");
        listenAddress = new InetSocketAddress(
                at.substring(0, at.indexOf(':')), Integer.parseInt(at.substring(at.indexOf(':') + 1)));
        return this;
    }

    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    /** Lines so far; what is awaited from here on is later. */
    int logPosition() {
        synchronized (lines) {
            return lines.size();
        }
    }

    List<String> linesSince(int mark) {
        synchronized (lines) {
            return List.copyOf(lines.subList(mark, lines.size()));
        }
    }

    /** The first line from a mark on that meets a condition. */
    String awaitLine(int mark, Predicate<String> what) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_S);
        synchronized (lines) {
            for (int i = mark; ; i++) {
                while (i >= lines.size()) {
                    long left = until - System.nanoTime();
                    if (left <= 0 || !process.isAlive() && i >= lines.size()) {
                        throw new AssertionError("never logged; the last: "
                                + lines.subList(Math.max(0, lines.size() - 5), lines.size()));
                    }
                    lines.wait(left / 1_000_000 + 1);
                }
                if (what.test(lines.get(i))) {
                    return lines.get(i);
                }
            }
        }
    }

    /** STOP, CONT, TERM: by its process id only. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    int awaitExit() throws Exception {
        if (!process.waitFor(WAIT_LIMIT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("did not end");
        }
        return process.exitValue();
    }
}
