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
 * Measures a retry storm on loopback sockets: three brokers run as processes, edge servers and viewers in this process. The
 * first broker is killed and started again. Each run is made without and with the retry storm filter.
 */
public final class SocketStorm {
    private static final double[] RATES = {255, 425, 706, 1174, 1951};
    private static final double[] WORTHS = {.17, .41, .62, .81, 1};
    private static final double LINK_KB_S = 30_000; // of each edge server
    private static final int BROKERS = 3;
    private static final int EDGE_SERVERS = 12;
    private static final int CONNECTIONS_PER_BROKER = 4;

    private final Net net = new Net();
    private final SplittableRandom random = new SplittableRandom(17);
    private final Path dir;
    private final String operatorFile; // null: without the retry storm filter
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

    private SocketStorm(Path dir, String operatorFile) {
        this.dir = dir;
        this.operatorFile = operatorFile;
    }

    private void schedule(long millis, Runnable action) {
        net.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private int second() {
        return (int) ((clock.now() - startedAt) / 1_000_000);
    }

    // ---- Edge servers.

    /** An edge server that answers every set-up and reports the load of its link. */
    private final class StubEdgeServer {
        final Map<String, Viewer> sessions = new HashMap<>();
        final Map<String, EdgeConnection> connectionBySession = new HashMap<>();
        int port;

        double linkLoad() {
            return sessions.values().stream()
                            .mapToDouble(viewer -> RATES[viewer.rendition] * viewer.scale)
                            .sum()
                    / LINK_KB_S;
        }

        private final class EdgeConnection extends ByteHandler {
            private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
            private Channel channel;

            @Override
            public void channelActive(ChannelHandlerContext context) {
                channel = context.channel();
            }

            @Override
            protected void onBytes(ChannelHandlerContext context, byte[] bytes) {
                for (byte character : bytes) {
                    if (character != '\n') {
                        partialLine.write(character);
                        continue;
                    }
                    JsonObject message = JsonParser.parseString(partialLine.toString(StandardCharsets.UTF_8))
                            .getAsJsonObject();
                    partialLine.reset();
                    handle(message, message.get("id").getAsString());
                }
            }

            private void handle(JsonObject message, String session) {
                switch (message.get("type").getAsString()) {
                    case "ping" -> send("pong", session, 1, "", null);
                    case "setup" -> {
                        JsonObject fields = message.getAsJsonObject("fields");
                        if (!executedSetUps.add(session)
                                && fields.get("class").getAsString().equals("cert-lesson")) {
                            duplicatePaidSetUps++;
                        }
                        Viewer viewer = Viewer.find(viewers, session);
                        if (viewer != null) {
                            viewer.rendition =
                                    fields.has("rung") ? fields.get("rung").getAsInt() : viewer.lowestRendition;
                            sessions.put(session, viewer);
                            connectionBySession.put(session, this);
                            schedule(20, () -> {
                                send(
                                        "answer",
                                        session,
                                        -1,
                                        "\"load\":\"" + loadReport() + "\"",
                                        message.get("sdp").getAsString());
                                sendMetric(session);
                            });
                        }
                    }
                    case "rate" -> {
                        if (sessions.containsKey(session)) {
                            sessions.get(session).rendition = message.getAsJsonObject("fields")
                                    .get("rung")
                                    .getAsInt();
                        }
                    }
                    case "release" -> {
                        sessions.remove(session);
                        connectionBySession.remove(session);
                    }
                    default -> {}
                }
            }

            private String loadReport() {
                return "busy_reqs:" + sessions.size() + ";x0:" + String.format(Locale.ROOT, "%.4f", linkLoad());
            }

            void sendMetric(String session) {
                send(
                        "note",
                        session,
                        -1,
                        String.format(Locale.ROOT, "\"note\":\"local\",\"value\":\"%.4f\"", linkLoad()),
                        null);
            }

            void send(String type, String session, int cause, String fields, String sdp) {
                JsonObject message = new JsonObject();
                message.addProperty("type", type);
                message.addProperty("id", session);
                message.add("fields", JsonParser.parseString("{" + fields + "}"));
                if (cause >= 0) {
                    message.addProperty("cause", cause);
                }
                if (sdp != null) {
                    message.addProperty("sdp", sdp);
                }
                channel.writeAndFlush(Net.toByteBuf((message + "\n").getBytes(StandardCharsets.UTF_8)));
            }

            @Override
            protected void onClosed(ChannelHandlerContext context, boolean reset) {
                // Sessions end with the broker that they belong to.
                List<String> lost = connectionBySession.entrySet().stream()
                        .filter(entry -> entry.getValue() == this)
                        .map(Map.Entry::getKey)
                        .toList();
                lost.forEach(session -> {
                    connectionBySession.remove(session);
                    if (!sessions.get(session).broker.isUp()) {
                        sessions.remove(session);
                    }
                });
            }
        }

        /** Sends the load of the link once a second on every connection that carries a session. */
        void reportLoads() {
            Map<EdgeConnection, String> sessionByConnection = new HashMap<>();
            connectionBySession.forEach((session, connection) -> sessionByConnection.put(connection, session));
            sessionByConnection.forEach(EdgeConnection::sendMetric);
            schedule(1000, this::reportLoads);
        }

        /** Ends a session whose viewer has watched to the end. */
        void endSession(String session) {
            EdgeConnection connection = connectionBySession.remove(session);
            sessions.remove(session);
            if (connection != null) {
                connection.send("release", session, 16, "", null);
            }
        }
    }

    // ---- Brokers.

    /** A broker that runs as a process, and its connections from viewers. */
    private final class BrokerNode {
        final int number;
        final int port = freePort();
        final int peerPort;
        final ViewerConnection[] connections = new ViewerConnection[CONNECTIONS_PER_BROKER];
        Process process;
        long failureNoticedAt;

        BrokerNode(int number, int peerPort) {
            this.number = number;
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
            if (operatorFile != null) {
                command.addAll(List.of("--conf", operatorFile));
            }
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            dir.resolve("broker" + number + ".log").toFile()));
            builder.environment().put("EDGE_CONFIG", file.toString());
            process = builder.start();
        }

