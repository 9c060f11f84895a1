package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.net.InputLimits;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Closing the connection of a viewer that is still sending, on loopback sockets. */
class LingeringCloseTest {
    /** Closing at once resets the connection, and an answer that the sender has not read yet is lost. */
    @Test
    void lastAnswerReachesAViewerThatIsStillSending() throws Exception {
        Net net = new Net();
        BrokerHarness harness = new BrokerHarness();
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(timers::runDue);
            return new RtspFront(harness.broker, harness, clock, timers, 10, InputLimits.unlimitedMemory());
        });
        InetSocketAddress address = (InetSocketAddress)
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), front::accept)
                        .sync()
                        .channel()
                        .localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write("SETUP rtsp://media/x RTSP/1.0\r\nContent-Length: 33554432\r\n\r\n"
                    .getBytes(StandardCharsets.UTF_8));
            byte[] piece = new byte[1 << 16];
            for (int i = 0; i < 512; i++) {
                out.write(piece);
            }
            socket.shutdownOutput();
            InputStream in = socket.getInputStream();
            String received = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(received.startsWith("RTSP/1.0 400 "), received);
            assertEquals(1, received.split("RTSP/1.0").length - 1);
        } finally {
            net.close();
        }
    }
}
