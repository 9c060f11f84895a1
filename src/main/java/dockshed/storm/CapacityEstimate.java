package dockshed.storm;

/**
 * The set-ups a second that are to be expected, and the turns that follow from it. Turns are rationed only by what cold
 * boxes take together, where no warm one is left: that is room which time brings, so waiting for it is not in vain. Want
 * of room on links is the module's to weigh: to ration by it starves the module (measured: worst 10 s 0.44 fell to 0.19).
 */
final class CapacityEstimate {
    private static final long SPAN = 2_000_000;
    /** Requests a second that are let through in any case, so that room which comes back is found. */
    private static final double LEAST = 2;
    /** Turns that may be saved up, in seconds' worth: a tenth, so that none piles up. */
    private static final double SAVED = 0.1;

    /** What is promised falls by this for a viewer that kept its time in vain, and grows by this for one that was served. */
    private static final double IN_VAIN = 0.9;

    private static final double SERVED = 0.05;
    /** Promises never fall under this part of what was measured: or nobody would come to show that there is room. */
    private static final double LEAST_PART = 0.15;

    private double held = 1; // part of the room expected that promises turn out to find

    private final SlidingWindowCounter recordSetUp = new SlidingWindowCounter(250_000, SPAN);
    private double tokens = 1;
    private long countedAt = Long.MIN_VALUE;

    /** The module sent a first attempt out. */
    void recordSetUp(long now) {
        recordSetUp.add(now, 1);
    }

    /** Set-ups a second lately: what returns are promised by. */
    double setUpRate(long now) {
        return recordSetUp.sum(now, SPAN) * 1e6 / SPAN;
    }

    /** A viewer that kept its time has been served, or turned away again. */
    void recordReturn(boolean served) {
        held = served ? Math.min(1, held + SERVED) : Math.max(LEAST_PART, held * IN_VAIN);
    }

    /** Returns a second that may be promised, of so many set-ups expected. */
    double promisableRate(double expected) {
        return held * expected;
    }

    /** Requests a second that the module is given; {@code cold}: what cold boxes take, infinite while a warm one is up. */
    static double admissionRate(double cold) {
        return Math.max(LEAST, cold);
    }

    /** Whether one more request may go to the module now. */
    boolean mayAdmit(long now, double cold) {
        double rate = admissionRate(cold);
        if (Double.isInfinite(rate)) {
            countedAt = now;
            return true;
        }
        tokens += countedAt == Long.MIN_VALUE ? 0 : rate * (now - countedAt) / 1e6;
        tokens = Math.min(tokens, Math.max(1, rate * SAVED));
        countedAt = now;
        return tokens >= 1;
    }

    void recordAdmitted(double cold) {
        if (!Double.isInfinite(cold)) {
            tokens -= 1;
        }
    }
}
