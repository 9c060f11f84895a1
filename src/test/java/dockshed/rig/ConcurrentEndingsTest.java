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
    private static final String ID = "0123456789abcdef";

    /** A server, which the test plays. */
    private static final class ScriptedEdgeServer implements AutoCloseable {
        final ServerSocket at = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Socket line;
        BufferedReader reads;

        ScriptedEdgeServer() throws IOException {
            at.setSoTimeout(20_000);
        }

        void accept() throws IOException {
            line = at.accept();
            line.setSoTimeout(20_000);
            reads = new BufferedReader(new InputStreamReader(line.getInputStream(), StandardCharsets.UTF_8));
        }

        /** The next line, as "setup ID" or "release ID 16". */
        String read() throws IOException {
            String text = reads.readLine();
            if (text == null) {
                return "end";
            }
            String cause = text.contains("\"cause\"") ? " " + text.replaceAll(".*\"cause\":([0-9]+).*", "$1") : "";
            return text.replaceAll(".*\"type\":\"([a-z]+)\".*", "$1") + " "
                    + text.replaceAll(".*\"id\":\"([0-9a-f]+)\".*", "$1") + cause;
        }

        /** The next set-up; a release before it is of one that was given up before its end had been read. */
        String setUp() throws IOException {
            String next = read();
            while (next.startsWith("release ")) {
                next = read();
            }
            return next;
        }

        void say(String text) throws IOException {
            line.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        void answer(String id) throws IOException {
            say("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=0\\r\\n\"}");
        }

        void release(String id, int cause) throws IOException {
            say("{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{},\"cause\":" + cause + "}");
        }

        @Override
        public void close() throws IOException {
            at.close();
            if (line != null) {
                line.close();
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

        void say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void setUp(String id, String cls) throws IOException {
            say("SETUP rtsp://media/t RTSP/1.0\r\nCSeq: 1\r\nSession: " + id + "\r\nPriority-Class: " + cls
                    + "\r\nExpires-Ms: 3000\r\nContent-Length: 5\r\n\r\nv=0\r\n");
        }

        void tearDown(String id) throws IOException {
            say("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** The next message, as "200 1 ID" or "TEARDOWN 2 ID"; "end" where none comes any more. */
        String hear() throws Exception {
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
        List<String> settled() throws Exception {
            say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: ping\r\nContent-Length: 0\r\n\r\n");
            List<String> heard = new ArrayList<>();
            for (String m = hear(); !m.equals("200 3 ping"); m = hear()) {
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
    private Director.Actions act;
    private Broker broker;
    private InetSocketAddress at;
    private ScriptedEdgeServer a;
    private ScriptedEdgeServer b;
    private Viewer viewer;

    @BeforeEach
    void start() throws Exception {
        a = new ScriptedEdgeServer();
        b = new ScriptedEdgeServer();
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    module.settings,
                    actions -> {
                        act = actions;
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
            module.onRequest = r -> act.send(r.id(), "a", 0);
            module.onOutcome = id -> act.send(id, "b", 0);
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    List.of(
                            new Director.Server("a", "z", "k", 0, Director.State.UP, 1, 0),
                            new Director.Server("b", "z", "k", 0, Director.State.UP, 1, 0)));
            edges.updateAddresses(Map.of("a", (InetSocketAddress) a.at.getLocalSocketAddress(), "b", (InetSocketAddress)
                    b.at.getLocalSocketAddress()));
            return new RtspFront(broker, edges, clock, deadlines, 10);
        });
        at = (InetSocketAddress)
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), front::accept, () -> {}, true)
                        .sync()
                        .channel()
                        .localAddress();
        viewer = new Viewer(at);
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        a.close();
        b.close();
        viewer.close();
    }

    private void empty() {
        assertEquals(0, net.callOnLoop(() -> broker.unansweredRequests() + broker.activeSessions()));
    }

    private void out(String id, String cls) throws Exception {
        viewer.setUp(id, cls);
        if (a.line == null) {
            a.accept();
        }
        assertEquals("setup " + id, a.read());
    }

    /** A line to b that is up, so that what is sent there would be written at once. */
    private void lineToB() throws Exception {
        String other = "00000000000000b1";
        out(other, "safe");
        a.release(other, 34);
        b.accept();
        assertEquals("setup " + other, b.read());
        b.release(other, 102); // tried at b once more, as the script says
        assertEquals("setup " + other, b.read());
        viewer.tearDown(other);
        assertEquals("200 2 " + other, viewer.hear());
        assertEquals("release " + other + " 16", b.read());
    }

    @Test
    void whoClosesAsTheFirstAttemptEndsHasNoSecond() throws Exception {
        lineToB();
        for (String cls : List.of("safe", "paid")) {
            String id = cls.equals("safe") ? ID : ID.replace('0', '9');
            try (Viewer leaves = new Viewer(at)) {
                leaves.setUp(id, cls);
                assertEquals("setup " + id, a.setUp());
                CountDownLatch go = LoopBlocker.block(net);
                a.release(id, 34); // it never ran: another attempt would be in order
                leaves.close();
                go.countDown();
            }
            assertEquals(List.of(), viewer.settled());
            assertEquals(List.of(), viewer.settled());
        }
        String next = "00000000000000b2";
        viewer.setUp(next, "safe");
        assertEquals("setup " + next, a.setUp());
        a.release(next, 34);
        assertEquals("setup " + next, b.read(), "nothing came in between");
        viewer.tearDown(next);
        assertEquals("200 2 " + next, viewer.hear());
        empty();
    }

    @Test
    void anAnswerThatCrossesItsGivingUpIsNeitherHeardNorLeftStanding() throws Exception {
        out(ID, "paid");
        CountDownLatch go = LoopBlocker.block(net);
        a.answer(ID);
        viewer.tearDown(ID);
        go.countDown();
        List<String> heard = new ArrayList<>(List.of(viewer.hear()));
        heard.addAll(viewer.settled());
        // Either was read first: the session stood and was ended by its viewer, or was given up before it stood.
        assertTrue(
                heard.equals(List.of("200 2 " + ID)) || heard.equals(List.of("200 1 " + ID, "200 2 " + ID)),
                heard.toString());
        String told = a.read();
        assertEquals(heard.size() == 1 ? "release " + ID + " 16" : "release " + ID + " 31", told);
        empty();
    }

    @Test
    void aSecondAnswerFromTheSameServerOrFromAnotherChangesNothing() throws Exception {
        out(ID, "safe");
        a.release(ID, 34);
        b.accept();
        assertEquals("setup " + ID, b.read());
        CountDownLatch go = LoopBlocker.block(net);
        b.answer(ID);
        b.answer(ID);
        a.answer(ID);
        go.countDown();
        assertEquals("200 1 " + ID, viewer.hear());
        a.answer(ID);
        b.answer(ID);
        assertEquals(List.of(), viewer.settled());
        b.release(ID, 16);
        assertEquals("TEARDOWN 2 " + ID, viewer.hear());
        b.release(ID, 16);
        assertEquals(List.of(), viewer.settled());
        empty();
    }

    @Test
    void aResetInTheMiddleOfAnAnswerFailsAPaidSetUpAndRepeatsASafeOne() throws Exception {
        out(ID, "paid");
        module.onOutcome = id -> act.fail(id);
        a.line.getOutputStream().write(("{\"type\":\"answer\",\"id\":\"" + ID).getBytes(StandardCharsets.UTF_8));
        a.line.setSoLinger(true, 0);
        a.line.close();
        assertEquals("500 1 " + ID, viewer.hear());
        module.onOutcome = id -> act.send(id, "b", 0);
        String safe = "00000000000000b3";
        viewer.setUp(safe, "safe");
        a.accept();
        assertEquals("setup " + safe, a.read());
        a.line.getOutputStream().write(("{\"type\":\"answer\",\"id\":\"" + safe).getBytes(StandardCharsets.UTF_8));
        a.line.setSoLinger(true, 0);
        a.line.close();
        b.accept();
        assertEquals("setup " + safe, b.read());
        b.answer(safe);
        assertEquals("200 1 " + safe, viewer.hear());
        viewer.tearDown(safe);
        assertEquals("200 2 " + safe, viewer.hear());
        empty();
    }

    @Test
    void oneConnectionsEndGivesUpAllThatIsOpenOnItAndNothingElse() throws Exception {
        out(ID, "safe");
        try (Viewer leaves = new Viewer(at)) {
            for (int i = 1; i <= 3; i++) {
                leaves.setUp("000000000000000" + i, i == 2 ? "paid" : "safe");
            }
            int setUps = 1;
            List<Socket> lines = new ArrayList<>(List.of(a.line));
            // Each takes a line of its own; which line carries which is the adapter's affair.
            BufferedReader first = a.reads;
            List<BufferedReader> all = new ArrayList<>(List.of(first));
            while (setUps < 4) {
                a.accept();
                lines.add(a.line);
                all.add(a.reads);
                assertTrue(a.read().startsWith("setup 000000000000000"));
                setUps++;
            }
            leaves.close();
            for (int i = 1; i < 4; i++) {
                a.reads = all.get(i);
                assertTrue(a.read().matches("release 000000000000000[1-3] 16"));
            }
            a.line = lines.get(0);
            a.reads = first;
            for (int i = 1; i < 4; i++) {
                lines.get(i).close();
            }
        }
        a.answer(ID);
        assertEquals("200 1 " + ID, viewer.hear());
        viewer.tearDown(ID);
        assertEquals("200 2 " + ID, viewer.hear());
        empty();
    }
}
