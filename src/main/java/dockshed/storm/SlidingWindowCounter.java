package dockshed.storm;

/** Counts of what happened lately, in buckets: a ring, so its size is fixed however much comes. */
final class SlidingWindowCounter {
    private final long width;
    private final double[] counts;
    private long latest = Long.MIN_VALUE; // number of the newest bucket

    /** Holds at least {@code span} microseconds in buckets of {@code width}. */
    SlidingWindowCounter(long width, long span) {
        this.width = width;
        counts = new double[(int) (span / width) + 1];
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, width);
        if (latest == Long.MIN_VALUE || bucket - latest >= counts.length) {
            java.util.Arrays.fill(counts, 0);
        } else {
            for (long b = latest + 1; b <= bucket; b++) {
                counts[(int) Math.floorMod(b, (long) counts.length)] = 0;
            }
        }
        latest = Math.max(latest, bucket);
    }

    void add(long now, double n) {
        roll(now);
        counts[(int) Math.floorMod(latest, (long) counts.length)] += n;
    }

    /** What came within the last {@code span}, to a bucket's width. */
    double sum(long now, long span) {
        roll(now);
        double all = 0;
        for (long b = latest; b > latest - Math.min(counts.length, (span + width - 1) / width); b--) {
            all += counts[(int) Math.floorMod(b, (long) counts.length)];
        }
        return all;
    }
}
