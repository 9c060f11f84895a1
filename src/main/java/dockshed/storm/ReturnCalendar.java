package dockshed.storm;

import java.util.Arrays;
import java.util.function.LongToDoubleFunction;

/**
 * Return times that have been told, in slots. Invariant: the appointments between now and the end of any slot are at
 * most what the room expected takes by then, and one more. A slot that is past is empty by itself.
 */
final class ReturnCalendar {
    /** Slots ahead, at most: a minute of quarter seconds is longer than any viewer honours. */
    static final int MAX_SLOTS = 256;

    private final long slot;
    private final int[] booked = new int[MAX_SLOTS];
    private final long[] number = new long[MAX_SLOTS];

    ReturnCalendar(long slot) {
        this.slot = slot;
        Arrays.fill(number, Long.MIN_VALUE);
    }

    long slotOf(long at) {
        return Math.floorDiv(at, slot);
    }

    int booked(long slotNumber) {
        int i = (int) Math.floorMod(slotNumber, (long) MAX_SLOTS);
        return number[i] == slotNumber ? booked[i] : 0;
    }

    private void add(long slotNumber, int n) {
        int i = (int) Math.floorMod(slotNumber, (long) MAX_SLOTS);
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
        int slots = (int) Math.min(slotOf(latest) - first + 1, MAX_SLOTS);
        double each = Math.max(1, Math.ceil(perSecond * slot / 1e6));
        double[] here = new double[slots];
        double[] spare = new double[slots]; // places that are free by the end of a slot and of all booked ones behind
        double promised = 0;
        for (int i = 0; i < slots; i++) {
            here[i] = booked(first + i) + others.applyAsDouble(first + i);
            promised += here[i];
            spare[i] = perSecond * ((first + i + 1) * slot - now) / 1e6 + 1 - promised;
        }
        double behind = Double.POSITIVE_INFINITY;
        for (int i = slots - 1; i >= 0; i--) {
            spare[i] = Math.min(spare[i], behind);
            behind = here[i] > 0 ? spare[i] : behind;
        }
        for (int i = (int) (from - first); i < slots; i++) {
            if (here[i] < each && spare[i] >= 1) {
                add(first + i, 1);
                return Math.min(Math.max(earliest, (first + i) * slot + (long) (dice * slot)), latest);
            }
        }
        return -1;
    }

    /** Someone is told that time whatever the room: by whole seconds. */
    void bookUnconditionally(long at) {
        add(slotOf(at), 1);
    }

    /** The viewer came, early or late, or is not expected any more. */
    void cancel(long at) {
        if (booked(slotOf(at)) > 0) {
            add(slotOf(at), -1);
        }
    }

    /** Appointments still to come. */
    int pending(long now) {
        int all = 0;
        for (long k = slotOf(now); k < slotOf(now) + MAX_SLOTS; k++) {
            all += booked(k);
        }
        return all;
    }
}
