package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.ProbeCoordinator.Verdict;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Set-ups, ends, metrics and pools of connections to edge servers, and detection of servers that are gone. */
class EdgeServerConnectionsTest extends EdgeServerConnectionsFixture {
    @Test
    void setUpCarriesTheDocumentedFields() throws Exception {
        request("v1", "paid");
        accept();
        Message message = read();
        assertEquals("setup", message.type());
        assertEquals("v1", message.id());
        assertEquals("sdp", message.sdp());
        assertEquals(
                "paid title 1",
                message.fields().get("class") + " " + message.fields().get("key") + " "
                        + message.fields().get("rung"));
        int left = Integer.parseInt(message.fields().get("left"));
        assertTrue(left > 0 && left <= 2990, "left " + left);
    }

    @Test
    void metricsAndTheEndOfASessionArePassedOn() throws Exception {
        startSession("v1");
        send("progress", "v1", -1, Map.of());
        send("note", "v1", -1, Map.of("note", "fill", "value", "0.93"));
        assertEquals("module metricReceived DELIVERED 0.93", harness.await("module metricReceived"));
        send("note", "v1", -1, Map.of("note", "grade", "value", "2"));
        assertEquals("module metricReceived RENDITION 2.0", harness.await("module metricReceived"));
        send("note", "v1", -1, Map.of("note", "local", "value", "x")); // not a number: ignored
        send("note", "v1", -1, Map.of("note", "local", "value", "1.5"));
        assertEquals("module metricReceived LINK 1.5", harness.await("module metricReceived"));
        send("note", "v1", -1, Map.of("note", "upstream", "value", "0.5"));
        assertEquals("module metricReceived UPLINK 0.5", harness.await("module metricReceived"));
        send("release", "v1", 16, Map.of("load", "x0:0.4;new:1;busy_reqs:12"));
        assertEquals("front sessionEnded v1 OK", harness.await("front sessionEnded"));
        assertEquals("module outcome 0 a OK last [12.0, 0.4]", harness.await("module outcome"));
    }

    @Test
    void releaseCausesMapToTheDocumentedOutcomes() throws Exception {
        Map<Integer, String> before = Map.of(34, "FULL", 47, "ERROR", 102, "MOOT", 41, "RESET", 16, "RESET");
        for (Map.Entry<Integer, String> e : before.entrySet()) {
            request("b" + e.getKey(), "safe");
            if (connection == null) {
                accept();
            }
            Message message = read();
            send("release", message.id(), e.getKey(), Map.of());
            assertEquals("module outcome 0 a " + e.getValue(), harness.await("module outcome"));
        }
        for (Map.Entry<Integer, String> e :
                Map.of(16, "OK", 41, "RESET", 31, "CANCELLED", 99, "RESET").entrySet()) {
            startSession("a" + e.getKey());
            send("release", "a" + e.getKey(), e.getKey(), Map.of());
            assertEquals("module outcome 0 a " + e.getValue() + " last", harness.await("module outcome"));
        }
    }

    @Test
    void refusedConnectionFailsTheAttemptAsNotConnected() throws Exception {
        serverSocket.close();
        request("v1", "paid");
        assertEquals("module outcome 0 a CONNECT_FAILED", harness.await("module outcome"));
    }

    @Test
    void connectionLostAfterTheSetUpEndsItAsReset() throws Exception {
        request("v1", "paid");
        accept();
        read();
        connection.close();
        assertEquals("module outcome 0 a RESET", harness.await("module outcome"));
    }

    @Test
    void attemptThatTimesOutIsReleasedAtTheServer() throws Exception {
        harness.onRequest = request -> actions.send(request.id(), "a", 50_000);
        request("v1", "safe");
        accept();
        read();
        Message message = read();
        assertEquals("release v1 16", message.type() + " " + message.id() + " " + message.cause());
        harness.await("module outcome 0 a TIMEOUT");
        send(new Message("answer", "v1", Map.of(), -1, "late").encode());
        send("ping", "x", 0, Map.of());
        assertEquals("pong", read().type());
        assertEquals(0, net.callOnLoop(() -> harness.count("front served")));
    }

