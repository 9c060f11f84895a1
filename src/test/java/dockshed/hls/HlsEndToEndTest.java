package dockshed.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.config.HlsConfig;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.eureka.EurekaClient;
import dockshed.load.LoadReporter;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole HLS path on loopback sockets, with stand-ins for players, lesson boxes and Eureka. */
class HlsEndToEndTest {
    private static final String MASTER = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=900\nmid.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=100\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2000\ntop.m3u8\n";
    private static final String MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n0.ts\n#EXT-X-ENDLIST\n";

    /** An HTTP server that answers with whatever text the function gives for the path; null: says nothing. */
    static final class StubHttpServer implements AutoCloseable {
        final ServerSocket socket;
        final List<String> requestedPaths = java.util.Collections.synchronizedList(new ArrayList<>());
        final BlockingQueue<String> arrivals = new LinkedBlockingQueue<>();
        volatile Function<String, String> responder;

        StubHttpServer(Function<String, String> answers) throws IOException {
            this.responder = answers;
            socket = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
            Thread t = new Thread(this::serve, "stand-in");
            t.setDaemon(true);
            t.start();
        }

        private void serve() {
            while (!socket.isClosed()) {
                try {
                    Socket s = socket.accept();
                    HttpStyleMessage m = read(s.getInputStream(), new HttpStyleMessageDecoder(1 << 16));
                    requestedPaths.add(m.startLinePart(1));
                    arrivals.add(m.startLinePart(1));
                    String answer = responder.apply(m.startLinePart(1));
                    if (answer != null) {
                        s.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                        s.close();
                    }
                } catch (IOException | HttpStyleMessage.MalformedMessageException e) {
                    arrivals.add("broken");
                }
            }
        }

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static HttpStyleMessage read(InputStream in, HttpStyleMessageDecoder d)
            throws IOException, HttpStyleMessage.MalformedMessageException {
        byte[] buf = new byte[4096];
        for (HttpStyleMessage m = d.next(); ; m = d.next()) {
            if (m != null) {
                return m;
            }
            int n = in.read(buf);
            if (n < 0) {
                throw new IOException("closed before a whole message");
            }
            d.add(buf, 0, n);
        }
    }

    private final Net net = new Net();
    private final BrokerHarness stage = new BrokerHarness(); // stands in for the decisions, which the tests script
    private Director.Actions actions;
    private LoopClock clock;
    private TimerQueue deadlines;
    private Broker broker;
    private HlsEdgeServers origins;
    private HlsFront front;
    private Channel listening;
    private StubHttpServer edgeServer;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private volatile int rung = 2;
    private volatile long clockOffsetUs; // of the real time, for the front

    @BeforeEach
    void start() throws Exception {
        edgeServer = new StubHttpServer(path -> ok(path.endsWith("master.m3u8") ? MASTER : MEDIA));
        net.callOnLoop(() -> {
            clock = new LoopClock(net.loop());
            deadlines = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    stage.settings,
                    a -> {
                        actions = a;
                        return stage;
                    },
                    m -> {},
                    deadlines);
            clock.onWakeUp(broker::runDueTimers);
            origins = new HlsEdgeServers(broker, net, clock, 250, new LoadReporter(broker, deadlines, stage.settings));
            front = new HlsFront(
                    broker, origins, () -> clock.now() + clockOffsetUs, deadlines, stage.settings, 60_000_000, 50, 1);
            stage.onRequest = r -> {
                requests.add(r.id());
                actions.setRendition(r.id(), rung);
                actions.send(r.id(), "a", 0);
            };
            stage.onOutcome = id -> {
                outcomes.add(id);
                actions.fail(id);
            };
            origins.setAddresses(Map.of("a", edgeServer.address()));
            announceServer(State.UP);
            return null;
        });
        listening = net.listen(new InetSocketAddress("127.0.0.1", 0), front::accept)
                .sync()
                .channel();
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        edgeServer.close();
    }

