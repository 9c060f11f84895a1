package dockshed.scale;

import dockshed.net.Net;
import dockshed.peers.DatagramPeers;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Counts a hollow broker's datagrams and lets the faults of its links act on them: on those that it sends, and on those
 * that it receives from real brokers, which have no such layer of their own.
 */
final class FaultyPeers implements DatagramPeers {
    /** Counts over all lives of a broker. */
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

    FaultyPeers(int me, DatagramPeers peers, BitSet real, Supplier<LinkFaults> faults, Counts counts, long seed) {
        this.me = me;
        this.peers = peers;
        this.real = real;
        this.faults = faults;
        this.counts = counts;
        random = new SplittableRandom(seed);
    }

    /** From now on nothing goes out or comes in, though the loop may turn a little longer. */
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
