package dockshed.storm;

/**
 * The set-ups a second that are to be expected: as measured where the module turns viewers away, and what cold boxes
 * take together. Falls to what went out once a good part of what comes is refused, and opens again by steps as
 * refusals cease.
 */
final class Room {
    private static final long SPAN = 2_000_000, STEP = 250_000;
    /** Share of refusals at which the rate falls, and under which it opens again. */
    private static final double SHUTS = 0.3, OPENS = 0.15;
    /** The measured rate is tried so far over, and opens by this factor a step. */
    private static final double OVER = 1.2, WIDER = 1.25;
    /** Requests a second that are let through in any case, so that room that comes back is found. */
    private static final double LEAST = 2;

    private final Window sent = new Window(STEP, SPAN), refused = new Window(STEP, SPAN), came = new Window(STEP, SPAN);
    private double limit = Double.POSITIVE_INFINITY;
    private long steppedAt = Long.MIN_VALUE;
    private double tokens = 1;
    private long countedAt = Long.MIN_VALUE;

    void came(long now) {
        came.add(now, 1);
    }

    /** The module sent a first attempt out. */
    void sent(long now) {
        sent.add(now, 1);
    }

    /** The module found no room. */
    void refused(long now) {
        refused.add(now, 1);
    }

    void step(long now) {
        if (steppedAt != Long.MIN_VALUE && now - steppedAt < STEP) {
            return;
        }
        steppedAt = now;
        double out = sent.sum(now, SPAN);
        double no = refused.sum(now, SPAN);
        double rate = out * 1e6 / SPAN;
        if (no >= 4 && no > SHUTS * (out + no)) {
            limit = Math.max(LEAST, Math.min(limit, OVER * rate + 1));
        } else if (limit < Double.POSITIVE_INFINITY && no <= OPENS * (out + no)) {
            limit *= WIDER;
            if (limit > 4 * Math.max(LEAST, came.sum(now, SPAN) * 1e6 / SPAN)) {
                limit = Double.POSITIVE_INFINITY;
            }
        }
    }

    /** Requests a second that the module is given; {@code cold}: what cold boxes take, where all are. */
    double rate(double cold) {
        return Math.max(LEAST, Math.min(limit, cold));
    }

    /** What went out a second lately: a measure for returns while nothing bounds them. */
    double measured(long now) {
        return sent.sum(now, SPAN) * 1e6 / SPAN;
    }

    /** Whether one more request may go to the module now. */
    boolean open(long now, double cold) {
        double rate = rate(cold);
        if (Double.isInfinite(rate)) {
            countedAt = now;
            return true;
        }
        if (countedAt != Long.MIN_VALUE) {
            tokens += rate * (now - countedAt) / 1e6;
        }
        tokens = Math.min(tokens, Math.max(1, rate / 10));      // no more than a tenth of a second's worth is saved
        countedAt = now;
        return tokens >= 1;
    }

    void passed(double cold) {
        if (!Double.isInfinite(rate(cold))) {
            tokens -= 1;
        }
    }
}
