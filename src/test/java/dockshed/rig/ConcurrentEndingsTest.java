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
 * Ends that cross, seen on the wires at both ends: viewers' front, broker and lines to two servers on loopback sockets, the
 * module scripted. The loop is held until both sides of a crossing have come. Afterwards every table is empty.
 */
class ConcurrentEndingsTest {
    private static final String SESSION = "0123456789abcdef";

    /** A server, which the test plays. */
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

        /** The next line, as "setup ID" or "release ID 16". */
        String readMessage() throws IOException {
            String text = reader.readLine();
            if (text == null) {
                return "end";
            }
            String cause = text.contains("\"cause\"") ? " " + text.replaceAll(".*\"cause\":([0-9]+).*", "$1") : "";
            return text.replaceAll(".*\"type\":\"([a-z]+)\".*", "$1") + " "
                    + text.replaceAll(".*\"id\":\"([0-9a-f]+)\".*", "$1") + cause;
        }

        /** The next set-up; a release before it is of one that was given up before its end had been read. */
        String readSetUp() throws IOException {
            String next = readMessage();
            while (next.startsWith("release ")) {
                next = readMessage();
            }
            return next;
        }

        void send(String text) throws IOException {
            connection.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        void answer(String id) throws IOException {
            send("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=0\\r\\n\"}");
        }

        void release(String id, int cause) throws IOException {
            send("{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{},\"cause\":" + cause + "}");
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

        Viewer(InetSocketAddress at) throws IOException {
            socket = new Socket(at.getAddress(), at.getPort());
            socket.setSoTimeout(20_000);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void setUp(String id, String cls) throws IOException {
            send("SETUP rtsp://media/t RTSP/1.0\r\nCSeq: 1\r\nSession: " + id + "\r\nPriority-Class: " + cls
                    + "\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n");
        }

        void tearDown(String id) throws IOException {
            send("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** The next message, as "200 1 ID" or "TEARDOWN 2 ID"; "end" where none comes any more. */
        String readMessage() throws Exception {
            byte[] buf = new byte[4096];
            for (HttpStyleMessage m = decoder.next(); ; m = decoder.next()) {
                if (m != null) {
                    String what = m.startLine().startsWith("RTSP/") ? m.startLinePart(1) : m.startLinePart(0);
                    return what + " " + m.header("cseq") + " " + m.header("session");
                }
                int n = socket.getInputStream().read(buf);
                if (n < 0) {
                    return "end";
                }
                decoder.add(buf, 0, n);
            }
        }

        /** What comes until a test of the viewer's own passes: all that was told before it. */
        List<String> readUntilPing() throws Exception {
            send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ping\r\nContent-Length: 0\r\n\r\n");
            List<String> heard = new ArrayList<>();
            for (String m = readMessage(); !m.equals("200 3 ping"); m = readMessage()) {
                assertTrue(!m.equals("end"), heard.toString());
                heard.add(m);
            }
            return heard;
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
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    module.settings,
                    actions -> {
                        moduleActions = actions;
                        return module;
                    },
                    m -> {},
                    deadlines);
            clock.onWakeUp(broker::runDueTimers);
            EdgeServerConnections edges = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    deadlines,
                    new EdgeServerConnections.Options(250_000, 30_000_000, 0, 0, List.of("busy_reqs", "x0"), 256));
            module.onRequest = r -> moduleActions.send(r.id(), "a", 0);
            module.onOutcome = id -> moduleActions.send(id, "b", 0);
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    List.of(
                            new Director.Server("a", "z", "k", 0, Director.State.UP, 1, 0),
                            new Director.Server("b", "z", "k", 0, Director.State.UP, 1, 0)));
            edges.updateAddresses(
                    Map.of("a", (InetSocketAddress) serverA.listener.getLocalSocketAddress(), "b", (InetSocketAddress)
                            serverB.listener.getLocalSocketAddress()));
            return new RtspFront(broker, edges, clock, deadlines, 10);
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

    private void assertTablesEmpty() {
        assertEquals(0, net.callOnLoop(() -> broker.unansweredRequests() + broker.activeSessions()));
    }

    private void setUpReachesA(String id, String cls) throws Exception {
        viewer.setUp(id, cls);
        if (serverA.connection == null) {
            serverA.accept();
        }
        assertEquals("setup " + id, serverA.readMessage());
    }

    /** A line to b that is up, so that what is sent there would be written at once. */
    private void connectToB() throws Exception {
        String other = "00000000000000b1";
        setUpReachesA(other, "safe");
        serverA.release(other, 34);
        serverB.accept();
        assertEquals("setup " + other, serverB.readMessage());
        serverB.release(other, 102); // tried at b once more, as the script says
        assertEquals("setup " + other, serverB.readMessage());
        viewer.tearDown(other);
        assertEquals("200 2 " + other, viewer.readMessage());
        assertEquals("release " + other + " 16", serverB.readMessage());
    }

    @Test
    void whoClosesAsTheFirstAttemptEndsHasNoSecond() throws Exception {
        connectToB();
        for (String cls : List.of("safe", "paid")) {
            String id = cls.equals("safe") ? SESSION : SESSION.replace('0', '9');
            try (Viewer leaves = new Viewer(frontAddress)) {
                leaves.setUp(id, cls);
                assertEquals("setup " + id, serverA.readSetUp());
                CountDownLatch go = LoopBlocker.block(net);
                serverA.release(id, 34); // it never ran: another attempt would be in order
                leaves.close();
                go.countDown();
            }
            assertEquals(List.of(), viewer.readUntilPing());
            assertEquals(List.of(), viewer.readUntilPing());
        }
        String next = "00000000000000b2";
        viewer.setUp(next, "safe");
        assertEquals("setup " + next, serverA.readSetUp());
        serverA.release(next, 34);
        assertEquals("setup " + next, serverB.readMessage(), "nothing came in between");
        viewer.tearDown(next);
        assertEquals("200 2 " + next, viewer.readMessage());
        assertTablesEmpty();
    }

    @Test
    void anAnswerThatCrossesItsGivingUpIsNeitherHeardNorLeftStanding() throws Exception {
        setUpReachesA(SESSION, "paid");
        CountDownLatch go = LoopBlocker.block(net);
        serverA.answer(SESSION);
        viewer.tearDown(SESSION);
        go.countDown();
        List<String> heard = new ArrayList<>(List.of(viewer.readMessage()));
        heard.addAll(viewer.readUntilPing());
        // Either was read first: the session stood and was ended by its viewer, or was given up before it stood.
        assertTrue(
                heard.equals(List.of("200 2 " + SESSION))
                        || heard.equals(List.of("200 1 " + SESSION, "200 2 " + SESSION)),
                heard.toString());
        String told = serverA.readMessage();
        assertEquals(heard.size() == 1 ? "release " + SESSION + " 16" : "release " + SESSION + " 31", told);
        assertTablesEmpty();
    }

    @Test
    void aSecondAnswerFromTheSameServerOrFromAnotherChangesNothing() throws Exception {
        setUpReachesA(SESSION, "safe");
        serverA.release(SESSION, 34);
        serverB.accept();
        assertEquals("setup " + SESSION, serverB.readMessage());
        CountDownLatch go = LoopBlocker.block(net);
        serverB.answer(SESSION);
        serverB.answer(SESSION);
        serverA.answer(SESSION);
        go.countDown();
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
        module.onOutcome = id -> moduleActions.fail(id);
        serverA.connection
                .getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + SESSION).getBytes(StandardCharsets.UTF_8));
        serverA.connection.setSoLinger(true, 0);
        serverA.connection.close();
        assertEquals("500 1 " + SESSION, viewer.readMessage());
        module.onOutcome = id -> moduleActions.send(id, "b", 0);
        String safe = "00000000000000b3";
        viewer.setUp(safe, "safe");
        serverA.accept();
        assertEquals("setup " + safe, serverA.readMessage());
        serverA.connection
                .getOutputStream()
                .write(("{\"type\":\"answer\",\"id\":\"" + safe).getBytes(StandardCharsets.UTF_8));
        serverA.connection.setSoLinger(true, 0);
        serverA.connection.close();
        serverB.accept();
        assertEquals("setup " + safe, serverB.readMessage());
        serverB.answer(safe);
        assertEquals("200 1 " + safe, viewer.readMessage());
        viewer.tearDown(safe);
        assertEquals("200 2 " + safe, viewer.readMessage());
        assertTablesEmpty();
    }

    @Test
    void oneConnectionsEndGivesUpAllThatIsOpenOnItAndNothingElse() throws Exception {
        setUpReachesA(SESSION, "safe");
        try (Viewer leaves = new Viewer(frontAddress)) {
            for (int i = 1; i <= 3; i++) {
                leaves.setUp("000000000000000" + i, i == 2 ? "paid" : "safe");
            }
            int setUps = 1;
            List<Socket> lines = new ArrayList<>(List.of(serverA.connection));
            // Each takes a line of its own; which line carries which is the adapter's affair.
            BufferedReader first = serverA.reader;
            List<BufferedReader> all = new ArrayList<>(List.of(first));
            while (setUps < 4) {
                serverA.accept();
                lines.add(serverA.connection);
                all.add(serverA.reader);
                assertTrue(serverA.readMessage().startsWith("setup 000000000000000"));
                setUps++;
            }
            leaves.close();
            for (int i = 1; i < 4; i++) {
                serverA.reader = all.get(i);
                assertTrue(serverA.readMessage().matches("release 000000000000000[1-3] 16"));
            }
            serverA.connection = lines.get(0);
            serverA.reader = first;
            for (int i = 1; i < 4; i++) {
                lines.get(i).close();
            }
        }
        serverA.answer(SESSION);
        assertEquals("200 1 " + SESSION, viewer.readMessage());
        viewer.tearDown(SESSION);
        assertEquals("200 2 " + SESSION, viewer.readMessage());
        assertTablesEmpty();
    }
}
