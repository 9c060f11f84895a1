package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.edge.EdgeServerConnections;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.InputLimits;
import dockshed.net.LoopBlocker;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import dockshed.rtsp.RtspFront;
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
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against races between two endings of one attempt or session, such as an answer and a cancellation, which could
 * leave entries in the broker's tables, send a second attempt or send a second answer. The real front, broker and
 * connections to two edge servers run on loopback sockets, with a scripted decision module. The event loop is blocked
 * until both messages of a race have been sent. At the end of each test all tables are empty.
 */
class ConcurrentEndingsTest {
    private static final String SESSION = "0123456789abcdef";

    /** An edge server whose messages the test sends. */
    private static final class ScriptedEdgeServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Socket connection;
        BufferedReader reader;

        ScriptedEdgeServer() throws IOException {
            listener.setSoTimeout(20_000);
        }

        void accept() throws IOException {
            connection = listener.accept();
            connection.setSoTimeout(20_000);
            reader = new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
        }

        /** Reads the next message, as "setup ID" or "release ID CAUSE"; "end" if the connection was closed. */
        String readMessage() throws IOException {
            String line = reader.readLine();
            if (line == null) {
                return "end";
            }
            String cause = line.contains("\"cause\"") ? " " + line.replaceAll(".*\"cause\":([0-9]+).*", "$1") : "";
            return line.replaceAll(".*\"type\":\"([a-z]+)\".*", "$1") + " "
                    + line.replaceAll(".*\"id\":\"([0-9a-f]+)\".*", "$1") + cause;
        }

        /** Reads the next set-up, skipping releases of set-ups that were cancelled before their end had been read. */
        String readSetUp() throws IOException {
            String message = readMessage();
            while (message.startsWith("release ")) {
                message = readMessage();
            }
            return message;
        }

        void send(String line) throws IOException {
            connection.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        void answer(String session) throws IOException {
            send("{\"type\":\"answer\",\"id\":\"" + session + "\",\"fields\":{},\"sdp\":\"v=0\\r\\n\"}");
        }

        void release(String session, int cause) throws IOException {
            send("{\"type\":\"release\",\"id\":\"" + session + "\",\"fields\":{},\"cause\":" + cause + "}");
        }

        @Override
        public void close() throws IOException {
            listener.close();
            if (connection != null) {
                connection.close();
            }
        }
    }

    private static final class Viewer implements AutoCloseable {
        final Socket socket;
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 16);

