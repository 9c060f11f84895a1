package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * The faults injected between brokers; immutable.
 *
 * @param cuts links that drop all datagrams
 * @param loss share of datagrams lost on every link, 0 to 1
 */
record LinkFaults(List<Cut> cuts, double loss) {
    static final LinkFaults NONE = new LinkFaults(List.of(), 0);

    /** Drops all datagrams from one set of brokers to another, but not in the opposite direction. */
    record Cut(BitSet from, BitSet to) {
        boolean covers(int sender, int receiver) {
            return from.get(sender) && to.get(receiver);
        }
    }

    /** The same faults and one more cut. */
    LinkFaults withCut(BitSet from, BitSet to) {
        List<Cut> longer = new ArrayList<>(cuts);
        longer.add(new Cut(from, to));
        return new LinkFaults(List.copyOf(longer), loss);
    }

    /** The same loss without cuts. */
    LinkFaults withoutCuts() {
        return new LinkFaults(List.of(), loss);
    }

    /** The same cuts with another share of lost datagrams. */
    LinkFaults withLoss(double share) {
        return new LinkFaults(cuts, share);
    }

    /** Whether a cut drops datagrams from the sender to the receiver. */
    boolean isCut(int sender, int receiver) {
        for (Cut cut : cuts) {
            if (cut.covers(sender, receiver)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a datagram is dropped, given a random number from 0 (inclusive) to 1 (exclusive). */
    boolean drops(int sender, int receiver, double random) {
        return random < loss || isCut(sender, receiver);
    }
}
