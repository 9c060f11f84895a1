package dockshed.scale;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The figures of one scene.
 *
 * @param run     {@link #SOCKETS} or {@link #SIMULATED}
 * @param brokers number of brokers in the fleet
 * @param seconds how long the scene took by the fleet's clock
 * @param figures the figures that were measured
 */
record SceneResult(
        String run, Mechanism mechanism, int brokers, SceneName scene, double seconds, Map<Metric, Double> figures) {
    static final String SOCKETS = "sockets";
    static final String SIMULATED = "simulated";
    /** The cell of a figure that was not measured. */
    private static final String NOT_MEASURED = "-";

    private static final int FRACTION_DIGITS = 4;

    SceneResult {
        figures = new EnumMap<>(figures);
    }

    /** A figure; NaN if it was not measured. */
    double figure(Metric metric) {
        return figures.getOrDefault(metric, Double.NaN);
    }

    /** The column names of {@link #csvRow}. */
    static String csvHeader() {
        StringBuilder header = new StringBuilder("run,mechanism,brokers,scene,seconds");
        for (Metric metric : Metric.values()) {
            header.append(',').append(metric.column());
        }
        return header.toString();
    }

    /** The row of the CSV file; figures that were not measured are {@link #NOT_MEASURED}. */
    String csvRow() {
        StringBuilder row = new StringBuilder(
                String.join(",", run, mechanism.label(), Integer.toString(brokers), scene.label(), format(seconds)));
        for (Metric metric : Metric.values()) {
            row.append(',').append(figures.containsKey(metric) ? format(figures.get(metric)) : NOT_MEASURED);
        }
        return row.toString();
    }

    /** At most four decimals without trailing zeros; infinity as {@code inf}, NaN as {@code nan}. */
    static String format(double value) {
        if (Double.isNaN(value)) {
            return "nan";
        }
        if (Double.isInfinite(value)) {
            return "inf";
        }
        String text = String.format(Locale.ROOT, "%." + FRACTION_DIGITS + "f", value);
        return text.replaceAll("0+$", "").replaceAll("\\.$", "");
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT, "%s %s %d %s seconds=%.1f", run, mechanism.label(), brokers, scene.label(), seconds));
        figures.forEach((metric, value) ->
                text.append(' ').append(metric.column()).append('=').append(format(value)));
        return text.toString();
    }
}
