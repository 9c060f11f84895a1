package dockshed.rig;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dockshed.net.ByteHandler;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The storm on loopback sockets: three brokers as processes of their own, lesson boxes and viewers in this one. The first
 * broker is killed and started again; each run is played without the part and with it.
 */
public final class SocketStorm {
    private static final double[] RATES = {255, 425, 706, 1174, 1951};
    private static final double[] WORTHS = {.17, .41, .62, .81, 1};
    private static final double LINK = 30_000;
    private static final int BROKERS = 3;
    private static final int BOXES = 12;
    private static final int LANES = 4;

    private final Net net = new Net();
    private final SplittableRandom random = new SplittableRandom(17);
    private final Path dir;
    private final String conf; // null: without the part
    private final List<StubEdgeServer> boxes = new ArrayList<>();
    private final List<BrokerNode> nodes = new ArrayList<>();
    private final List<Viewer> viewers = new ArrayList<>();
    private final Set<String> ran = new HashSet<>();
    private final double[] offered = new double[300];
    private final double[] earned = new double[300];
    private LoopClock clock;
    private long start;
    private long ends;
    private int tries;
    private int refused;
    private int failed;
    private int paidTwice;
    private int unanswered;
    private int names;
    private Duration used = Duration.ZERO;

    private SocketStorm(Path dir, String conf) {
        this.dir = dir;
        this.conf = conf;
    }

    private void after(long millis, Runnable what) {
        net.loop().schedule(what, millis, TimeUnit.MILLISECONDS);
    }

    private int second() {
        return (int) ((clock.now() - start) / 1_000_000);
    }

    // ---- Boxes.

    private final class StubEdgeServer {
        final Map<String, Viewer> playing = new HashMap<>();
        final Map<String, EdgeConnection> lineOf = new HashMap<>();
        int port;

        double fill() {
            return playing.values().stream()
                            .mapToDouble(v -> RATES[v.rung] * v.scale)
                            .sum()
                    / LINK;
        }

        private final class EdgeConnection extends ByteHandler {
            private final ByteArrayOutputStream held = new ByteArrayOutputStream();
            private Channel channel;

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                channel = ctx.channel();
            }

            @Override
            protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
                for (byte b : bytes) {
                    if (b != '\n') {
                        held.write(b);
                        continue;
                    }
                    JsonObject m = JsonParser.parseString(held.toString(StandardCharsets.UTF_8))
                            .getAsJsonObject();
                    held.reset();
                    message(m, m.get("id").getAsString());
                }
            }

            private void message(JsonObject m, String id) {
                switch (m.get("type").getAsString()) {
                    case "ping" -> say("pong", id, 1, "", null);
                    case "setup" -> {
                        JsonObject f = m.getAsJsonObject("fields");
                        if (!ran.add(id) && f.get("class").getAsString().equals("cert-lesson")) {
                            paidTwice++;
                        }
                        Viewer v = Viewer.of(viewers, id);
                        if (v != null) {
                            v.rung = f.has("rung") ? f.get("rung").getAsInt() : v.floor;
                            playing.put(id, v);
                            lineOf.put(id, this);
                            after(20, () -> {
                                say(
                                        "answer",
                                        id,
                                        -1,
                                        "\"load\":\"" + load() + "\"",
                                        m.get("sdp").getAsString());
                                note(id);
                            });
                        }
                    }
                    case "rate" -> {
                        if (playing.containsKey(id)) {
                            playing.get(id).rung =
                                    m.getAsJsonObject("fields").get("rung").getAsInt();
                        }
                    }
                    case "release" -> {
                        playing.remove(id);
                        lineOf.remove(id);
                    }
                    default -> {}
                }
            }

            private String load() {
                return "busy_reqs:" + playing.size() + ";x0:" + String.format(Locale.ROOT, "%.4f", fill());
            }

            void note(String id) {
                say("note", id, -1, String.format(Locale.ROOT, "\"note\":\"local\",\"value\":\"%.4f\"", fill()), null);
            }

