package dockshed.fleet;

import dockshed.core.Finder.Suspicion;
import dockshed.core.Finder.Verdict;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which broker finds out about a box that is suspect, mute or coming back. By rendezvous hashing over those that are there,
 * each box has an order of brokers; they take turns, {@link #TURN} apart from the time of the suspicion, until one has told
 * what it found. So a dead box is tried by one broker in each turn, whatever the size of the fleet, and a finder that is
 * dead or cut off costs one turn.
 *
 * <p>Trust: that a box is down counts only by the trials of two brokers, this one included, both later than the box's last
 * sign of life here. That it is up is believed for {@link #LONGEST} of a suspicion; then this broker looks for itself.
 */
final class Probes {
    /** Microseconds between two brokers' turns: a trial that does not come up takes a quarter of a second. */
    static final long TURN = 700_000;
    /** A word on a box counts for so long. */
    static final long HOLD = 2_500_000;
    /** Nobody waits longer for the others than this, from the suspicion on. */
    static final long LONGEST = 6_000_000;

    static final int UP = 1, DOWN = 2;
    /** Trials that have to agree that a box is down, of different brokers; an own one is one of them. */
    static final int WITNESSES = 2;

    private Probes() {}

    /** The brokers of a box's order: the highest hash first. */
    static List<Integer> order(List<Integer> living, int box) {
        List<Integer> out = new ArrayList<>(living);
        out.sort(Comparator.comparingInt((Integer i) -> Mix.mix(box, i))
                .reversed()
                .thenComparing(i -> i));
        return out;
    }

    /** What this broker has to do about a suspect box, by the words on it of brokers that are there. */
    static Verdict verdict(long now, int me, List<Integer> living, int box, List<Row> words, Suspicion s) {
        int down = Math.min(1, s.failures());
        for (Row w : words) {
            if (w.owner() == me || w.value().length == 0 || now - w.born() > HOLD || w.born() < s.signOf()) {
                continue;
            }
            if (w.value()[0] == UP && now - s.since() < LONGEST) {
                return Verdict.UP;
            }
            down += w.value()[0] == DOWN ? 1 : 0;
        }
        if (down >= WITNESSES) {
            return Verdict.DOWN;
        }
        int turn = order(living, box).indexOf(me);
        long mine = Math.min(LONGEST, Math.max(0, turn) * TURN);
        boolean due = now - s.since() >= mine && (s.failures() == 0 || now - s.triedAt() >= LONGEST);
        return due ? Verdict.TRY : Verdict.WAIT;
    }
}
