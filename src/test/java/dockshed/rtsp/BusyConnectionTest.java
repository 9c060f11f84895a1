package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.net.InputLimits;
import dockshed.net.LoopBlocker;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A connection with very many messages beside one with a single message, on loopback sockets. */
class BusyConnectionTest {
    private static final int MANY = 500; // fewer than the set-ups that may be open on a connection

    private final Net net = new Net();
    private final BrokerHarness harness = new BrokerHarness();
    private final List<String> viewers =
            new ArrayList<>(); // of the requests, in the order in which they were passed on
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(timers::runDue);
            return new RtspFront(harness.broker, harness, clock, timers, 10, InputLimits.unlimitedMemory());
        });
        harness.onRequest = request -> {
            viewers.add(request.viewer());
            harness.actions.refuse(request.id(), 0);
        };
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
        socket.getOutputStream()
                .write("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        awaitAnswers(socket, 1);
        return socket;
    }

    private static void awaitAnswers(Socket socket, int count) throws Exception {
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[65536];
        while (received.toString().split("\r\n\r\n", -1).length - 1 < count) {
            int bytes = socket.getInputStream().read(buffer);
            assertTrue(bytes > 0, "closed before all answers");
            received.append(new String(buffer, 0, bytes, StandardCharsets.US_ASCII));
        }
    }

    private static byte[] setUp(int session, String viewer) {
        return RtspFrontTest.setUpMessage(
                        RtspFrontTest.sessionId(session),
                        "P-Trunk-Info: home:0;copies:3;top:2;viewer:" + viewer + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Test
    void manyMessagesOfOneConnectionDoNotDelayTheOthers() throws Exception {
        // Guards against one client that keeps the event loop with all that it has sent while others wait.
        try (Socket busy = connect();
                Socket usual = connect()) {
            CountDownLatch release = LoopBlocker.block(net);
            for (int i = 0; i < MANY; i++) {
                busy.getOutputStream().write(setUp(i, "busy"));
            }
            usual.getOutputStream().write(setUp(MANY, "usual"));
            release.countDown();
            awaitAnswers(usual, 1);
            awaitAnswers(busy, MANY);
            List<String> passedOn = net.callOnLoop(() -> List.copyOf(viewers));
            assertEquals(MANY + 1, passedOn.size());
            assertTrue(passedOn.indexOf("usual") < MANY / 2, "handled before: " + passedOn.indexOf("usual"));
        }
    }
}