    private void announceServer(State state) {
        broker.serversChanged(
                clock.now(), "eureka", ListScope.SNAPSHOT, List.of(new Server("a", "east", "k", 0, state, 1, 0)));
    }

    /** What a player gets. */
    private HttpStyleMessage fetch(String method, String target) throws Exception {
        try (Socket s = new Socket("127.0.0.1", ((InetSocketAddress) listening.localAddress()).getPort())) {
            s.setSoTimeout(20_000);
            s.getOutputStream()
                    .write((method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            HttpStyleMessage m = read(s.getInputStream(), new HttpStyleMessageDecoder(1 << 20));
            assertEquals(m.body().length, Integer.parseInt(m.header("content-length")), "a cut answer would show");
            return m;
        }
    }

    private HttpStyleMessage get(String target) throws Exception {
        return fetch("GET", target);
    }

    private static String lessonPath(String cls, String viewer) {
        return "/lessons/milk%20sensor/master.m3u8?class=" + cls + "&viewer=" + viewer;
    }

    private static List<String> uris(HttpStyleMessage playlist) {
        return playlist.bodyText().lines().filter(l -> !l.startsWith("#")).toList();
    }

    /** The class terms, on every playlist that was fetched: the paid class is never offered the lowest rung. */
    private static void assertWithinClassTerms(HttpStyleMessage playlist) {
        assertEquals(200, playlist.status());
        assertFalse(playlist.bodyText().contains("BANDWIDTH=100\n"), playlist.bodyText());
        assertTrue(playlist.bodyText().contains("BANDWIDTH=900\n"), playlist.bodyText());
    }

    /** A viewer that asks, and waits for as long as its connection is open. */
    private Socket sendGet(String target) throws Exception {
        Socket s = new Socket("127.0.0.1", ((InetSocketAddress) listening.localAddress()).getPort());
        s.setSoTimeout(20_000);
        s.getOutputStream().write(("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        return s;
    }

    @Test
    void whatNobodyWaitsForAnyMoreIsNotTriedAnyMoreAndAPaidOneIsKeptForWhoComesBack() throws Exception {
        stage.onRequest = r -> requests.add(r.id()); // it waits
        Socket safe = sendGet(lessonPath("safe", "v"));
        Socket again = sendGet(lessonPath("safe", "v"));
        String held = requests.take();
        Socket paid = sendGet(lessonPath("paid", "v"));
        String kept = requests.take();
        safe.close();
        again.close();
        stage.await("module gone");
        paid.close();
        assertEquals(1, net.callOnLoop(broker::unansweredRequests));
        try (Socket back = sendGet(lessonPath("paid", "v"))) {
            net.callOnLoop(() -> {
                actions.send(held, "a", 0);
                actions.setRendition(kept, 2);
                actions.send(kept, "a", 0);
                return null;
            });
            assertWithinClassTerms(read(back.getInputStream(), new HttpStyleMessageDecoder(1 << 20)));
        }
        assertEquals(1, edgeServer.requestedPaths.size());
        assertEquals(0, requests.size());
    }

    @Test
    void aPaidLessonIsSetUpOnceAndPlayedThroughItsSession() throws Exception {
        HttpStyleMessage first = get(lessonPath("paid", "v"));
        assertWithinClassTerms(first);
        assertEquals(List.of("/lessons/milk%20sensor/master.m3u8"), edgeServer.requestedPaths);
        List<String> uris = uris(first);
        assertEquals(2, uris.size());
        HttpStyleMessage media = get(uris.get(0));
        assertTrue(media.bodyText()
                .contains("\nhttp://127.0.0.1:" + edgeServer.address().getPort() + "/lessons/milk%20sensor/0.ts\n"));
        // Fetched again by the lesson's or the session's address: the same session, no second set-up.
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertWithinClassTerms(get(uris.get(0).replaceAll("[0-9]+\\.m3u8$", "master.m3u8")));
        assertEquals(uris, uris(get(lessonPath("paid", "v"))));
        assertEquals(1, requests.size());
        assertEquals(
                1,
                edgeServer.requestedPaths.stream()
                        .filter(p -> p.endsWith("master.m3u8"))
                        .count());
        // Another viewer's lesson is another session.
        assertNotEquals(uris, uris(get(lessonPath("paid", "w"))));
        assertEquals(2, requests.size());
    }

    @Test
    void aRungChangeReachesTheNextFetch() throws Exception {
        List<String> uris = uris(get(lessonPath("paid", "v")));
        String id = requests.take();
        net.callOnLoop(() -> {
            actions.setRendition(id, 1);
            return null;
        });
        HttpStyleMessage again = get(lessonPath("paid", "v"));
        assertWithinClassTerms(again);
        assertEquals(List.of(uris.get(0)), uris(again));
        edgeServer.requestedPaths.clear();
        assertEquals(200, get(uris.get(1)).status());
        assertEquals(
                List.of("/lessons/milk%20sensor/mid.m3u8"),
                edgeServer.requestedPaths,
                "the top asked for, the middle given");
    }

    @Test
    void theLowestRungCannotBeFetchedByGuessing() throws Exception {
        String session = uris(get(lessonPath("paid", "v"))).get(0).replaceAll("[0-9]+\\.m3u8$", "");
        assertEquals(404, get(session + "1.m3u8").status());
        assertEquals(404, get(session + "99.m3u8").status());
        assertFalse(edgeServer.requestedPaths.contains("/lessons/milk%20sensor/low.m3u8"));
    }

    @Test
    void afterADrainTheBoxHearsNothingNew() throws Exception {
        // The brief's hard case: a playlist fetched again after its box began to drain.
        List<String> uris = uris(get(lessonPath("paid", "v")));
        String held = get(uris.get(0)).bodyText();
        net.callOnLoop(() -> {
            announceServer(State.DRAINING);
            return null;
        });
        clockOffsetUs = 1_000_000;
        edgeServer.requestedPaths.clear();
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertEquals(held, get(uris.get(0)).bodyText());
        assertEquals(410, get(uris.get(1)).status(), "not held: a final error");
        assertEquals(410, get(uris.get(0)).status(), "and the session is over");
        assertEquals(List.of(), edgeServer.requestedPaths);
        assertEquals(1, requests.size());
    }

    @Test
    void anUnknownSessionIsNeverSetUp() throws Exception {
        assertEquals(404, get("/sessions/0123456789abcdef/master.m3u8").status());
        assertEquals(404, get("/sessions/0123456789abcdef/0.m3u8").status());
        assertEquals(404, fetch("DELETE", "/sessions/0123456789abcdef").status());
        assertEquals(0, requests.size());
    }

    @Test
    void aDeletedSessionIsGone() throws Exception {
        String uri = uris(get(lessonPath("paid", "v"))).get(0);
        assertEquals(204, fetch("DELETE", uri.replaceAll("/[0-9]+\\.m3u8$", "")).status());
        assertEquals(410, get(uri).status());
        assertEquals(0, (int) net.callOnLoop(broker::activeSessions));
    }

    @Test
    void aRefusalTellsWhenToComeBack() throws Exception {
        stage.onRequest = r -> actions.refuse(r.id(), 1_200_000);
        HttpStyleMessage m = get(lessonPath("paid", "v"));
        assertEquals(503, m.status());
        assertEquals("2", m.header("retry-after"));
    }

    @Test
    void aBoxThatSaysNothingIsATimeOutAndIsNotAskedTwice() throws Exception {
        edgeServer.responder = path -> null;
        assertEquals(504, get(lessonPath("paid", "v") + "&expires_ms=300").status());
        assertEquals(1, edgeServer.requestedPaths.size());
    }

    @Test
    void aBadUpstreamIsABadGateway() throws Exception {
        for (String answer : List.of(
                "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                ok("no playlist"),
                "garbage\r\n\r\n",
                ok(MASTER).substring(0, 70),
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                ok("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\nonly.m3u8\n"))) {
            edgeServer.responder = path -> answer;
            assertEquals(502, get(lessonPath("paid", "v")).status(), answer);
        }
        assertEquals(6, edgeServer.requestedPaths.size(), "paid: each was tried once");
        edgeServer.responder = path -> ok(path.endsWith("master.m3u8") ? MASTER : "HTTP/1.1 404 Not Found\r\n\r\n");
        assertEquals(502, get(uris(get(lessonPath("paid", "v"))).get(0)).status());
    }

    @Test
    void aMediaPlaylistElsewhereIsNotFetched() throws Exception {
        edgeServer.responder = path -> ok("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\nx\n"
                + "#EXT-X-STREAM-INF:BANDWIDTH=2\nhttp://127.0.0.1:1/other.m3u8\n");
        assertEquals(502, get(uris(get(lessonPath("paid", "v"))).get(0)).status());
    }

    @Test
    void badRequestsAreToldSo() throws Exception {
        for (String bad : List.of(
                "/lessons/t/master.m3u8",
                lessonPath("none", "v"),
                "/lessons/t/master.m3u8?class=paid",
                lessonPath("paid", "v") + "&expires_ms=soon",
                lessonPath("paid", "v") + "&expires_ms=0",
                "/lessons/%zz/master.m3u8?class=paid&viewer=v")) {
            assertEquals(400, get(bad).status(), bad);
        }
        assertEquals(404, get("/other").status());
        assertEquals(405, fetch("POST", "/lessons/t/master.m3u8").status());
        assertEquals(0, requests.size());
    }

    @Test
    void pipelinedRequestsAreAnsweredInTurnAndGarbageEndsTheConnection() throws Exception {
        try (Socket s = new Socket("127.0.0.1", ((InetSocketAddress) listening.localAddress()).getPort())) {
            s.setSoTimeout(20_000);
            s.getOutputStream()
                    .write(("GET " + lessonPath("paid", "v") + " HTTP/1.1\r\n\r\nGET /other HTTP/1.1\r\n\r\n"
                                    + "no header line\r\nat all\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            HttpStyleMessageDecoder d = new HttpStyleMessageDecoder(1 << 20);
            InputStream in = s.getInputStream();
            assertEquals(200, read(in, d).status());
            assertEquals(404, read(in, d).status());
            assertEquals(400, read(in, d).status());
            assertEquals(-1, in.read());
        }
    }

    @Test
    void aViewerWhoAsksAgainWhileWaitingSharesTheOneSetUp() throws Exception {
        CompletableFuture<String> may = new CompletableFuture<>();
        edgeServer.responder = path -> may.join();
        CompletableFuture<HttpStyleMessage> first = CompletableFuture.supplyAsync(() -> {
            try {
                return get(lessonPath("paid", "v"));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        edgeServer.arrivals.poll(20, TimeUnit.SECONDS);
        try (Socket s = new Socket("127.0.0.1", ((InetSocketAddress) listening.localAddress()).getPort())) {
            s.setSoTimeout(20_000);
            // The unknown path's answer shows that the front has taken the lesson's request before it.
            s.getOutputStream()
                    .write(("GET " + lessonPath("paid", "v") + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            assertEquals(404, get("/other").status());
            may.complete(ok(MASTER));
            assertWithinClassTerms(read(s.getInputStream(), new HttpStyleMessageDecoder(1 << 20)));
        }
        assertWithinClassTerms(first.get(20, TimeUnit.SECONDS));
        assertEquals(1, requests.size());
        assertEquals(1, edgeServer.requestedPaths.size());
    }

    @Test
    void aBoxThatLeavesTheListWhileItAnswersIsABadGateway() throws Exception {
        edgeServer.responder = path -> {
            net.callOnLoop(() -> {
                origins.setAddresses(Map.of());
                return null;
            });
            return ok(MASTER);
        };
        assertEquals(502, get(lessonPath("paid", "v")).status());
        assertEquals(0, (int) net.callOnLoop(broker::activeSessions));
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        // Players on phones vanish without a word; their connections must not use up the descriptors.
        long[] at = {0};
        TimerQueue own = new TimerQueue(t -> {});
        HlsFront f = new HlsFront(broker, origins, () -> at[0], own, stage.settings, 60_000_000, 50, 1);
        EmbeddedChannel ch = new EmbeddedChannel(f.accept());
        at[0] = 20_000_000;
        ch.writeInbound(Net.toByteBuf("GET /other HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
        at[0] = 31_000_000;
        own.runDue(at[0]);
        assertTrue(ch.isOpen(), "used eleven seconds ago");
        at[0] = 50_000_000;
        own.runDue(at[0]);
        assertFalse(ch.isOpen());
    }

    @Test
    void aLostBoxEndsItsSessions() throws Exception {
        String uri = uris(get(lessonPath("paid", "v"))).get(0);
        net.callOnLoop(() -> {
            broker.serverLost(clock.now(), origins, "a", clock.now() + 1);
            return null;
        });
        assertEquals(410, get(uri).status());
    }

    @Test
    void eurekasListIsFetchedWholeThenByDeltaAndWholeAgainOnAMismatch() throws Exception {
        String one = "{\"instanceId\":\"a\",\"app\":\"BOXES\",\"ipAddr\":\"127.0.0.1\",\"status\":\"UP\","
                + "\"actionType\":\"ADDED\",\"port\":{\"$\":9001}}";
        String two = one.replace("\"a\"", "\"b\"");
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        List<String> script = List.of(apps("UP_1_", one), apps("UP_2_", two), apps("UP_9_"), apps("UP_1_", two));
        int[] turn = {0};
        try (StubHttpServer eureka =
                new StubHttpServer(path -> turn[0] < script.size() ? ok(script.get(turn[0]++)) : null)) {
            net.callOnLoop(() -> {
                new EurekaClient(
                                new HlsConfig.Eureka(eureka.address(), "/eureka", "BOXES", 1000),
                                net,
                                clock,
                                deadlines,
                                l -> sizes.add(l.size()))
                        .start();
                return null;
            });
            List<Integer> seen = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                seen.add(sizes.poll(20, TimeUnit.SECONDS));
            }
            assertEquals(List.of(1, 2, 1), seen);
            assertEquals(
                    List.of("/eureka/apps", "/eureka/apps/delta", "/eureka/apps/delta", "/eureka/apps"),
                    List.copyOf(eureka.requestedPaths).subList(0, 4));
        }
    }

    @Test
    void whileEurekaIsOutOfReachTheLastListStands() throws Exception {
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        StubHttpServer eureka = new StubHttpServer(path -> ok(apps("")));
        net.callOnLoop(() -> {
            new EurekaClient(
                            new HlsConfig.Eureka(eureka.address(), "/eureka", "BOXES", 1000),
                            net,
                            clock,
                            deadlines,
                            l -> sizes.add(l.size()))
                    .start();
            return null;
        });
        assertEquals(0, sizes.poll(20, TimeUnit.SECONDS));
        eureka.responder = path -> "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        eureka.arrivals.clear();
        for (int i = 0; i < 4; i++) {
            eureka.arrivals.poll(20, TimeUnit.SECONDS);
        }
        sizes.clear();
        eureka.arrivals.poll(20, TimeUnit.SECONDS);
        assertEquals(0, sizes.size(), "an error is no empty list");
        eureka.close();
    }

    private static String apps(String hash, String... instances) {
        return "{\"applications\":{\"apps__hashcode\":\"" + hash
                + "\",\"application\":[{\"name\":\"BOXES\",\"instance\":[" + String.join(",", instances) + "]}]}}";
    }
}