    @Test
    void sessionsEndWhenTheServerProcessDies() throws Exception {
        startSession("v1");
        connection.setSoLinger(true, 0);
        serverSocket.close();
        connection.close(); // with a reset
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded"));
    }

    @Test
    void closedConnectionIsReopenedAndItsSessionContinues() throws Exception {
        startSession("v1");
        connection.close();
        accept();
        send("release", "v1", 16, Map.of()); // sent on the next connection that is opened
        assertEquals("front sessionEnded v1 OK", harness.await("front sessionEnded"));
    }

    @Test
    void sessionsEndWhenTheServerBecomesUnreachable() throws Exception {
        startSession("v1");
        serverSocket.close();
        connection.close();
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded"));
    }

    @Test
    void silentServerIsProbedWithANewConnection() throws Exception {
        // Guards against sessions that never end: a machine that vanishes leaves its connections open and silent, so
        // only a new connection shows that it is gone.
        startBroker(30_000_000, 1000);
        startSession("v1");
        accept();
        send("release", "v1", 41, Map.of());
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded"));
    }

    @Test
    void connectionAboutToBeClosedAsIdleIsNotUsedForASetUp() throws Exception {
        // Guards against a lost set-up, which may be a paid one: the server closes an idle connection just as the
        // set-up is written.
        startBroker(1, 0); // an idle timeout that has expired as soon as anything else has happened
        request("v1", "safe");
        accept();
        send(new Message("release", read().id(), Map.of(), 34, null).encode());
        harness.await("module outcome 0 a FULL");
        connection = null;
        request("v2", "safe");
        accept();
        assertEquals("v2", read().id());
    }

    @Test
    void malformedMessageClosesTheConnectionAndEndsItsSetUps() throws Exception {
        request("v1", "safe");
        accept();
        read();
        send("no json\n");
        assertEquals("module outcome 0 a RESET", harness.await("module outcome"));
        assertEquals(null, input.readLine());
    }

    @Test
    void restartOfAServerEndsItsOlderSessions() throws Exception {
        startSession("v1");
        net.callOnLoop(() -> {
            edgeConnections.serverRestarted("a", clock.now() + 1);
            return null;
        });
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded"));
        startSessionOnNewConnection("v2");
    }

    private void startSessionOnNewConnection(String name) throws Exception {
        connection = null;
        startSession(name);
    }

    @Test
    void releasesAndRenditionsAreSent() throws Exception {
        String[] id = {""};
        harness.onRequest = request -> {
            id[0] = request.id();
            actions.send(request.id(), "a", 0);
        };
        startSession("v1");
        net.callOnLoop(() -> {
            actions.setRendition(id[0], 3);
            broker.cancel(clock.now(), "v1");
            return null;
        });
        Message rate = read();
        assertEquals(
                "rate v1 3", rate.type() + " " + rate.id() + " " + rate.fields().get("rung"));
        assertEquals("release v1", read().type() + " v1");
    }

    @Test
    void setUpAtAnUnlistedServerIsNotSent() throws Exception {
        net.callOnLoop(() -> {
            edgeConnections.updateAddresses(Map.of());
            return null;
        });
        request("v1", "paid");
        assertEquals("module outcome 0 a MOOT", harness.await("module outcome"));
    }

    @Test
    void connectionResetEndsNoSessions() throws Exception {
        // Connections of any age are reset while the server's process continues, and so do its sessions.
        startSession("v1");
        connection.setSoLinger(true, 0);
        connection.close();
        accept();
        send("release", "v1", 16, Map.of());
        assertEquals("front sessionEnded v1 OK", harness.await("front sessionEnded"));
    }

