package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.ProbeCoordinator;
import dockshed.core.ProbeCoordinator.Verdict;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The lines to edge servers on loopback sockets; the test itself is the edge server, and scripts the module. */
class EdgeServerConnectionsTest {
    private final Net net = new Net();
    private final BrokerHarness stage = new BrokerHarness();
    private Director.Actions act;
    private LoopClock clock;
    private Broker broker;
    private EdgeServerConnections edges;
    private final BlockingQueue<String> finding = new LinkedBlockingQueue<>();
    private volatile Verdict verdict = Verdict.TRY;
    private final ProbeCoordinator finder = new ProbeCoordinator() {
        @Override
        public Verdict decide(long now, String id, Suspicion s) {
            finding.add("asked " + id);
            return verdict;
        }

        @Override
        public void probeFinished(String id, boolean up) {
            finding.add("found " + id + " " + up);
        }

        @Override
        public void suspicionChanged(String id, boolean is) {
            finding.add("suspected " + id + " " + is);
        }
    };
    private ServerSocket server;
    private Socket line;
    private BufferedReader reads;

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        begin(30_000_000, 3_000_000);
    }

    private void begin(long idleClose, long tell) {
        begin(idleClose, tell, 256);
    }

    private void begin(long idleClose, long tell, int lines) {
        net.callOnLoop(() -> {
            clock = new LoopClock(net.loop());
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    stage.settings,
                    a -> {
                        act = a;
                        return stage;
                    },
                    m -> {},
                    deadlines);
            clock.onWakeUp(broker::runDueTimers);
            edges = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    deadlines,
                    new EdgeServerConnections.Options(250_000, idleClose, tell, 0, List.of("busy_reqs", "x0"), lines),
                    finder);
            stage.onRequest = r -> act.send(r.id(), "a", 0);
            stage.onOutcome = id -> act.fail(id);
            stage.connection = broker.connected(clock.now(), stage, h -> {});
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    List.of(new Director.Server("a", "z", "k", 0, Director.State.UP, 1, 0)));
            edges.updateAddresses(Map.of("a", new InetSocketAddress("127.0.0.1", server.getLocalPort())));
            return null;
        });
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        server.close();
        if (line != null) {
            line.close();
        }
    }

    private void ask(String name, String cls) {
        net.callOnLoop(() ->
                broker.request(clock.now(), stage.connection, stage, edges, BrokerHarness.sessionRequest(name, cls)));
    }

    private void accept() throws IOException {
        line = server.accept();
        line.setSoTimeout(20_000);
        reads = new BufferedReader(new InputStreamReader(line.getInputStream(), StandardCharsets.UTF_8));
    }

    private Message read() throws Exception {
        String text = reads.readLine();
        return text == null ? null : Message.parse(text);
    }

    private void say(String text) throws IOException {
        line.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void say(String type, String id, int cause, Map<String, String> fields) throws IOException {
        say(new Message(type, id, fields, cause, null).encode());
    }

    private void play(String name) throws Exception {
        ask(name, "safe");
        if (line == null) {
            accept();
        }
        assertEquals("setup", read().type());
        say(new Message("answer", name, Map.of(), -1, "v=0").encode());
        stage.await("front served " + name);
    }

    @Test
    void aSetUpCarriesWhatThePageSays() throws Exception {
        ask("v1", "paid");
        accept();
        Message m = read();
        assertEquals("setup", m.type());
        assertEquals("v1", m.id());
        assertEquals("sdp", m.sdp());
        assertEquals(
                "paid title 1",
                m.fields().get("class") + " " + m.fields().get("key") + " "
                        + m.fields().get("rung"));
        int left = Integer.parseInt(m.fields().get("left"));
        assertTrue(left > 0 && left <= 2990, "left " + left);
    }

    @Test
    void aSessionsNewsAndEndComeThrough() throws Exception {
        play("v1");
        say("progress", "v1", -1, Map.of());
        say("note", "v1", -1, Map.of("note", "fill", "value", "0.93"));
        assertEquals("module note DELIVERED 0.93", stage.await("module note"));
        say("note", "v1", -1, Map.of("note", "grade", "value", "2"));
        assertEquals("module note RENDITION 2.0", stage.await("module note"));
        say("note", "v1", -1, Map.of("note", "local", "value", "x")); // no figure: passed over
        say("note", "v1", -1, Map.of("note", "local", "value", "1.5"));
        assertEquals("module note LINK 1.5", stage.await("module note"));
        say("note", "v1", -1, Map.of("note", "upstream", "value", "0.5"));
        assertEquals("module note UPLINK 0.5", stage.await("module note"));
        say("release", "v1", 16, Map.of("load", "x0:0.4;new:1;busy_reqs:12"));
        assertEquals("front over v1 OK", stage.await("front over"));
        assertEquals("module outcome 0 a OK last [12.0, 0.4]", stage.await("module outcome"));
    }

    @Test
    void causesBeforeAndAfterTheAnswerMeanWhatThePageSays() throws Exception {
        Map<Integer, String> before = Map.of(34, "FULL", 47, "ERROR", 102, "MOOT", 41, "RESET", 16, "RESET");
        for (Map.Entry<Integer, String> e : before.entrySet()) {
            ask("b" + e.getKey(), "safe");
            if (line == null) {
                accept();
            }
            Message m = read();
            say("release", m.id(), e.getKey(), Map.of());
            assertEquals("module outcome 0 a " + e.getValue(), stage.await("module outcome"));
        }
        for (Map.Entry<Integer, String> e :
                Map.of(16, "OK", 41, "RESET", 31, "CANCELLED", 99, "RESET").entrySet()) {
            play("a" + e.getKey());
            say("release", "a" + e.getKey(), e.getKey(), Map.of());
            assertEquals("module outcome 0 a " + e.getValue() + " last", stage.await("module outcome"));
        }
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        server.close();
        ask("v1", "paid");
        assertEquals("module outcome 0 a CONNECT_FAILED", stage.await("module outcome"));
    }

    @Test
    void aLineLostAfterTheSetUpProvesNothing() throws Exception {
        ask("v1", "paid");
        accept();
        read();
        line.close();
        assertEquals("module outcome 0 a RESET", stage.await("module outcome"));
    }

    @Test
    void anAttemptOutOfTimeIsGivenUpOnTheWire() throws Exception {
        stage.onRequest = r -> act.send(r.id(), "a", 50_000);
        ask("v1", "safe");
        accept();
        read();
        Message m = read();
        assertEquals("release v1 16", m.type() + " " + m.id() + " " + m.cause());
        stage.await("module outcome 0 a TIMEOUT");
        say(new Message("answer", "v1", Map.of(), -1, "late").encode());
        say("ping", "x", 0, Map.of());
        assertEquals("pong", read().type());
        assertEquals(0, net.callOnLoop(() -> stage.count("front served")));
    }

    @Test
    void aDyingProcessEndsItsSessions() throws Exception {
        play("v1");
        line.setSoLinger(true, 0);
        server.close();
        line.close(); // with a reset
        assertEquals("front over v1 RESET", stage.await("front over"));
    }

    @Test
    void aLineClosedInPeaceIsRenewedAndTheSessionLivesOn() throws Exception {
        play("v1");
        line.close();
        accept();
        say("release", "v1", 16, Map.of()); // sent on the next connection that is opened
        assertEquals("front over v1 OK", stage.await("front over"));
    }

    @Test
    void aServerThatCannotBeReachedAnyMoreEndsItsSessions() throws Exception {
        play("v1");
        server.close();
        line.close();
        assertEquals("front over v1 RESET", stage.await("front over"));
    }

    @Test
    void aSilentServerIsTriedWithANewLine() throws Exception {
        // A machine that vanishes leaves its connections open and says nothing: only a new one can tell.
        begin(30_000_000, 1000);
        play("v1");
        accept();
        say("release", "v1", 41, Map.of());
        assertEquals("front over v1 RESET", stage.await("front over"));
    }

    @Test
    void aLineIsNotUsedForASetUpThatTheServerIsAboutToClose() throws Exception {
        // Idle lines close after a time; a set-up written just then would be lost, and a paid one with it.
        begin(1, 0); // all of its time is over as soon as anything else has happened
        ask("v1", "safe");
        accept();
        say(new Message("release", read().id(), Map.of(), 34, null).encode());
        stage.await("module outcome 0 a FULL");
        line = null;
        ask("v2", "safe");
        accept();
        assertEquals("v2", read().id());
    }

    @Test
    void garbageEndsTheLineAndItsSetUps() throws Exception {
        ask("v1", "safe");
        accept();
        read();
        say("no json\n");
        assertEquals("module outcome 0 a RESET", stage.await("module outcome"));
        assertEquals(null, reads.readLine());
    }

    @Test
    void aRebornServersOlderSessionsAreOver() throws Exception {
        play("v1");
        net.callOnLoop(() -> {
            edges.serverRestarted("a", clock.now() + 1);
            return null;
        });
        assertEquals("front over v1 RESET", stage.await("front over"));
        play2("v2");
    }

    private void play2(String name) throws Exception {
        line = null;
        play(name);
    }

    @Test
    void releasesAndRungsGoOut() throws Exception {
        String[] id = {""};
        stage.onRequest = r -> {
            id[0] = r.id();
            act.send(r.id(), "a", 0);
        };
        play("v1");
        net.callOnLoop(() -> {
            act.setRendition(id[0], 3);
            broker.cancel(clock.now(), "v1");
            return null;
        });
        Message rate = read();
        assertEquals(
                "rate v1 3", rate.type() + " " + rate.id() + " " + rate.fields().get("rung"));
        assertEquals("release v1", read().type() + " v1");
    }

    @Test
    void aServerThatIsNotListedGetsNothing() throws Exception {
        net.callOnLoop(() -> {
            edges.updateAddresses(Map.of());
            return null;
        });
        ask("v1", "paid");
        assertEquals("module outcome 0 a MOOT", stage.await("module outcome"));
    }

    @Test
    void aResetLineEndsNoSessions() throws Exception {
        // Connections are reset when new, idle or in use, while the process goes on: its sessions play on.
        play("v1");
        line.setSoLinger(true, 0);
        line.close();
        accept();
        say("release", "v1", 16, Map.of());
        assertEquals("front over v1 OK", stage.await("front over"));
    }

    @Test
    void whatADeathSetsFreeDoesNotGoOutOnLinesThatDiedWithIt() throws Exception {
        // A process died, the system reset all lines to it at once, and in the millisecond until the last was told each
        // further attempt of a request was spent on one of them.
        net.callOnLoop(() -> stage.onOutcome = id -> {
            if (stage.count("module outcome") <= 2) {
                act.send(id, "a", 0);
            } else {
                act.fail(id);
            }
        });
        ask("v1", "safe");
        accept();
        assertEquals("v1", read().id());
        Socket first = line;
        ask("v2", "safe");
        accept();
        say(new Message("answer", read().id(), Map.of(), -1, "v=0").encode());
        stage.await("front served v2"); // the second line is free now
        net.callOnLoop(
                () -> { // both are gone before the loop looks again, that with the set-up first
                    for (Socket s : List.of(first, line)) {
                        s.setSoLinger(true, 0);
                        s.close();
                    }
                    return null;
                });
        accept();
        assertEquals("setup", read().type());
        net.callOnLoop(() -> null);
        assertEquals(
                List.of("module outcome 0 a RESET"),
                stage.log.stream().filter(l -> l.startsWith("module outcome")).toList());
    }

    private void awaitFinding(String line) throws InterruptedException {
        for (String l = finding.poll(20, TimeUnit.SECONDS); !line.equals(l); l = finding.poll(20, TimeUnit.SECONDS)) {
            assertTrue(l != null, "never came: " + line);
        }
    }

    private void breakOff() throws IOException {
        line.setSoLinger(true, 0);
        line.close();
    }

    @Test
    void aSuspectServerIsLeftToTheBrokerWhoseTurnItIs() throws Exception {
        // A box died and a hundred brokers opened a line each to find out.
        play("v1");
        verdict = Verdict.WAIT;
        breakOff();
        awaitFinding("suspected a true");
        awaitFinding("asked a");
        awaitFinding("asked a");
        assertEquals(0, net.callOnLoop(edges::countConnections));
        verdict = Verdict.UP;
        accept(); // somebody else found it up: news of the session needs a line
        awaitFinding("suspected a false");
        assertEquals(1, net.callOnLoop(broker::activeSessions));
    }

    @Test
    void whatOthersFoundDownIsLostWithoutATrialOfOnesOwn() throws Exception {
        play("v1");
        server.close();
        verdict = Verdict.DOWN;
        breakOff();
        assertEquals("front over v1 RESET", stage.await("front over v1"));
        assertEquals(0, net.callOnLoop(edges::countConnections));
        assertTrue(finding.stream().noneMatch(l -> l.startsWith("found")), "it tried itself: " + finding);
    }

    @Test
    void whatOneFoundIsToldAndAnOwnTrialThatComesUpEndsTheSuspicion() throws Exception {
        play("v1");
        breakOff();
        awaitFinding("suspected a true");
        accept();
        awaitFinding("found a true");
        server.close();
        breakOff();
        awaitFinding("found a false");
    }

    @Test
    void oneRefusedConnectionEndsNoSessions() throws Exception {
        play("v1");
        int port = server.getLocalPort();
        server.close();
        line.close();
        assertEquals(1, net.callOnLoop(() -> broker.activeSessions()));
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        accept();
        say("release", "v1", 16, Map.of());
        assertEquals("front over v1 OK", stage.await("front over"));
    }

    @Test
    void aSpoiltAnswerCostsOnlyTheSetUpOnItsLine() throws Exception {
        ask("v1", "paid");
        accept();
        read();
        Socket first = line;
        ask("v2", "paid");
        accept(); // a line of its own
        assertEquals("v2", read().id());
        first.getOutputStream().write("{\"type\":\"answer\",\"id\":\"v1\"\n".getBytes(StandardCharsets.UTF_8));
        assertEquals("module outcome 0 a RESET", stage.await("module outcome"));
        say(new Message("answer", "v2", Map.of(), -1, "v=0").encode());
        assertEquals("front served v2 1..1", stage.await("front served"));
    }

    @Test
    void anAnswerWithoutItsDescriptionIsNotPassedOnAsServed() throws Exception {
        ask("v1", "safe");
        accept();
        read();
        say("answer", "v1", -1, Map.of());
        assertEquals("module outcome 0 a RESET", stage.await("module outcome"));
        assertEquals(0, net.callOnLoop(() -> stage.count("front served")));
    }

    @Test
    void whatComesTwiceOrUnderAnUnknownIdChangesNothing() throws Exception {
        ask("v1", "safe");
        accept();
        read();
        say(new Message("answer", "v2", Map.of(), -1, "ahead").encode());
        String answer = new Message("answer", "v1", Map.of(), -1, "v=0").encode();
        say(answer + answer);
        stage.await("front served v1");
        ask("v2", "safe");
        assertEquals("v2", read().id(), "the line is good still");
        assertEquals(1, net.callOnLoop(() -> stage.count("front served")));
    }

    @Test
    void aLineStuckInAMessageIsDropped() throws Exception {
        ask("v1", "paid");
        accept();
        read();
        say("{\"type\":\"answer\",\"id\":");
        assertEquals("module outcome 0 a RESET", stage.await("module outcome"));
        assertEquals(null, reads.readLine());
    }

    @Test
    void figuresOutOfRangeReachNobody() throws Exception {
        play("v1");
        for (String value : List.of("NaN", "Infinity", "-1", "1e300")) {
            say("note", "v1", -1, Map.of("note", "local", "value", value));
        }
        say("note", "v1", -1, Map.of("note", "local", "value", "0.25"));
        assertEquals("module note LINK 0.25", stage.await("module note"));
        say("release", "v1", 16, Map.of("load", "x0:NaN;busy_reqs:3"));
        assertEquals("module outcome 0 a OK last", stage.await("module outcome"));
    }

    @Test
    void aMuteLineIsToldOfTheEndAndNotUsedAgain() throws Exception {
        // Closing it at once left a session standing whose answer was on its way: nobody told its viewer of the end.
        stage.onRequest = r -> act.send(r.id(), "a", 300_000);
        ask("v1", "safe");
        accept();
        assertEquals("setup", read().type());
        assertEquals("release v1", read().type() + " v1");
        ask("v2", "safe");
        accept();
        assertEquals("v2", read().id());
    }

    @Test
    void whenNoServerReportsOneIsTriedAndNoLineIsClosed() throws Exception {
        // Reports stayed out everywhere: 14 brokers closed and renewed 277 lines, and an end on its way was lost.
        begin(30_000_000, 2_000_000); // long enough that none is silent before all play
        List<String> ids = List.of("a", "b", "c", "d");
        net.callOnLoop(() -> {
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    ids.stream()
                            .map(id -> new Director.Server(id, "z", "k", 0, Director.State.UP, 1, 0))
                            .toList());
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", server.getLocalPort());
            edges.updateAddresses(Map.of("a", at, "b", at, "c", at, "d", at));
            return null;
        });
        List<Socket> lines = new ArrayList<>();
        for (String id : ids) {
            stage.onRequest = r -> act.send(r.id(), id, 0);
            line = null;
            play("v" + id);
            lines.add(line);
        }
        accept(); // the one that is tried
        assertEquals(5, net.callOnLoop(() -> edges.countConnections()));
        for (int i = 0; i < lines.size(); i++) {
            line = lines.get(i);
            say("release", "v" + ids.get(i), 16, Map.of());
            assertEquals("front over v" + ids.get(i) + " OK", stage.await("front over"));
        }
    }

    /** One line in all, and a second server, b. */
    private ServerSocket scarce() throws Exception {
        begin(30_000_000, 0, 1);
        ServerSocket b = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        b.setSoTimeout(20_000);
        net.callOnLoop(() -> {
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.CHANGES,
                    List.of(new Director.Server("b", "z", "k", 0, Director.State.UP, 1, 0)));
            edges.updateAddresses(Map.of(
                    "a",
                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                    "b",
                    new InetSocketAddress("127.0.0.1", b.getLocalPort())));
            return null;
        });
        return b;
    }

    @Test
    void anIdleLineMakesRoomForOneToAnotherServer() throws Exception {
        // One line a server was held at least, and some hundreds of servers are more than there are descriptors.
        try (ServerSocket b = scarce()) {
            play("0000000000000001");
            say("release", "0000000000000001", 16, Map.of());
            stage.await("front over 0000000000000001");
            stage.onRequest = r -> act.send(r.id(), "b", 0);
            ask("0000000000000002", "safe");
            try (Socket other = b.accept()) {
                assertEquals(null, read(), "the idle line was ended");
                assertEquals(1, (int) net.callOnLoop(edges::countConnections));
            }
        }
    }

    @Test
    void withoutADescriptorASetUpIsMootAndTheServerIsNotBlamed() throws Exception {
        // It was told as a refused connection: proof that the server's process is gone, and so were its sessions.
        try (ServerSocket b = scarce()) {
            ask("0000000000000001", "safe");
            accept();
            assertEquals("setup", read().type());
            stage.onRequest = r -> act.send(r.id(), "b", 0);
            ask("0000000000000002", "safe");
            stage.await("module outcome 0 b MOOT");
            assertEquals(1, (int) net.callOnLoop(edges::countConnections));
        }
    }

    @Test
    void serversWithSessionsTakeTurnsWhereLinesAreFewer() throws Exception {
        // What a server without a line could not send comes on the next one that is opened.
        try (ServerSocket b = scarce()) {
            play("0000000000000001");
            stage.onRequest = r -> act.send(r.id(), "b", 0);
            ask("0000000000000002", "safe");
            try (Socket other = b.accept()) {
                String asked = new BufferedReader(new InputStreamReader(other.getInputStream(), StandardCharsets.UTF_8))
                        .readLine();
                assertEquals("0000000000000002", Message.parse(asked).id());
                other.getOutputStream()
                        .write(new Message("answer", "0000000000000002", Map.of(), -1, "v=0")
                                .encode()
                                .getBytes(StandardCharsets.UTF_8));
                stage.await("front served 0000000000000002");
                accept(); // a's turn again, by itself
                say("release", "0000000000000001", 16, Map.of());
                stage.await("front over 0000000000000001");
            }
        }
    }

    @Test
    void whereIdleLinesCloseEarlyOneIsUsedAgainAllTheSame() throws Exception {
        // With 3 s of margin and 2 s of time every set-up shook hands anew, and a line with sessions twice a second.
        begin(2_000_000, 3_000_000);
        play("v1");
        ask("v2", "safe");
        assertEquals("v2", read().id());
    }

    @Test
    void anIdGivenUpAtAServerDoesNotGoThereAgainAtOnce() throws Exception {
        // The first one's answer, on its way when it was given up, was taken for the second one's.
        ask("v1", "safe");
        accept();
        assertEquals("setup", read().type());
        net.callOnLoop(() -> {
            broker.cancel(clock.now(), "v1");
            return take(BrokerHarness.sessionRequest("v1", "safe"));
        });
        assertEquals("release", read().type());
        say(new Message("answer", "v1", Map.of(), -1, "v=0").encode());
        ask("v2", "safe");
        assertEquals("v2", read().id());
        assertEquals(1, net.callOnLoop(() -> stage.count("module outcome 0 a MOOT")));
        assertEquals(0, net.callOnLoop(() -> stage.count("front served")));
    }

    // ---- What waits for a line, or on one, when its viewer goes or its server drains.

    private static SessionRequest large(String name) {
        return new SessionRequest(
                name, "safe", "viewer", "title", 3_000_000, 0, 0, 3, 4, false, false, false, "x".repeat(15_000) + "\n");
    }

    private boolean take(SessionRequest wish) {
        return broker.request(clock.now(), stage.connection, stage, edges, wish);
    }

    @Test
    void whatItsViewerLeavesWhileTheLineComesUpNeverGoesOut() throws Exception {
        net.callOnLoop(() -> {
            take(BrokerHarness.sessionRequest("v1", "paid"));
            broker.cancel(clock.now(), "v1");
            return take(BrokerHarness.sessionRequest("v2", "safe"));
        });
        accept();
        assertEquals("v2", read().id());
        assertEquals(0, net.callOnLoop(() -> stage.count("module outcome")));
    }

    @Test
    void whatItsViewerLeavesInTheTurnThatBroughtItNeverGoesOut() throws Exception {
        play("v1");
        net.callOnLoop(() -> {
            take(BrokerHarness.sessionRequest("v2", "paid"));
            broker.disconnected(clock.now(), stage.connection);
            stage.connection = broker.connected(clock.now(), stage, h -> {});
            return take(BrokerHarness.sessionRequest("v3", "safe"));
        });
        assertEquals("v3", read().id());
    }

    @Test
    void anAttemptThatIsOutIsGivenUpWhenItsViewerCloses() throws Exception {
        ask("v1", "paid");
        accept();
        assertEquals("setup", read().type());
        net.callOnLoop(() -> {
            broker.disconnected(clock.now(), stage.connection);
            return null;
        });
        Message m = read();
        assertEquals("release v1 16", m.type() + " " + m.id() + " " + m.cause());
        say(new Message("answer", "v1", Map.of(), -1, "v=0").encode()); // it crossed
        ask("v2", "safe");
        assertEquals("v2", read().id());
        assertEquals(0, net.callOnLoop(() -> stage.count("front")));
    }

    @Test
    void aDrainToldWhileASetUpWaitsForItsLineHoldsItBack() throws Exception {
        // It went out whenever the line came up, however long after the drain was told.
        Director.Settings s = stage.settings;
        Director.Rules none = new Director.Rules(300_000, 0.4, 12_000_000, 2.5, 2_000_000, 0, 0, 0);
        net.callOnLoop(() -> {
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    new Director.Settings(
                            0,
                            1,
                            "z",
                            s.classes(),
                            s.kinds(),
                            s.ladder(),
                            s.limits(),
                            none,
                            s.prices(),
                            s.reportFields()),
                    a -> {
                        act = a;
                        return stage;
                    },
                    m -> {},
                    deadlines);
            edges = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    deadlines,
                    new EdgeServerConnections.Options(
                            250_000, 30_000_000, 3_000_000, 0, List.of("busy_reqs", "x0"), 256),
                    finder);
            stage.connection = broker.connected(clock.now(), stage, h -> {});
            list(Director.State.UP);
            edges.updateAddresses(Map.of("a", new InetSocketAddress("127.0.0.1", server.getLocalPort())));
            take(BrokerHarness.sessionRequest("v1", "paid"));
            list(Director.State.DRAINING); // its grace is as long as what is kept of it: none is left
            return null;
        });
        accept();
        stage.await("module outcome 0 a MOOT");
        stage.await("front failed v1");
        net.callOnLoop(() -> {
            list(Director.State.UP);
            return take(BrokerHarness.sessionRequest("v2", "safe"));
        });
        assertEquals("v2", read().id());
    }

    private void list(Director.State state) {
        broker.serversChanged(
                clock.now(),
                "names",
                Director.ListScope.CHANGES,
                List.of(new Director.Server("a", "z", "k", 0, state, 1, 0)));
    }

    @Test
    void whatAServerHasNotReadYetDoesNotReachItOnceGivenUp() throws Exception {
        // What the system would not take yet left whenever the server read again, long after its viewer had gone.
        server.setReceiveBufferSize(4096);
        begin(30_000_000, 3_000_000, 2); // one line a server
        int last = 0;
        do {
            String name = "v" + ++last;
            net.callOnLoop(() -> take(large(name)));
            assertTrue(last < 4000, "the system takes it all");
        } while (net.callOnLoop(() -> stage.count("module outcome"))
                == 0); // one that was held back: the server does not read
        String waits = "v" + (last - 1);
        net.callOnLoop(() -> {
            broker.cancel(clock.now(), waits);
            return null;
        });
        accept();
        for (String text = reads.readLine();
                text != null && text.endsWith("}");
                text = reads.readLine()) { // or cut off
            assertTrue(!Message.parse(text).id().equals(waits), "it came after all");
        }
    }
}
