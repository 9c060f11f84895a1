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
    private static final double LINK_KB_S = 30_000;
    private static final int BROKERS = 3;
    private static final int EDGE_SERVERS = 12;
    private static final int CONNECTIONS_PER_BROKER = 4;

    private final Net net = new Net();
    private final SplittableRandom random = new SplittableRandom(17);
    private final Path dir;
    private final String conf; // null: without the part
    private final List<StubEdgeServer> edgeServers = new ArrayList<>();
    private final List<BrokerNode> brokers = new ArrayList<>();
    private final List<Viewer> viewers = new ArrayList<>();
    private final Set<String> executedSetUps = new HashSet<>();
    private final double[] offeredBySecond = new double[300];
    private final double[] earnedBySecond = new double[300];
    private LoopClock clock;
    private long startedAt;
    private long endsAt;
    private int requests;
    private int refused;
    private int failed;
    private int duplicatePaidSetUps;
    private int unanswered;
    private int lastRequestId;
    private Duration cpuTime = Duration.ZERO;

    private SocketStorm(Path dir, String conf) {
        this.dir = dir;
        this.conf = conf;
    }

    private void schedule(long millis, Runnable what) {
        net.loop().schedule(what, millis, TimeUnit.MILLISECONDS);
    }

    private int second() {
        return (int) ((clock.now() - startedAt) / 1_000_000);
    }

    // ---- Boxes.

    private final class StubEdgeServer {
        final Map<String, Viewer> sessions = new HashMap<>();
        final Map<String, EdgeConnection> connectionBySession = new HashMap<>();
        int port;

        double linkLoad() {
            return sessions.values().stream()
                            .mapToDouble(v -> RATES[v.rendition] * v.scale)
                            .sum()
                    / LINK_KB_S;
        }

        private final class EdgeConnection extends ByteHandler {
            private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
            private Channel channel;

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                channel = ctx.channel();
            }

            @Override
            protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
                for (byte b : bytes) {
                    if (b != '\n') {
                        partialLine.write(b);
                        continue;
                    }
                    JsonObject m = JsonParser.parseString(partialLine.toString(StandardCharsets.UTF_8))
                            .getAsJsonObject();
                    partialLine.reset();
                    handle(m, m.get("id").getAsString());
                }
            }

            private void handle(JsonObject m, String id) {
                switch (m.get("type").getAsString()) {
                    case "ping" -> send("pong", id, 1, "", null);
                    case "setup" -> {
                        JsonObject f = m.getAsJsonObject("fields");
                        if (!executedSetUps.add(id)
                                && f.get("class").getAsString().equals("cert-lesson")) {
                            duplicatePaidSetUps++;
                        }
                        Viewer v = Viewer.find(viewers, id);
                        if (v != null) {
                            v.rendition = f.has("rung") ? f.get("rung").getAsInt() : v.lowestRendition;
                            sessions.put(id, v);
                            connectionBySession.put(id, this);
                            schedule(20, () -> {
                                send(
                                        "answer",
                                        id,
                                        -1,
                                        "\"load\":\"" + loadReport() + "\"",
                                        m.get("sdp").getAsString());
                                sendMetric(id);
                            });
                        }
                    }
                    case "rate" -> {
                        if (sessions.containsKey(id)) {
                            sessions.get(id).rendition =
                                    m.getAsJsonObject("fields").get("rung").getAsInt();
                        }
                    }
                    case "release" -> {
                        sessions.remove(id);
                        connectionBySession.remove(id);
                    }
                    default -> {}
                }
            }

            private String loadReport() {
                return "busy_reqs:" + sessions.size() + ";x0:" + String.format(Locale.ROOT, "%.4f", linkLoad());
            }

            void sendMetric(String id) {
                send(
                        "note",
                        id,
                        -1,
                        String.format(Locale.ROOT, "\"note\":\"local\",\"value\":\"%.4f\"", linkLoad()),
                        null);
            }

            void send(String type, String id, int cause, String fields, String sdp) {
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
                List<String> gone = connectionBySession.entrySet().stream()
                        .filter(e -> e.getValue() == this)
                        .map(Map.Entry::getKey)
                        .toList();
                gone.forEach(id -> {
                    connectionBySession.remove(id);
                    if (!sessions.get(id).broker.isUp()) {
                        sessions.remove(id);
                    }
                });
            }
        }

        void reportLoads() {
            Map<EdgeConnection, String> one = new HashMap<>();
            connectionBySession.forEach((id, line) -> one.put(line, id));
            one.forEach(EdgeConnection::sendMetric);
            schedule(1000, this::reportLoads);
        }

        /** The session has come to its natural end. */
        void endSession(String id) {
            EdgeConnection l = connectionBySession.remove(id);
            sessions.remove(id);
            if (l != null) {
                l.send("release", id, 16, "", null);
            }
        }
    }

    // ---- Brokers.

    private final class BrokerNode {
        final int number;
        final int port = freePort();
        final int peerPort;
        final ViewerConnection[] connections = new ViewerConnection[CONNECTIONS_PER_BROKER];
        Process process;
        long failureNoticedAt;

        BrokerNode(int me, int peerPort) {
            this.number = me;
            this.peerPort = peerPort;
        }

        boolean isUp() {
            return process != null;
        }

        void start(List<Integer> peerPorts) throws IOException {
            Path file = dir.resolve("broker" + number + ".json");
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
                            dir.resolve("broker" + number + ".log").toFile()));
            b.environment().put("EDGE_CONFIG", file.toString());
            process = b.start();
        }

        void kill() {
            cpuTime = cpuTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO));
            process.destroyForcibly();
            process = null;
            failureNoticedAt = clock.now() + 1_200_000 + random.nextLong(2_200_000);
        }

        void send(Viewer v, byte[] bytes) {
            int i = random.nextInt(CONNECTIONS_PER_BROKER);
            if (connections[i] != null) {
                connections[i].openViewers.removeIf(o -> o.connection != connections[i] || o.requestId == null);
            }
            if (connections[i] == null) {
                connections[i] = new ViewerConnection(this, i);
                net.connect(new InetSocketAddress("127.0.0.1", port), 500, connections[i]::handler)
                        .addListener(done -> {
                            if (!done.isSuccess()) {
                                connections[i].connectionLost();
                            }
                        });
            }
            connections[i].send(v, bytes);
        }
    }

    /** A connection that carries many viewers. */
    private final class ViewerConnection {
        final BrokerNode broker;
        final int index;
        final Set<Viewer> openViewers = new HashSet<>();
        final ByteArrayOutputStream pendingOutput = new ByteArrayOutputStream();
        Channel channel;

        ViewerConnection(BrokerNode node, int index) {
            this.broker = node;
            this.index = index;
        }

        void send(Viewer v, byte[] bytes) {
            if (v != null) {
                openViewers.add(v);
                v.connection = this;
            }
            if (channel == null) {
                pendingOutput.writeBytes(bytes);
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
                    channel.writeAndFlush(Net.toByteBuf(pendingOutput.toByteArray()));
                }

                @Override
                protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
                    decoder.add(bytes, 0, bytes.length);
                    try {
                        for (HttpStyleMessage m = decoder.next(); m != null; m = decoder.next()) {
                            Viewer v = Viewer.find(viewers, m.header("session", ""));
                            if (v != null && m.startLine().startsWith("RTSP/")) {
                                v.answered(m);
                            } else if (v != null && !m.startLinePart(0).equals("SET_PARAMETER")) {
                                send(
                                        null,
                                        HttpStyleMessage.encode(
                                                "RTSP/1.0 200 OK",
                                                Map.of("CSeq", "2", "Session", v.requestId),
                                                new byte[0]));
                                v.connectionLost();
                            }
                        }
                    } catch (HttpStyleMessage.MalformedMessageException e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
                    connectionLost();
                }
            };
        }

        /** A closed connection loses the requests open on it; sessions are lost with their broker only. */
        void connectionLost() {
            if (broker.connections[index] == this) {
                broker.connections[index] = null;
            }
            for (Viewer v : List.copyOf(openViewers)) {
                if (v.connection == this && (!v.playing || !broker.isUp())) {
                    v.connectionLost();
                }
            }
        }
    }

    // ---- Viewers.

    private static final class Viewer {
        private static final String[] CLASSES = {"refresher", "cert-lesson", "audio-guide"};
        private final SocketStorm storm;
        final int classIndex; // heeds 0: P-Back-Off, 1: Retry-After, 2: nothing, 3: doubles its wait
        final int lowestRendition;
        final int highestRendition;
        final int retryPolicy;
        final double scale;
        final long leavesAt;
        final long deadlineMillis;
        final String id;
        String requestId;
        BrokerNode broker;
        ViewerConnection connection;
        int rendition;
        long backoffMillis = 500;
        boolean playing;

        Viewer(SocketStorm in) {
            this.storm = in;
            classIndex = in.random.nextDouble() < .3 ? 0 : in.random.nextDouble() < .36 ? 1 : 2;
            lowestRendition = classIndex == 1 ? 1 : 0;
            highestRendition = in.random.nextDouble() < .26 ? 2 : 4;
            scale = classIndex == 2 ? .7 : 1;
            deadlineMillis = classIndex == 1 ? 4000 : 3000;
            retryPolicy = in.random.nextInt(4);
            leavesAt = in.clock.now() + 8_000_000 + in.random.nextLong(12_000_000);
            id = "v" + in.viewers.size();
        }

        static Viewer find(List<Viewer> all, String name) {
            return name.length() != 16
                    ? null
                    : all.get((int) (Long.parseLong(name.substring(0, 8), 16))).ifCurrent(name);
        }

        private Viewer ifCurrent(String session) {
            return session.equals(requestId) ? this : null;
        }

        void sendRequest(boolean again) {
            if (storm.clock.now() > leavesAt - 1_000_000 || storm.clock.now() > storm.endsAt) {
                return;
            }
            storm.requests++;
            broker = storm.brokers.get(storm.random.nextInt(BROKERS));
            if (!broker.isUp() && storm.clock.now() > broker.failureNoticedAt) {
                List<BrokerNode> up =
                        storm.brokers.stream().filter(BrokerNode::isUp).toList();
                broker = up.get(storm.random.nextInt(up.size()));
            }
            requestId = String.format("%08x%08x", Integer.parseInt(id.substring(1)), ++storm.lastRequestId);
            Map<String, String> h = new LinkedHashMap<>();
            h.put("CSeq", "1");
            h.put("Session", requestId);
            h.put("Priority-Class", CLASSES[classIndex]);
            h.put("Expires-Ms", Long.toString(deadlineMillis));
            h.put("Expected-Ms", Long.toString((leavesAt - storm.clock.now()) / 1000));
            if (again) {
                h.put("P-Repeat", "1");
            }
            h.put(
                    "P-Trunk-Info",
                    "home:0;copies:3;top:" + highestRendition + ";viewer:" + id + (again ? ";again:1" : ""));
            String asked = requestId;
            broker.send(
                    this,
                    HttpStyleMessage.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", h, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            storm.schedule(deadlineMillis + 300, () -> {
                if (asked.equals(requestId) && !playing) {
                    storm.unanswered += broker.isUp() ? 1 : 0;
                    connectionLost();
                }
            });
        }

        void answered(HttpStyleMessage m) {
            if (m.status() == 200) {
                playing = true;
                storm.schedule((leavesAt - storm.clock.now()) / 1000, this::leave);
                return;
            }
            boolean no = m.status() == 453 || m.status() == 503;
            storm.refused += no ? 1 : 0;
            storm.failed += no ? 0 : 1;
            requestId = null;
            long own = 740 + storm.random.nextLong(2160);
            String millis = m.header("p-back-off");
            String seconds = m.header("retry-after");
            long back = retryPolicy == 0 && millis != null
                    ? Long.parseLong(millis)
                    : retryPolicy == 1 && seconds != null
                            ? 1000 * Long.parseLong(seconds)
                            : retryPolicy == 3 ? backoffMillis : own;
            backoffMillis *= 2;
            if (no || classIndex != 1) {
                storm.schedule(back, () -> sendRequest(true));
            }
        }

        private void leave() {
            if (playing && requestId != null) {
                String was = requestId;
                storm.edgeServers.forEach(b -> b.endSession(was));
                requestId = null;
                playing = false;
            }
        }

        /** Its session or request was lost. */
        void connectionLost() {
            boolean again = playing || classIndex != 1; // a paid request that was lost may have run
            playing = false;
            requestId = null;
            if (again) {
                storm.schedule(740 + storm.random.nextLong(2160), () -> sendRequest(true));
            }
        }
    }

    // ---- The run.

    private static int freePort() {
        try (ServerSocket s = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String config(BrokerNode n, List<Integer> peerPorts) {
        JsonObject c = JsonParser.parseString(TEMPLATE).getAsJsonObject();
        c.addProperty("name", "n" + n.number);
        c.addProperty("listen", "127.0.0.1:" + n.port);
        c.addProperty("seed", String.format("%016x", random.nextLong()));
        c.addProperty("peer_listen", "127.0.0.1:" + n.peerPort);
        peerPorts.forEach(p -> c.getAsJsonArray("peers").add("127.0.0.1:" + p));
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < EDGE_SERVERS; i++) {
            members.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{'id':'s-%d','host_port':'127.0.0.1:%d',"
                                    + "'locality':'east','flavor':'std','cell':%d,'phase':'active','size':1}",
                            i,
                            edgeServers.get(i).port,
                            i % 3));
        }
        c.add(
                "known",
                JsonParser.parseString("{'rev':2,'notices':[{'rev':1,'pool':{'complete':true,'members':[" + members
                        + "]}},{'rev':2,'pool':{'complete':false,'members':[]}}]}"));
        JsonObject s = c.getAsJsonObject("settings");
        s.addProperty("me", n.number);
        s.getAsJsonObject("family_info").addProperty("links_kb", LINK_KB_S * EDGE_SERVERS);
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
            if (clock.now() < v.leavesAt && sec < offeredBySecond.length) {
                double worth = v.classIndex == 1 ? 3 : 1;
                offeredBySecond[sec] += worth * WORTHS[v.highestRendition];
                earnedBySecond[sec] += v.playing ? worth * WORTHS[Math.min(v.rendition, v.highestRendition)] : 0;
            }
        }
        if (clock.now() < endsAt) {
            schedule(100, this::measure);
        }
    }

    private void addViewer(double perSecond) {
        if (clock.now() < endsAt) {
            Viewer v = new Viewer(this);
            viewers.add(v);
            v.sendRequest(false);
            schedule(
                    Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1000)),
                    () -> addViewer(perSecond));
        }
    }

    private double[] run(int seconds, double perSecond, int killAt, int backAt) throws Exception {
        clock = net.callOnLoop(() -> new LoopClock(net.loop()));
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < EDGE_SERVERS; i++) {
            StubEdgeServer b = new StubEdgeServer();
            edgeServers.add(b);
            b.port = ((InetSocketAddress)
                            net.listen(new InetSocketAddress("127.0.0.1", 0), () -> b.new EdgeConnection())
                                    .sync()
                                    .channel()
                                    .localAddress())
                    .getPort();
        }
        for (int i = 0; i < BROKERS; i++) {
            peerPorts.add(freePort());
            brokers.add(new BrokerNode(i, peerPorts.get(i)));
        }
        for (BrokerNode n : brokers) {
            n.start(peerPorts);
        }
        Thread.sleep(2500); // a measurement, no test: the brokers come up
        net.callOnLoop(() -> {
            for (BrokerNode n : brokers) { // starting costs the same each time, and is no part of the overhead
                cpuTime = cpuTime.minus(n.process.info().totalCpuDuration().orElse(Duration.ZERO));
            }
            startedAt = clock.now();
            endsAt = startedAt + seconds * 1_000_000L;
            edgeServers.forEach(StubEdgeServer::reportLoads);
            addViewer(perSecond);
            measure();
            if (killAt > 0) {
                schedule(killAt * 1000L, () -> brokers.get(0).kill());
                schedule(backAt * 1000L, () -> {
                    try {
                        brokers.get(0).start(peerPorts);
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
                    a += offeredBySecond[j];
                    e += earnedBySecond[j];
                }
                worst = Math.min(worst, e / a);
                asked += offeredBySecond[i];
                got += earnedBySecond[i];
            }
            brokers.stream().filter(BrokerNode::isUp).forEach(BrokerNode::kill);
            return new double[] {
                worst, got / asked, requests / (double) viewers.size(), cpuTime.toMillis(), viewers.size()
            };
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
                duplicatePaidSetUps,
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
            seen[on] = s.run(seconds, 45, at, at + 4);
            twice += s.duplicatePaidSetUps;
            unanswered += s.unanswered;
        }
        for (int on = 0; on < 2 && !quick; on++) {
            calm[on] = new SocketStorm(dir, on == 0 ? null : conf).run(seconds, 20, 0, 0);
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