    @Test
    void retryAfterAServerDiedIsNotSentOnItsOtherDeadConnections() throws Exception {
        // Guards against wasted attempts: when a process died, the system reset all its connections at once, and until
        // the last reset was reported, a millisecond later, each retry of a request was sent on another dead
        // connection.
        net.callOnLoop(() -> harness.onOutcome = id -> {
            if (harness.count("module outcome") <= 2) {
                actions.send(id, "a", 0);
            } else {
                actions.fail(id);
            }
        });
        request("v1", "safe");
        accept();
        assertEquals("v1", read().id());
        Socket firstConnection = connection;
        request("v2", "safe");
        accept();
        send(new Message("answer", read().id(), Map.of(), -1, "v=0").encode());
        harness.await("front served v2"); // the second connection is free now
        net.callOnLoop(
                () -> { // both are reset before the event loop runs again, the one with the set-up first
                    for (Socket s : List.of(firstConnection, connection)) {
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
                harness.log.stream().filter(l -> l.startsWith("module outcome")).toList());
    }

    @Test
    void suspectServerIsNotProbedWhileAnotherBrokerProbesIt() throws Exception {
        // Guards against a burst of probes: an edge server died and a hundred brokers each opened a connection to probe
        // it.
        startSession("v1");
        verdict = Verdict.WAIT;
        resetConnection();
        awaitProbeEvent("suspected a true");
        awaitProbeEvent("asked a");
        awaitProbeEvent("asked a");
        assertEquals(0, net.callOnLoop(edgeConnections::countConnections));
        verdict = Verdict.UP;
        accept(); // another broker found it up: messages about the session need a connection
        awaitProbeEvent("suspected a false");
        assertEquals(1, net.callOnLoop(broker::activeSessions));
    }

    @Test
    void serverFoundDownByOthersIsLostWithoutAnOwnProbe() throws Exception {
        startSession("v1");
        serverSocket.close();
        verdict = Verdict.DOWN;
        resetConnection();
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded v1"));
        assertEquals(0, net.callOnLoop(edgeConnections::countConnections));
        assertTrue(
                probeEvents.stream().noneMatch(l -> l.startsWith("found")),
                "it probed the server itself: " + probeEvents);
    }

    @Test
    void probeResultsAreReportedAndASuccessEndsTheSuspicion() throws Exception {
        startSession("v1");
        resetConnection();
        awaitProbeEvent("suspected a true");
        accept();
        awaitProbeEvent("found a true");
        serverSocket.close();
        resetConnection();
        awaitProbeEvent("found a false");
    }

    @Test
    void oneRefusedConnectionEndsNoSessions() throws Exception {
        startSession("v1");
        int port = serverSocket.getLocalPort();
        serverSocket.close();
        connection.close();
        assertEquals(1, net.callOnLoop(() -> broker.activeSessions()));
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        accept();
        send("release", "v1", 16, Map.of());
        assertEquals("front sessionEnded v1 OK", harness.await("front sessionEnded"));
    }

    @Test
    void sessionsEndWhenAnotherProcessListensAtTheAddressOfOneThatDied() throws Exception {
        // Guards against sessions of a process that died, kept as active since the next process at its address answers.
        startSession("v1");
        int port = serverSocket.getLocalPort();
        serverSocket.close();
        resetConnection();
        awaitProbeEvent("found a false"); // refused
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        accept();
        assertEquals("front sessionEnded v1 RESET", harness.await("front sessionEnded"));
    }

    @Test
    void aProcessThatTheListHasNotToldOfGetsNoSetUp() throws Exception {
        // Guards against set-ups that reach another server, started at the address of one that died.
        startSession("v1");
        int port = serverSocket.getLocalPort();
        serverSocket.close();
        resetConnection();
        awaitProbeEvent("found a false");
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        accept();
        harness.await("front sessionEnded");
        request("v2", "safe");
        assertEquals("module outcome 0 a MOOT", harness.await("module outcome 0 a MOOT"));
        net.callOnLoop(() -> {
            edgeConnections.serverRestarted("a", clock.now());
            return null;
        });
        request("v3", "safe");
        accept(); // the connection from before the list told of the start is closed
        assertEquals("v3", read().id());
    }

    @Test
    void malformedAnswerEndsOnlyTheSetUpOnItsConnection() throws Exception {
        request("v1", "paid");
        accept();
        read();
        Socket firstConnection = connection;
        request("v2", "paid");
        accept(); // a connection of its own
        assertEquals("v2", read().id());
        firstConnection
                .getOutputStream()
                .write("{\"type\":\"answer\",\"id\":\"v1\"\n".getBytes(StandardCharsets.UTF_8));
        assertEquals("module outcome 0 a RESET", harness.await("module outcome"));
        send(new Message("answer", "v2", Map.of(), -1, "v=0").encode());
        assertEquals("front served v2 1..1", harness.await("front served"));
    }

    @Test
    void answerWithoutASessionDescriptionIsNotServed() throws Exception {
        request("v1", "safe");
        accept();
        read();
        send("answer", "v1", -1, Map.of());
        assertEquals("module outcome 0 a RESET", harness.await("module outcome"));
        assertEquals(0, net.callOnLoop(() -> harness.count("front served")));
    }

    @Test
    void duplicateAnswersAndUnknownIdsAreIgnored() throws Exception {
        request("v1", "safe");
        accept();
        read();
        send(new Message("answer", "v2", Map.of(), -1, "ahead").encode());
        String answer = new Message("answer", "v1", Map.of(), -1, "v=0").encode();
        send(answer + answer);
        harness.await("front served v1");
        request("v2", "safe");
        assertEquals("v2", read().id(), "the connection is still usable");
        assertEquals(1, net.callOnLoop(() -> harness.count("front served")));
    }

    @Test
    void connectionStuckWithinAMessageIsClosed() throws Exception {
        request("v1", "paid");
        accept();
        read();
        send("{\"type\":\"answer\",\"id\":");
        assertEquals("module outcome 0 a RESET", harness.await("module outcome"));
        assertEquals(null, input.readLine());
    }

    @Test
    void valuesOutOfRangeAreDropped() throws Exception {
        startSession("v1");
        for (String value : List.of("NaN", "Infinity", "-1", "1e300")) {
            send("note", "v1", -1, Map.of("note", "local", "value", value));
        }
        send("note", "v1", -1, Map.of("note", "local", "value", "0.25"));
        assertEquals("module metricReceived LINK 0.25", harness.await("module metricReceived"));
        send("release", "v1", 16, Map.of("load", "x0:NaN;busy_reqs:3"));
        assertEquals("module outcome 0 a OK last", harness.await("module outcome"));
    }

    @Test
    void silentConnectionGetsTheReleaseAndIsNotUsedAgain() throws Exception {
        // Guards against orphaned sessions: closing the connection at once left a session active whose answer was on
        // its way, and nobody notified its viewer of the end.
        harness.onRequest = request -> actions.send(request.id(), "a", 300_000);
        request("v1", "safe");
        accept();
        assertEquals("setup", read().type());
        assertEquals("release v1", read().type() + " v1");
        request("v2", "safe");
        accept();
        assertEquals("v2", read().id());
    }

    @Test
    void whenNoServerReportsOneIsProbedAndNoConnectionIsClosed() throws Exception {
        // Guards against needless reconnects: when reports were missing everywhere, 14 brokers closed and reopened 277
        // connections, and an end of session on its way was lost.
        startBroker(30_000_000, 2_000_000); // long enough that no server counts as silent before all have a session
        List<String> ids = List.of("a", "b", "c", "d");
        net.callOnLoop(() -> {
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    ids.stream()
                            .map(id -> new Director.Server(id, "z", "k", 0, Director.State.UP, 1, 0))
                            .toList());
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort());
            edgeConnections.updateAddresses(Map.of("a", at, "b", at, "c", at, "d", at));
            return null;
        });
        List<Socket> connections = new ArrayList<>();
        for (String id : ids) {
            harness.onRequest = request -> actions.send(request.id(), id, 0);
            connection = null;
            startSession("v" + id);
            connections.add(connection);
        }
        accept(); // the one that is probed
        assertEquals(5, net.callOnLoop(() -> edgeConnections.countConnections()));
        for (int i = 0; i < connections.size(); i++) {
            connection = connections.get(i);
            send("release", "v" + ids.get(i), 16, Map.of());
            assertEquals("front sessionEnded v" + ids.get(i) + " OK", harness.await("front sessionEnded"));
        }
    }