        Viewer(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void setUp(String session, String className) throws IOException {
            send("SETUP rtsp://media/t RTSP/1.0\r\nCSeq: 1\r\nSession: " + session + "\r\nPriority-Class: " + className
                    + "\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n");
        }

        void tearDown(String session) throws IOException {
            send("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + session
                    + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** Reads the next message, as "200 CSEQ ID" or "TEARDOWN CSEQ ID"; "end" if the connection was closed. */
        String readMessage() throws Exception {
            byte[] buffer = new byte[4096];
            for (HttpStyleMessage message = decoder.next(); ; message = decoder.next()) {
                if (message != null) {
                    String kind = message.startLine().startsWith("RTSP/")
                            ? message.startLinePart(1)
                            : message.startLinePart(0);
                    return kind + " " + message.header("cseq") + " " + message.header("session");
                }
                int length = socket.getInputStream().read(buffer);
                if (length < 0) {
                    return "end";
                }
                decoder.add(buffer, 0, length);
            }
        }

        /** Reads all messages sent before the response to a ping, which the viewer sends now. */
        List<String> readUntilPing() throws Exception {
            send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ping\r\nContent-Length: 0\r\n\r\n");
            List<String> messages = new ArrayList<>();
            for (String message = readMessage(); !message.equals("200 3 ping"); message = readMessage()) {
                assertTrue(!message.equals("end"), messages.toString());
                messages.add(message);
            }
            return messages;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private final Net net = new Net();
    private final BrokerHarness module = new BrokerHarness();
    private Director.Actions moduleActions;
    private Broker broker;
    private InetSocketAddress frontAddress;
    private ScriptedEdgeServer serverA;
    private ScriptedEdgeServer serverB;
    private Viewer viewer;

    @BeforeEach
    void start() throws Exception {
        serverA = new ScriptedEdgeServer();
        serverB = new ScriptedEdgeServer();
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    module.settings,
                    actions -> {
                        moduleActions = actions;
                        return module;
                    },
                    message -> {},
                    timers);
            clock.onWakeUp(broker::runDueTimers);
            EdgeServerConnections edgeServers = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    timers,
                    new EdgeServerConnections.Options(250_000, 30_000_000, 0, 0, List.of("busy_reqs", "x0"), 256));
            module.onRequest = request -> moduleActions.send(request.id(), "a", 0);
            module.onOutcome = requestId -> moduleActions.send(requestId, "b", 0);
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    List.of(
                            new Director.Server("a", "z", "k", 0, Director.State.UP, 1, 0),
                            new Director.Server("b", "z", "k", 0, Director.State.UP, 1, 0)));
            edgeServers.updateAddresses(
                    Map.of("a", (InetSocketAddress) serverA.listener.getLocalSocketAddress(), "b", (InetSocketAddress)
                            serverB.listener.getLocalSocketAddress()));
            return new RtspFront(broker, edgeServers, clock, timers, 10, InputLimits.unlimitedMemory());
        });
        frontAddress = (InetSocketAddress)
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), front::accept, () -> {}, true)
                        .sync()
                        .channel()
                        .localAddress();
        viewer = new Viewer(frontAddress);
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        serverA.close();
        serverB.close();
        viewer.close();
    }

    /** Checks that the broker has neither unanswered requests nor sessions. */
    private void assertTablesEmpty() {
        assertEquals(0, net.callOnLoop(() -> broker.unansweredRequests() + broker.activeSessions()));
    }

    private void setUpReachesA(String session, String className) throws Exception {
        viewer.setUp(session, className);
        if (serverA.connection == null) {
            serverA.accept();
        }
        assertEquals("setup " + session, serverA.readMessage());
    }

    /** Opens a connection to server b, so that a set-up sent there would be written at once. */
    private void connectToB() throws Exception {
        String session = "00000000000000b1";
        setUpReachesA(session, "safe");
        serverA.release(session, 34);
        serverB.accept();
        assertEquals("setup " + session, serverB.readMessage());
        serverB.release(session, 102); // the scripted module sends it to b once more
        assertEquals("setup " + session, serverB.readMessage());
        viewer.tearDown(session);
        assertEquals("200 2 " + session, viewer.readMessage());
        assertEquals("release " + session + " 16", serverB.readMessage());
    }

    @Test
    void aViewerThatDisconnectsAsTheFirstAttemptEndsGetsNoSecondAttempt() throws Exception {
        connectToB();
        for (String className : List.of("safe", "paid")) {
            String session = className.equals("safe") ? SESSION : SESSION.replace('0', '9');
            try (Viewer leaving = new Viewer(frontAddress)) {
                leaving.setUp(session, className);
                assertEquals("setup " + session, serverA.readSetUp());
                CountDownLatch unblock = LoopBlocker.block(net);
                serverA.release(session, 34); // it never ran: another attempt would be allowed
                leaving.close();
                unblock.countDown();
            }
            assertEquals(List.of(), viewer.readUntilPing());
            assertEquals(List.of(), viewer.readUntilPing());
        }
        String nextSession = "00000000000000b2";
        viewer.setUp(nextSession, "safe");
        assertEquals("setup " + nextSession, serverA.readSetUp());
        serverA.release(nextSession, 34);
        assertEquals("setup " + nextSession, serverB.readMessage(), "no set-up was sent in between");
        viewer.tearDown(nextSession);
        assertEquals("200 2 " + nextSession, viewer.readMessage());
        assertTablesEmpty();
    }

    @Test
    void anAnswerThatCrossesACancellationLeavesNoSessionBehind() throws Exception {
        setUpReachesA(SESSION, "paid");
        CountDownLatch unblock = LoopBlocker.block(net);
        serverA.answer(SESSION);
        viewer.tearDown(SESSION);
        unblock.countDown();
        List<String> received = new ArrayList<>(List.of(viewer.readMessage()));
        received.addAll(viewer.readUntilPing());
        // Either message may be read first: the viewer ended a started session, or cancelled the request before it
        // started.
        assertTrue(
                received.equals(List.of("200 2 " + SESSION))
                        || received.equals(List.of("200 1 " + SESSION, "200 2 " + SESSION)),
                received.toString());
        String released = serverA.readMessage();
        assertEquals(received.size() == 1 ? "release " + SESSION + " 16" : "release " + SESSION + " 31", released);
        assertTablesEmpty();
    }

    @Test
    void aSecondAnswerFromTheSameServerOrFromAnotherChangesNothing() throws Exception {
        setUpReachesA(SESSION, "safe");
        serverA.release(SESSION, 34);
        serverB.accept();
        assertEquals("setup " + SESSION, serverB.readMessage());
        CountDownLatch unblock = LoopBlocker.block(net);
        serverB.answer(SESSION);
        serverB.answer(SESSION);
        serverA.answer(SESSION);
        unblock.countDown();
        assertEquals("200 1 " + SESSION, viewer.readMessage());
        serverA.answer(SESSION);
        serverB.answer(SESSION);
        assertEquals(List.of(), viewer.readUntilPing());
        serverB.release(SESSION, 16);
        assertEquals("TEARDOWN 2 " + SESSION, viewer.readMessage());
        serverB.release(SESSION, 16);
        assertEquals(List.of(), viewer.readUntilPing());
        assertTablesEmpty();
    }

    @Test
    void aResetInTheMiddleOfAnAnswerFailsAPaidSetUpAndRepeatsASafeOne() throws Exception {
        setUpReachesA(SESSION, "paid");
        module.onOutcome = requestId -> moduleActions.fail(requestId);
        serverA.connection
                .getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + SESSION).getBytes(StandardCharsets.UTF_8));
        serverA.connection.setSoLinger(true, 0);
        serverA.connection.close();
        assertEquals("500 1 " + SESSION, viewer.readMessage());
        module.onOutcome = requestId -> moduleActions.send(requestId, "b", 0);
        String safeSession = "00000000000000b3";
        viewer.setUp(safeSession, "safe");
        serverA.accept();
        assertEquals("setup " + safeSession, serverA.readMessage());
        serverA.connection
                .getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + safeSession).getBytes(StandardCharsets.UTF_8));
        serverA.connection.setSoLinger(true, 0);
        serverA.connection.close();
        serverB.accept();
        assertEquals("setup " + safeSession, serverB.readMessage());
        serverB.answer(safeSession);
        assertEquals("200 1 " + safeSession, viewer.readMessage());
        viewer.tearDown(safeSession);
        assertEquals("200 2 " + safeSession, viewer.readMessage());
        assertTablesEmpty();
    }

    @Test
    void theEndOfAConnectionCancelsAllRequestsOnItAndNoOthers() throws Exception {
        setUpReachesA(SESSION, "safe");
        try (Viewer leaving = new Viewer(frontAddress)) {
            for (int i = 1; i <= 3; i++) {
                leaving.setUp("000000000000000" + i, i == 2 ? "paid" : "safe");
            }
            int setUpsRead = 1;
            List<Socket> connections = new ArrayList<>(List.of(serverA.connection));
            // Each set-up takes a connection of its own; which connection carries which is up to the adapter.
            BufferedReader firstReader = serverA.reader;
            List<BufferedReader> readers = new ArrayList<>(List.of(firstReader));
            while (setUpsRead < 4) {
                serverA.accept();
                connections.add(serverA.connection);
                readers.add(serverA.reader);
                assertTrue(serverA.readMessage().startsWith("setup 000000000000000"));
                setUpsRead++;
            }
            leaving.close();
            for (int i = 1; i < 4; i++) {
                serverA.reader = readers.get(i);
                assertTrue(serverA.readMessage().matches("release 000000000000000[1-3] 16"));
            }
            serverA.connection = connections.get(0);
            serverA.reader = firstReader;
            for (int i = 1; i < 4; i++) {
                connections.get(i).close();
            }
        }
        serverA.answer(SESSION);
        assertEquals("200 1 " + SESSION, viewer.readMessage());
        viewer.tearDown(SESSION);
        assertEquals("200 2 " + SESSION, viewer.readMessage());
        assertTablesEmpty();
    }
}
