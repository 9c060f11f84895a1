package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.net.LoopBlocker;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Viewers that leave, on loopback sockets; the loop is held until both their set-up and their leaving have come. */
class ViewerDisconnectTest {
    private final Net net = new Net();
    private final BrokerHarness stage = new BrokerHarness();
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(deadlines::runDue);
            return new RtspFront(stage.broker, stage, clock, deadlines, 10);
        });
        address = (InetSocketAddress)
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), front::accept, () -> {}, true)
                        .sync()
                        .channel()
                        .localAddress();
    }

    @AfterEach
    void stop() {
        net.close();
    }

    private Socket connect() throws Exception {
        Socket s = new Socket(address.getAddress(), address.getPort());
        s.setSoTimeout(20_000);
        return s;
    }

    private static void send(Socket s, String text) throws Exception {
        s.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Two tests passed on a connection of their own: all that had come before has been read meanwhile. */
    private void awaitEarlierReads() throws Exception {
        try (Socket s = connect()) {
            for (int i = 0; i < 2; i++) {
                send(s, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
                assertReceived(s, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    private static void assertReceived(Socket s, String expected) throws Exception {
        InputStream in = s.getInputStream();
        assertEquals(expected, new String(in.readNBytes(expected.length()), StandardCharsets.UTF_8));
    }

    private long attempts() {
        return net.callOnLoop(() -> stage.count("box a setUp"));
    }

    /** What is left of all requests and connections; the last test's own connection may still be on its way out. */
    private int unanswered() {
        assertTrue(net.callOnLoop(net::connectionCount) <= 1, "connections left open");
        return net.callOnLoop(stage.broker::unansweredRequests);
    }

    @Test
    void whoClosesInTheSameReadAsItsSetUpIsNotTried() throws Exception {
        try (Socket s = connect()) {
            CountDownLatch go = LoopBlocker.block(net);
            send(s, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            s.close();
            go.countDown();
            awaitEarlierReads();
            assertEquals(0, attempts());
            assertEquals(0, unanswered());
        }
    }

    @Test
    void whoClosesBeforeItsConnectionIsAcceptedIsNotTried() throws Exception {
        CountDownLatch go = LoopBlocker.block(net);
        try (Socket s = connect()) {
            send(s, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
        }
        go.countDown();
        awaitEarlierReads();
        awaitEarlierReads();
        assertEquals(0, attempts());
        assertEquals(0, unanswered());
    }

    @Test
    void whoBreaksOffInTheSameReadLeavesNothingBehind() throws Exception {
        try (Socket s = connect()) {
            CountDownLatch go = LoopBlocker.block(net);
            send(s, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            s.setSoLinger(true, 0);
            s.close();
            go.countDown();
            awaitEarlierReads();
            assertEquals(0, unanswered());
            assertEquals(attempts(), net.callOnLoop(() -> stage.count("box a giveUp")));
        }
    }

    @Test
    void whoGivesUpInTheSameReadIsNotTried() throws Exception {
        try (Socket s = connect()) {
            CountDownLatch go = LoopBlocker.block(net);
            send(s, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            send(
                    s,
                    "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + RtspFrontTest.sessionId(1)
                            + "\r\n\r\n");
            go.countDown();
            assertReceived(
                    s,
                    "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + RtspFrontTest.sessionId(1)
                            + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(0, attempts());
            assertEquals(0, unanswered()); // its own is open
        }
    }

    @Test
    void whoOnlyHalfClosesHasOneWholeAnswerToEachAndNoFurtherAttempt() throws Exception {
        // Nobody can tell it from one that has left; the connection ended without a word, and what it had asked was
        // lost.
        try (Socket s = connect()) {
            send(
                    s,
                    RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), "").replace("Class: safe", "Class: paid")
                            + RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(2), ""));
            stage.await("box a setUp " + RtspFrontTest.sessionId(2));
            CountDownLatch go = LoopBlocker.block(net);
            send(s, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(3), ""));
            s.shutdownOutput();
            go.countDown();
            List<String> answers = List.of(
                    new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("(?=RTSP/1.0 )"));
            assertEquals(3, answers.size(), answers.toString());
            for (int i = 1; i <= 3; i++) {
                String own = RtspFrontTest.sessionId(i);
                String answer = answers.stream()
                        .filter(a -> a.contains(own))
                        .findFirst()
                        .orElse("none");
                assertTrue(answer.startsWith(i == 1 ? "RTSP/1.0 500 " : "RTSP/1.0 503 "), answer);
            }
            awaitEarlierReads();
            assertEquals(2, attempts());
            assertEquals(2, net.callOnLoop(() -> stage.count("box a giveUp")));
            assertEquals(0, unanswered());
        }
    }
}