    /** Starts a broker that may have one connection in total, and adds a second server, b; returns b's socket. */
    private ServerSocket limitToOneConnection() throws Exception {
        startBroker(30_000_000, 0, 1);
        ServerSocket b = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        b.setSoTimeout(20_000);
        addServers(List.of("b"), b);
        return b;
    }

    @Test
    void idleConnectionIsClosedToConnectToAnotherServer() throws Exception {
        // Guards against running out of descriptors: at least one connection was kept per server, and several hundred
        // servers are more than there are descriptors.
        try (ServerSocket b = limitToOneConnection()) {
            startSession("0000000000000001");
            send("release", "0000000000000001", 16, Map.of());
            harness.await("front sessionEnded 0000000000000001");
            harness.onRequest = request -> actions.send(request.id(), "b", 0);
            request("0000000000000002", "safe");
            try (Socket other = b.accept()) {
                assertEquals(null, read(), "the idle connection was closed");
                assertEquals(1, (int) net.callOnLoop(edgeConnections::countConnections));
            }
        }
    }

    @Test
    void withoutADescriptorASetUpIsNotSentAndTheServerIsNotBlamed() throws Exception {
        // Guards against ending live sessions: the lack of a descriptor was reported as a refused connection, which
        // proves that the server's process is gone.
        try (ServerSocket b = limitToOneConnection()) {
            request("0000000000000001", "safe");
            accept();
            assertEquals("setup", read().type());
            harness.onRequest = request -> actions.send(request.id(), "b", 0);
            request("0000000000000002", "safe");
            harness.await("module outcome 0 b MOOT");
            assertEquals(1, (int) net.callOnLoop(edgeConnections::countConnections));
        }
    }

