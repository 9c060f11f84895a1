package dockshed.scale;

import org.HdrHistogram.Histogram;

/** Delays in milliseconds, of which some may not have come to their end. */
final class Delays {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Histogram finished = new Histogram(SIGNIFICANT_DIGITS);
    private long unfinished;

    void add(long millis) {
        finished.recordValue(millis);
    }

    void addUnfinished() {
        unfinished++;
    }

    void add(Delays more) {
        finished.add(more.finished);
        unfinished += more.unfinished;
    }

    long count() {
        return finished.getTotalCount() + unfinished;
    }

    /** The share that has come to its end; 1 where there is none. */
    double finishedShare() {
        return count() == 0 ? 1 : finished.getTotalCount() / (double) count();
    }

    /** In seconds, within which so many in 100 have ended; infinite where they have not. */
    double percentile(double percent) {
        if (count() == 0) {
            return Double.NaN;
        }
        long wanted = (long) Math.ceil(count() * percent / 100);
        if (wanted > finished.getTotalCount()) {
            return Double.POSITIVE_INFINITY;
        }
        return finished.getValueAtPercentile(100.0 * wanted / finished.getTotalCount()) / MILLIS_PER_SECOND;
    }

    /** Until the last has ended. */
    double longest() {
        return percentile(100);
    }
}
