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

/** Datagrams between brokers; the test itself plays one of them. */
class UdpPeersTest {
    private final Net net = new Net();
    private final BrokerHarness harness = new BrokerHarness();

    @AfterEach
    void stop() {
        net.close();
    }

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(20_000);
        return socket;
    }

    @Test
    void onlyShortDatagramsOfKnownSendersAreExchanged() throws Exception {
        try (DatagramSocket peer = socket();
                DatagramSocket stranger = socket();
                DatagramSocket unused = socket()) {
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", unused.getLocalPort());
            InetSocketAddress other = new InetSocketAddress("127.0.0.1", peer.getLocalPort());
            unused.close();
            UdpPeers peers = new UdpPeers(List.of(own, other), null);
            peers.listen(net, own, (from, message) -> harness.broker.peerMessageReceived(harness.now, from, message));

            net.callOnLoop(() -> {
                peers.broadcast(new byte[257]); // above the limit: must not be sent
                peers.broadcast(new byte[] {1, 2});
                return null;
            });
            DatagramPacket received = new DatagramPacket(new byte[512], 512);
            peer.receive(received);
            assertArrayEquals(new byte[] {1, 2}, Arrays.copyOf(received.getData(), received.getLength()));

            stranger.send(new DatagramPacket(new byte[] {9}, 1, own));
            peer.send(new DatagramPacket(new byte[300], 300, own));
            peer.send(new DatagramPacket(new byte[] {7}, 1, own));
            assertEquals("module peerMessageReceived 1", harness.await("module peerMessageReceived"));
            assertEquals(1, net.callOnLoop(() -> harness.count("module peerMessageReceived")));
        }
    }
}