    @Test
    void serversWithSessionsTakeTurnsWhereConnectionsAreFewer() throws Exception {
        // Guards against sessions that never end: what a server without a connection cannot send arrives on the next
        // one.
        try (ServerSocket b = limitToOneConnection()) {
            startSession("0000000000000001");
            harness.onRequest = request -> actions.send(request.id(), "b", 0);
            request("0000000000000002", "safe");
            try (Socket other = b.accept()) {
                String asked = new BufferedReader(new InputStreamReader(other.getInputStream(), StandardCharsets.UTF_8))
                        .readLine();
                assertEquals("0000000000000002", Message.parse(asked).id());
                other.getOutputStream()
                        .write(new Message("answer", "0000000000000002", Map.of(), -1, "v=0")
                                .encode()
                                .getBytes(StandardCharsets.UTF_8));
                harness.await("front served 0000000000000002");
                accept(); // a gets a connection again without further cause
                send("release", "0000000000000001", 16, Map.of());
                harness.await("front sessionEnded 0000000000000001");
            }
        }
    }

    @Test
    void connectionIsReusedWhereTheIdleTimeoutIsShort() throws Exception {
        // Guards against constant reconnects: with a margin of 3 s and an idle timeout of 2 s, each set-up opened a new
        // connection, and a server with sessions got two a second.
        startBroker(2_000_000, 3_000_000);
        startSession("v1");
        request("v2", "safe");
        assertEquals("v2", read().id());
    }

    @Test
    void cancelledIdIsNotSentToTheSameServerAgainAtOnce() throws Exception {
        // Guards against mixed-up answers: the answer to the first set-up, on its way when that was cancelled, was
        // taken for the answer to the second one.
        request("v1", "safe");
        accept();
        assertEquals("setup", read().type());
        net.callOnLoop(() -> {
            broker.cancel(clock.now(), "v1");
            return requestOnLoop(BrokerHarness.sessionRequest("v1", "safe"));
        });
        assertEquals("release", read().type());
        send(new Message("answer", "v1", Map.of(), -1, "v=0").encode());
        request("v2", "safe");
        assertEquals("v2", read().id());
        assertEquals(1, net.callOnLoop(() -> harness.count("module outcome 0 a MOOT")));
        assertEquals(0, net.callOnLoop(() -> harness.count("front served")));
    }

    // ---- Set-ups that wait for or on a connection when their viewer leaves or their server drains.

    private static SessionRequest largeRequest(String name) {
        return new SessionRequest(
                name, "safe", "viewer", "title", 3_000_000, 0, 0, 3, 4, false, false, false, "x".repeat(15_000) + "\n");
    }

    private boolean requestOnLoop(SessionRequest sessionRequest) {
        return broker.request(clock.now(), harness.connection, harness, edgeConnections, sessionRequest);
    }

    @Test
    void setUpWhoseViewerLeavesWhileConnectingIsNotSent() throws Exception {
        net.callOnLoop(() -> {
            requestOnLoop(BrokerHarness.sessionRequest("v1", "paid"));
            broker.cancel(clock.now(), "v1");
            return requestOnLoop(BrokerHarness.sessionRequest("v2", "safe"));
        });
        accept();
        assertEquals("v2", read().id());
        assertEquals(0, net.callOnLoop(() -> harness.count("module outcome")));
    }

