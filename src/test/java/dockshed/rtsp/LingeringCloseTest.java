package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.core.TimerQueue;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The end of a connection under a viewer that still sends, on loopback sockets. */
class LingeringCloseTest {
    @Test
    void theLastAnswerReachesASenderThatGoesOnSending() throws Exception {
        // Closing at once resets the connection, and what the sender had not read by then was lost with it.
        Net net = new Net();
        BrokerHarness stage = new BrokerHarness();
        RtspFront front = net.callOnLoop(() -> {
            LoopClock clock = new LoopClock(net.loop());
            TimerQueue deadlines = new TimerQueue(clock::wakeAt);
            clock.onWakeUp(deadlines::runDue);
            return new RtspFront(stage.broker, stage, clock, deadlines, 10);
        });
        InetSocketAddress at = (InetSocketAddress)
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), front::accept)
                        .sync()
                        .channel()
                        .localAddress();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(20_000);
            OutputStream out = s.getOutputStream();
            out.write("SETUP rtsp://media/x RTSP/1.0\r\nContent-Length: 33554432\r\n\r\n"
                    .getBytes(StandardCharsets.UTF_8));
            byte[] piece = new byte[1 << 16];
            for (int i = 0; i < 512; i++) {
                out.write(piece);
            }
            s.shutdownOutput();
            InputStream in = s.getInputStream();
            String heard = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(heard.startsWith("RTSP/1.0 400 "), heard);
            assertEquals(1, heard.split("RTSP/1.0").length - 1);
        } finally {
            net.close();
        }
    }
}
