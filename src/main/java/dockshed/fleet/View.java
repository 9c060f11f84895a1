package dockshed.fleet;

import java.util.List;
import java.util.Map;

/**
 * What the broker's loop reads of the fleet: immutable, replaced as a whole. It says of itself until when it holds, as its
 * maker's loop may stand still, and its reader's too.
 *
 * @param at        when it was made, in microseconds of the process's clock
 * @param steady    whether what is known of the others is from after this process last stood still
 * @param living    the brokers that are there, this one included, by number
 * @param newcomers of 1: what this broker may use of each box's room and cold pace, until {@code until}
 * @param attempts  the same of the fleet's further attempts
 * @param floor     what it may use of both after {@code until}
 * @param until     of the leased shares
 * @param cut       the rank under which to refuse; 0: none
 * @param tries     a second of the whole fleet, as told
 * @param words     on boxes, by the box's hash
 * @param notes     of the storm part, by broker
 */
public record View(
        long at,
        boolean steady,
        List<Integer> living,
        double newcomers,
        double attempts,
        double floor,
        long until,
        int cut,
        double tries,
        Map<Integer, List<Row>> words,
        Map<Integer, Row> notes) {
    /** An older view is none: the fleet's loop has stalled. */
    public static final long STALE = 1_500_000;

    /** In place of a share where none is kept. */
    public static final double UNSHARED = -1;

    /** Before anything is known: the broker is alone. */
    public static final View ALONE = new View(
            Long.MIN_VALUE / 2,
            false,
            List.of(),
            UNSHARED,
            UNSHARED,
            UNSHARED,
            Long.MIN_VALUE / 2,
            0,
            0,
            Map.of(),
            Map.of());

    public boolean holds(long now) {
        return now - at <= STALE;
    }

    /** Of 1, or {@link #UNSHARED}. */
    public double newcomers(long now) {
        return now < until ? newcomers : floor;
    }

    /** The same of further attempts. */
    public double attempts(long now) {
        return now < until ? attempts : floor;
    }
}
