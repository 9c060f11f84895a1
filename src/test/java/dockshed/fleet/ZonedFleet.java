package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;

import dockshed.topology.Scope;
import dockshed.topology.Zone;
import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** A simulated fleet with zones, and measurements of it; also the bench of the gossip by fleet size. */
public final class ZonedFleet {
    private static final long SAMPLE_PERIOD_US = 250 * MILLISECOND_US;
    private static final int REGIONS = 2;

    final FleetSimulation simulation;
    final ZoneMap zones;

    ZonedFleet(int brokers, int zones, long seed) {
        this(brokers, FleetSettings.DEFAULTS.withZones(evenZones(brokers, zones)), seed);
    }

    private ZonedFleet(int brokers, FleetSettings settings, long seed) {
        this.zones = settings.zoneMap(brokers);
        simulation =
                new FleetSimulation(brokers, settings.withBytesPerSecond(FleetSettings.ZONED_BYTES_PER_SECOND), seed);
    }

    /** Zones of sizes as equal as possible, the first half of them in one region. */
    static List<Zone> evenZones(int brokers, int zones) {
        List<Zone> out = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            int first = brokers * zone / zones;
            int last = brokers * (zone + 1) / zones - 1;
            String region = zone * REGIONS < zones ? "north" : "south";
            out.add(new Zone(region + "-" + zone, region, first, last));
        }
        return out;
    }

    /** Starts all brokers and runs until they have found one another. */
    ZonedFleet start() {
        return start(6 * SECOND_US);
    }

    ZonedFleet start(long micros) {
        simulation.startAll();
        simulation.run(micros, SAMPLE_PERIOD_US, this::offerLoad);
        return this;
    }

    Scope scope(int number) {
        return zones.scopes().get(number);
    }

    void offerLoad() {
        offerLoad(4, 1);
    }

    /** Gives every running broker the load of one sample period. */
    void offerLoad(int accepted, int rejected) {
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        for (int step : new int[] {0, 1, 2, 4, 5, 6}) {
            requests[step] = accepted + rejected;
        }
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.isUp() && node.pausedUntil < 0) {
                node.handle(new LocalEvent.LoadSample(requests, 6 * accepted, 6 * rejected, 0, SAMPLE_PERIOD_US));
            }
        }
    }

    /** Number of pairs of running brokers of which one calls the other dead. */
    int falseDeaths() {
        int count = 0;
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.isUp()) {
                count += (int) node.node
                        .membership()
                        .scope()
                        .brokers()
                        .filter(other -> simulation.nodes[other].isUp()
                                && node.node.membership().member(other).state == Member.State.DEAD)
                        .count();
            }
        }
        return count;
    }

    /** Results of a run: ages in microseconds, bytes sent and received per second and broker. */
    record Figures(
            Histogram ownAges, Histogram otherAges, int unknown, double bytes, double mostBytes, int falseDeaths) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "own_age_p50=%.2f own_age_p99=%.2f own_age_max=%.2f other_age_p50=%.2f other_age_p99=%.2f"
                            + " other_age_max=%.2f unknown=%d bytes_s=%.0f bytes_s_max=%.0f false_dead=%d",
                    ownAges.getValueAtPercentile(50) / 1e6,
                    ownAges.getValueAtPercentile(99) / 1e6,
                    ownAges.getMaxValue() / 1e6,
                    otherAges.getValueAtPercentile(50) / 1e6,
                    otherAges.getValueAtPercentile(99) / 1e6,
                    otherAges.getMaxValue() / 1e6,
                    unknown,
                    bytes,
                    mostBytes,
                    falseDeaths);
        }
    }

    /** Runs and measures; every broker's figures are read four times a second. */
    Figures measure(long micros) {
        Histogram own = new Histogram(3);
        Histogram other = new Histogram(3);
        int[] unknown = new int[2];
        simulation.sentBy.clear();
        Arrays.fill(simulation.receivedBy, 0);
        simulation.run(micros, SAMPLE_PERIOD_US, () -> {
            offerLoad();
            for (FleetSimulation.Node node : simulation.nodes) {
                if (node.isUp()) {
                    unknown[0] += ages(node, own, other);
                }
            }
            unknown[1] += falseDeaths();
        });
        double seconds = micros / 1e6;
        double sum = 0;
        double most = 0;
        for (FleetSimulation.Node node : simulation.nodes) {
            double bytes = simulation.sentBy.getOrDefault(node.number, 0L) + simulation.receivedBy[node.number];
            sum += bytes / seconds;
            most = Math.max(most, bytes / seconds);
        }
        return new Figures(own, other, unknown[0], sum / simulation.nodes.length, most, unknown[1]);
    }

    /** Records the ages of a broker's information; returns the number of brokers and scopes of which it has none. */
    private int ages(FleetSimulation.Node node, Histogram own, Histogram other) {
        int unknown = 0;
        long now = node.clock();
        int[] of = node.node
                .membership()
                .scope()
                .brokers()
                .filter(peer -> peer != node.number && simulation.nodes[peer].isUp())
                .toArray();
        for (int peer : of) {
            VersionedEntry load = node.node.entries().get(peer, VersionedEntry.LOAD, 0);
            if (load == null) {
                unknown++;
            } else {
                own.recordValue(Math.max(0, now - load.writtenAt()));
            }
        }
        for (FleetSnapshot.ScopeStatus status : node.snapshot().otherScopes()) {
            if (status.isKnown()) {
                other.recordValue(Math.max(0, status.age()));
            } else {
                unknown++;
            }
        }
        return unknown;
    }

    /** Arguments: brokers, zones, part of the datagrams that is lost, seconds. */
    public static void main(String[] args) {
        int brokers = Integer.parseInt(args[0]);
        int zones = Integer.parseInt(args[1]);
        double loss = Double.parseDouble(args[2]);
        int seconds = Integer.parseInt(args[3]);
        ZonedFleet fleet = new ZonedFleet(brokers, zones, 11);
        fleet.simulation.loss = loss;
        fleet.start();
        long began = System.nanoTime();
        Figures figures = fleet.measure(seconds * SECOND_US);
        double cpu = (System.nanoTime() - began) / 1e9 / seconds / brokers;
        System.out.printf(
                Locale.ROOT,
                "zones brokers=%d zones=%d scopes=%d loss=%.2f seconds=%d %s cpu=%.4f%n",
                brokers,
                zones,
                fleet.zones.scopes().size(),
                loss,
                seconds,
                figures,
                cpu);
    }
}
