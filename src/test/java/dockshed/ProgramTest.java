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

/** The program as a process: it starts, serves, and ends as planned. */
class ProgramTest {
    @TempDir
    Path dir;

    private Process process;
    private int limit; // of descriptors; 0: as it is here
    private boolean ignoresHangUps; // inherited from whoever starts it, as under nohup
    private BufferedReader log;

    private void start(String config, String... arguments) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        List<String> command = new java.util.ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "dockshed.Main"));
        command.addAll(List.of(arguments));
        if (limit > 0) {
            command.addAll(0, List.of("sh", "-c", "ulimit -n " + limit + "; exec \"$@\"", "sh"));
        }
        if (ignoresHangUps) {
            command.addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.environment().put("EDGE_CONFIG", file.toString());
        process = b.start();
        log = process.inputReader();
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
    }

    private String line(String with) throws Exception {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(with)) {
                return line;
            }
        }
        throw new AssertionError("never logged: " + with);
    }

    private static int port(String line) {
        return Integer.parseInt(line.replaceAll(".*listen=/?[0-9.]+:([0-9]+).*", "$1"));
    }

    private static HttpStyleMessage ask(Socket s, String text) throws Exception {
        s.setSoTimeout(20_000);
        s.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        HttpStyleMessageDecoder d = new HttpStyleMessageDecoder(1 << 16);
        InputStream in = s.getInputStream();
        byte[] buf = new byte[1 << 16];
        HttpStyleMessage m = null;
        for (int n = in.read(buf); m == null && n >= 0; n = m == null ? in.read(buf) : -1) {
            d.add(buf, 0, n);
            m = d.next();
        }
        return m;
    }

    private static final String TEST = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";

    @Test
    void itServesGoesOnAfterSigtermForAWhileAndEndsWithZero() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        int port = port(line("serving:"));
        try (Socket s = new Socket("127.0.0.1", port)) {
            assertEquals(200, ask(s, TEST).status());
            process.toHandle().destroy(); // SIGTERM; the log stays open
            line("planned end begun");
            // Viewers still come at a planned end; they must be let in and answered.
            try (Socket late = new Socket("127.0.0.1", port)) {
                assertEquals(200, ask(late, TEST).status());
                assertEquals(
                        453,
                        ask(
                                        late,
                                        "SETUP rtsp://media/t RTSP/1.0\r\nSession: 0123456789abcdef\r\n"
                                                + "Priority-Class: paid\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n")
                                .status());
            }
        }
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void aTrickleThatDoesNotStopAndASecondSigtermChangeNothingAtThePlannedEnd() throws Exception {
        // It waited for the trickle to end before it told anybody; a set-up of its last moment was taken and lost.
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        int port = port(line("serving:"));
        int asked = 0;
        int refused = 0;
        try (Socket s = new Socket("127.0.0.1", port)) {
            assertEquals(200, ask(s, TEST).status());
            process.toHandle().destroy();
            line("planned end begun");
            process.toHandle().destroy();
            while (true) {
                HttpStyleMessage answer;
                try {
                    answer = ask(
                            s,
                            String.format(
                                    "SETUP rtsp://media/t RTSP/1.0\r\nSession: %016x\r\n"
                                            + "Priority-Class: paid\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n",
                                    ++asked));
                } catch (java.net.SocketException e) {
                    answer = null; // it came when the program was no more
                }
                if (answer == null) {
                    break;
                }
                assertTrue(answer.status() == 453 || answer.status() == 503, answer.startLine());
                refused++;
            }
        }
        assertEquals(asked - 1, refused, "one whole answer each, but to the one that found nobody");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertTrue(refused > 1);
    }

    @Test
    void sighupReadsTheConfigurationAgainAndABadFileLeavesTheOldOne() throws Exception {
        // Without a handler a JVM takes SIGHUP for the planned end.
        try (DatagramSocket first = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket second = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            String named = ConfigTest.COMPLETE_CONFIG.replace("\"127.0.0.1:9\"", "\"127.0.0.1:PORT\"");
            Path file = dir.resolve("config.json");
            start(named.replace("PORT", "" + first.getLocalPort()), "serve");
            int port = port(line("serving:"));
            Files.writeString(file, "{\"names\": 7");
            hangUp();
            assertTrue(line("configuration rejected").contains("previous one stays active"));
            asked(first);
            Files.writeString(file, named.replace("PORT", "" + second.getLocalPort()));
            hangUp();
            line("configuration read again");
            asked(second);
            try (Socket s = new Socket("127.0.0.1", port)) {
                assertEquals(200, ask(s, TEST).status());
            }
        }
    }

    @Test
    void whoIsStartedWithSighupIgnoredSaysThatItCannotReadTheConfigurationAgain() throws Exception {
        ignoresHangUps = true;
        start(ConfigTest.COMPLETE_CONFIG, "serve");
        assertTrue(line("SIGHUP was ignored").contains("needs a restart"));
        line("serving:");
        hangUp();
        assertTrue(process.isAlive());
    }

    @Test
    void idleViewersThatFillTheDescriptorsWhileDiscoveryIsDownLeaveRoomForWhoAsks() throws Exception {
        try (ServerSocket box = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                DatagramSocket names = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port;
            int namesPort = names.getLocalPort();
            names.close(); // out of reach
            String config = served(box)
                    .replace("\"sockets\":512", "\"sockets\":192")
                    .replace("\"127.0.0.1:9\"", "\"127.0.0.1:" + namesPort + "\"");
            // The jars of the tests' class path take a few more than the program's one.
            limit = 192 + 24;
            start(config, "serve");
            port = port(line("serving:"));
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < 300; i++) {
                    Socket s = new Socket("127.0.0.1", port);
                    idle.add(s);
                    if (i % 2 == 0) {
                        s.getOutputStream().write(TEST.getBytes(StandardCharsets.UTF_8));
                    }
                }
                // Whoever is turned away in the rush comes again, as clients do.
                Socket viewer = null;
                for (HttpStyleMessage passed = null; passed == null; ) {
                    viewer = new Socket("127.0.0.1", port);
                    idle.add(viewer);
                    try {
                        passed = ask(viewer, TEST);
                    } catch (SocketException e) {
                        passed = null;
                    }
                }
                String id = "0123456789abcdef";
                viewer.getOutputStream().write(setUp(id).getBytes(StandardCharsets.UTF_8));
                box.setSoTimeout(20_000);
                try (Socket line = box.accept()) {
                    line.setSoTimeout(20_000);
                    String asked = new BufferedReader(new InputStreamReader(line.getInputStream())).readLine();
                    assertTrue(asked.contains(id), asked);
                    answer(line, id);
                    assertEquals(200, ask(viewer, "").status());
                }
                try (DatagramSocket again = new DatagramSocket(namesPort, InetAddress.getLoopbackAddress())) {
                    asked(again);
                }
                hangUp();
                line("configuration read again");
            } finally {
                for (Socket s : idle) {
                    s.close();
                }
            }
        }
    }

    private static String setUp(String id) {
        return "SETUP rtsp://media/t RTSP/1.0\r\nSession: " + id + "\r\nPriority-Class: paid\r\nExpires-Ms: 4000\r\n"
                + "P-Trunk-Info: home:2;copies:3;top:1\r\nContent-Length: 5\r\n\r\nv=0\r\n";
    }

    private static void answer(Socket line, String id) throws Exception {
        line.getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=1\\r\\n\"}\n")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** A configuration with one server, there. */
    private static String served(ServerSocket box) {
        return ConfigTest.COMPLETE_CONFIG
                .replace("127.0.0.1:5080", "127.0.0.1:" + box.getLocalPort())
                .replace("leaving", "active")
                .replace("1500}", "0}");
    }

    @Test
    void whatIsOutHalfReadOrNotAcceptedAtSigtermIsAnsweredAndItsSessionsEndIsTold() throws Exception {
        try (ServerSocket box = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            box.setSoTimeout(20_000);
            start(served(box), "serve");
            int port = port(line("serving:"));
            String out = "00000000000000a1";
            String half = "00000000000000a2";
            String late = "00000000000000a3";
            try (Socket one = new Socket("127.0.0.1", port);
                    Socket two = new Socket("127.0.0.1", port)) {
                one.getOutputStream().write(setUp(out).getBytes(StandardCharsets.UTF_8));
                Socket line = box.accept();
                line.setSoTimeout(20_000);
                assertTrue(new BufferedReader(new InputStreamReader(line.getInputStream()))
                        .readLine()
                        .contains(out));
                two.getOutputStream().write(setUp(half).substring(0, 60).getBytes(StandardCharsets.UTF_8));
                process.toHandle().destroy();
                try (Socket three = new Socket("127.0.0.1", port)) { // accepted by the system, as the end begins
                    three.getOutputStream().write(setUp(late).getBytes(StandardCharsets.UTF_8));
                    two.getOutputStream().write(setUp(half).substring(60).getBytes(StandardCharsets.UTF_8));
                    answer(line, out);
                    assertEquals(200, ask(one, "").status());
                    // The module may send the others on or refuse them: either way each has its one answer.
                    for (Socket s : List.of(two, three)) {
                        HttpStyleMessage answer = ask(s, "");
                        assertTrue(
                                answer.status() >= 400 && answer.status() <= 504,
                                answer.startLine()); // the box answers only the first
                        assertEquals(s == two ? half : late, answer.header("session"));
                    }
                    HttpStyleMessage end = ask(one, "");
                    assertEquals("TEARDOWN", end.startLinePart(0));
                    assertEquals(out, end.header("session"));
                }
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
                line.close();
            }
        }
    }

    private void hangUp() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static void asked(DatagramSocket names) throws Exception {
        names.setSoTimeout(20_000);
        names.receive(new DatagramPacket(new byte[512], 512));
    }

    @Test
    void itServesHlsWhereAFileSaysSo() throws Exception {
        Path file = Files.writeString(
                dir.resolve("hls.json"),
                "{\"listen\":\"127.0.0.1:0\",\"servers\":" + "[{\"id\":\"a\",\"host_port\":\"127.0.0.1:9\"}]}");
        start(ConfigTest.COMPLETE_CONFIG, "serve", "--hls", file.toString());
        try (Socket s = new Socket("127.0.0.1", port(line("serving HLS:")))) {
            assertEquals(404, ask(s, "GET /sessions/0/0.m3u8 HTTP/1.1\r\n\r\n").status());
        }
    }

    @Test
    void theOperatorsFileSwitchesTheStormPartOnAndAFaultyOneEndsIt() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "serve", "--conf", "deploy/dockshed.conf");
        line("storm part on:");
        try (Socket s = new Socket("127.0.0.1", port(line("serving:")))) {
            assertEquals(200, ask(s, TEST).status());
        }
        stop();
        start(
                ConfigTest.COMPLETE_CONFIG,
                "serve",
                "--conf",
                Files.writeString(dir.resolve("x.conf"), "storm {\nhold 2\n}").toString());
        assertTrue(line("x.conf").contains("x.conf:2: hold: expected a time from 0s to 1s, got 2"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }

    @Test
    void aFaultyConfigurationEndsItWithAWordOnTheKey() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG.replace("\"seed\":\"8c1f30d27a5be964\",", ""), "serve");
        assertTrue(line("dockshed: ").contains("member 'seed' is missing"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }

    @Test
    void anAddressInUseEndsItWithAWord() throws Exception {
        try (java.net.ServerSocket taken = new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            start(
                    ConfigTest.COMPLETE_CONFIG.replace(
                            "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + taken.getLocalPort() + "\""),
                    "serve");
            line("dockshed: cannot serve");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
        }
    }

    @Test
    void theBuildsRehearsalPlaysASessionAndEnds() throws Exception {
        // A start read all its classes anew, half a second of processor, when viewers had been coming for long.
        start(ConfigTest.COMPLETE_CONFIG, "rehearse", "deploy/rehearsal.json");
        assertTrue(line("planned end: ").contains("served=1 "));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        List<String> deploy = Files.readAllLines(Path.of("deploy/balancer.toml"));
        assertTrue(deploy.stream().anyMatch(l -> l.startsWith("build = ") && l.contains("sh deploy/archive.sh")));
        assertTrue(deploy.stream()
                .anyMatch(l -> l.startsWith("run = ") && l.contains("SharedArchiveFile=target/dockshed.jsa")));
    }

    @Test
    void wrongArgumentsAreToldTheRightOnes() throws Exception {
        start(ConfigTest.COMPLETE_CONFIG, "dance");
        assertTrue(line("usage").contains("serve [--hls FILE] [--conf FILE] | simhost | rehearse FILE"));
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
    }
}
