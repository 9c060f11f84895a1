package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.net.InputLimits;
import dockshed.net.LoopBlocker;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import io.netty.buffer.Unpooled;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
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

/**
 * Viewers that disconnect right after a set-up, on loopback sockets. The event loop is blocked until both the set-up
 * and the disconnect have arrived, so that it finds them in one read; no attempt may then be sent for a viewer that has
 * disconnected.
 */
class ViewerDisconnectTest {
    private final Net net = new Net();
    private final BrokerHarness harness = new BrokerHarness();
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(timers::runDue);
            return new RtspFront(harness.broker, harness, clock, timers, 10, InputLimits.unlimitedMemory());
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
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Waits for two OPTIONS answers on a new connection; everything that arrived earlier has been read by then. */
    private void awaitEarlierReads() throws Exception {
        try (Socket socket = connect()) {
            for (int i = 0; i < 2; i++) {
                send(socket, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
                assertReceived(socket, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    private static void assertReceived(Socket socket, String expected) throws Exception {
        InputStream in = socket.getInputStream();
        assertEquals(expected, new String(in.readNBytes(expected.length()), StandardCharsets.UTF_8));
    }

    private long attempts() {
        return net.callOnLoop(() -> harness.count("server a setUp"));
    }

    /** Unanswered requests. Only the connection of the last OPTIONS may still be open, as it may be closing. */
    private int unanswered() {
        assertTrue(net.callOnLoop(net::connectionCount) <= 1, "connections left open");
        return net.callOnLoop(harness.broker::unansweredRequests);
    }

    @Test
    void setUpClosedInTheSameReadIsNotAttempted() throws Exception {
        try (Socket socket = connect()) {
            CountDownLatch release = LoopBlocker.block(net);
            send(socket, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            socket.close();
            release.countDown();
            awaitEarlierReads();
            assertEquals(0, attempts());
            assertEquals(0, unanswered());
        }
    }

    @Test
    void manySetUpsClosedInTheSameReadAreNotAttempted() throws Exception {
        // Guards against set-ups of a viewer that has gone, sent on because they take several turns to be handled.
        try (Socket socket = connect()) {
            CountDownLatch release = LoopBlocker.block(net);
            StringBuilder setUps = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                setUps.append(RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(i), ""));
            }
            send(socket, setUps.toString());
            socket.close();
            release.countDown();
            while (net.callOnLoop(net::connectionCount) > 0) {
                awaitEarlierReads();
            }
            assertEquals(0, attempts());
            assertEquals(0, unanswered());
        }
    }

    @Test
    void setUpsAreNotAttemptedBeforeTheCloseBehindThemIsRead() {
        // Guards against set-ups sent on while a close, or their TEARDOWN, waits unread because the input is too long
        // for
        // one turn of the event loop.
        RtspFront front = new RtspFront(
                harness.broker, harness, () -> harness.now, harness.timers, 10, InputLimits.unlimitedMemory());
        EmbeddedChannel channel = new EmbeddedChannel(front.accept());
        ReadSizes reads = new ReadSizes();
        channel.config().setRecvByteBufAllocator(reads);
        channel.config().setAutoRead(false); // a read would run the next turn of the event loop at once
        reads.last = ReadSizes.ATTEMPTED; // as much as was asked for: there may be more
        channel.pipeline()
                .fireChannelRead(Unpooled.copiedBuffer(
                        RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""), StandardCharsets.UTF_8));
        channel.pipeline().fireChannelReadComplete();
        assertEquals(0, harness.count("server a setUp"));
        reads.last = -1; // the next read finds the close
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
        assertEquals(0, harness.count("server a setUp"));
        assertTrue(RtspFrontTest.received(channel).get(0).startsWith("RTSP/1.0 503 "));
    }

    /** Lets a test say how much the last read of a channel has brought. */
    private static final class ReadSizes extends FixedRecvByteBufAllocator {
        static final int ATTEMPTED = 100;
        int last;

        ReadSizes() {
            super(ATTEMPTED);
        }

        @Override
        @SuppressWarnings("deprecation")
        public Handle newHandle() {
            return new DelegatingHandle(super.newHandle()) {
                @Override
                public int lastBytesRead() {
                    return last;
                }

                @Override
                public int attemptedBytesRead() {
                    return ATTEMPTED;
                }
            };
        }
    }

    @Test
    void setUpClosedBeforeItsConnectionIsAcceptedIsNotAttempted() throws Exception {
        CountDownLatch release = LoopBlocker.block(net);
        try (Socket socket = connect()) {
            send(socket, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
        }
        release.countDown();
        awaitEarlierReads();
        awaitEarlierReads();
        assertEquals(0, attempts());
        assertEquals(0, unanswered());
    }

    @Test
    void setUpResetInTheSameReadLeavesNothingOpen() throws Exception {
        try (Socket socket = connect()) {
            CountDownLatch release = LoopBlocker.block(net);
            send(socket, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            socket.setSoLinger(true, 0);
            socket.close();
            release.countDown();
            awaitEarlierReads();
            assertEquals(0, unanswered());
            assertEquals(attempts(), net.callOnLoop(() -> harness.count("server a cancelSetUp")));
        }
    }

    @Test
    void setUpTornDownInTheSameReadIsNotAttempted() throws Exception {
        try (Socket socket = connect()) {
            CountDownLatch release = LoopBlocker.block(net);
            send(socket, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
            send(
                    socket,
                    "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + RtspFrontTest.sessionId(1)
                            + "\r\n\r\n");
            release.countDown();
            assertReceived(
                    socket,
                    "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + RtspFrontTest.sessionId(1)
                            + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(0, attempts());
            assertEquals(0, unanswered()); // the viewer's connection is still open
        }
    }

    /**
     * A half-close cannot be distinguished from a full close. The connection used to be closed without answers, and the
     * viewer's requests were lost.
     */
    @Test
    void halfClosedConnectionGetsOneAnswerToEachSetUpAndNoFurtherAttempt() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), "").replace("Class: safe", "Class: paid")
                            + RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(2), ""));
            harness.await("server a setUp " + RtspFrontTest.sessionId(2));
            CountDownLatch release = LoopBlocker.block(net);
            send(socket, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(3), ""));
            socket.shutdownOutput();
            release.countDown();
            List<String> answers = List.of(
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("(?=RTSP/1.0 )"));
            assertEquals(3, answers.size(), answers.toString());
            for (int i = 1; i <= 3; i++) {
                String session = RtspFrontTest.sessionId(i);
                String answer = answers.stream()
                        .filter(candidate -> candidate.contains(session))
                        .findFirst()
                        .orElse("none");
                assertTrue(answer.startsWith(i == 1 ? "RTSP/1.0 500 " : "RTSP/1.0 503 "), answer);
            }
            awaitEarlierReads();
            assertEquals(2, attempts());
            assertEquals(2, net.callOnLoop(() -> harness.count("server a cancelSetUp")));
            assertEquals(0, unanswered());
        }
    }
}
