package dockshed.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Faults that lie between brokers now; immutable, replaced as a whole.
 *
 * @param cuts links over which nothing comes through
 * @param loss share of datagrams lost on every link
 */
record LinkFaults(List<Cut> cuts, double loss) {
    static final LinkFaults NONE = new LinkFaults(List.of(), 0);

    /** Nothing comes through from one set of brokers to the other; the other way stays open. */
    record Cut(BitSet from, BitSet to) {
        boolean covers(int sender, int receiver) {
            return from.get(sender) && to.get(receiver);
        }
    }

    LinkFaults withCut(BitSet from, BitSet to) {
        List<Cut> more = new ArrayList<>(cuts);
        more.add(new Cut(from, to));
        return new LinkFaults(List.copyOf(more), loss);
    }

    LinkFaults withoutCuts() {
        return new LinkFaults(List.of(), loss);
    }

    LinkFaults withLoss(double share) {
        return new LinkFaults(cuts, share);
    }

    boolean isCut(int sender, int receiver) {
        for (Cut cut : cuts) {
            if (cut.covers(sender, receiver)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a datagram is lost, by a random number from 0 to 1. */
    boolean drops(int sender, int receiver, double random) {
        return random < loss || isCut(sender, receiver);
    }
}
