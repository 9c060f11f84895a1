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
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.eureka.EurekaClient;
import dockshed.load.LoadReporter;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.InputLimits;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import dockshed.net.StubHttpServer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** HLS from player to edge server on loopback sockets, with stubs for players, edge servers and Eureka. */
class HlsEndToEndTest {
    private static final String MASTER = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=900\nmid.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=100\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2000\ntop.m3u8\n";
    private static final String MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n0.ts\n#EXT-X-ENDLIST\n";

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private final Net net = new Net();
    private final BrokerHarness harness = new BrokerHarness(); // plays the director, with decisions that each test sets
    private Director.Actions actions;
    private LoopClock clock;
    private TimerQueue timers;
    private Broker broker;
    private HlsEdgeServers edgeServers;
    private HlsFront front;
    private Channel listener;
    private StubHttpServer edgeServer;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private volatile int grantedRendition = 2;
    private volatile long clockOffsetUs; // added to the real time for the front

    /** Calls of the front's clock until one throws, which stands for any internal error; negative: none does. */
    private final AtomicInteger clockCallsUntilError = new AtomicInteger(-1);

    private long frontNow() {
        if (clockCallsUntilError.get() >= 0 && clockCallsUntilError.getAndDecrement() == 0) {
            throw new IllegalStateException("thrown by the test");
        }
        return clock.now() + clockOffsetUs;
    }

    @BeforeEach
    void start() throws Exception {
        edgeServer = new StubHttpServer(path -> ok(path.endsWith("master.m3u8") ? MASTER : MEDIA));
        net.callOnLoop(() -> {
            clock = new LoopClock(net.loop());
            timers = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    harness.settings,
                    a -> {
                        actions = a;
                        return harness;
                    },
                    m -> {},
                    timers);
            clock.onWakeUp(broker::runDueTimers);
            edgeServers =
                    new HlsEdgeServers(broker, net, clock, 250, new LoadReporter(broker, timers, harness.settings));
            front = new HlsFront(
                    broker,
                    edgeServers,
                    this::frontNow,
                    timers,
                    harness.settings,
                    60_000_000,
                    50,
                    net.inputLimits(),
                    1);
            harness.onRequest = r -> {
                requests.add(r.id());
                actions.setRendition(r.id(), grantedRendition);
                actions.send(r.id(), "a", 0);
            };
            harness.onOutcome = id -> {
                outcomes.add(id);
                actions.fail(id);
            };
            edgeServers.setAddresses(Map.of("a", edgeServer.address()));
            announceServer(State.UP);
            return null;
        });
        listener = net.listen(new InetSocketAddress("127.0.0.1", 0), front::accept)
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

    /** Sends one request as a player and returns the whole response. */
    private HttpStyleMessage fetch(String method, String target) throws Exception {
        try (Socket socket = send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
            HttpStyleMessage response =
                    StubHttpServer.read(socket.getInputStream(), new HttpStyleMessageDecoder(1 << 20));
            assertEquals(
                    response.body().length, Integer.parseInt(response.header("content-length")), "truncated response");
            return response;
        }
    }

    private HttpStyleMessage get(String target) throws Exception {
        return fetch("GET", target);
    }

    private static String lessonPath(String className, String viewer) {
        return "/lessons/milk%20sensor/master.m3u8?class=" + className + "&viewer=" + viewer;
    }

    private static List<String> uris(HttpStyleMessage playlist) {
        return playlist.bodyText().lines().filter(l -> !l.startsWith("#")).toList();
    }

    /** Checks the class terms on a fetched playlist: the paid class is never offered the lowest rendition. */
    private static void assertWithinClassTerms(HttpStyleMessage playlist) {
        assertEquals(200, playlist.status());
        assertFalse(playlist.bodyText().contains("BANDWIDTH=100\n"), playlist.bodyText());
        assertTrue(playlist.bodyText().contains("BANDWIDTH=900\n"), playlist.bodyText());
    }

