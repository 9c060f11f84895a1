package dockshed.scale;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/**
 * Ages of the figures that brokers hold of one another, in milliseconds. A broker that is listed and of which no figures
 * are held counts with the time since the holder began, and as missing.
 *
 * @param counts  pairs of an age in milliseconds and how often it was seen
 * @param missing figures of listed brokers that were not held
 */
record FigureAges(List<long[]> counts, long missing) {
    private static final int DIGITS = 2;

    static Histogram histogram() {
        return new Histogram(DIGITS);
    }

    static FigureAges of(Histogram ages, long missing) {
        List<long[]> counts = new ArrayList<>();
        for (HistogramIterationValue value : ages.recordedValues()) {
            counts.add(new long[] {value.getValueIteratedTo(), value.getCountAtValueIteratedTo()});
        }
        return new FigureAges(counts, missing);
    }

    void addTo(Histogram ages) {
        for (long[] count : counts) {
            ages.recordValueWithCount(count[0], count[1]);
        }
    }
}
