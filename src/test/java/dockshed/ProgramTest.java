package dockshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.config.ConfigTest;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: it starts, serves, reloads, and shuts down gracefully. */
class ProgramTest {
    @TempDir
    Path dir;

    private Process process;
    private int descriptorLimit; // file descriptors of the process; 0: as inherited
    private boolean ignoresHangUps; // SIGHUP is ignored in the parent, as under nohup
    private BufferedReader log;

    private void start(String config, String... arguments) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        List<String> command = new java.util.ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "dockshed.Main"));
        command.addAll(List.of(arguments));
        if (descriptorLimit > 0) {
            command.addAll(0, List.of("sh", "-c", "ulimit -n " + descriptorLimit + "; exec \"$@\"", "sh"));
        }
        if (ignoresHangUps) {
            command.addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", file.toString());
        process = builder.start();
        log = process.inputReader();
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
    }

    /** The next line of the log that contains the text. */
    private String awaitLine(String text) throws Exception {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("log ended before a line with: " + text);
    }

    private static int port(String line) {
        return Integer.parseInt(line.replaceAll(".*listen=/?[0-9.]+:([0-9]+).*", "$1"));
    }

    /** Writes the text and returns the next message; null if the connection is closed before. */
    private static HttpStyleMessage exchange(Socket socket, String text) throws Exception {
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 16);
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1 << 16];
        HttpStyleMessage message = null;
        for (int length = in.read(buffer);
                message == null && length >= 0;
                length = message == null ? in.read(buffer) : -1) {
            decoder.add(buffer, 0, length);
            message = decoder.next();
        }
        return message;
    }

    private static final String OPTIONS = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";

    @Test
    void afterSigtermItServesForAWhileAndExitsWithZero() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        int port = port(awaitLine("serving:"));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            assertEquals(200, exchange(socket, OPTIONS).status());
            process.toHandle().destroy(); // SIGTERM; the log stays open
            awaitLine("planned end begun");
            // Viewers still connect during a graceful shutdown; they must be accepted and answered.
            try (Socket lateSocket = new Socket("127.0.0.1", port)) {
                assertEquals(200, exchange(lateSocket, OPTIONS).status());
                assertEquals(
                        453,
                        exchange(
                                        lateSocket,
                                        "SETUP rtsp://media/t RTSP/1.0\r\nSession: 0123456789abcdef\r\n"
                                                + "Priority-Class: paid\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n")
                                .status());
            }
        }
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void continuousRequestsAndASecondSigtermDoNotDelayTheShutdown() throws Exception {
        // Guards against a shutdown that waits for requests to stop: it notified nobody until then, and accepted and
        // lost a set-up received in its last moment.
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        int port = port(awaitLine("serving:"));
        int sent = 0;
        int refused = 0;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            assertEquals(200, exchange(socket, OPTIONS).status());
            process.toHandle().destroy();
            awaitLine("planned end begun");
            process.toHandle().destroy();
            while (true) {
                HttpStyleMessage answer;
                try {
                    answer = exchange(
                            socket,
                            String.format(
                                    "SETUP rtsp://media/t RTSP/1.0\r\nSession: %016x\r\n"
                                            + "Priority-Class: paid\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n",
                                    ++sent));
                } catch (java.net.SocketException e) {
                    answer = null; // sent after the process had ended
                }
                if (answer == null) {
                    break;
                }
                assertTrue(answer.status() == 453 || answer.status() == 503, answer.startLine());
                refused++;
            }
        }
        assertEquals(sent - 1, refused, "one complete answer to each request but the last, which found no process");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertTrue(refused > 1);
    }

    @Test
    void sighupReloadsTheConfigurationAndIgnoresAFaultyOne() throws Exception {
        // Guards against a missing handler: a JVM without one shuts down on SIGHUP.
        try (DatagramSocket first = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket second = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            String named = ConfigTest.COMPLETE_CONFIG.replace("\"127.0.0.1:9\"", "\"127.0.0.1:PORT\"");
            Path file = dir.resolve("config.json");
            start(named.replace("PORT", "" + first.getLocalPort()), "serve");
            int port = port(awaitLine("serving:"));
            Files.writeString(file, "{\"names\": 7");
            sendHangUp();
            assertTrue(awaitLine("configuration rejected").contains("previous one stays active"));
            awaitQuery(first);
            Files.writeString(file, named.replace("PORT", "" + second.getLocalPort()));
            sendHangUp();
            awaitLine("configuration reloaded: names=");
            awaitQuery(second);
            try (Socket socket = new Socket("127.0.0.1", port)) {
                assertEquals(200, exchange(socket, OPTIONS).status());
            }
        }
    }

    @Test
    void aProcessStartedWithSighupIgnoredLogsThatItCannotReload() throws Exception {
        ignoresHangUps = true;
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        assertTrue(awaitLine("SIGHUP was ignored").contains("needs a restart"));
        awaitLine("serving:");
        sendHangUp();
        assertTrue(process.isAlive());
    }

    @Test
    void idleViewersThatUseUpTheDescriptorsDoNotBlockRequestsDiscoveryOrReload() throws Exception {
        try (ServerSocket edgeServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                DatagramSocket nameServer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port;
            int namesPort = nameServer.getLocalPort();
            nameServer.close(); // discovery is unreachable
            String config = configWithServer(edgeServer)
                    .replace("\"sockets\":512", "\"sockets\":192")
                    .replace("\"127.0.0.1:9\"", "\"127.0.0.1:" + namesPort + "\"");
            // The jars on the class path of the tests need more descriptors than the program's single one.
            descriptorLimit = 192 + 24;
            start(config, "serve");
            port = port(awaitLine("serving:"));
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < 300; i++) {
                    Socket s = new Socket("127.0.0.1", port);
                    idle.add(s);
                    if (i % 2 == 0) {
                        s.getOutputStream().write(OPTIONS.getBytes(StandardCharsets.UTF_8));
                    }
                }
                // A connection refused under load is tried again, as viewers do.
                Socket viewer = null;
                for (HttpStyleMessage answer = null; answer == null; ) {
                    viewer = new Socket("127.0.0.1", port);
                    idle.add(viewer);
                    try {
                        answer = exchange(viewer, OPTIONS);
                    } catch (SocketException e) {
                        answer = null;
                    }
                }
                String id = "0123456789abcdef";
                viewer.getOutputStream().write(setUpMessage(id).getBytes(StandardCharsets.UTF_8));
                edgeServer.setSoTimeout(20_000);
                try (Socket connection = edgeServer.accept()) {
                    connection.setSoTimeout(20_000);
                    String setUp = new BufferedReader(new InputStreamReader(connection.getInputStream())).readLine();
                    assertTrue(setUp.contains(id), setUp);
                    answerSetUp(connection, id);
                    assertEquals(200, exchange(viewer, "").status());
                }
                try (DatagramSocket restarted = new DatagramSocket(namesPort, InetAddress.getLoopbackAddress())) {
                    awaitQuery(restarted);
                }
                sendHangUp();
                awaitLine("configuration reloaded: names=");
            } finally {
                for (Socket s : idle) {
                    s.close();
                }
            }
        }
    }

    private static String setUpMessage(String id) {
        return "SETUP rtsp://media/t RTSP/1.0\r\nSession: " + id + "\r\nPriority-Class: paid\r\nExpires-Ms: 4000\r\n"
                + "P-Trunk-Info: home:2;copies:3;top:1\r\nContent-Length: 5\r\n\r\nv=0\r\n";
    }

    private static void answerSetUp(Socket connection, String id) throws Exception {
        connection
                .getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=1\\r\\n\"}\n")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** A configuration with one edge server, at that socket. */
    private static String configWithServer(ServerSocket edgeServer) {
        return ConfigTest.COMPLETE_CONFIG
                .replace("127.0.0.1:5080", "127.0.0.1:" + edgeServer.getLocalPort())
                .replace("leaving", "active")
                .replace("1500}", "0}");
    }

    @Test
    void setUpsInProgressAtSigtermAreAnsweredAndSessionsAreTornDown() throws Exception {
        try (ServerSocket edgeServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            edgeServer.setSoTimeout(20_000);
            start(configWithServer(edgeServer), "serve");
            int port = port(awaitLine("serving:"));
            String sentId = "00000000000000a1";
            String halfReadId = "00000000000000a2";
            String lateId = "00000000000000a3";
            try (Socket first = new Socket("127.0.0.1", port);
                    Socket second = new Socket("127.0.0.1", port)) {
                first.getOutputStream().write(setUpMessage(sentId).getBytes(StandardCharsets.UTF_8));
                Socket connection = edgeServer.accept();
                connection.setSoTimeout(20_000);
                assertTrue(new BufferedReader(new InputStreamReader(connection.getInputStream()))
                        .readLine()
                        .contains(sentId));
                second.getOutputStream()
                        .write(setUpMessage(halfReadId).substring(0, 60).getBytes(StandardCharsets.UTF_8));
                process.toHandle().destroy();
                try (Socket third = new Socket("127.0.0.1", port)) { // accepted by the system when the shutdown begins
                    third.getOutputStream().write(setUpMessage(lateId).getBytes(StandardCharsets.UTF_8));
                    second.getOutputStream()
                            .write(setUpMessage(halfReadId).substring(60).getBytes(StandardCharsets.UTF_8));
                    answerSetUp(connection, sentId);
                    assertEquals(200, exchange(first, "").status());
                    // The module may retry the others or refuse them; either way each gets exactly one answer.
                    for (Socket socket : List.of(second, third)) {
                        HttpStyleMessage answer = exchange(socket, "");
                        assertTrue(
                                answer.status() >= 400 && answer.status() <= 504,
                                answer.startLine()); // the edge server answers only the first
                        assertEquals(socket == second ? halfReadId : lateId, answer.header("session"));
                    }
                    HttpStyleMessage end = exchange(first, "");
                    assertEquals("TEARDOWN", end.startLinePart(0));
                    assertEquals(sentId, end.header("session"));
                }
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
                connection.close();
            }
        }
    }

    private void sendHangUp() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static void awaitQuery(DatagramSocket nameServer) throws Exception {
        nameServer.setSoTimeout(20_000);
        nameServer.receive(new DatagramPacket(new byte[512], 512));
    }

    @Test
    void itServesHlsIfConfigured() throws Exception {
        Path file = Files.writeString(
                dir.resolve("hls.json"),
                "{\"listen\":\"127.0.0.1:0\",\"servers\":" + "[{\"id\":\"a\",\"host_port\":\"127.0.0.1:9\"}]}");
        start(ConfigTest.COMPLETE_CONFIG, "serve", "--hls", file.toString());
        try (Socket socket = new Socket("127.0.0.1", port(awaitLine("serving HLS:")))) {
            assertEquals(
                    404,
                    exchange(socket, "GET /sessions/0/0.m3u8 HTTP/1.1\r\n\r\n").status());
        }
    }

    @Test
    void theOperatorsFileEnablesStormProtectionAndAFaultyOneIsFatal() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "serve", "--conf", "deploy/dockshed.conf");
        awaitLine("storm protection enabled:");
        try (Socket socket = new Socket("127.0.0.1", port(awaitLine("serving:")))) {
            assertEquals(200, exchange(socket, OPTIONS).status());
        }
        stop();
        start(
                ConfigTest.COMPLETE_CONFIG,
                "serve",
                "--conf",
                Files.writeString(dir.resolve("x.conf"), "storm {\nhold 2\n}").toString());
        assertTrue(awaitLine("x.conf").contains("x.conf:2: hold: expected a time from 0s to 1s, got 2"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }

    @Test
    void aFaultyConfigurationIsFatalAndNamesTheKey() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG.replace("\"seed\":\"8c1f30d27a5be964\",", ""), "serve");
        assertTrue(awaitLine("dockshed: ").contains("member 'seed' is missing"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }

    @Test
    void anAddressInUseIsFatalAndReported() throws Exception {
        try (java.net.ServerSocket taken = new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            start(
                    ConfigTest.COMPLETE_CONFIG.replace(
                            "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + taken.getLocalPort() + "\""),
                    "serve");
            awaitLine("dockshed: cannot serve");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
        }
    }

    @Test
    void theTrainingRunOfTheBuildPlaysASessionAndExits() throws Exception {
        // Guards against a slow start: without the class archive each start spent half a second of processor time on
        // loading classes while viewers were already connecting.
        start(ConfigTest.COMPLETE_CONFIG, "rehearse", "deploy/rehearsal.json");
        assertTrue(awaitLine("planned end: ").contains("served=1 "));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        List<String> deploy = Files.readAllLines(Path.of("deploy/balancer.toml"));
        assertTrue(deploy.stream().anyMatch(l -> l.startsWith("build = ") && l.contains("sh deploy/archive.sh")));
        assertTrue(deploy.stream()
                .anyMatch(l -> l.startsWith("run = ") && l.contains("SharedArchiveFile=target/dockshed.jsa")));
    }

    @Test
    void wrongArgumentsPrintTheUsage() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "dance");
        assertTrue(awaitLine("usage").contains("serve [--hls FILE] [--conf FILE] | simhost | rehearse FILE"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }
}
