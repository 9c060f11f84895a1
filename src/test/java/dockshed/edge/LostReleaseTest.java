package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Releases of edge servers that are lost with a connection, or that arrive before the broker knows their session. */
class LostReleaseTest extends EdgeServerConnectionsFixture {
    /** Two connections to server a, each with an active session: v1 on the first one, v2 on the second. */
    private List<Socket> startSessionsOnTwoConnections() throws Exception {
        List<Socket> connections = new ArrayList<>();
        for (String name : List.of("v1", "v2")) { // the first set-up is pending when the second one is sent
            request(name, "safe");
            accept();
            assertEquals(name, read().id());
            connections.add(connection);
        }
        for (int i = 0; i < connections.size(); i++) {
            connection = connections.get(i);
            send(new Message("answer", "v" + (i + 1), Map.of(), -1, "v=0").encode());
            harness.await("front served v" + (i + 1));
        }
        return connections;
    }

    /** Accepts the connection that the broker opens, and sends on it a release that was lost with another one. */
    private void sendLostRelease(String name) throws Exception {
        accept();
        send("release", name, 16, Map.of());
        assertEquals("front sessionEnded " + name + " OK", harness.await("front sessionEnded " + name));
    }

    @Test
    void releaseLostWithAResetConnectionIsReceivedOnANewOneWhileOthersAreOpen() throws Exception {
        // Guards against ends that viewers were never notified of: a release was lost with a reset connection, and as
        // others to that server were open, none was opened on which the server could send it again.
        startBroker(30_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        connection = connections.get(0);
        resetConnection();
        sendLostRelease("v1");
        assertEquals(2, net.callOnLoop(edgeConnections::countConnections));
        assertEquals(1, net.callOnLoop(broker::activeSessions));
        connections.get(1).close();
    }

    @Test
    void releaseLostBehindAMalformedMessageIsReceivedOnANewConnection() throws Exception {
        // Guards against the same loss where the broker itself closes the connection at once.
        startBroker(30_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        connection = connections.get(0);
        send("noise\n");
        sendLostRelease("v1");
        connections.get(1).close();
    }

    @Test
    void releaseLostWithASilentConnectionIsReceivedOnANewOne() throws Exception {
        // Guards against the same loss on a connection that the broker closes since nothing came on it after a set-up
        // that was cancelled, as seen where restarted brokers were late and cancelled many set-ups.
        startBroker(30_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        harness.onRequest = request -> actions.send(request.id(), "a", 300_000);
        request("v3", "safe");
        harness.await("module outcome 0 a TIMEOUT");
        sendLostRelease("v1");
        connections.get(0).close();
        connections.get(1).close();
    }

    @Test
    void connectionForALostReleaseIsOpenedAgainAfterAFailure() throws Exception {
        // Guards against giving up after one refused connection while others are open; sessions there continue.
        startBroker(30_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        int port = serverSocket.getLocalPort();
        serverSocket.close();
        connection = connections.get(0);
        resetConnection();
        awaitProbeEvent("found a false");
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        sendLostRelease("v1");
        assertEquals(1, net.callOnLoop(broker::activeSessions));
        connections.get(1).close();
    }

    @Test
    void idleConnectionsAreReplacedByASingleOne() throws Exception {
        // Guards against a pool that never shrinks, where each idle connection is replaced by another one.
        startBroker(2_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        sendLostRelease("v1");
        assertEquals(1, net.callOnLoop(edgeConnections::countConnections));
        for (Socket closed : connections) {
            assertEquals(-1, closed.getInputStream().read());
        }
    }

    @Test
    void withoutADescriptorAConnectionToTheSameServerMakesRoomForALostRelease() throws Exception {
        // Guards against a chain of evictions: the connection opened in place of one that was closed for lack of
        // descriptors would close one to another server, which has to be replaced in turn.
        startBroker(30_000_000, WITHOUT_REPORTS, 4);
        List<Socket> connections = startSessionsOnTwoConnections();
        try (ServerSocket others = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            others.setSoTimeout(20_000);
            addServers(List.of("b", "c", "d"), others);
            List<Socket> otherConnections = new ArrayList<>();
            for (String id : List.of("b", "c", "d")) { // the last one exceeds the limit
                harness.onRequest = request -> actions.send(request.id(), id, 0);
                request("v" + id, "safe");
                otherConnections.add(others.accept());
                connection = otherConnections.get(otherConnections.size() - 1);
                send(new Message("answer", "v" + id, Map.of(), -1, "v=0").encode());
                harness.await("front served v" + id);
            }
            sendLostRelease("v1");
            for (Socket closed : connections) {
                closed.setSoTimeout(20_000);
                assertEquals(-1, closed.getInputStream().read());
            }
            assertEquals(4, net.callOnLoop(edgeConnections::countConnections));
            for (Socket kept : otherConnections) {
                connection = kept;
                send("ping", "p", 0, Map.of());
                kept.setSoTimeout(20_000);
                assertTrue(kept.getInputStream().read() >= 0, "connection to another server was closed");
            }
        }
    }

    @Test
    void aDescriptorFreedForAViewerIsNotTakenForALostRelease() throws Exception {
        // Guards against viewers that cannot connect: the connection closed to free a descriptor was opened again.
        startBroker(30_000_000, WITHOUT_REPORTS);
        List<Socket> connections = startSessionsOnTwoConnections();
        net.callOnLoop(() -> {
            edgeConnections.closeIdleConnection();
            return null;
        });
        sendLostRelease("v1");
        assertEquals(1, net.callOnLoop(edgeConnections::countConnections));
        for (Socket closed : connections) {
            assertEquals(-1, closed.getInputStream().read());
        }
    }

    @Test
    void aReleaseReceivedBeforeItsSessionIsTakenOverEndsIt() throws Exception {
        // Guards against sessions that stay active for good after a restart: the release was sent on the first
        // connection, before the viewers' side had named the session, and the broker did not know it yet.
        adopt("v1");
        accept();
        send("release", "v2", 16, Map.of());
        send("ping", "p", 0, Map.of());
        assertEquals("pong", read().type()); // the release has been handled
        adopt("v2");
        assertEquals("front sessionEnded v2 OK", harness.await("front sessionEnded"));
        assertEquals(1, net.callOnLoop(broker::activeSessions));
    }

    /** Names a session that plays at server a, as the viewers' side does after a restart. */
    private void adopt(String name) {
        assertTrue(net.callOnLoop(() -> broker.adoptSession(
                clock.now(),
                harness.connection,
                harness,
                edgeConnections,
                BrokerHarness.sessionRequest(name, "safe"),
                "a")));
    }
}