            void say(String type, String id, int cause, String fields, String sdp) {
                JsonObject m = new JsonObject();
                m.addProperty("type", type);
                m.addProperty("id", id);
                m.add("fields", JsonParser.parseString("{" + fields + "}"));
                if (cause >= 0) {
                    m.addProperty("cause", cause);
                }
                if (sdp != null) {
                    m.addProperty("sdp", sdp);
                }
                channel.writeAndFlush(Net.toByteBuf((m + "\n").getBytes(StandardCharsets.UTF_8)));
            }

            @Override
            protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
                // A broker that died takes its sessions along.
                List<String> gone = lineOf.entrySet().stream()
                        .filter(e -> e.getValue() == this)
                        .map(Map.Entry::getKey)
                        .toList();
                gone.forEach(id -> {
                    lineOf.remove(id);
                    if (!playing.get(id).node.up()) {
                        playing.remove(id);
                    }
                });
            }
        }

        void tell() {
            Map<EdgeConnection, String> one = new HashMap<>();
            lineOf.forEach((id, line) -> one.put(line, id));
            one.forEach(EdgeConnection::note);
            after(1000, this::tell);
        }

        /** The session has come to its natural end. */
        void over(String id) {
            EdgeConnection l = lineOf.remove(id);
            playing.remove(id);
            if (l != null) {
                l.say("release", id, 16, "", null);
            }
        }
    }

    // ---- Brokers.

    private final class BrokerNode {
        final int me;
        final int port = free();
        final int peerPort;
        final ViewerConnection[] lanes = new ViewerConnection[LANES];
        Process process;
        long noticed;

        BrokerNode(int me, int peerPort) {
            this.me = me;
            this.peerPort = peerPort;
        }

        boolean up() {
            return process != null;
        }

        void begin(List<Integer> peerPorts) throws IOException {
            Path file = dir.resolve("broker" + me + ".json");
            Files.writeString(file, config(this, peerPorts));
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-Xmx64m",
                    "-XX:TieredStopAtLevel=1",
                    "-Djava.net.preferIPv4Stack=true",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "dockshed.Main",
                    "serve"));
            if (conf != null) {
                command.addAll(List.of("--conf", conf));
            }
            ProcessBuilder b = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            dir.resolve("broker" + me + ".log").toFile()));
            b.environment().put("EDGE_CONFIG", file.toString());
            process = b.start();
        }

        void kill() {
            used = used.plus(process.info().totalCpuDuration().orElse(Duration.ZERO));
            process.destroyForcibly();
            process = null;
            noticed = clock.now() + 1_200_000 + random.nextLong(2_200_000);
        }

        void send(Viewer v, byte[] bytes) {
            int i = random.nextInt(LANES);
            if (lanes[i] != null) {
                lanes[i].on.removeIf(o -> o.lane != lanes[i] || o.name == null);
            }
            if (lanes[i] == null) {
                lanes[i] = new ViewerConnection(this, i);
                net.connect(new InetSocketAddress("127.0.0.1", port), 500, lanes[i]::handler)
                        .addListener(done -> {
                            if (!done.isSuccess()) {
                                lanes[i].gone();
                            }
                        });
            }
            lanes[i].send(v, bytes);
        }
    }

    /** A connection that carries many viewers. */
    private final class ViewerConnection {
        final BrokerNode node;
        final int index;
        final Set<Viewer> on = new HashSet<>();
        final ByteArrayOutputStream early = new ByteArrayOutputStream();
        Channel channel;

        ViewerConnection(BrokerNode node, int index) {
            this.node = node;
            this.index = index;
        }

        void send(Viewer v, byte[] bytes) {
            if (v != null) {
                on.add(v);
                v.lane = this;
            }
            if (channel == null) {
                early.writeBytes(bytes);
            } else {
                channel.writeAndFlush(Net.toByteBuf(bytes));
            }
        }

        ByteHandler handler() {
            return new ByteHandler() {
                private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 16);

                @Override
                public void channelActive(ChannelHandlerContext ctx) {
                    channel = ctx.channel();
                    channel.writeAndFlush(Net.toByteBuf(early.toByteArray()));
                }

                @Override
                protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
                    decoder.add(bytes, 0, bytes.length);
                    try {
                        for (HttpStyleMessage m = decoder.next(); m != null; m = decoder.next()) {
                            Viewer v = Viewer.of(viewers, m.header("session", ""));
                            if (v != null && m.startLine().startsWith("RTSP/")) {
                                v.answered(m);
                            } else if (v != null && !m.startLinePart(0).equals("SET_PARAMETER")) {
                                send(
                                        null,
                                        HttpStyleMessage.encode(
                                                "RTSP/1.0 200 OK",
                                                Map.of("CSeq", "2", "Session", v.name),
                                                new byte[0]));
                                v.cut();
                            }
                        }
                    } catch (HttpStyleMessage.MalformedMessageException e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
                    gone();
                }
            };
        }

        /** A closed connection loses the requests open on it; sessions are lost with their broker only. */
        void gone() {
            if (node.lanes[index] == this) {
                node.lanes[index] = null;
            }
            for (Viewer v : List.copyOf(on)) {
                if (v.lane == this && (!v.plays || !node.up())) {
                    v.cut();
                }
            }
        }
    }

    // ---- Viewers.

    private static final class Viewer {
        private static final String[] CLASSES = {"refresher", "cert-lesson", "audio-guide"};
        private final SocketStorm in;
        final int cls; // heeds 0: P-Back-Off, 1: Retry-After, 2: nothing, 3: doubles its wait
        final int floor;
        final int top;
        final int heeds;
        final double scale;
        final long until;
        final long patience;
        final String id;
        String name;
        BrokerNode node;
        ViewerConnection lane;
        int rung;
        long wait = 500;
        boolean plays;

        Viewer(SocketStorm in) {
            this.in = in;
            cls = in.random.nextDouble() < .3 ? 0 : in.random.nextDouble() < .36 ? 1 : 2;
            floor = cls == 1 ? 1 : 0;
            top = in.random.nextDouble() < .26 ? 2 : 4;
            scale = cls == 2 ? .7 : 1;
            patience = cls == 1 ? 4000 : 3000;
            heeds = in.random.nextInt(4);
            until = in.clock.now() + 8_000_000 + in.random.nextLong(12_000_000);
            id = "v" + in.viewers.size();
        }

        static Viewer of(List<Viewer> all, String name) {
            return name.length() != 16
                    ? null
                    : all.get((int) (Long.parseLong(name.substring(0, 8), 16))).mine(name);
        }

        private Viewer mine(String session) {
            return session.equals(name) ? this : null;
        }

        void ask(boolean again) {
            if (in.clock.now() > until - 1_000_000 || in.clock.now() > in.ends) {
                return;
            }
            in.tries++;
            node = in.nodes.get(in.random.nextInt(BROKERS));
            if (!node.up() && in.clock.now() > node.noticed) {
                List<BrokerNode> up = in.nodes.stream().filter(BrokerNode::up).toList();
                node = up.get(in.random.nextInt(up.size()));
            }
            name = String.format("%08x%08x", Integer.parseInt(id.substring(1)), ++in.names);
            Map<String, String> h = new LinkedHashMap<>();
            h.put("CSeq", "1");
            h.put("Session", name);
            h.put("Priority-Class", CLASSES[cls]);
            h.put("Expires-Ms", Long.toString(patience));
            h.put("Expected-Ms", Long.toString((until - in.clock.now()) / 1000));
            if (again) {
                h.put("P-Repeat", "1");
            }
            h.put("P-Trunk-Info", "home:0;copies:3;top:" + top + ";viewer:" + id + (again ? ";again:1" : ""));
            String asked = name;
            node.send(
                    this,
                    HttpStyleMessage.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", h, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            in.after(patience + 300, () -> {
                if (asked.equals(name) && !plays) {
                    in.unanswered += node.up() ? 1 : 0;
                    cut();
                }
            });
        }

        void answered(HttpStyleMessage m) {
            if (m.status() == 200) {
                plays = true;
                in.after((until - in.clock.now()) / 1000, this::over);
                return;
            }
            boolean no = m.status() == 453 || m.status() == 503;
            in.refused += no ? 1 : 0;
            in.failed += no ? 0 : 1;
            name = null;
            long own = 740 + in.random.nextLong(2160);
            String millis = m.header("p-back-off");
            String seconds = m.header("retry-after");
            long back = heeds == 0 && millis != null
                    ? Long.parseLong(millis)
                    : heeds == 1 && seconds != null ? 1000 * Long.parseLong(seconds) : heeds == 3 ? wait : own;
            wait *= 2;
            if (no || cls != 1) {
                in.after(back, () -> ask(true));
            }
        }

        private void over() {
            if (plays && name != null) {
                String was = name;
                in.boxes.forEach(b -> b.over(was));
                name = null;
                plays = false;
            }
        }

        /** Its session or request was lost. */
        void cut() {
            boolean again = plays || cls != 1; // a paid request that was lost may have run
            plays = false;
            name = null;
            if (again) {
                in.after(740 + in.random.nextLong(2160), () -> ask(true));
            }
        }
    }

    // ---- The run.

    private static int free() {
        try (ServerSocket s = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String config(BrokerNode n, List<Integer> peerPorts) {
        JsonObject c = JsonParser.parseString(TEMPLATE).getAsJsonObject();
        c.addProperty("name", "n" + n.me);
        c.addProperty("listen", "127.0.0.1:" + n.port);
        c.addProperty("seed", String.format("%016x", random.nextLong()));
        c.addProperty("peer_listen", "127.0.0.1:" + n.peerPort);
        peerPorts.forEach(p -> c.getAsJsonArray("peers").add("127.0.0.1:" + p));
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < BOXES; i++) {
            members.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{'id':'s-%d','host_port':'127.0.0.1:%d',"
                                    + "'locality':'east','flavor':'std','cell':%d,'phase':'active','size':1}",
                            i,
                            boxes.get(i).port,
                            i % 3));
        }
        c.add(
                "known",
                JsonParser.parseString("{'rev':2,'notices':[{'rev':1,'pool':{'complete':true,'members':[" + members
                        + "]}},{'rev':2,'pool':{'complete':false,'members':[]}}]}"));
        JsonObject s = c.getAsJsonObject("settings");
        s.addProperty("me", n.me);
        s.getAsJsonObject("family_info").addProperty("links_kb", LINK * BOXES);
        return c.toString();
    }

    private static final String TEMPLATE = "{'limits':{'cores':1,'memory_mb':192,'sockets':512},'peers':[],'settings':{"
            + "'balancers':3,'zone':'east','classes':["
            + "{'name':'refresher','effect':'idempotent','goal_time':800,'deadline':3000,'points':1},"
            + "{'name':'cert-lesson','effect':'at_most_once','goal_time':1000,'deadline':4000,'points':3},"
            + "{'name':'audio-guide','effect':'idempotent','goal_time':1500,'deadline':3000,'points':1}],"
            + "'family_info':{'cabinets':2,'cells':3,'class_scale':[1,1,0.7],'class_seats':[0,0,0],'kind_slots':[110],"
            + "'level_worth':[0.17,0.41,0.62,0.81,1.0],'lowest_rung':[0,1,0],'rates_kb':[255,425,706,1174,1951],"
            + "'top_by_class':[4,4,4],'uplink_kb':0,'weight_kb':30000,'reports_every':1000,'see':50,'stall':7,"
            + "'switch_cost_s':0.49},'invariants':{'warm_up':12000,'cold_from':0.4,'drain_grace':1000,'tip_multiple':2.5,"
            + "'fall':2000},'kinds':['std'],'limits':{'try_limit':5,'connect_timeout':250,'idle_close':30000,'peers':true,"
            + "'retry_after':true,'max_retry_after':2000},'prices':{},'report':{'fields':['busy_reqs','x0']}}}";

    private void measure() {
        int sec = second();
        for (Viewer v : viewers) {
            if (clock.now() < v.until && sec < offered.length) {
                double worth = v.cls == 1 ? 3 : 1;
                offered[sec] += worth * WORTHS[v.top];
                earned[sec] += v.plays ? worth * WORTHS[Math.min(v.rung, v.top)] : 0;
            }
        }
        if (clock.now() < ends) {
            after(100, this::measure);
        }
    }

    private void arrive(double perSecond) {
        if (clock.now() < ends) {
            Viewer v = new Viewer(this);
            viewers.add(v);
            v.ask(false);
            after(Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1000)), () -> arrive(perSecond));
        }
    }

    private double[] play(int seconds, double perSecond, int killAt, int backAt) throws Exception {
        clock = net.callOnLoop(() -> new LoopClock(net.loop()));
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < BOXES; i++) {
            StubEdgeServer b = new StubEdgeServer();
            boxes.add(b);
            b.port = ((InetSocketAddress)
                            net.listen(new InetSocketAddress("127.0.0.1", 0), () -> b.new EdgeConnection())
                                    .sync()
                                    .channel()
                                    .localAddress())
                    .getPort();
        }
        for (int i = 0; i < BROKERS; i++) {
            peerPorts.add(free());
            nodes.add(new BrokerNode(i, peerPorts.get(i)));
        }
        for (BrokerNode n : nodes) {
            n.begin(peerPorts);
        }
        Thread.sleep(2500); // a measurement, no test: the brokers come up
        net.callOnLoop(() -> {
            for (BrokerNode n : nodes) { // starting costs the same each time, and is no part of the overhead
                used = used.minus(n.process.info().totalCpuDuration().orElse(Duration.ZERO));
            }
            start = clock.now();
            ends = start + seconds * 1_000_000L;
            boxes.forEach(StubEdgeServer::tell);
            arrive(perSecond);
            measure();
            if (killAt > 0) {
                after(killAt * 1000L, () -> nodes.get(0).kill());
                after(backAt * 1000L, () -> {
                    try {
                        nodes.get(0).begin(peerPorts);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
            }
            return null;
        });
        Thread.sleep(seconds * 1000L + 200);
        double[] out = net.callOnLoop(() -> {
            double worst = 1;
            double asked = 0;
            double got = 0;
            for (int i = 10; i + 5 < seconds; i++) {
                double a = 0;
                double e = 0;
                for (int j = i; j < i + 5; j++) {
                    a += offered[j];
                    e += earned[j];
                }
                worst = Math.min(worst, e / a);
                asked += offered[i];
                got += earned[i];
            }
            nodes.stream().filter(BrokerNode::up).forEach(BrokerNode::kill);
            return new double[] {worst, got / asked, tries / (double) viewers.size(), used.toMillis(), viewers.size()};
        });
        net.close();
        System.out.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %d | %d | %d | %.2f | %.0f | %d | %d |%n",
                (conf == null ? "off" : "on") + (killAt > 0 ? ", outage" : ", calm"),
                out[0],
                out[1],
                viewers.size(),
                refused,
                failed,
                out[2],
                out[3],
                paidTwice,
                unanswered);
        return out;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = List.of(args).contains("--quick");
        Path dir = Files.createTempDirectory("socket-storm");
        System.out.println(
                "| run | worst 5 s | whole | viewers | refused | failed | tries a viewer | processor after the start, ms | paid twice | "
                        + "unanswered |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        String conf =
                Files.writeString(dir.resolve("storm.conf"), "storm {\n}\n").toString();
        int seconds = quick ? 16 : 45;
        int at = quick ? 8 : 15;
        double[][] seen = new double[2][];
        double[][] calm = new double[2][];
        int twice = 0;
        int unanswered = 0;
        for (int on = 0; on < 2 && !List.of(args).contains("--calm"); on++) {
            SocketStorm s = new SocketStorm(dir, on == 0 ? null : conf);
            seen[on] = s.play(seconds, 45, at, at + 4);
            twice += s.paidTwice;
            unanswered += s.unanswered;
        }
        for (int on = 0; on < 2 && !quick; on++) {
            calm[on] = new SocketStorm(dir, on == 0 ? null : conf).play(seconds, 20, 0, 0);
        }
        if (seen[0] == null) {
            System.out.printf(Locale.ROOT, "storm-sockets overhead=%.3f%n", calm[1][3] / calm[0][3] - 1);
            System.exit(0);
        }
        System.out.printf(
                Locale.ROOT,
                "storm-sockets worst5_on=%.3f worst5_off=%.3f tries_on=%.2f tries_off=%.2f viewers=%.0f "
                        + "overhead=%s paid_twice=%d unanswered=%d%n",
                seen[1][0],
                seen[0][0],
                seen[1][2],
                seen[0][2],
                seen[1][4],
                quick ? "unmeasured" : String.format(Locale.ROOT, "%.3f", calm[1][3] / calm[0][3] - 1),
                twice,
                unanswered);
        System.exit(0);
    }
}
