package dockshed.scale;

import dockshed.capacity.LinearFit;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * How far the simulation's figures are from those on sockets, over the scenes that both played.
 *
 * @param pairs        number of delays compared
 * @param rSquared     share of the variance of the delays on sockets that a line through the simulated ones explains; NaN
 *                     if there are fewer than {@link LinearFit#MIN_POINTS} pairs
 * @param delayError   median relative error of the simulated delays, of those that are 0.2 s or longer on sockets; NaN if
 *                     there are none
 * @param bytesError   largest relative error of the simulated bytes per second, over the scenes of a fixed length
 * @param onlyOneEnded number of delays that are finite in one of the two and infinite in the other
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
    /** Scenes of a fixed length in which no processes start, so that their traffic can be compared. */
    private static final Set<SceneName> SCENES_WITH_COMPARED_BYTES =
            EnumSet.of(SceneName.STEADY, SceneName.LOSS_1, SceneName.LOSS_20);
    /** Shorter delays do not count in the median error, as the sampling interval dominates them. */
    private static final double MIN_DELAY_FOR_ERROR_SECONDS = 0.2;

    /** Compares the scenes that both played. */
    static SimulationComparison of(List<SceneResult> sockets, List<SceneResult> simulated) {
        List<double[]> delays = new ArrayList<>();
        int onlyOneEnded = 0;
        double bytesError = 0;
        for (SceneResult onSockets : sockets) {
            Optional<SceneResult> match = matchOf(onSockets, simulated);
            if (match.isEmpty()) {
                continue;
            }
            SceneResult simulation = match.get();
            if (SCENES_WITH_COMPARED_BYTES.contains(onSockets.scene())) {
                bytesError = Math.max(
                        bytesError, relativeError(onSockets.figure(Metric.BYTES_S), simulation.figure(Metric.BYTES_S)));
            }
            for (Metric metric : COMPARED_DELAYS) {
                double socketDelay = onSockets.figure(metric);
                double simulatedDelay = simulation.figure(metric);
                if (Double.isFinite(socketDelay) && Double.isFinite(simulatedDelay)) {
                    delays.add(new double[] {socketDelay, simulatedDelay});
                } else if (Double.isInfinite(socketDelay) != Double.isInfinite(simulatedDelay)) {
                    onlyOneEnded++;
                }
            }
        }
        return new SimulationComparison(delays.size(), rSquared(delays), medianError(delays), bytesError, onlyOneEnded);
    }

    private static Optional<SceneResult> matchOf(SceneResult onSockets, List<SceneResult> simulated) {
        return simulated.stream()
                .filter(simulation -> simulation.scene() == onSockets.scene()
                        && simulation.mechanism() == onSockets.mechanism()
                        && simulation.brokers() == onSockets.brokers())
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
                .filter(pair -> pair[0] >= MIN_DELAY_FOR_ERROR_SECONDS)
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
