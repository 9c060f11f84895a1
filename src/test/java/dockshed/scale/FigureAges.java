package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/**
 * {@link Ages} as they travel between processes.
 *
 * @param own     pairs of an age in milliseconds and how often it was seen, of brokers' own figures
 * @param others  the same of other scopes' summaries
 * @param missing as there
 */
record FigureAges(List<long[]> own, List<long[]> others, long missing) {
    static FigureAges of(Ages ages) {
        return new FigureAges(counts(ages.ownScope()), counts(ages.otherScopes()), ages.missing());
    }

    private static List<long[]> counts(Histogram ages) {
        List<long[]> counts = new ArrayList<>();
        for (HistogramIterationValue value : ages.recordedValues()) {
            counts.add(new long[] {value.getValueIteratedTo(), value.getCountAtValueIteratedTo()});
        }
        return counts;
    }

    void addTo(Ages ages) {
        own.forEach(count -> ages.ownScope().recordValueWithCount(count[0], count[1]));
        others.forEach(count -> ages.otherScopes().recordValueWithCount(count[0], count[1]));
        ages.addMissing(missing);
    }
}
