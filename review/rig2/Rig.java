package review2;

import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the platform around one or more brokers: name server, edge servers, viewers; and the record of a run. */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    static final ScheduledExecutorService TIMERS = timers();
    private static BufferedWriter record;
    private static final List<Process> STARTED = new ArrayList<>();

    private Rig() {}

    private static ScheduledExecutorService timers() {
        ScheduledThreadPoolExecutor pool = new ScheduledThreadPoolExecutor(4, task -> {
            Thread thread = new Thread(task, "timers");
            thread.setDaemon(true);
            return thread;
        });
        return pool;
    }

    /** A case; returns 0 if the rule held, 1 if it was broken, 2 if it could not be judged. */
    interface Case {
        int run() throws Exception;
    }

    /** Added to a result for the exit status, so that a JVM that fails to start is told apart. */
    private static final int EXIT_BASE = 40;

    private static Path temporary;

    /** The temporary folder of the run, removed at its end. */
    static synchronized Path folder() throws IOException {
        temporary = temporary == null ? Files.createTempDirectory("review") : temporary;
        return temporary;
    }

    /** Runs a case, ends all processes that it started and exits with its result; at most 115 s. */
    static void main(String folder, Case body) {
        int result = 2;
        try {
            record = Files.newBufferedWriter(Path.of(folder, "record.txt"));
            Thread watchdog = new Thread(() -> {
                sleep(115_000);
                log("could not run: not finished within 115 s");
                end(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            log("TROUBLE=" + (TROUBLE ? 1 : 0));
            result = body.run();
        } catch (Throwable e) {
            log("could not run: " + e);
            e.printStackTrace();
        }
        end(result);
    }

    private static synchronized void end(int result) {
        for (Process process : STARTED) {
            process.destroyForcibly();
        }
        for (Process process : STARTED) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        log("result: " + (result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "could not run"));
        synchronized (Rig.class) {
            try {
                record.close();
            } catch (IOException e) {
                // nothing more to write to
            }
        }
        try (java.util.stream.Stream<Path> files =
                temporary == null ? java.util.stream.Stream.empty() : Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("not removed: " + temporary);
        }
        System.out.println(result == 0 ? "held" : result == 1 ? "broken" : "could not run");
        Runtime.getRuntime().halt(EXIT_BASE + result);
    }

    /** Milliseconds since the start of the run. */
    static double ms() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void log(String text) {
        try {
            record.write(String.format(Locale.ROOT, "%10.1f %s%n", ms(), text));
            record.flush();
        } catch (IOException e) {
            System.err.println(text);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void later(double millis, Runnable task) {
        TIMERS.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        log("stand-in: " + e);
                    }
                },
                (long) (millis * 1000),
                TimeUnit.MICROSECONDS);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    // ---- The broker.

    /** A broker, started by the command of the deploy file. */
    static final class Broker {
        final String name;
        final int port;
        final Path config;
        final String options;
        Process process;
        private static final int MAX_LOG_LINES = 1500; // of a broker, in the record
        private int kept;

        Broker(String name, int port, String options) throws IOException {
            this.name = name;
            this.port = port;
            this.options = options;
            config = folder().resolve(name + ".json");
        }

        Broker start(String json) throws Exception {
            Files.writeString(config, json);
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                Matcher matcher = Pattern.compile("^run = \"(.*?)\".*").matcher(line);
                run = matcher.matches() ? matcher.group(1) : run;
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + options);
            builder.environment().put("TMPDIR", config.getParent().toString());
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("EDGE_NAME", name);
            builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
            builder.redirectErrorStream(true);
            process = builder.start();
            synchronized (STARTED) {
                STARTED.add(process);
            }
            InputStream out = process.getInputStream();
            daemon(() -> {
                StringBuilder line = new StringBuilder();
                try {
                    for (int c = out.read(); c >= 0; c = out.read()) {
                        if (c == '\n') {
                            if (kept++ < MAX_LOG_LINES) {
                                log("log of " + name + ": " + line);
                            }
                            line.setLength(0);
                        } else {
                            line.append((char) c);
                        }
                    }
                } catch (IOException e) {
                    // the process has ended
                }
            });
            log("started " + name);
            double limit = ms() + 30_000;
            while (!ready()) {
                if (ms() > limit || !process.isAlive()) {
                    throw new IllegalStateException(name + " is not ready");
                }
                sleep(50);
            }
            log(name + " passed a test");
            return this;
        }

        private boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] answer = new byte[12];
                int got = socket.getInputStream().readNBytes(answer, 0, 12);
                return got == 12 && new String(answer, StandardCharsets.US_ASCII).equals("RTSP/1.0 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Ends the process. */
        void stop() throws Exception {
            process.destroyForcibly().waitFor();
        }

        void signal(String signal) throws Exception {
            log("SIG" + signal + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .start()
                    .waitFor();
        }
    }

    // ---- The list of edge servers and the name server.

    static final class Member {
        final String id;
        final String zone;
        final int port;
        final int cell;
        final double weight;
        long startedMs;
        String state = "active";

        Member(String id, String zone, int port, int cell, double weight, long startedMs) {
            this.id = id;
            this.zone = zone;
            this.port = port;
            this.cell = cell;
            this.weight = weight;
            this.startedMs = startedMs;
        }

        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"%s\",\"flavor\":\"std-3core\","
                            + "\"cell\":%d,\"phase\":\"%s\",\"size\":%s,\"up_since_ms\":%d}",
                    id,
                    port,
                    zone,
                    cell,
                    state,
                    weight,
                    startedMs);
        }
    }

    /** The list, with its events numbered from 1, and a name server that answers from it (RFC 1035, 2782). */
    static final class NameServer {
        final Map<String, Member> members = new LinkedHashMap<>();
        int number = 1;
        final DatagramSocket socket;
        /** Changes an answer before it is sent; null: it is lost. */
        java.util.function.BinaryOperator<byte[]> spoil = (query, answer) -> answer;

        NameServer() throws IOException {
            socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
        }

        int port() {
            return socket.getLocalPort();
        }

        /** The member 'known' of a configuration written now. */
        synchronized String known() {
            List<String> all = new ArrayList<>();
            members.values().forEach(member -> all.add(member.json()));
            return "{\"rev\":" + number + ",\"notices\":[{\"rev\":" + number + ",\"pool\":{\"revision\":" + number
                    + ",\"complete\":true,\"members\":[" + String.join(",", all) + "]}}]}";
        }

        synchronized void change(String what, Runnable change) {
            change.run();
            number++;
            log("name server: event " + number + ": " + what);
        }

        void serve() {
            daemon(() -> {
                byte[] buffer = new byte[2048];
                while (true) {
                    try {
                        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                        socket.receive(packet);
                        byte[] query = java.util.Arrays.copyOf(buffer, packet.getLength());
                        byte[] answer = spoil.apply(query, answer(query));
                        if (answer != null) {
                            socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                        }
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        static String nameOf(byte[] query) {
            StringBuilder name = new StringBuilder();
            for (int i = 12; query[i] != 0; i += query[i] + 1) {
                name.append(name.length() == 0 ? "" : ".").append(new String(query, i + 1, query[i]));
            }
            return name.toString();
        }

        static int questionEnd(byte[] query) {
            int i = 12;
            while (query[i] != 0) {
                i += query[i] + 1;
            }
            return i + 5;
        }

        static int typeOf(byte[] query) {
            int end = questionEnd(query);
            return (query[end - 4] & 0xff) << 8 | query[end - 3] & 0xff;
        }

        private static void name(ByteArrayOutputStream out, String name) {
            for (String label : name.split("\\.")) {
                out.write(label.length());
                out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
            }
            out.write(0);
        }

        private static void u16(ByteArrayOutputStream out, int value) {
            out.write(value >> 8);
            out.write(value);
        }

        private static void record(ByteArrayOutputStream out, String name, int type, byte[] data) {
            name(out, name);
            u16(out, type);
            u16(out, 1);
            u16(out, 0);
            u16(out, 0);
            u16(out, data.length);
            out.writeBytes(data);
        }

        private static String target(Member member) {
            return member.id + "." + member.zone + ".hosts";
        }

        private static void address(ByteArrayOutputStream out, Member member) {
            record(out, target(member), 1, new byte[] {127, 0, 0, 1});
        }

        private static void text(ByteArrayOutputStream out, Member member) {
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            for (String text : List.of("kind=std-3core", "cell=" + member.cell, "started=" + member.startedMs)) {
                data.write(text.length());
                data.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
            }
            record(out, target(member), 16, data.toByteArray());
        }

        private synchronized byte[] answer(byte[] query) {
            String name = nameOf(query).toLowerCase(Locale.ROOT);
            int type = typeOf(query);
            ByteArrayOutputStream answers = new ByteArrayOutputStream();
            ByteArrayOutputStream authority = new ByteArrayOutputStream();
            ByteArrayOutputStream additional = new ByteArrayOutputStream();
            int[] counts = new int[3];
            boolean found = false;
            if (name.equals("_work._tcp.fleet.local")) {
                found = true;
                for (Member member : members.values()) {
                    if (member.state.equals("left")) {
                        continue;
                    }
                    ByteArrayOutputStream data = new ByteArrayOutputStream();
                    u16(data, member.state.equals("active") ? 0 : 1);
                    u16(data, (int) Math.round(member.weight * 10));
                    u16(data, member.port);
                    name(data, target(member));
                    record(answers, name, 33, data.toByteArray());
                    counts[0]++;
                    address(additional, member);
                    text(additional, member);
                    counts[2] += 2;
                }
                ByteArrayOutputStream soa = new ByteArrayOutputStream();
                name(soa, "ns.fleet.local");
                name(soa, "admin.fleet.local");
                for (int value : new int[] {number, 1, 1, 1, 0}) {
                    u16(soa, value >> 16);
                    u16(soa, value);
                }
                record(authority, "fleet.local", 6, soa.toByteArray());
                counts[1]++;
            }
            for (Member member : members.values()) {
                if (!member.state.equals("left") && target(member).equalsIgnoreCase(name)) {
                    found = true;
                    if (type == 1) {
                        address(answers, member);
                        counts[0]++;
                    } else if (type == 16) {
                        text(answers, member);
                        counts[0]++;
                    }
                }
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(query, 0, 2);
            u16(out, 0x8400 | (found ? 0 : 3));
            u16(out, 1);
            u16(out, counts[0]);
            u16(out, counts[1]);
            u16(out, counts[2]);
            out.write(query, 12, questionEnd(query) - 12);
            out.writeBytes(answers.toByteArray());
            out.writeBytes(authority.toByteArray());
            out.writeBytes(additional.toByteArray());
            return out.toByteArray();
        }

        /** An answer cut short at a byte after its question, and marked so (RFC 1035, 4.1.1: TC). */
        static byte[] cut(byte[] query, byte[] answer, Random random) {
            int from = questionEnd(query);
            byte[] cut = java.util.Arrays.copyOf(answer, from + random.nextInt(Math.max(1, answer.length - from)));
            cut[2] |= 2;
            return cut;
        }
    }

    // ---- Edge servers.

    /** What an edge server has received, for the checks. */
    interface EdgeListener {
        default void setUp(Edge edge, String session, String sessionClass, String title, int rung) {}

        default void released(Edge edge, String session, int cause) {}

        default void ended(String session) {}
    }

    /** An edge server that speaks JSON lines: it accepts all set-ups for which it has places. */
    static class Edge {
        final String id;
        final int cell;
        final int slots;
        final ServerSocket socket;
        final Map<String, Line> standing = new ConcurrentHashMap<>();
        final List<Line> lines = new java.util.concurrent.CopyOnWriteArrayList<>();
        final List<String> unsent = new ArrayList<>();
        final EdgeListener listener;
        volatile double background = 0.3; // asked of its link by the sessions of others, over what a warm link gives
        volatile double linkKb = 13_782;
        volatile double startedMs = Double.NEGATIVE_INFINITY; // by ms(); its link is cold too
        double warmUpMs = 12_000;
        double coldFrom = 0.4;
        final Map<String, Double> rateKb = new ConcurrentHashMap<>(); // of the standing sessions
        volatile double setUpMs = 8;
        volatile double lengthMs = 30_000;
        volatile boolean closed;
        private volatile boolean vanished;
        private static final int BACKLOG = 16;
        private final List<Socket> fillers = new java.util.concurrent.CopyOnWriteArrayList<>();
        final double reportsEveryMs;

        Edge(String id, int cell, int slots, double reportsEveryMs, EdgeListener listener) throws IOException {
            this.id = id;
            this.cell = cell;
            this.slots = slots;
            this.listener = listener;
            this.reportsEveryMs = reportsEveryMs;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
            daemon(this::accept);
            if (reportsEveryMs > 0) {
                later(reportsEveryMs, this::report);
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Share of its rate that it gives now. */
        double warmth(double at) {
            return Math.min(1, coldFrom + (1 - coldFrom) * (at - startedMs) / warmUpMs);
        }

        /** What is asked of its link over what it gives. */
        double x0() {
            double own = rateKb.values().stream().mapToDouble(rate -> rate).sum() / linkKb;
            return (background + own) / warmth(ms());
        }

        private static double rateKb(String sessionClass, int rung) {
            return Settings.RATES_KB[Math.max(0, rung)] * ("audio-guide".equals(sessionClass) ? 0.7 : 1);
        }

        /**
         * The machine vanishes: it says nothing any more, its open connections stay open and silent, and new ones never
         * come up, since nothing is accepted and the queue of the port is filled. Returns whether it is.
         */
        boolean vanish() {
            vanished = true;
            closed = true;
            lines.forEach(line -> line.gone = true);
            for (int i = 0; i < 10 * BACKLOG; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", port()), 150);
                } catch (IOException e) {
                    return true;
                }
            }
            return false;
        }

        private void accept() {
            while (true) {
                try {
                    Socket accepted = socket.accept();
                    if (vanished) {
                        fillers.add(accepted);
                        return;
                    }
                    Line line = new Line(this, accepted);
                    lines.add(line);
                    synchronized (unsent) { // also on the next connection that is opened
                        unsent.forEach(line::send);
                        unsent.clear();
                    }
                    daemon(line::read);
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void report() {
            if (closed) {
                return;
            }
            standing.keySet().stream().findFirst().ifPresent(session -> note(session, "local", x0()));
            later(reportsEveryMs, this::report);
        }

        void note(String session, String kind, double value) {
            Line line = standing.get(session);
            if (line != null) {
                send(line, message("note", session, "\"note\":\"" + kind + "\",\"value\":\"" + value + "\"", -1, null));
            }
        }

        /** Sends on the connection of the set-up, or else on any open one, or on the next one. */
        void send(Line line, String text) {
            for (Line candidate : concat(line, lines)) {
                if (candidate != null && candidate.send(text)) {
                    return;
                }
            }
            if (text.contains("\"release\"")) {
                synchronized (unsent) {
                    unsent.add(text);
                }
            }
        }

        private static List<Line> concat(Line first, List<Line> others) {
            List<Line> all = new ArrayList<>();
            all.add(first);
            all.addAll(others);
            return all;
        }

        void received(Line line, String text) {
            if (vanished) {
                return;
            }
            String type = field(text, "type");
            String session = field(text, "id");
            switch (type == null ? "" : type) {
                case "setup" -> {
                    int rung = field(text, "rung") == null ? -1 : Integer.parseInt(field(text, "rung"));
                    String sessionClass = field(text, "class");
                    listener.setUp(this, session, sessionClass, field(text, "key"), rung);
                    later(setUpMs, () -> {
                        if (closed || line.gone) {
                            return;
                        }
                        if (standing.size() >= slots) {
                            line.send(message("release", session, loads(), 34, null));
                            return;
                        }
                        standing.put(session, line);
                        line.send(message("answer", session, "", -1, "v=0\\r\\no=" + id + " " + session + "\\r\\n"));
                        rateKb.put(session, rateKb(sessionClass, rung));
                        note(session, "local", x0());
                        later(lengthMs, () -> end(session, 16));
                    });
                }
                case "release" -> {
                    int cause = field(text, "cause") == null ? 0 : Integer.parseInt(field(text, "cause"));
                    listener.released(this, session, cause);
                    end(session, 31);
                }
                case "rate" -> rateKb.computeIfPresent(session, (id, old) -> old
                        * Settings.RATES_KB[Integer.parseInt(field(text, "rung"))]
                        / nearest(old));
                case "ping" -> line.send(message("pong", session, "", 1, null));
                default -> {}
            }
        }

        /** The rate of the ladder that a session of this rate is at, whatever its class's scale. */
        private static double nearest(double rateKb) {
            for (double scale : new double[] {1, 0.7}) {
                for (double rate : Settings.RATES_KB) {
                    if (Math.abs(rate * scale - rateKb) < 0.01) {
                        return rate;
                    }
                }
            }
            return rateKb;
        }

        /** A session that plays already; its connection is not open any more. */
        void adopt(String session) throws IOException {
            Line closed = new Line(this, new Socket());
            closed.gone = true;
            standing.put(session, closed);
        }

        void end(String session, int cause) {
            rateKb.remove(session);
            Line line = standing.remove(session);
            if (line != null && !closed) {
                listener.ended(session);
                send(line, message("release", session, loads(), cause, null));
            }
        }

        private String loads() {
            return "\"load\":\"busy_reqs:" + standing.size() + ";x0:" + x0() + "\"";
        }

        /** The process ends: its connections are reset and its sessions are cut. */
        void stop() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
            standing.clear();
            lines.forEach(Line::reset);
            fillers.forEach(filler -> {
                try {
                    filler.close();
                } catch (IOException e) {
                    // closed already
                }
            });
        }

        static String message(String type, String session, String fields, int cause, String sdp) {
            return "{\"type\":\"" + type + "\",\"id\":\"" + session + "\",\"fields\":{" + fields + "}"
                    + (cause >= 0 ? ",\"cause\":" + cause : "") + (sdp == null ? "" : ",\"sdp\":\"" + sdp + "\"") + "}\n";
        }

        static String field(String text, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":\\s*(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(-?[0-9.]+))")
                    .matcher(text);
            return !matcher.find() ? null : matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        }
    }

    /** A connection to an edge server. */
    static final class Line {
        final Edge edge;
        final Socket socket;
        volatile boolean gone;

        Line(Edge edge, Socket socket) throws IOException {
            this.edge = edge;
            this.socket = socket;
            if (socket.isConnected()) {
                socket.setTcpNoDelay(true);
            }
        }

        boolean send(String text) {
            if (gone) {
                return false;
            }
            try {
                synchronized (socket) {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                }
                return true;
            } catch (IOException e) {
                gone = true;
                return false;
            }
        }

        void read() {
            try {
                ByteArrayOutputStream line = new ByteArrayOutputStream();
                byte[] buffer = new byte[16384];
                InputStream in = socket.getInputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    for (int i = 0; i < n; i++) {
                        if (buffer[i] == '\n') {
                            edge.received(this, line.toString(StandardCharsets.UTF_8));
                            line.reset();
                        } else {
                            line.write(buffer[i]);
                        }
                    }
                }
            } catch (IOException e) {
                // closed
            }
            gone = true;
            edge.lines.remove(this);
            try {
                socket.close();
            } catch (IOException e) {
                // closed
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // closed
            }
            gone = true;
        }
    }

    // ---- Viewers.

    /** What a viewer was told on one session. */
    static final class Told {
        final String session;
        final double sentAt;
        volatile int code; // 0: no answer yet
        volatile double answeredAt;
        volatile double releasedAt;
        volatile int answers;
        volatile String body;

        Told(String session, double sentAt) {
            this.session = session;
            this.sentAt = sentAt;
        }
    }

    /** A connection of viewers to a broker. */
    static final class Viewers {
        final Socket socket;
        /** Of all viewers: what concerns a session may be sent on any connection. */
        static final Map<String, Told> sessions = new ConcurrentHashMap<>();

        volatile boolean closed;
        BiConsumer<String, Told> onMessage = (what, told) -> {};

        Viewers(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            daemon(this::read);
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }

        private void write(String text) {
            try {
                synchronized (socket) {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                closed = true;
            }
        }

        Told setUp(String session, String title, String sessionClass, int expiresMs, String info) {
            Told told = new Told(session, ms());
            sessions.put(session, told);
            String body = title + "\r\nc=IN IP4 127.0.0.1\r\n";
            write("SETUP rtsp://media/" + title + " RTSP/1.0\r\nCSeq: 1\r\nSession: " + session + "\r\nPriority-Class: "
                    + sessionClass + "\r\n" + (expiresMs > 0 ? "Expires-Ms: " + expiresMs + "\r\n" : "") + "P-Trunk-Info: "
                    + info + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return told;
        }

        void tearDown(String session, String reason) {
            write("TEARDOWN rtsp://media/" + session + " RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\n"
                    + (reason == null ? "" : "Reason: " + reason + "\r\n") + "Content-Length: 0\r\n\r\n");
        }

        private void read() {
            try {
                InputStream in = socket.getInputStream();
                while (true) {
                    StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        int c = in.read();
                        if (c < 0) {
                            closed = true;
                            return;
                        }
                        head.append((char) c);
                    }
                    Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
                    byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                    received(head.toString(), new String(body, StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                closed = true;
            }
        }

        private void received(String head, String body) {
            Matcher matcher = Pattern.compile("(?i)session: *([0-9a-f]+)").matcher(head);
            String session = matcher.find() ? matcher.group(1) : "";
            Told told = sessions.get(session);
            if (head.startsWith("RTSP/1.0 ")) {
                if (told != null && head.contains("CSeq: 1")) {
                    told.code = Integer.parseInt(head.substring(9, 12));
                    told.answeredAt = ms();
                    told.answers++;
                    told.body = body;
                    onMessage.accept("answer", told);
                }
            } else if (head.startsWith("TEARDOWN") || head.startsWith("REDIRECT")) {
                if (told != null) {
                    told.releasedAt = ms();
                    onMessage.accept(head.substring(0, 8), told);
                }
                if (head.startsWith("TEARDOWN")) {
                    write("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + session + "\r\nContent-Length: 0\r\n\r\n");
                }
            }
        }
    }

    // ---- Settings.

    /** Settings of a small deployment, as the interface page shows them; further members may be replaced. */
    static final class Settings {
        static final double[] RATES_KB = {255, 425, 706, 1174, 1951};

        int brokers = 2;
        int me = 0;
        int cells = 12;
        int slots = 53;
        double reportsEvery = 2750;
        double see = 1359;
        double weightKb = 4594;
        double linksKb = 185665;
        double uplinkKb = 61350;
        double idleClose = 30000;
        double warmUp = 12000;
        double coldFrom = 0.4;
        int sockets = 512;

        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"balancers\":%d,\"classes\":["
                            + "{\"deadline\":3000.0,\"effect\":\"idempotent\",\"goal_time\":800.0,\"group\":\"all\","
                            + "\"name\":\"refresher\",\"points\":1.0,\"streaming\":true},"
                            + "{\"deadline\":4000.0,\"effect\":\"at_most_once\",\"goal_time\":1000.0,\"group\":\"all\","
                            + "\"name\":\"cert-lesson\",\"points\":3.0,\"streaming\":true},"
                            + "{\"deadline\":3000.0,\"effect\":\"idempotent\",\"goal_time\":1500.0,\"group\":\"all\","
                            + "\"name\":\"audio-guide\",\"points\":1.0,\"streaming\":true}],"
                            + "\"clients\":{\"marks_retry\":true},\"discovery\":\"pushed\","
                            + "\"family_info\":{\"cabinets\":2,\"cells\":%d,\"class_scale\":[1.0,1.0,0.7],"
                            + "\"class_seats\":[0,0,0],\"guard\":0.0,\"is_live\":[false,false,false],\"join\":1.0,"
                            + "\"kind_slots\":[%d],\"level_worth\":[0.17,0.41,0.62,0.81,1.0],\"links_kb\":%s,"
                            + "\"lowest_rung\":[0,1,0],\"rates_kb\":[255.0,425.0,706.0,1174.0,1951.0],"
                            + "\"reports_every\":%s,\"see\":%s,\"stall\":7.0,\"switch_cost_s\":0.487,"
                            + "\"top_by_class\":[4,4,4],\"uplink_kb\":%s,\"weight_kb\":%s},"
                            + "\"invariants\":{\"ask_within\":10000.0,\"cold_from\":%s,\"drain_grace\":1000.0,"
                            + "\"fall\":2000.0,\"grace_to_answer\":40.0,\"tip_multiple\":2.5,\"warm_up\":%s},"
                            + "\"kind_of_service\":\"streams\",\"kinds\":[\"std-3core\"],"
                            + "\"limits\":{\"cancel\":true,\"connect_timeout\":250.0,\"cpu_us_per_request\":0.0,"
                            + "\"cpu_us_per_s\":400000,\"idle_close\":%s,\"max_open\":1000000,"
                            + "\"max_retry_after\":2000.0,\"peers\":false,\"probing\":false,\"retry_after\":true,"
                            + "\"second_copies\":false,\"streams_per_conn\":1048576,\"try_limit\":5},"
                            + "\"me\":%d,\"over_share_worth\":0.1,\"period\":10.0,"
                            + "\"prices\":{\"connection\":0.0,\"cross_zone\":0.01,\"handshake\":0.0,\"late_fail\":0.05,"
                            + "\"moves\":0.077,\"peer\":0.01,\"probe\":0.0,\"waste\":0.0},"
                            + "\"realms\":[],\"report\":{\"fields\":[\"busy_reqs\",\"x0\"],\"via\":\"piggyback\"},"
                            + "\"tier\":0,\"tiers\":[\"lesson-servers\"],\"weight_source\":\"rough\","
                            + "\"zone\":\"east-hall\",\"zones\":[\"east-hall\",\"west-hall\"]}",
                    brokers,
                    cells,
                    slots,
                    linksKb,
                    reportsEvery,
                    see,
                    uplinkKb,
                    weightKb,
                    coldFrom,
                    warmUp,
                    idleClose,
                    me);
        }

        String config(String name, int listenPort, String known, int namesPort) {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"seed\":\""
                    + String.format("%016x", new Random().nextLong()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":" + sockets + "}," + (namesPort > 0 ? "\"names\":\"127.0.0.1:" + namesPort + "\"," : "")
                    + "\"known\":" + known + ",\"settings\":" + json() + "}";
        }
    }

    private static final Random IDS = new Random();

    /** A new id of 16 hex digits. */
    static synchronized String newId() {
        return String.format("%016x", IDS.nextLong());
    }
}
