package dockshed.scale;

import dockshed.net.Net;
import dockshed.peers.DatagramPeers;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Counts a hollow broker's datagrams and applies the injected faults to its links: to every datagram it sends, and to those
 * it receives from real brokers, which have no fault layer of their own.
 */
final class FaultyPeers implements DatagramPeers {
    /** Payload bytes of a broker, its restarts included. */
    static final class Counts {
        final AtomicLong bytesSent = new AtomicLong();
        final AtomicLong bytesReceived = new AtomicLong();
    }

    private final int me;
    private final DatagramPeers peers;
    private final BitSet real;
    private final Supplier<LinkFaults> faults;
    private final Counts counts;
    private final SplittableRandom random;
    private volatile boolean stopped;

    /**
     * @param me     the broker's number
     * @param peers  the sockets
     * @param real   numbers of the fleet's real brokers
     * @param faults the faults in force now
     * @param counts counters that outlive this object
     * @param seed   seed of the random losses
     */
    FaultyPeers(int me, DatagramPeers peers, BitSet real, Supplier<LinkFaults> faults, Counts counts, long seed) {
        this.me = me;
        this.peers = peers;
        this.real = real;
        this.faults = faults;
        this.counts = counts;
        random = new SplittableRandom(seed);
    }

    /** Drops all datagrams from now on, although the event loop may run a little longer. */
    void stop() {
        stopped = true;
    }

    @Override
    public void listen(Net net, InetSocketAddress at, Receiver receiver) {
        peers.listen(net, at, (from, message) -> {
            if (stopped || real.get(from) && faults.get().drops(from, me, random.nextDouble())) {
                return;
            }
            counts.bytesReceived.addAndGet(message.length);
            receiver.receive(from, message);
        });
    }

    @Override
    public void send(int to, byte[] message) {
        if (stopped) {
            return;
        }
        counts.bytesSent.addAndGet(message.length);
        if (!faults.get().drops(me, to, random.nextDouble())) {
            peers.send(to, message);
        }
    }
}
