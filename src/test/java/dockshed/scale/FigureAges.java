package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/**
 * {@link Ages} in the JSON form in which a hollow process reports them.
 *
 * @param own     ages of figures from the brokers' own scopes: pairs of an age in milliseconds and its count
 * @param others  ages of other scopes' summaries, in the same form
 * @param missing figures and summaries that are not held at all
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

    /** Adds these ages to a total. */
    void addTo(Ages ages) {
        own.forEach(count -> ages.ownScope().recordValueWithCount(count[0], count[1]));
        others.forEach(count -> ages.otherScopes().recordValueWithCount(count[0], count[1]));
        ages.addMissing(missing);
    }
}
