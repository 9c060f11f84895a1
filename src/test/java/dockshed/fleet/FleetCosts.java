package dockshed.fleet;

import dockshed.core.ProbeCoordinator.Suspicion;
import dockshed.core.ProbeCoordinator.Verdict;
import java.util.Arrays;
import java.util.List;

/** The cost of a gossip node by the size of the fleet, on the simulated network; for the bench. */
public final class FleetCosts {
    private static final long SEED = 11;
    private static final double LOSS = 0.01;
    private static final long WARM_UP_US = 40 * FleetSimulation.SECOND_US;
    private static final long SAMPLE_PERIOD_US = 250 * FleetSimulation.MILLISECOND_US;
    /** Duration of a probe of a dead server, in microseconds. */
    private static final long PROBE_TIME_US = 250 * FleetSimulation.MILLISECOND_US;
    /** Own failed probes after which a broker knows by itself that a server is dead. */
    private static final int PROBES_TO_KNOW = 2;
    /** Minimum number of seconds over which the probe rate is computed. */
    private static final double MIN_RATE_SECONDS = 5;

    /**
     * Bytes sent per second.
     *
     * @param mean    of all brokers
     * @param highest of the broker that sends the most
     */
    public record ByteRates(double mean, double highest) {}

    /**
     * The cost until a fleet knows that a server is dead.
     *
     * @param probesPerSecond by the whole fleet until the last broker knows, over at least five seconds
     * @param seconds         until the last broker knows
     * @param uninformed      brokers that do not know after 30 s
     */
    public record ProbeCost(double probesPerSecond, double seconds, int uninformed) {}

    private FleetCosts() {}

    private static FleetSimulation fleet(int brokers) {
        FleetSimulation fleet = new FleetSimulation(brokers, FleetSettings.DEFAULTS, SEED);
        fleet.loss = LOSS;
        fleet.startAll();
        fleet.run(WARM_UP_US);
        return fleet;
    }

    private static void sampleLoad(FleetSimulation fleet) {
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 3;
        requests[1] = 1;
        requests[4] = 1;
        for (FleetSimulation.Node node : fleet.nodes) {
            node.handle(new LocalEvent.LoadSample(requests, 4, 1, 0, SAMPLE_PERIOD_US));
        }
    }

    /** The bytes that a fleet of that size sends under load. */
    public static ByteRates byteRates(int brokers, int seconds) {
        FleetSimulation fleet = fleet(brokers);
        fleet.sentBy.clear();
        fleet.run(seconds * FleetSimulation.SECOND_US, SAMPLE_PERIOD_US, () -> sampleLoad(fleet));
        long sum = fleet.sentBy.values().stream().mapToLong(bytes -> bytes).sum();
        long highest =
                fleet.sentBy.values().stream().mapToLong(bytes -> bytes).max().orElse(0);
        return new ByteRates(sum / (double) brokers / seconds, highest / (double) seconds);
    }

    /** All brokers suspect a dead server within 100 ms and probe it as the schedule determines. */
    public static ProbeCost probeCost(int brokers) {
        return probeCost(fleet(brokers));
    }

    static ProbeCost probeCost(FleetSimulation fleet) {
        return new DeadServer(fleet).play();
    }

    /** One broker's suspicion of the server. */
    private static final class Prober {
        final FleetSimulation.Node node;
        final long suspectedAt;
        long probedAt;
        long resultAt;
        int failures;
        boolean knows;

        Prober(FleetSimulation.Node node, long suspectedAt) {
            this.node = node;
            this.suspectedAt = suspectedAt;
        }
    }

    private static final class DeadServer {
        final FleetSimulation fleet;
        final int server = StableHash.of("dead");
        final List<Prober> probers;
        final long began;
        long lastKnownAt;
        int probes;

        DeadServer(FleetSimulation fleet) {
            this.fleet = fleet;
            began = fleet.now;
            lastKnownAt = began;
            probers = Arrays.stream(fleet.nodes)
                    .map(node -> new Prober(
                            node, node.clock() + fleet.random.nextLong(100 * FleetSimulation.MILLISECOND_US)))
                    .toList();
        }

        ProbeCost play() {
            fleet.run(
                    30 * FleetSimulation.SECOND_US,
                    50 * FleetSimulation.MILLISECOND_US,
                    () -> probers.forEach(this::step));
            double seconds = (lastKnownAt - began) / (double) FleetSimulation.SECOND_US;
            int uninformed =
                    (int) probers.stream().filter(prober -> !prober.knows).count();
            return new ProbeCost(probes / Math.max(MIN_RATE_SECONDS, seconds), seconds, uninformed);
        }

        private void step(Prober prober) {
            long now = prober.node.clock();
            if (prober.knows || now < prober.suspectedAt) {
                return;
            }
            if (prober.resultAt > 0 && now >= prober.resultAt) {
                prober.resultAt = 0;
                prober.failures++;
                prober.node.handle(new LocalEvent.HealthReport(server, false));
            }
            if (prober.resultAt > 0) {
                return;
            }
            Verdict verdict = verdict(now, prober);
            if (verdict == Verdict.TRY) {
                probes++;
                prober.probedAt = now;
                prober.resultAt = now + PROBE_TIME_US;
            } else if (verdict == Verdict.DOWN || prober.failures >= PROBES_TO_KNOW) {
                prober.knows = true;
                lastKnownAt = fleet.now;
            }
        }

        private Verdict verdict(long now, Prober prober) {
            FleetSnapshot snapshot = prober.node.snapshot();
            List<VersionedEntry> reports = snapshot.healthReports().getOrDefault(server, List.of());
            Suspicion suspicion = new Suspicion(
                    prober.suspectedAt,
                    prober.suspectedAt - FleetSimulation.SECOND_US,
                    prober.probedAt,
                    prober.failures);
            return HealthProbeSchedule.verdict(
                    now, prober.node.number, snapshot.presentBrokers(), server, reports, suspicion);
        }
    }
}
