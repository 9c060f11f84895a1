package dockshed.scale;

import org.HdrHistogram.Histogram;

/** Delays, some of which may not have finished while they were observed. */
final class Delays {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Histogram finished = new Histogram(SIGNIFICANT_DIGITS);
    private long unfinished;

    /** Adds a finished delay. */
    void add(long millis) {
        finished.recordValue(millis);
    }

    /** Adds a delay that did not finish; it counts as infinite. */
    void addUnfinished() {
        unfinished++;
    }

    /** Adds all delays of another collection. */
    void add(Delays other) {
        finished.add(other.finished);
        unfinished += other.unfinished;
    }

    /** Number of delays, finished or not. */
    long count() {
        return finished.getTotalCount() + unfinished;
    }

    /** The share of the delays that finished, 0 to 1; 1 if there are none. */
    double finishedShare() {
        return count() == 0 ? 1 : finished.getTotalCount() / (double) count();
    }

    /** The percentile, in seconds: infinite if it falls among unfinished delays, NaN if there are no delays. */
    double percentile(double percent) {
        if (count() == 0) {
            return Double.NaN;
        }
        long rank = (long) Math.ceil(count() * percent / 100);
        if (rank > finished.getTotalCount()) {
            return Double.POSITIVE_INFINITY;
        }
        return finished.getValueAtPercentile(100.0 * rank / finished.getTotalCount()) / MILLIS_PER_SECOND;
    }

    /** The longest delay, in seconds; infinite if one did not finish. */
    double longest() {
        return percentile(100);
    }
}
