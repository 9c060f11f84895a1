package dockshed.scale;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The line that sums up the run of one mechanism: {@code scale}, followed by {@code key=value} pairs.
 *
 * @param values the values by key, in the order printed
 */
record SummaryLine(Map<String, String> values) {
    private static final String PREFIX = "scale ";

    SummaryLine {
        values = new LinkedHashMap<>(values);
    }

    /**
     * Reads a printed line.
     *
     * @throws IllegalArgumentException if it does not begin with {@code scale } or a pair has no key or no equals sign
     */
    static SummaryLine parse(String line) {
        if (!line.startsWith(PREFIX)) {
            throw new IllegalArgumentException("expected a line that begins with 'scale ', got: " + line);
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : line.substring(PREFIX.length()).split(" ")) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("expected key=value, got: " + pair);
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return new SummaryLine(values);
    }

    /**
     * Sums up the scenes played on sockets; a figure whose scene was not played is {@code nan}.
     *
     * @param rSquared of {@link SimulationComparison}
     */
    static SummaryLine of(ScaleRun run, double rSquared) {
        List<SceneResult> scenes = run.results();
        Map<String, String> values = new LinkedHashMap<>();
        values.put("brokers", Integer.toString(run.brokers()));
        values.put("real", Integer.toString(run.real()));
        values.put("hollow", Integer.toString(run.hollow()));
        values.put("processes", Integer.toString(run.processes()));
        values.put("bytes_s", figure(scenes, SceneName.STEADY, Metric.BYTES_S));
        values.put("bytes_s_max", figure(scenes, SceneName.STEADY, Metric.BYTES_S_MAX));
        values.put("cpu", figure(scenes, SceneName.STEADY, Metric.CPU));
        values.put("memory_kb", figure(scenes, SceneName.STEADY, Metric.MEMORY_KB));
        values.put("detect_p99_s", figure(scenes, SceneName.MACHINES, Metric.DETECT_P99_S));
        values.put("figure_age_p99_s", figure(scenes, SceneName.STEADY, Metric.FIGURE_AGE_P99_S));
        values.put("change_p99_s", figure(scenes, SceneName.CHANGES, Metric.CHANGE_P99_S));
        values.put("zone_gone_s", figure(scenes, SceneName.ZONE, Metric.GONE_S));
        values.put("heal_s", figure(scenes, SceneName.REGIONS, Metric.HEAL_S));
        values.put("false_dead", sum(scenes, Metric.FALSE_DEAD));
        values.put("disagree", sum(scenes, Metric.DISAGREE));
        values.put("r2", SceneResult.format(rSquared));
        values.put("mechanism", run.mechanism().label());
        return new SummaryLine(values);
    }

    private static String figure(List<SceneResult> scenes, SceneName name, Metric metric) {
        return scenes.stream()
                .filter(scene -> scene.scene() == name)
                .map(scene -> SceneResult.format(scene.figure(metric)))
                .findFirst()
                .orElse("nan");
    }

    /** The sum over all scenes; {@code nan}, not zero, if no scene measured it. */
    private static String sum(List<SceneResult> scenes, Metric metric) {
        double[] measured = scenes.stream()
                .filter(scene -> scene.figures().containsKey(metric))
                .mapToDouble(scene -> scene.figure(metric))
                .toArray();
        return SceneResult.format(
                measured.length == 0 ? Double.NaN : Arrays.stream(measured).sum());
    }

    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("scale");
        values.forEach((key, value) -> line.append(' ').append(key).append('=').append(value));
        return line.toString();
    }
}
