package dockshed.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.core.BrokerHarness;
import dockshed.net.Net;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Datagrams between brokers; the test itself is one of them. */
class UdpPeersTest {
    private final Net net = new Net();
    private final BrokerHarness stage = new BrokerHarness();

    @AfterEach
    void stop() {
        net.close();
    }

    private static DatagramSocket socket() throws Exception {
        DatagramSocket s = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        s.setSoTimeout(20_000);
        return s;
    }

    @Test
    void onlyShortDatagramsOfKnownSendersAreExchanged() throws Exception {
        try (DatagramSocket peer = socket();
                DatagramSocket stranger = socket();
                DatagramSocket free = socket()) {
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", free.getLocalPort());
            InetSocketAddress other = new InetSocketAddress("127.0.0.1", peer.getLocalPort());
            free.close();
            UdpPeers peers = new UdpPeers(List.of(own, other), null);
            peers.listen(net, own, (from, message) -> stage.broker.peerMessageReceived(stage.now, from, message));

            net.callOnLoop(() -> {
                peers.broadcast(new byte[257]); // would void the run
                peers.broadcast(new byte[] {1, 2});
                return null;
            });
            DatagramPacket got = new DatagramPacket(new byte[512], 512);
            peer.receive(got);
            assertArrayEquals(new byte[] {1, 2}, Arrays.copyOf(got.getData(), got.getLength()));

            stranger.send(new DatagramPacket(new byte[] {9}, 1, own));
            peer.send(new DatagramPacket(new byte[300], 300, own));
            peer.send(new DatagramPacket(new byte[] {7}, 1, own));
            assertEquals("module told 1", stage.await("module told"));
            assertEquals(1, net.callOnLoop(() -> stage.count("module told")));
        }
    }
}
