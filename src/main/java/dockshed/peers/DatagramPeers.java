package dockshed.peers;

import dockshed.net.Net;
import java.net.InetSocketAddress;

/** Datagrams to and from the numbered brokers of a tier. What stands between two brokers may be put round one of these. */
public interface DatagramPeers {
    /** Where a datagram of a known broker goes: its number and the bytes. */
    interface Receiver {
        void receive(int from, byte[] message);
    }

    /** Begins to listen. Throws IllegalStateException where the address cannot be listened on. */
    void listen(Net net, InetSocketAddress at, Receiver receiver);

    /** To one of them; dropped where the system takes no more. */
    void send(int to, byte[] message);
}