    @Test
    void setUpWhoseViewerLeavesInTheSameLoopIterationIsNotSent() throws Exception {
        startSession("v1");
        net.callOnLoop(() -> {
            requestOnLoop(BrokerHarness.sessionRequest("v2", "paid"));
            broker.disconnected(clock.now(), harness.connection);
            harness.connection = broker.connected(clock.now(), harness, h -> {});
            return requestOnLoop(BrokerHarness.sessionRequest("v3", "safe"));
        });
        assertEquals("v3", read().id());
    }

    @Test
    void sentAttemptIsReleasedWhenItsViewerDisconnects() throws Exception {
        request("v1", "paid");
        accept();
        assertEquals("setup", read().type());
        net.callOnLoop(() -> {
            broker.disconnected(clock.now(), harness.connection);
            return null;
        });
        Message message = read();
        assertEquals("release v1 16", message.type() + " " + message.id() + " " + message.cause());
        send(new Message("answer", "v1", Map.of(), -1, "v=0").encode()); // it crossed the release
        request("v2", "safe");
        assertEquals("v2", read().id());
        assertEquals(0, net.callOnLoop(() -> harness.count("front")));
    }

    @Test
    void drainWhileConnectingStopsTheSetUp() throws Exception {
        // Guards against set-ups at a draining server: a waiting set-up was sent once the connection was open, however
        // long after the drain was announced.
        Director.Settings s = harness.settings;
        Director.Rules none = new Director.Rules(300_000, 0.4, 12_000_000, 2.5, 2_000_000, 0, 0, 0);
        net.callOnLoop(() -> {
            TimerQueue timers = new TimerQueue(clock::wakeAt);
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
                        actions = a;
                        return harness;
                    },
                    message -> {},
                    timers);
            edgeConnections = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    timers,
                    new EdgeServerConnections.Options(
                            250_000, 30_000_000, 3_000_000, 0, List.of("busy_reqs", "x0"), 256),
                    probeCoordinator);
            harness.connection = broker.connected(clock.now(), harness, h -> {});
            changeServerState(Director.State.UP);
            edgeConnections.updateAddresses(
                    Map.of("a", new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort())));
            requestOnLoop(BrokerHarness.sessionRequest("v1", "paid"));
            changeServerState(Director.State.DRAINING); // the drain grace equals the margin kept of it, so none is left
            return null;
        });
        accept();
        harness.await("module outcome 0 a MOOT");
        harness.await("front failed v1");
        net.callOnLoop(() -> {
            changeServerState(Director.State.UP);
            return requestOnLoop(BrokerHarness.sessionRequest("v2", "safe"));
        });
        assertEquals("v2", read().id());
    }

    private void changeServerState(Director.State state) {
        broker.serversChanged(
                clock.now(),
                "names",
                Director.ListScope.CHANGES,
                List.of(new Director.Server("a", "z", "k", 0, state, 1, 0)));
    }

    @Test
    void cancelledSetUpThatTheServerHasNotReadIsNotDelivered() throws Exception {
        // Guards against set-ups for viewers who left: bytes that the system had not taken yet were sent once the
        // server read again, long after the viewer had gone.
        serverSocket.setReceiveBufferSize(4096);
        startBroker(30_000_000, 3_000_000, 2); // one connection per server
        int last = 0;
        do {
            String name = "v" + ++last;
            net.callOnLoop(() -> requestOnLoop(largeRequest(name)));
            assertTrue(last < 4000, "the system takes all bytes");
        } while (net.callOnLoop(() -> harness.count("module outcome"))
                == 0); // until one is held back because the server does not read
        String waiting = "v" + (last - 1);
        net.callOnLoop(() -> {
            broker.cancel(clock.now(), waiting);
            return null;
        });
        accept();
        for (String text = input.readLine();
                text != null && text.endsWith("}");
                text = input.readLine()) { // or truncated
            assertTrue(!Message.parse(text).id().equals(waiting), "the cancelled set-up was delivered");
        }
    }
}
