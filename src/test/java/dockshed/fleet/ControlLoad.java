package dockshed.fleet;

import java.util.List;
import java.util.SplittableRandom;

/** The load of a measured fleet: load samples, health reports at a steady rate, and lasting entries. */
final class ControlLoad {
    static final long SAMPLE_PERIOD_US = 250 * FleetSimulation.MILLISECOND_US;
    private static final long MINUTE_US = 60 * FleetSimulation.SECOND_US;
    private static final int REPORTED_SERVERS = 1_000;
    private static final int LASTING_KIND = VersionedEntry.PLANS;
    private static final long LASTING_TIME_TO_LIVE_US = 3_600 * FleetSimulation.SECOND_US;
    /** Length of a lasting entry's value: enough for a shard's owner, audience and version, for example. */
    private static final int LASTING_VALUE_BYTES = 8;

    private static final int ACCEPTED = 4;
    private static final int REJECTED = 1;

    private final FleetSimulation fleet;
    private final ControlScenario scenario;
    private final SplittableRandom random;
    private double reportsDue;
    private long nextSampleAt;
    private int samples;
    private int reports;

    ControlLoad(FleetSimulation fleet, ControlScenario scenario) {
        this.fleet = fleet;
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        fleet.onStart = node -> node.node.entries().setTimeToLive(LASTING_KIND, LASTING_TIME_TO_LIVE_US);
    }

    /** Runs the fleet under load and calls {@code look} after each step. */
    void run(long micros, long step, Runnable look) {
        fleet.run(micros, step, () -> {
            if (fleet.now >= nextSampleAt) {
                nextSampleAt = fleet.now + SAMPLE_PERIOD_US;
                samples++;
                sample();
                report();
            }
            look.run();
        });
    }

    /** Runs the fleet under load in steps of a sample period. */
    void run(long micros, Runnable look) {
        run(micros, SAMPLE_PERIOD_US, look);
    }

    /** Number of load samples that every broker was given. */
    int samples() {
        return samples;
    }

    /** Number of health reports made at the steady rate. */
    int reports() {
        return reports;
    }

    private void sample() {
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 3;
        requests[1] = 1;
        requests[4] = 1;
        for (FleetSimulation.Node node : fleet.nodes) {
            if (node.isUp()) {
                node.handle(new LocalEvent.LoadSample(requests, ACCEPTED, REJECTED, 0, SAMPLE_PERIOD_US));
            }
        }
    }

    private void report() {
        reportsDue += scenario.changesPerMinute() * SAMPLE_PERIOD_US / MINUTE_US;
        for (; reportsDue >= 1; reportsDue--) {
            reports++;
            FleetSimulation.Node node = fleet.nodes[random.nextInt(fleet.nodes.length)];
            if (node.isUp()) {
                node.handle(new LocalEvent.HealthReport(random.nextInt(REPORTED_SERVERS), random.nextBoolean()));
            }
        }
    }

    /** Gives all peers all lasting entries in the state long after the last change, with nothing left to relay. */
    void placeLastingEntries() {
        for (FleetSimulation.Node owner : fleet.nodes) {
            List<Integer> peers = scenario.mechanism().peersOf(owner.number, fleet.nodes.length);
            EntryStore own = owner.node.entries();
            for (int key = 0; key < scenario.entriesPerOwner(); key++) {
                own.put(owner.clock(), LASTING_KIND, key, new byte[LASTING_VALUE_BYTES]);
                VersionedEntry entry = own.get(owner.number, LASTING_KIND, key);
                for (int peer : peers) {
                    fleet.nodes[peer].node.entries().merge(owner.clock(), copy(entry), owner.number, forger -> {});
                }
            }
        }
        if (scenario.entriesPerOwner() > 0) {
            for (FleetSimulation.Node node : fleet.nodes) {
                markRelayed(node);
            }
        }
    }

    /** A copy with bytes of its own, as a peer has it after a datagram. */
    private static VersionedEntry copy(VersionedEntry entry) {
        return new VersionedEntry(
                entry.owner(),
                entry.kind(),
                entry.key(),
                entry.incarnation(),
                entry.counter(),
                entry.writtenAt(),
                entry.value().clone());
    }

    private static void markRelayed(FleetSimulation.Node node) {
        int times = node.node.membership().gossipTimes();
        for (int time = 0; time < times; time++) {
            node.node.entries().deltas(node.clock(), Integer.MAX_VALUE, times);
        }
    }
}
