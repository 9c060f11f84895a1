package dockshed.storm;

/**
 * Estimates the set-ups a second that can be expected, and limits admissions to the decision module by it.
 *
 * <p>Admissions are limited only while no warm edge server is up, by the rate that the cold ones accept together: this
 * capacity grows with time, so waiting for it pays off. A lack of link capacity is left to the decision module. Limiting
 * admissions by link capacity starved the module (measured: service in the worst 10 s fell from 0.44 to 0.19).
 */
final class CapacityEstimate {
    private static final long RATE_WINDOW_US = 2_000_000;
    /** Requests that are admitted in any case, so that returning capacity is noticed. */
    private static final double MIN_ADMISSIONS_PER_SECOND = 2;
    /** Time for which unused admissions are saved up; short, so that they don't accumulate into a burst. */
    private static final double MAX_SAVED_SECONDS = 0.1;

    /** The promise factor is multiplied by this when a viewer that returned on time is refused again. */
    private static final double REFUSED_FACTOR = 0.9;
    /** The promise factor grows by this when a viewer that returned on time is served. */
    private static final double SERVED_INCREMENT = 0.05;
    /** The least promise factor: without any returning viewer, nothing would show that there is capacity. */
    private static final double MIN_PROMISE_FACTOR = 0.15;

    private double promiseFactor = 1; // share of the expected capacity that returning viewers actually get

    private final SlidingWindowCounter setUps = new SlidingWindowCounter(250_000, RATE_WINDOW_US);
    private double tokens = 1;
    private long refilledAt = Long.MIN_VALUE;

    /** The decision module sent a request's first attempt to an edge server. */
    void recordSetUp(long now) {
        setUps.add(now, 1);
    }

    /** First attempts a second within the rate window, by which returns are promised. */
    double setUpRate(long now) {
        return setUps.sum(now, RATE_WINDOW_US) * 1e6 / RATE_WINDOW_US;
    }

    /** A viewer that returned on time has been served, or refused again. */
    void recordReturn(boolean served) {
        promiseFactor = served
                ? Math.min(1, promiseFactor + SERVED_INCREMENT)
                : Math.max(MIN_PROMISE_FACTOR, promiseFactor * REFUSED_FACTOR);
    }

    /** Returns a second that may be promised if {@code expected} set-ups a second are expected. */
    double promisableRate(double expected) {
        return promiseFactor * expected;
    }

    /**
     * Requests a second that are admitted to the decision module.
     *
     * @param coldRate set-ups a second that the cold servers accept together; infinite while a warm one is up
     */
    static double admissionRate(double coldRate) {
        return Math.max(MIN_ADMISSIONS_PER_SECOND, coldRate);
    }

    /** Whether one more request may be admitted now. */
    boolean mayAdmit(long now, double coldRate) {
        double rate = admissionRate(coldRate);
        if (Double.isInfinite(rate)) {
            refilledAt = now;
            return true;
        }
        tokens += refilledAt == Long.MIN_VALUE ? 0 : rate * (now - refilledAt) / 1e6;
        tokens = Math.min(tokens, Math.max(1, rate * MAX_SAVED_SECONDS));
        refilledAt = now;
        return tokens >= 1;
    }

    /** Takes the token of an admitted request. */
    void recordAdmitted(double coldRate) {
        if (!Double.isInfinite(coldRate)) {
            tokens -= 1;
        }
    }
}
