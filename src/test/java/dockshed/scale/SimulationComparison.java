package dockshed.scale;

import dockshed.capacity.LinearFit;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * How far the simulated network's figures are from those on sockets, over the scenes that both played.
 *
 * @param pairs         delays compared
 * @param rSquared      of a line through the delays: the share of the sockets' variance that the twin tells; NaN: too few
 * @param delayError    median of the delays' relative differences, in parts of the sockets' figure
 * @param bytesError    largest of the relative differences of bytes a second, in the scenes of a fixed length
 * @param onlyOneEnded  delays that came to an end in one of the two only
 */
record SimulationComparison(int pairs, double rSquared, double delayError, double bytesError, int onlyOneEnded) {
    private static final List<Metric> COMPARED_DELAYS = List.of(
            Metric.DETECT_P50_S,
            Metric.DETECT_P99_S,
            Metric.GONE_S,
            Metric.HEAL_P99_S,
            Metric.HEAL_S,
            Metric.FIGURE_AGE_MEAN_S,
            Metric.FIGURE_AGE_P99_S,
            Metric.SUMMARY_AGE_P99_S,
            Metric.CHANGE_P50_S,
            Metric.CHANGE_P99_S);
    /** Scenes of a fixed length, in which processes do not start. */
    private static final Set<SceneName> SCENES_WITH_COMPARED_BYTES =
            EnumSet.of(SceneName.STEADY, SceneName.LOSS_1, SceneName.LOSS_20);
    /** Delays under this are the sampling's: their relative difference says nothing. */
    private static final double MIN_COMPARED_SECONDS = 0.2;

    static SimulationComparison of(List<SceneResult> sockets, List<SceneResult> simulated) {
        List<double[]> delays = new ArrayList<>();
        int onlyOneEnded = 0;
        double bytesError = 0;
        for (SceneResult real : sockets) {
            Optional<SceneResult> match = matchOf(real, simulated);
            if (match.isEmpty()) {
                continue;
            }
            SceneResult twin = match.get();
            if (SCENES_WITH_COMPARED_BYTES.contains(real.scene())) {
                bytesError =
                        Math.max(bytesError, relativeError(real.figure(Metric.BYTES_S), twin.figure(Metric.BYTES_S)));
            }
            for (Metric metric : COMPARED_DELAYS) {
                double a = real.figure(metric);
                double b = twin.figure(metric);
                if (Double.isFinite(a) && Double.isFinite(b)) {
                    delays.add(new double[] {a, b});
                } else if (Double.isInfinite(a) != Double.isInfinite(b)) {
                    onlyOneEnded++;
                }
            }
        }
        return new SimulationComparison(delays.size(), rSquared(delays), medianError(delays), bytesError, onlyOneEnded);
    }

    private static Optional<SceneResult> matchOf(SceneResult real, List<SceneResult> simulated) {
        return simulated.stream()
                .filter(twin -> twin.scene() == real.scene()
                        && twin.mechanism() == real.mechanism()
                        && twin.brokers() == real.brokers())
                .findFirst();
    }

    private static double rSquared(List<double[]> delays) {
        if (delays.size() < LinearFit.MIN_POINTS) {
            return Double.NaN;
        }
        double[] simulated = delays.stream().mapToDouble(pair -> pair[1]).toArray();
        double[] sockets = delays.stream().mapToDouble(pair -> pair[0]).toArray();
        return LinearFit.of(simulated, sockets).rSquared();
    }

    private static double medianError(List<double[]> delays) {
        double[] errors = delays.stream()
                .filter(pair -> pair[0] >= MIN_COMPARED_SECONDS)
                .mapToDouble(pair -> relativeError(pair[0], pair[1]))
                .sorted()
                .toArray();
        return errors.length == 0 ? Double.NaN : errors[errors.length / 2];
    }

    private static double relativeError(double sockets, double simulated) {
        return Math.abs(simulated - sockets) / sockets;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "twin pairs=%d r2=%.3f delay_error_median=%.3f bytes_error_max=%.3f only_one_ended=%d",
                pairs,
                rSquared,
                delayError,
                bytesError,
                onlyOneEnded);
    }
}
