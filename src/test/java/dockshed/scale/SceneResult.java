package dockshed.scale;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The figures of one scene.
 *
 * @param run     {@link #SOCKETS} or {@link #SIMULATED}
 * @param seconds that the scene took, of the run's own clock
 * @param figures those that the scene yields
 */
record SceneResult(
        String run, Mechanism mechanism, int brokers, SceneName scene, double seconds, Map<Metric, Double> figures) {
    static final String SOCKETS = "sockets";
    static final String SIMULATED = "simulated";
    private static final String NOT_MEASURED = "-";
    private static final int FRACTION_DIGITS = 4;

    SceneResult {
        figures = new EnumMap<>(figures);
    }

    /** NaN where the scene does not yield it. */
    double figure(Metric metric) {
        return figures.getOrDefault(metric, Double.NaN);
    }

    static String csvHeader() {
        StringBuilder header = new StringBuilder("run,mechanism,brokers,scene,seconds");
        for (Metric metric : Metric.values()) {
            header.append(',').append(metric.column());
        }
        return header.toString();
    }

    /** Columns that the scene does not yield hold {@link #NOT_MEASURED}. */
    String csvRow() {
        StringBuilder row = new StringBuilder(
                String.join(",", run, mechanism.label(), Integer.toString(brokers), scene.label(), format(seconds)));
        for (Metric metric : Metric.values()) {
            row.append(',').append(figures.containsKey(metric) ? format(figures.get(metric)) : NOT_MEASURED);
        }
        return row.toString();
    }

    /** Without a fraction that says nothing; infinity as {@code inf}, what is not a number as {@code nan}. */
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
