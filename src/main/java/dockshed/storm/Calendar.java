package dockshed.storm;

import java.util.Arrays;
import java.util.function.LongToDoubleFunction;

/**
 * Return times that have been told, in slots. Invariant: the appointments between now and the end of any slot are at
 * most what the room expected takes by then, and one more. A slot that is past is empty by itself.
 */
final class Calendar {
    /** Slots ahead, at most: a minute of quarter seconds is longer than any viewer honours. */
    static final int MOST_SLOTS = 256;

    private final long slot;
    private final int[] booked = new int[MOST_SLOTS];
    private final long[] number = new long[MOST_SLOTS];

    Calendar(long slot) {
        this.slot = slot;
        Arrays.fill(number, Long.MIN_VALUE);
    }

    long slotOf(long at) {
        return Math.floorDiv(at, slot);
    }

    int booked(long slotNumber) {
        int i = (int) Math.floorMod(slotNumber, (long) MOST_SLOTS);
        return number[i] == slotNumber ? booked[i] : 0;
    }

    private void add(long slotNumber, int n) {
        int i = (int) Math.floorMod(slotNumber, (long) MOST_SLOTS);
        if (number[i] != slotNumber) {
            number[i] = slotNumber;
            booked[i] = 0;
        }
        booked[i] = Math.max(0, booked[i] + n);
    }

    /**
     * Books the first slot from {@code earliest} that leaves the room: {@code perSecond} returns a second, of which
     * {@code others} tells by slot what is promised elsewhere. The time lies where {@code dice} (0 to 1) says in that
     * slot. -1: there is none before {@code latest}.
     */
    long book(long now, long earliest, long latest, double perSecond, LongToDoubleFunction others, double dice) {
        long first = slotOf(now);
        long from = slotOf(Math.max(now, earliest));
        long last = Math.min(slotOf(latest), first + MOST_SLOTS - 1);
        double each = Math.max(1, Math.ceil(perSecond * slot / 1e6));
        double promised = 0;
        for (long k = first; k <= last; k++) {
            double here = booked(k) + others.applyAsDouble(k);
            promised += here;
            double room = perSecond * ((k + 1) * slot - now) / 1e6;
            if (k >= from && here < each && promised + 1 <= room + 1 && laterFits(k, last, promised + 1, now, perSecond, others)) {
                long at = Math.max(earliest, k * slot + (long) (dice * slot));
                add(k, 1);
                return Math.min(at, latest);
            }
        }
        return -1;
    }

    /** Whether the slots already booked behind still find their room with one more before them. */
    private boolean laterFits(long k, long last, double promised, long now, double perSecond, LongToDoubleFunction others) {
        for (long j = k + 1; j <= last; j++) {
            double here = booked(j) + others.applyAsDouble(j);
            promised += here;
            if (here > 0 && promised > perSecond * ((j + 1) * slot - now) / 1e6 + 1) {
                return false;
            }
        }
        return true;
    }

    /** Someone is told that time whatever the room: by whole seconds. */
    void expect(long at) {
        add(slotOf(at), 1);
    }

    /** The viewer came, early or late, or is not expected any more. */
    void cancel(long at) {
        if (booked(slotOf(at)) > 0) {
            add(slotOf(at), -1);
        }
    }

    /** Appointments still to come. */
    int promised(long now) {
        int all = 0;
        for (long k = slotOf(now); k < slotOf(now) + MOST_SLOTS; k++) {
            all += booked(k);
        }
        return all;
    }
}
