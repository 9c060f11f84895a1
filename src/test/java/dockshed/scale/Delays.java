package dockshed.scale;

import org.HdrHistogram.Histogram;

/** Delays in milliseconds, of which some may not have come to their end. */
final class Delays {
    private static final int DIGITS = 3;
    private static final double MILLIS = 1e3;

    private final Histogram ended = new Histogram(DIGITS);
    private long never;

    void add(long millis) {
        ended.recordValue(millis);
    }

    void addNever() {
        never++;
    }

    void add(Delays more) {
        ended.add(more.ended);
        never += more.never;
    }

    long count() {
        return ended.getTotalCount() + never;
    }

    /** The share that has come to its end; 1 where there is none. */
    double endedShare() {
        return count() == 0 ? 1 : ended.getTotalCount() / (double) count();
    }

    /** In seconds, within which so many in 100 have ended; infinite where they have not. */
    double percentile(double percent) {
        if (count() == 0) {
            return Double.NaN;
        }
        long wanted = (long) Math.ceil(count() * percent / 100);
        if (wanted > ended.getTotalCount()) {
            return Double.POSITIVE_INFINITY;
        }
        return ended.getValueAtPercentile(100.0 * wanted / ended.getTotalCount()) / MILLIS;
    }

    /** Until the last has ended. */
    double longest() {
        return percentile(100);
    }
}
