package dockshed.rig;

import dockshed.config.ConfigTest;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Starts many brokers at the same time with the platform's run line and without a name server, and measures the seconds
 * until each passes its first health check. They share the machine's cores. The first argument is the number of brokers
 * (100), the second the number of cores that they may use (all), set by taskset.
 */
public final class ReadyBench {
    private static final byte[] HEALTH_CHECK =
            "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.UTF_8);
    /** Time after which a broker is no longer awaited: twice the platform's limit. */
    private static final long READY_TIMEOUT_S = 60;

    private ReadyBench() {}

    public static void main(String[] args) throws Exception {
        int count = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        String cores = args.length > 1 ? "taskset -c 0-" + (Integer.parseInt(args[1]) - 1) + " " : "";
        String runLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.indexOf('"', line.indexOf('"') + 1)))
                .findFirst()
                .orElseThrow();
        Path dir = Files.createTempDirectory("ready");
        List<Process> processes = new ArrayList<>();
        try {
            double[] secondsUntilReady = new double[count];
            List<Thread> threads = new ArrayList<>();
            long startedAt = System.nanoTime();
            for (int i = 0; i < count; i++) {
                int port;
                try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    port = socket.getLocalPort();
                }
                Path config = Files.writeString(
                        dir.resolve(i + ".json"),
                        ConfigTest.COMPLETE_CONFIG.replace(
                                "\"127.0.0.1:0\",\"seed\"", "\"127.0.0.1:" + port + "\",\"seed\""));
                ProcessBuilder builder = new ProcessBuilder(
                                "/bin/sh", "-c", runLine.replaceFirst("exec ", "exec " + cores))
                        .directory(new File("."))
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve(i + ".log").toFile());
                builder.environment().put("EDGE_CONFIG", config.toString());
                processes.add(builder.start());
                int index = i;
                Thread thread = new Thread(() -> secondsUntilReady[index] = secondsUntilReady(port, startedAt));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            java.util.Arrays.sort(secondsUntilReady);
            System.out.printf(
                    "brokers=%d cores=%s ready: first=%.1f median=%.1f nine in ten=%.1f last=%.1f s%n",
                    count,
                    args.length > 1 ? args[1] : "all",
                    secondsUntilReady[0],
                    secondsUntilReady[count / 2],
                    secondsUntilReady[(count * 9 + 9) / 10 - 1],
                    secondsUntilReady[count - 1]);
        } finally {
            for (Process process : processes) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static double secondsUntilReady(int port, long startedAt) {
        long deadline = startedAt + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < deadline) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write(HEALTH_CHECK);
                InputStream input = socket.getInputStream();
                if (new String(input.readNBytes(12), StandardCharsets.UTF_8).equals("RTSP/1.0 200")) {
                    return (System.nanoTime() - startedAt) / 1e9;
                }
            } catch (IOException e) {
                try {
                    Thread.sleep(50); // the broker does not listen yet; this is a measurement, not a test
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    return READY_TIMEOUT_S;
                }
            }
        }
        return READY_TIMEOUT_S;
    }
}
