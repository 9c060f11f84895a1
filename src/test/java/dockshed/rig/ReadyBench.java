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
 * So many brokers started together with the platform's run line, the list out of reach: seconds until each passes its first
 * test. The machine's cores are what they share; the first argument is their number (100), the second the cores that they get
 * (all), by taskset.
 */
public final class ReadyBench {
    private static final byte[] TEST = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
            .getBytes(StandardCharsets.UTF_8);
    /** Seconds after which a broker is not waited for any more: the platform's bound, twice. */
    private static final long READY_TIMEOUT_S = 60;

    private ReadyBench() {}

    public static void main(String[] args) throws Exception {
        int count = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        String cores = args.length > 1 ? "taskset -c 0-" + (Integer.parseInt(args[1]) - 1) + " " : "";
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.indexOf('"', l.indexOf('"') + 1)))
                .findFirst()
                .orElseThrow();
        Path dir = Files.createTempDirectory("ready");
        List<Process> all = new ArrayList<>();
        try {
            double[] ready = new double[count];
            List<Thread> waiting = new ArrayList<>();
            long begin = System.nanoTime();
            for (int i = 0; i < count; i++) {
                int port;
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    port = free.getLocalPort();
                }
                Path config = Files.writeString(
                        dir.resolve(i + ".json"),
                        ConfigTest.COMPLETE_CONFIG.replace(
                                "\"127.0.0.1:0\",\"seed\"", "\"127.0.0.1:" + port + "\",\"seed\""));
                ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run.replaceFirst("exec ", "exec " + cores))
                        .directory(new File("."))
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve(i + ".log").toFile());
                b.environment().put("EDGE_CONFIG", config.toString());
                all.add(b.start());
                int me = i;
                Thread t = new Thread(() -> ready[me] = passed(port, begin));
                t.start();
                waiting.add(t);
            }
            for (Thread t : waiting) {
                t.join();
            }
            java.util.Arrays.sort(ready);
            System.out.printf(
                    "brokers=%d cores=%s ready: first=%.1f median=%.1f nine in ten=%.1f last=%.1f s%n",
                    count,
                    args.length > 1 ? args[1] : "all",
                    ready[0],
                    ready[count / 2],
                    ready[(count * 9 + 9) / 10 - 1],
                    ready[count - 1]);
        } finally {
            for (Process p : all) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    private static double passed(int port, long begin) {
        long until = begin + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < until) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                s.setSoTimeout(30_000);
                s.getOutputStream().write(TEST);
                InputStream in = s.getInputStream();
                if (new String(in.readNBytes(12), StandardCharsets.UTF_8).equals("RTSP/1.0 200")) {
                    return (System.nanoTime() - begin) / 1e9;
                }
            } catch (IOException e) {
                try {
                    Thread.sleep(50); // not there yet; this is a measurement, not a test
                } catch (InterruptedException i) {
                    Thread.currentThread().interrupt();
                    return READY_TIMEOUT_S;
                }
            }
        }
        return READY_TIMEOUT_S;
    }
}
