package dockshed.storm;

/** Counts events of the recent past in a ring of buckets, so that its size does not depend on the number of events. */
final class SlidingWindowCounter {
    private final long bucketWidth; // microseconds
    private final double[] counts;
    private long newestBucket = Long.MIN_VALUE;

    /** A counter for windows of up to {@code span} microseconds, in buckets of {@code bucketWidth} microseconds. */
    SlidingWindowCounter(long bucketWidth, long span) {
        this.bucketWidth = bucketWidth;
        counts = new double[(int) (span / bucketWidth) + 1];
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketWidth);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= counts.length) {
            java.util.Arrays.fill(counts, 0);
        } else {
            for (long passed = newestBucket + 1; passed <= bucket; passed++) {
                counts[(int) Math.floorMod(passed, (long) counts.length)] = 0;
            }
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    void add(long now, double count) {
        advance(now);
        counts[(int) Math.floorMod(newestBucket, (long) counts.length)] += count;
    }

    /** Events within the last {@code span} microseconds, accurate to one bucket. */
    double sum(long now, long span) {
        advance(now);
        double total = 0;
        for (long bucket = newestBucket;
                bucket > newestBucket - Math.min(counts.length, (span + bucketWidth - 1) / bucketWidth);
                bucket--) {
            total += counts[(int) Math.floorMod(bucket, (long) counts.length)];
        }
        return total;
    }
}