    /** Sends a GET and leaves the connection open; the caller reads the response. */
    private Socket sendGet(String target) throws Exception {
        return send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /** Sends bytes on a new connection and leaves it open; the caller reads the responses. */
    private Socket send(String requests) throws Exception {
        Socket socket = new Socket("127.0.0.1", ((InetSocketAddress) listener.localAddress()).getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(requests.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    /**
     * A request is cancelled once all players that wait for it have disconnected. One of a paid class goes on, and a
     * player that comes back gets its session instead of paying again.
     */
    @Test
    void abandonedRequestIsCancelledUnlessItIsPaid() throws Exception {
        harness.onRequest = r -> requests.add(r.id()); // the request stays unanswered
        Socket safe = sendGet(lessonPath("safe", "v"));
        Socket secondSafe = sendGet(lessonPath("safe", "v"));
        String safeRequest = requests.take();
        Socket paid = sendGet(lessonPath("paid", "v"));
        String paidRequest = requests.take();
        safe.close();
        secondSafe.close();
        harness.await("module requestCancelled");
        paid.close();
        assertEquals(1, net.callOnLoop(broker::unansweredRequests));
        try (Socket returning = sendGet(lessonPath("paid", "v"))) {
            net.callOnLoop(() -> {
                actions.send(safeRequest, "a", 0);
                actions.setRendition(paidRequest, 2);
                actions.send(paidRequest, "a", 0);
                return null;
            });
            assertWithinClassTerms(
                    StubHttpServer.read(returning.getInputStream(), new HttpStyleMessageDecoder(1 << 20)));
        }
        assertEquals(1, edgeServer.requestedPaths.size());
        assertEquals(0, requests.size());
    }

    @Test
    void paidLessonIsSetUpOnceAndPlayedThroughItsSession() throws Exception {
        HttpStyleMessage first = get(lessonPath("paid", "v"));
        assertWithinClassTerms(first);
        assertEquals(List.of("/lessons/milk%20sensor/master.m3u8"), edgeServer.requestedPaths);
        List<String> uris = uris(first);
        assertEquals(2, uris.size());
        HttpStyleMessage media = get(uris.get(0));
        assertTrue(media.bodyText()
                .contains("\nhttp://127.0.0.1:" + edgeServer.address().getPort() + "/lessons/milk%20sensor/0.ts\n"));
        // Fetched again by the lesson's or the session's address, it is the same session without a second set-up.
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertWithinClassTerms(get(uris.get(0).replaceAll("[0-9]+\\.m3u8$", "master.m3u8")));
        assertEquals(uris, uris(get(lessonPath("paid", "v"))));
        assertEquals(1, requests.size());
        assertEquals(
                1,
                edgeServer.requestedPaths.stream()
                        .filter(p -> p.endsWith("master.m3u8"))
                        .count());
        // Another viewer gets another session for the lesson.
        assertNotEquals(uris, uris(get(lessonPath("paid", "w"))));
        assertEquals(2, requests.size());
    }

    @Test
    void renditionChangeAppliesToTheNextFetch() throws Exception {
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
                "highest requested, middle granted");
    }

    @Test
    void lowestRenditionCannotBeFetchedByGuessingItsAddress() throws Exception {
        String session = uris(get(lessonPath("paid", "v"))).get(0).replaceAll("[0-9]+\\.m3u8$", "");
        assertEquals(404, get(session + "1.m3u8").status());
        assertEquals(404, get(session + "99.m3u8").status());
        assertFalse(edgeServer.requestedPaths.contains("/lessons/milk%20sensor/low.m3u8"));
    }

    /** A player fetches its playlists again after its edge server began to drain: only cached ones may be served. */
    @Test
    void drainingEdgeServerGetsNoFurtherRequests() throws Exception {
        List<String> uris = uris(get(lessonPath("paid", "v")));
        String cached = get(uris.get(0)).bodyText();
        net.callOnLoop(() -> {
            announceServer(State.DRAINING);
            return null;
        });
        clockOffsetUs = 1_000_000;
        edgeServer.requestedPaths.clear();
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertEquals(cached, get(uris.get(0)).bodyText());
        assertEquals(410, get(uris.get(1)).status(), "not cached, so the session ends");
        assertEquals(410, get(uris.get(0)).status(), "the session has ended");
        assertEquals(List.of(), edgeServer.requestedPaths);
        assertEquals(1, requests.size());
    }

    @Test
    void unknownSessionIsNeverSetUp() throws Exception {
        assertEquals(404, get("/sessions/0123456789abcdef/master.m3u8").status());
        assertEquals(404, get("/sessions/0123456789abcdef/0.m3u8").status());
        assertEquals(404, fetch("DELETE", "/sessions/0123456789abcdef").status());
        assertEquals(0, requests.size());
    }

    @Test
    void deletedSessionGets410() throws Exception {
        String uri = uris(get(lessonPath("paid", "v"))).get(0);
        assertEquals(204, fetch("DELETE", uri.replaceAll("/[0-9]+\\.m3u8$", "")).status());
        assertEquals(410, get(uri).status());
        assertEquals(0, (int) net.callOnLoop(broker::activeSessions));
    }

    @Test
    void refusalCarriesRetryAfter() throws Exception {
        harness.onRequest = r -> actions.refuse(r.id(), 1_200_000);
        HttpStyleMessage response = get(lessonPath("paid", "v"));
        assertEquals(503, response.status());
        assertEquals("2", response.header("retry-after"));
    }

    @Test
    void silentEdgeServerLeadsTo504AndIsNotAskedTwice() throws Exception {
        edgeServer.responder = path -> null;
        assertEquals(504, get(lessonPath("paid", "v") + "&expires_ms=300").status());
        assertEquals(1, edgeServer.requestedPaths.size());
    }

    @Test
    void invalidResponseOfTheEdgeServerLeadsTo502() throws Exception {
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
        assertEquals(6, edgeServer.requestedPaths.size(), "a paid request is attempted once only");
        edgeServer.responder = path -> ok(path.endsWith("master.m3u8") ? MASTER : "HTTP/1.1 404 Not Found\r\n\r\n");
        assertEquals(502, get(uris(get(lessonPath("paid", "v"))).get(0)).status());
    }

    @Test
    void playlistsOfLineBreaksOnlyLeadTo502() throws Exception {
        // Guards against a player whose fetch is never answered, and against a connection that stays open for ever.
        String media = uris(get(lessonPath("paid", "v"))).get(0);
        edgeServer.responder = path -> ok("\n");
        assertEquals(502, get(media).status());
        assertEquals(502, get(lessonPath("paid", "w")).status());
    }

    @Test
    void mediaPlaylistOnAnotherServerIsNotFetched() throws Exception {
        edgeServer.responder = path -> ok("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\nx\n"
                + "#EXT-X-STREAM-INF:BANDWIDTH=2\nhttp://127.0.0.1:1/other.m3u8\n");
        assertEquals(502, get(uris(get(lessonPath("paid", "v"))).get(0)).status());
    }

    @Test
    void invalidRequestsAreRejected() throws Exception {
        for (String path : List.of(
                "/lessons/t/master.m3u8",
                lessonPath("none", "v"),
                "/lessons/t/master.m3u8?class=paid",
                lessonPath("paid", "v") + "&expires_ms=soon",
                lessonPath("paid", "v") + "&expires_ms=0",
                "/lessons/%zz/master.m3u8?class=paid&viewer=v")) {
            assertEquals(400, get(path).status(), path);
        }
        assertEquals(404, get("/other").status());
        assertEquals(405, fetch("POST", "/lessons/t/master.m3u8").status());
        assertEquals(0, requests.size());
    }

    @Test
    void lessonRequestWithoutATitleIsRejectedWhereverItStandsOnItsConnection() throws Exception {
        // Guards against a request that is never answered and a connection that stays open: reading the title threw.
        assertEquals(400, get("/lessons/master.m3u8").status());
        try (Socket socket = send(
                "GET /other HTTP/1.1\r\n\r\nGET /lessons/master.m3u8 HTTP/1.1\r\n\r\nGET /other HTTP/1.1\r\n\r\n")) {
            HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 20);
            InputStream in = socket.getInputStream();
            assertEquals(404, StubHttpServer.read(in, decoder).status());
            assertEquals(400, StubHttpServer.read(in, decoder).status());
            assertEquals(404, StubHttpServer.read(in, decoder).status());
        }
    }

    @Test
    void aRejectedRequestDoesNotBlockLaterOnesOfTheSameViewer() throws Exception {
        // Guards against viewers that are never answered again: a request with a faulty figure got its 400 but left an
        // entry behind, and correct requests of that viewer for the lesson waited for a set-up that nobody had sent.
        for (String key : List.of("expires_ms", "expected_ms", "home", "copies", "top")) {
            for (String value : List.of("unknown", "8200.0", "-1", "")) {
                String path = lessonPath("paid", key + value.length());
                String faulty = path + "&" + key + "=" + value;
                assertEquals(400, get(faulty).status(), faulty);
                assertWithinClassTerms(get(path));
            }
        }
        assertEquals(20, requests.size());
    }

    @Test
    void aFaultyFigureIsRejectedAlsoWhereTheViewerHasASession() throws Exception {
        // Guards against a verdict on a request that depends on what the viewer requested before.
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertEquals(400, get(lessonPath("paid", "v") + "&top=unknown").status());
        assertWithinClassTerms(get(lessonPath("paid", "v")));
        assertEquals(1, requests.size());
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrderAndMalformedOneClosesTheConnection() throws Exception {
        try (Socket socket = send("GET " + lessonPath("paid", "v") + " HTTP/1.1\r\n\r\nGET /other HTTP/1.1\r\n\r\n"
                + "no header line\r\nat all\r\n\r\n")) {
            HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 20);
            InputStream in = socket.getInputStream();
            assertEquals(200, StubHttpServer.read(in, decoder).status());
            assertEquals(404, StubHttpServer.read(in, decoder).status());
            assertEquals(400, StubHttpServer.read(in, decoder).status());
            assertEquals(-1, in.read());
        }
    }

    @Test
    void repeatedRequestWhileWaitingSharesTheSetUp() throws Exception {
        CompletableFuture<String> response = new CompletableFuture<>();
        edgeServer.responder = path -> response.join();
        CompletableFuture<HttpStyleMessage> first = CompletableFuture.supplyAsync(() -> {
            try {
                return get(lessonPath("paid", "v"));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        edgeServer.arrivals.poll(20, TimeUnit.SECONDS);
        try (Socket socket = send("GET " + lessonPath("paid", "v") + " HTTP/1.1\r\n\r\n")) {
            // The answer for the unknown path shows that the front has read the lesson's request before it.
            assertEquals(404, get("/other").status());
            response.complete(ok(MASTER));
            assertWithinClassTerms(StubHttpServer.read(socket.getInputStream(), new HttpStyleMessageDecoder(1 << 20)));
        }
        assertWithinClassTerms(first.get(20, TimeUnit.SECONDS));
        assertEquals(1, requests.size());
        assertEquals(1, edgeServer.requestedPaths.size());
    }

    @Test
    void allPlayersThatWaitForASessionAreAnsweredThoughAnsweringOneThrows() throws Exception {
        // Guards against players that are never answered, since one before them met an internal error.
        CompletableFuture<String> response = new CompletableFuture<>();
        edgeServer.responder = path -> response.join();
        try (Socket first = sendGet(lessonPath("paid", "v"))) {
            edgeServer.arrivals.poll(20, TimeUnit.SECONDS);
            try (Socket second = sendGet(lessonPath("paid", "v"))) {
                assertEquals(404, get("/other").status(), "the front has read the request before this one");
                net.callOnLoop(() -> null);
                clockCallsUntilError.set(1); // the first is to start the session, the next to answer the first player
                response.complete(ok(MASTER));
                assertEquals(
                        500,
                        StubHttpServer.read(first.getInputStream(), new HttpStyleMessageDecoder(1 << 20))
                                .status());
                assertWithinClassTerms(
                        StubHttpServer.read(second.getInputStream(), new HttpStyleMessageDecoder(1 << 20)));
            }
        }
    }

    @Test
    void edgeServerRemovedDuringTheSetUpLeadsTo502() throws Exception {
        edgeServer.responder = path -> {
            net.callOnLoop(() -> {
                edgeServers.setAddresses(Map.of());
                return null;
            });
            return ok(MASTER);
        };
        assertEquals(502, get(lessonPath("paid", "v")).status());
        assertEquals(0, (int) net.callOnLoop(broker::activeSessions));
    }

    /** Players on phones disappear without closing; their connections must not use up the file descriptors. */
    @Test
    void idleConnectionIsClosed() throws Exception {
        long[] now = {0};
        TimerQueue ownTimers = new TimerQueue(wakeAt -> {});
        HlsFront ownFront = new HlsFront(
                broker,
                edgeServers,
                () -> now[0],
                ownTimers,
                harness.settings,
                60_000_000,
                50,
                InputLimits.unlimitedMemory(),
                1);
        EmbeddedChannel channel = new EmbeddedChannel(ownFront.accept());
        now[0] = 20_000_000;
        channel.writeInbound(Net.toByteBuf("GET /other HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
        now[0] = 31_000_000;
        ownTimers.runDue(now[0]);
        assertTrue(channel.isOpen(), "used eleven seconds ago");
        now[0] = 50_000_000;
        ownTimers.runDue(now[0]);
        assertFalse(channel.isOpen());
    }

    @Test
    void requestThatIsNotCompletedInTimeIsAnsweredAndItsConnectionClosed() throws Exception {
        // Guards against players that stop half way through a request and hold its memory.
        long[] now = {0};
        TimerQueue ownTimers = new TimerQueue(wakeAt -> {});
        HlsFront ownFront = new HlsFront(
                broker,
                edgeServers,
                () -> now[0],
                ownTimers,
                harness.settings,
                60_000_000,
                50,
                InputLimits.unlimitedMemory(),
                1);
        EmbeddedChannel channel = new EmbeddedChannel(ownFront.accept());
        channel.writeInbound(Net.toByteBuf("GET /a HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8)));
        now[0] = HlsConnection.REQUEST_TIMEOUT_US - 1;
        ownTimers.runDue(now[0]);
        assertTrue(channel.isOpen());
        now[0] = HlsConnection.REQUEST_TIMEOUT_US;
        ownTimers.runDue(now[0]);
        ByteBuf response = channel.readOutbound();
        assertTrue(response.toString(StandardCharsets.UTF_8).startsWith("HTTP/1.1 408 "));
        assertFalse(channel.isOpen());
    }

    @Test
    void viewerOrTitleThatIsTooLongForTablesIsRejected() throws Exception {
        // Guards against tables that keep names as long as a message.
        String longName = "v".repeat(SessionRequest.MAX_VIEWER_LENGTH + 1);
        assertEquals(400, get(lessonPath("paid", longName)).status());
        assertEquals(
                400,
                get(lessonPath("paid", "v").replaceFirst("/lessons/[^/]*", "/lessons/" + longName))
                        .status());
        assertEquals(0, requests.size());
    }

    @Test
    void lostEdgeServerEndsItsSessions() throws Exception {
        String uri = uris(get(lessonPath("paid", "v"))).get(0);
        net.callOnLoop(() -> {
            broker.serverLost(clock.now(), edgeServers, "a", clock.now() + 1);
            return null;
        });
        assertEquals(410, get(uri).status());
    }

    @Test
    void eurekaListIsFetchedByDeltaAndInFullAfterAMismatch() throws Exception {
        String first = "{\"instanceId\":\"a\",\"app\":\"BOXES\",\"ipAddr\":\"127.0.0.1\",\"status\":\"UP\","
                + "\"actionType\":\"ADDED\",\"port\":{\"$\":9001}}";
        String second = first.replace("\"a\"", "\"b\"");
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        List<String> responses =
                List.of(apps("UP_1_", first), apps("UP_2_", second), apps("UP_9_"), apps("UP_1_", second));
        int[] next = {0};
        try (StubHttpServer eureka =
                new StubHttpServer(path -> next[0] < responses.size() ? ok(responses.get(next[0]++)) : null)) {
            net.callOnLoop(() -> {
                new EurekaClient(
                                new HlsConfig.Eureka(eureka.address(), "/eureka", "BOXES", 1000),
                                net,
                                clock,
                                timers,
                                list -> sizes.add(list.size()))
                        .start();
                return null;
            });
            List<Integer> observed = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                observed.add(sizes.poll(20, TimeUnit.SECONDS));
            }
            assertEquals(List.of(1, 2, 1), observed);
            assertEquals(
                    List.of("/eureka/apps", "/eureka/apps/delta", "/eureka/apps/delta", "/eureka/apps"),
                    List.copyOf(eureka.requestedPaths).subList(0, 4));
        }
    }

    @Test
    void eurekaIsQueriedFurtherAfterAListWhoseHandlingThrew() throws Exception {
        // Guards against a list that stays as it is for ever: the next query was scheduled only by a list handled well.
        int[] lists = {0};
        BlockingQueue<Integer> handled = new LinkedBlockingQueue<>();
        try (StubHttpServer eureka = new StubHttpServer(path -> ok(apps("")))) {
            net.callOnLoop(() -> {
                new EurekaClient(
                                new HlsConfig.Eureka(eureka.address(), "/eureka", "BOXES", 1000),
                                net,
                                clock,
                                timers,
                                list -> {
                                    if (lists[0]++ == 0) {
                                        throw new IllegalStateException("thrown by the test");
                                    }
                                    handled.add(list.size());
                                })
                        .start();
                return null;
            });
            assertEquals(0, handled.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void lastEurekaListIsKeptWhileEurekaIsUnreachable() throws Exception {
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        StubHttpServer eureka = new StubHttpServer(path -> ok(apps("")));
        net.callOnLoop(() -> {
            new EurekaClient(
                            new HlsConfig.Eureka(eureka.address(), "/eureka", "BOXES", 1000),
                            net,
                            clock,
                            timers,
                            list -> sizes.add(list.size()))
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
        assertEquals(0, sizes.size(), "an error does not empty the list");
        eureka.close();
    }

    private static String apps(String hash, String... instances) {
        return "{\"applications\":{\"apps__hashcode\":\"" + hash
                + "\",\"application\":[{\"name\":\"BOXES\",\"instance\":[" + String.join(",", instances) + "]}]}}";
    }
}
