package dockshed.peers;

import dockshed.net.Net;
import java.net.InetSocketAddress;

/**
 * Exchanges datagrams with the other brokers of a fleet, which are known by number. An implementation may wrap another
 * one, to simulate the network between two brokers.
 */
public interface DatagramPeers {
    /** Receives datagrams. */
    interface Receiver {
        /** {@code from} is the number of the broker that sent the datagram. */
        void receive(int from, byte[] message);
    }

    /**
     * Starts to listen.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    void listen(Net net, InetSocketAddress address, Receiver receiver);

    /** Sends a datagram to one broker; drops it if the operating system does not take it. */
    void send(int to, byte[] message);
}