        void kill() {
            cpuTime = cpuTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO));
            process.destroyForcibly();
            process = null;
            failureNoticedAt = clock.now() + 1_200_000 + random.nextLong(2_200_000);
        }

        void send(Viewer viewer, byte[] bytes) {
            int index = random.nextInt(CONNECTIONS_PER_BROKER);
            if (connections[index] != null) {
                connections[index].openViewers.removeIf(
                        other -> other.connection != connections[index] || other.requestId == null);
            }
            if (connections[index] == null) {
                connections[index] = new ViewerConnection(this, index);
                net.connect(new InetSocketAddress("127.0.0.1", port), 500, connections[index]::handler)
                        .addListener(connected -> {
                            if (!connected.isSuccess()) {
                                connections[index].connectionLost();
                            }
                        });
            }
            connections[index].send(viewer, bytes);
        }
    }

    /** A connection that carries the requests of many viewers. */
    private final class ViewerConnection {
        final BrokerNode broker;
        final int index;
        final Set<Viewer> openViewers = new HashSet<>();
        final ByteArrayOutputStream pendingOutput = new ByteArrayOutputStream();
        Channel channel;

        ViewerConnection(BrokerNode broker, int index) {
            this.broker = broker;
            this.index = index;
        }

        void send(Viewer viewer, byte[] bytes) {
            if (viewer != null) {
                openViewers.add(viewer);
                viewer.connection = this;
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
                public void channelActive(ChannelHandlerContext context) {
                    channel = context.channel();
                    channel.writeAndFlush(Net.toByteBuf(pendingOutput.toByteArray()));
                }

                @Override
                protected void onBytes(ChannelHandlerContext context, byte[] bytes) {
                    decoder.add(bytes, 0, bytes.length);
                    try {
                        for (HttpStyleMessage message = decoder.next(); message != null; message = decoder.next()) {
                            Viewer viewer = Viewer.find(viewers, message.header("session", ""));
                            if (viewer != null && message.startLine().startsWith("RTSP/")) {
                                viewer.answered(message);
                            } else if (viewer != null
                                    && !message.startLinePart(0).equals("SET_PARAMETER")) {
                                send(
                                        null,
                                        HttpStyleMessage.encode(
                                                "RTSP/1.0 200 OK",
                                                Map.of("CSeq", "2", "Session", viewer.requestId),
                                                new byte[0]));
                                viewer.connectionLost();
                            }
                        }
                    } catch (HttpStyleMessage.MalformedMessageException malformed) {
                        throw new IllegalStateException(malformed);
                    }
                }

                @Override
                protected void onClosed(ChannelHandlerContext context, boolean reset) {
                    connectionLost();
                }
            };
        }

        /** Unanswered requests are lost with their connection, sessions only with their broker. */
        void connectionLost() {
            if (broker.connections[index] == this) {
                broker.connections[index] = null;
            }
            for (Viewer viewer : List.copyOf(openViewers)) {
                if (viewer.connection == this && (!viewer.playing || !broker.isUp())) {
                    viewer.connectionLost();
                }
            }
        }
    }

    // ---- Viewers.

    private static final class Viewer {
        private static final String[] CLASSES = {"refresher", "cert-lesson", "audio-guide"};
        private final SocketStorm storm;
        final int classIndex; // in CLASSES; 1 is the paid class
        final int lowestRendition;
        final int highestRendition;
        final int retryPolicy; // 0: as P-Back-Off advises, 1: as Retry-After advises, 2: ignores advice, 3: doubles its
        // delay
        final double scale; // of the rates of its class
        final long leavesAt; // microseconds
        final long deadlineMillis;
        final String id;
        String requestId;
        BrokerNode broker;
        ViewerConnection connection;
        int rendition;
        long backoffMillis = 500;
        boolean playing;

        Viewer(SocketStorm storm) {
            this.storm = storm;
            classIndex = storm.random.nextDouble() < .3 ? 0 : storm.random.nextDouble() < .36 ? 1 : 2;
            lowestRendition = classIndex == 1 ? 1 : 0;
            highestRendition = storm.random.nextDouble() < .26 ? 2 : 4;
            scale = classIndex == 2 ? .7 : 1;
            deadlineMillis = classIndex == 1 ? 4000 : 3000;
            retryPolicy = storm.random.nextInt(4);
            leavesAt = storm.clock.now() + 8_000_000 + storm.random.nextLong(12_000_000);
            id = "v" + storm.viewers.size();
        }

        /** The viewer whose current request or session has this id; null if there is none. */
        static Viewer find(List<Viewer> viewers, String session) {
            return session.length() != 16
                    ? null
                    : viewers.get((int) (Long.parseLong(session.substring(0, 8), 16)))
                            .ifCurrent(session);
        }

        private Viewer ifCurrent(String session) {
            return session.equals(requestId) ? this : null;
        }

        void sendRequest(boolean isRetry) {
            if (storm.clock.now() > leavesAt - 1_000_000 || storm.clock.now() > storm.endsAt) {
                return;
            }
            storm.requests++;
            broker = storm.brokers.get(storm.random.nextInt(BROKERS));
            if (!broker.isUp() && storm.clock.now() > broker.failureNoticedAt) {
                List<BrokerNode> alive =
                        storm.brokers.stream().filter(BrokerNode::isUp).toList();
                broker = alive.get(storm.random.nextInt(alive.size()));
            }
            requestId = String.format("%08x%08x", Integer.parseInt(id.substring(1)), ++storm.lastRequestId);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("CSeq", "1");
            headers.put("Session", requestId);
            headers.put("Priority-Class", CLASSES[classIndex]);
            headers.put("Expires-Ms", Long.toString(deadlineMillis));
            headers.put("Expected-Ms", Long.toString((leavesAt - storm.clock.now()) / 1000));
            if (isRetry) {
                headers.put("P-Repeat", "1");
            }
            headers.put(
                    "P-Trunk-Info",
                    "home:0;copies:3;top:" + highestRendition + ";viewer:" + id + (isRetry ? ";again:1" : ""));
            String sentId = requestId;
            broker.send(
                    this,
                    HttpStyleMessage.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", headers, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            storm.schedule(deadlineMillis + 300, () -> {
                if (sentId.equals(requestId) && !playing) {
                    storm.unanswered += broker.isUp() ? 1 : 0;
                    connectionLost();
                }
            });
        }

        void answered(HttpStyleMessage response) {
            if (response.status() == 200) {
                playing = true;
                storm.schedule((leavesAt - storm.clock.now()) / 1000, this::leave);
                return;
            }
            boolean isRefusal = response.status() == 453 || response.status() == 503;
            storm.refused += isRefusal ? 1 : 0;
            storm.failed += isRefusal ? 0 : 1;
            requestId = null;
            long ownDelay = 740 + storm.random.nextLong(2160);
            String advisedMillis = response.header("p-back-off");
            String advisedSeconds = response.header("retry-after");
            long delay = retryPolicy == 0 && advisedMillis != null
                    ? Long.parseLong(advisedMillis)
                    : retryPolicy == 1 && advisedSeconds != null
                            ? 1000 * Long.parseLong(advisedSeconds)
                            : retryPolicy == 3 ? backoffMillis : ownDelay;
            backoffMillis *= 2;
            if (isRefusal || classIndex != 1) {
                storm.schedule(delay, () -> sendRequest(true));
            }
        }

        private void leave() {
            if (playing && requestId != null) {
                String session = requestId;
                storm.edgeServers.forEach(server -> server.endSession(session));
                requestId = null;
                playing = false;
            }
        }

        /** The session or request was lost with its connection or broker. */
        void connectionLost() {
            boolean retries = playing || classIndex != 1; // a lost paid request may have run
            playing = false;
            requestId = null;
            if (retries) {
                storm.schedule(740 + storm.random.nextLong(2160), () -> sendRequest(true));
            }
        }
    }

    // ---- The run.

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String config(BrokerNode broker, List<Integer> peerPorts) {
        JsonObject config = JsonParser.parseString(TEMPLATE).getAsJsonObject();
        config.addProperty("name", "n" + broker.number);
        config.addProperty("listen", "127.0.0.1:" + broker.port);
        config.addProperty("seed", String.format("%016x", random.nextLong()));
        config.addProperty("peer_listen", "127.0.0.1:" + broker.peerPort);
        peerPorts.forEach(port -> config.getAsJsonArray("peers").add("127.0.0.1:" + port));
        StringBuilder members = new StringBuilder();
        for (int index = 0; index < EDGE_SERVERS; index++) {
            members.append(index == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{'id':'s-%d','host_port':'127.0.0.1:%d',"
                                    + "'locality':'east','flavor':'std','cell':%d,'phase':'active','size':1}",
                            index,
                            edgeServers.get(index).port,
                            index % 3));
        }
        config.add(
                "known",
                JsonParser.parseString("{'rev':2,'notices':[{'rev':1,'pool':{'complete':true,'members':[" + members
                        + "]}},{'rev':2,'pool':{'complete':false,'members':[]}}]}"));
        JsonObject settings = config.getAsJsonObject("settings");
        settings.addProperty("me", broker.number);
        settings.getAsJsonObject("family_info").addProperty("links_kb", LINK_KB_S * EDGE_SERVERS);
        return config.toString();
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
        int second = second();
        for (Viewer viewer : viewers) {
            if (clock.now() < viewer.leavesAt && second < offeredBySecond.length) {
                double classWorth = viewer.classIndex == 1 ? 3 : 1;
                offeredBySecond[second] += classWorth * WORTHS[viewer.highestRendition];
                earnedBySecond[second] +=
                        viewer.playing ? classWorth * WORTHS[Math.min(viewer.rendition, viewer.highestRendition)] : 0;
            }
        }
        if (clock.now() < endsAt) {
            schedule(100, this::measure);
        }
    }

    private void addViewer(double perSecond) {
        if (clock.now() < endsAt) {
            Viewer viewer = new Viewer(this);
            viewers.add(viewer);
            viewer.sendRequest(false);
            schedule(
                    Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1000)),
                    () -> addViewer(perSecond));
        }
    }

    /**
     * Runs the measurement and prints its row of the table. {@code killAtSecond} 0: no outage.
     *
     * @return the worst service ratio in 5 s, that of the whole run, requests per viewer, milliseconds of processor
     *     time of the brokers after their start, viewers
     */
    private double[] run(int seconds, double perSecond, int killAtSecond, int restartAtSecond) throws Exception {
        clock = net.callOnLoop(() -> new LoopClock(net.loop()));
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < EDGE_SERVERS; i++) {
            StubEdgeServer server = new StubEdgeServer();
            edgeServers.add(server);
            server.port = ((InetSocketAddress)
                            net.listen(new InetSocketAddress("127.0.0.1", 0), () -> server.new EdgeConnection())
                                    .sync()
                                    .channel()
                                    .localAddress())
                    .getPort();
        }
        for (int i = 0; i < BROKERS; i++) {
            peerPorts.add(freePort());
            brokers.add(new BrokerNode(i, peerPorts.get(i)));
        }
        for (BrokerNode broker : brokers) {
            broker.start(peerPorts);
        }
        Thread.sleep(2500); // time for the brokers to start; this is a measurement, not a test
        net.callOnLoop(() -> {
            for (BrokerNode broker :
                    brokers) { // the cost of starting is the same in every run, and not part of the overhead
                cpuTime = cpuTime.minus(broker.process.info().totalCpuDuration().orElse(Duration.ZERO));
            }
            startedAt = clock.now();
            endsAt = startedAt + seconds * 1_000_000L;
            edgeServers.forEach(StubEdgeServer::reportLoads);
            addViewer(perSecond);
            measure();
            if (killAtSecond > 0) {
                schedule(killAtSecond * 1000L, () -> brokers.get(0).kill());
                schedule(restartAtSecond * 1000L, () -> {
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
        double[] results = net.callOnLoop(() -> {
            double worst = 1;
            double offered = 0;
            double earned = 0;
            for (int i = 10; i + 5 < seconds; i++) {
                double offeredWorth = 0;
                double earnedWorth = 0;
                for (int j = i; j < i + 5; j++) {
                    offeredWorth += offeredBySecond[j];
                    earnedWorth += earnedBySecond[j];
                }
                worst = Math.min(worst, earnedWorth / offeredWorth);
                offered += offeredBySecond[i];
                earned += earnedBySecond[i];
            }
            brokers.stream().filter(BrokerNode::isUp).forEach(BrokerNode::kill);
            return new double[] {
                worst, earned / offered, requests / (double) viewers.size(), cpuTime.toMillis(), viewers.size()
            };
        });
        net.close();
        System.out.printf(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %d | %d | %d | %.2f | %.0f | %d | %d |%n",
                (operatorFile == null ? "off" : "on") + (killAtSecond > 0 ? ", outage" : ", calm"),
                results[0],
                results[1],
                viewers.size(),
                refused,
                failed,
                results[2],
                results[3],
                duplicatePaidSetUps,
                unanswered);
        return results;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = List.of(args).contains("--quick");
        Path dir = Files.createTempDirectory("socket-storm");
        System.out.println(
                "| run | worst 5 s | whole | viewers | refused | failed | tries a viewer | processor after the start, ms | paid twice | "
                        + "unanswered |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        String operatorFile =
                Files.writeString(dir.resolve("storm.conf"), "storm {\n}\n").toString();
        int seconds = quick ? 16 : 45;
        int killAtSecond = quick ? 8 : 15;
        double[][] outage = new double[2][];
        double[][] calm = new double[2][];
        int paidTwice = 0;
        int unanswered = 0;
        for (int withFilter = 0; withFilter < 2 && !List.of(args).contains("--calm"); withFilter++) {
            SocketStorm storm = new SocketStorm(dir, withFilter == 0 ? null : operatorFile);
            outage[withFilter] = storm.run(seconds, 45, killAtSecond, killAtSecond + 4);
            paidTwice += storm.duplicatePaidSetUps;
            unanswered += storm.unanswered;
        }
        for (int withFilter = 0; withFilter < 2 && !quick; withFilter++) {
            calm[withFilter] = new SocketStorm(dir, withFilter == 0 ? null : operatorFile).run(seconds, 20, 0, 0);
        }
        if (outage[0] == null) {
            System.out.printf(Locale.ROOT, "storm-sockets overhead=%.3f%n", calm[1][3] / calm[0][3] - 1);
            System.exit(0);
        }
        System.out.printf(
                Locale.ROOT,
                "storm-sockets worst5_on=%.3f worst5_off=%.3f tries_on=%.2f tries_off=%.2f viewers=%.0f "
                        + "overhead=%s paid_twice=%d unanswered=%d%n",
                outage[1][0],
                outage[0][0],
                outage[1][2],
                outage[0][2],
                outage[1][4],
                quick ? "unmeasured" : String.format(Locale.ROOT, "%.3f", calm[1][3] / calm[0][3] - 1),
                paidTwice,
                unanswered);
        System.exit(0);
    }
}
