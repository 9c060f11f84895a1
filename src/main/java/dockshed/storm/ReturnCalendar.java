package dockshed.storm;

import java.util.Arrays;
import java.util.function.LongToDoubleFunction;

/**
 * The return times that viewers have been advised of, counted in slots of equal width. Invariant: between now and the end of
 * any slot, at most one more return is booked than the expected capacity allows in that time. Slots of the past count as
 * empty without being cleared.
 */
final class ReturnCalendar {
    /** Slots held at a time: 64 s of slots of 250 ms, which is longer than any viewer waits. */
    static final int MAX_SLOTS = 256;

    private final long slotWidth; // microseconds
    private final int[] booked = new int[MAX_SLOTS];
    private final long[] slotNumbers = new long[MAX_SLOTS];

    ReturnCalendar(long slotWidth) {
        this.slotWidth = slotWidth;
        Arrays.fill(slotNumbers, Long.MIN_VALUE);
    }

    /** Number of the slot that holds a time. */
    long slotOf(long at) {
        return Math.floorDiv(at, slotWidth);
    }

    /** Returns booked in a slot. */
    int booked(long slotNumber) {
        int index = (int) Math.floorMod(slotNumber, (long) MAX_SLOTS);
        return slotNumbers[index] == slotNumber ? booked[index] : 0;
    }

    private void addToSlot(long slotNumber, int count) {
        int index = (int) Math.floorMod(slotNumber, (long) MAX_SLOTS);
        if (slotNumbers[index] != slotNumber) {
            slotNumbers[index] = slotNumber;
            booked[index] = 0;
        }
        booked[index] = Math.max(0, booked[index] + count);
    }

    /**
     * Books a return in the first slot with free capacity that doesn't begin before the slot of {@code earliest}.
     *
     * @param perSecond      returns a second that the fleet can serve
     * @param elsewhere      returns in a slot, by its number, that are booked at other brokers
     * @param positionInSlot where in its slot the time lies, from 0 to 1
     * @return the time booked, or -1 if no slot up to {@code latest} has free capacity
     */
    long book(
            long now,
            long earliest,
            long latest,
            double perSecond,
            LongToDoubleFunction elsewhere,
            double positionInSlot) {
        long firstSlot = slotOf(now);
        long fromSlot = slotOf(Math.max(now, earliest));
        int slots = (int) Math.min(slotOf(latest) - firstSlot + 1, MAX_SLOTS);
        double maxPerSlot = Math.max(1, Math.ceil(perSecond * slotWidth / 1e6));
        double[] inSlot = new double[slots];
        double[] spare = new double[slots]; // free places by the end of a slot and of all booked slots after it
        double total = 0;
        for (int i = 0; i < slots; i++) {
            inSlot[i] = booked(firstSlot + i) + elsewhere.applyAsDouble(firstSlot + i);
            total += inSlot[i];
            spare[i] = perSecond * ((firstSlot + i + 1) * slotWidth - now) / 1e6 + 1 - total;
        }
        double spareLater = Double.POSITIVE_INFINITY;
        for (int i = slots - 1; i >= 0; i--) {
            spare[i] = Math.min(spare[i], spareLater);
            spareLater = inSlot[i] > 0 ? spare[i] : spareLater;
        }
        for (int i = (int) (fromSlot - firstSlot); i < slots; i++) {
            if (inSlot[i] < maxPerSlot && spare[i] >= 1) {
                addToSlot(firstSlot + i, 1);
                return Math.min(
                        Math.max(earliest, (firstSlot + i) * slotWidth + (long) (positionInSlot * slotWidth)), latest);
            }
        }
        return -1;
    }

    /** Books a return at a time whatever the capacity, for a time that was rounded to whole seconds. */
    void bookUnconditionally(long at) {
        addToSlot(slotOf(at), 1);
    }

    /** Removes a booking: the viewer has returned, early or late, or is no longer expected. */
    void cancel(long at) {
        if (booked(slotOf(at)) > 0) {
            addToSlot(slotOf(at), -1);
        }
    }

    /** Returns booked in the slot of {@code now} and all later ones. */
    int pending(long now) {
        int total = 0;
        for (long slot = slotOf(now); slot < slotOf(now) + MAX_SLOTS; slot++) {
            total += booked(slot);
        }
        return total;
    }
}
