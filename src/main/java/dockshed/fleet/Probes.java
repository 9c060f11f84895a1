package dockshed.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which broker finds out about a box that is suspect, mute or coming back. By rendezvous hashing over those that are there,
 * each box has an order of brokers; they take turns, {@link #TURN} apart from the time of the suspicion, until one has told
 * what it found. So a dead box is tried by one broker in each turn, whatever the size of the fleet, and a finder that is
 * dead or cut off costs one turn.
 *
 * <p>Trust: that a box is down counts only by this broker's own trial or by the words of two others, both later than the
 * box's last sign of life here; a single word makes it wait and choose others, for {@link #HOLD} at most.
 */
final class Probes {
    /** Microseconds between two brokers' turns: a trial that does not come up takes a quarter of a second. */
    static final long TURN = 700_000;
    /** A word on a box counts for so long. */
    static final long HOLD = 2_500_000;
    /** Nobody waits longer for the others than this, from the suspicion on. */
    static final long LONGEST = 6_000_000;
    static final int UP = 1, DOWN = 2;
    /** Others' words that stand for an own trial. */
    static final int WITNESSES = 2;

    /** What to do about a box. */
    enum Verdict { TRY, WAIT, UP, DOWN }

    private Probes() { }

    /** The brokers of a box's order: the highest hash first. */
    static List<Integer> order(List<Integer> living, int box) {
        List<Integer> out = new ArrayList<>(living);
        out.sort(Comparator.comparingInt((Integer i) -> Mix.mix(box, i)).reversed().thenComparing(i -> i));
        return out;
    }

    /**
     * @param words    on the box, from brokers that are there
     * @param suspect  since when it is suspect here
     * @param signOf   when it last gave a sign of life here
     * @param triedAt  when this broker itself last tried it
     */
    static Verdict verdict(long now, int me, List<Integer> living, int box, List<Row> words, long suspect, long signOf,
                           long triedAt) {
        int down = 0;
        boolean lately = false;
        for (Row w : words) {
            if (w.owner() == me || w.value().length == 0 || now - w.born() > HOLD || w.born() < signOf) {
                continue;
            }
            if (w.value()[0] == UP) {
                return Verdict.UP;
            }
            down += w.value()[0] == DOWN ? 1 : 0;
            lately |= w.value()[0] == DOWN && now - w.born() < TURN;
        }
        if (down >= WITNESSES) {
            return Verdict.DOWN;
        }
        int turn = order(living, box).indexOf(me);
        long mine = Math.min(LONGEST, Math.max(0, turn) * TURN);
        // One word of a trial: the next in the order makes sure of it, so that two know.
        boolean due = now - suspect >= mine && now - triedAt >= TURN * Math.max(1, Math.min(living.size(), 4));
        return due && !lately ? Verdict.TRY : Verdict.WAIT;
    }
}
