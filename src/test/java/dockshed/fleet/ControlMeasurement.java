package dockshed.fleet;

import dockshed.capacity.ThreadCost;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures the control traffic of one simulated fleet: the real gossip nodes, codec and stores in virtual time. They
 * publish a snapshot after every tick of the measured window, as their hosts do. All figures except processor time,
 * allocation and heap are determined by the scenario and its seed.
 */
public final class ControlMeasurement {
    private static final long SECOND_US = FleetSimulation.SECOND_US;
    private static final long REPORT_STEP_US = 50 * FleetSimulation.MILLISECOND_US;
    private static final double REPORT_REACH = 0.99;
    private static final int KILLED_ONE_IN = 7;
    private static final int FIRST_TRACED_SERVER = 1_000_000;
    private static final double PERCENTILE_99 = 99;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Minimum time between two pushes of a gossip node, in microseconds: see {@link GossipNode}. */
    private static final long PUSH_INTERVAL_US = 100 * FleetSimulation.MILLISECOND_US;

    private static final long AGE_SAMPLING_US = 5 * SECOND_US;

    private final ControlScenario scenario;
    private final ControlDurations durations;
    private final FleetSimulation fleet;
    private final long window;
    private final ControlLoad load;
    private final List<List<Integer>> peers = new ArrayList<>();
    private final NetworkBaseline network = new NetworkBaseline();
    private final ThreadCost cost = new ThreadCost();
    private final Histogram ages = new Histogram(3);
    private final Histogram otherAges = new Histogram(3);
    private final Set<Long> calledDead = new HashSet<>();
    private long agesMissing;
    private long agesWanted;
    private int falseDeaths;

    private ControlMeasurement(ControlScenario scenario, ControlDurations durations) {
        this.scenario = scenario;
        this.durations = durations;
        fleet = scenario.mechanism().fleet(scenario.brokers(), scenario.seed());
        window = durations.window(scenario.brokers());
        fleet.loss = scenario.loss();
        load = new ControlLoad(fleet, scenario);
        for (int broker = 0; broker < scenario.brokers(); broker++) {
            peers.add(scenario.mechanism().peersOf(broker, scenario.brokers()));
        }
    }

    /** Runs a scenario. */
    public static ControlFigures of(ControlScenario scenario, ControlDurations durations) {
        long before = ThreadCost.usedHeap();
        return new ControlMeasurement(scenario, durations).play(before);
    }

    private ControlFigures play(long heapBefore) {
        warmUp();
        Traffic start = Traffic.of(fleet);
        cost.start();
        load.run(window, () -> {});
        long nanos = cost.nanos();
        long allocated = cost.bytes();
        Traffic traffic = Traffic.of(fleet).minus(start);
        long networkNanos = network.nanos(scenario, traffic.datagrams(), window, cost);
        fleet.onTick = node -> {};
        double heap = (ThreadCost.usedHeap() - heapBefore) / (double) scenario.brokers();
        double held = entriesHeld();
        load.run(AGE_SAMPLING_US, this::sampleAges);
        List<OptionalDouble> reports = reportDelays();
        OptionalDouble failureKnown = failureDelay();
        double seconds = window / (double) SECOND_US;
        double perBroker = 1 / (seconds * scenario.brokers());
        return new ControlFigures(
                traffic.sent() * perBroker,
                traffic.sentMost() / seconds,
                traffic.received() * perBroker,
                traffic.receivedMost() / seconds,
                traffic.datagrams() * perBroker,
                nanos * perBroker / NANOS_PER_SECOND,
                networkNanos * perBroker / NANOS_PER_SECOND,
                allocated * perBroker,
                heap,
                held,
                ages.getMean() / SECOND_US,
                ages.getValueAtPercentile(PERCENTILE_99) / (double) SECOND_US,
                agesWanted == 0 ? 0 : agesMissing / (double) agesWanted,
                otherAge(otherAges.getMean()),
                otherAge(otherAges.getValueAtPercentile(PERCENTILE_99)),
                within(reports, (reports.size() - 1) / 2),
                within(reports, reports.size() - 1),
                reports.stream().filter(OptionalDouble::isPresent).count() / (double) reports.size(),
                failureKnown,
                falseDeaths);
    }

    private void warmUp() {
        fleet.startAll();
        load.run(durations.warmUp(), this::countFalseDeaths);
        load.placeLastingEntries();
        load.run(peers.get(0).size() * PUSH_INTERVAL_US, this::countFalseDeaths);
        network.startRecording(fleet);
        fleet.onTick = this::ticked;
        load.run(SECOND_US, this::countFalseDeaths);
        network.stopRecording(fleet);
    }

    private void ticked(FleetSimulation.Node node) {
        network.countTick();
        node.snapshot();
    }

    private double entriesHeld() {
        return Arrays.stream(fleet.nodes)
                .mapToInt(node -> node.node.entries().size())
                .average()
                .orElse(0);
    }

    private void countFalseDeaths() {
        for (FleetSimulation.Node node : fleet.nodes) {
            for (int peer : node.isUp() ? peers.get(node.number) : List.<Integer>of()) {
                boolean dead = node.node.membership().member(peer).state == Member.State.DEAD;
                long pair = (long) node.number << Integer.SIZE | peer;
                if (dead && fleet.nodes[peer].isUp()) {
                    falseDeaths += calledDead.add(pair) ? 1 : 0;
                } else {
                    calledDead.remove(pair);
                }
            }
        }
    }

    private void sampleAges() {
        countFalseDeaths();
        for (FleetSimulation.Node node : fleet.nodes) {
            sampleOtherScopes(node);
            for (int peer : peers.get(node.number)) {
                VersionedEntry figures = node.node.entries().get(peer, VersionedEntry.LOAD, 0);
                agesWanted++;
                if (figures == null) {
                    agesMissing++;
                } else {
                    ages.recordValue(Math.max(0, node.clock() - figures.writtenAt()));
                }
            }
        }
    }

    private void sampleOtherScopes(FleetSimulation.Node node) {
        for (FleetSnapshot.ScopeStatus status : node.snapshot().otherScopes()) {
            agesWanted++;
            if (status.isKnown()) {
                otherAges.recordValue(Math.max(0, status.age()));
            } else {
                agesMissing++;
            }
        }
    }

    private OptionalDouble otherAge(double micros) {
        return otherAges.getTotalCount() == 0 ? OptionalDouble.empty() : OptionalDouble.of(micros / SECOND_US);
    }

    private List<OptionalDouble> reportDelays() {
        List<OptionalDouble> delays = new ArrayList<>();
        for (int trial = 0; trial < durations.reports(); trial++) {
            FleetSimulation.Node reporter = fleet.nodes[trial * scenario.brokers() / durations.reports()];
            delays.add(reportDelay(reporter, FIRST_TRACED_SERVER + trial));
        }
        return delays;
    }

    /** Seconds until 99 % of a broker's peers hold its report on a server. */
    private OptionalDouble reportDelay(FleetSimulation.Node reporter, int server) {
        long began = fleet.now;
        List<Integer> readers = peers.get(reporter.number);
        long wanted = (long) Math.ceil(REPORT_REACH * readers.size());
        reporter.handle(new LocalEvent.HealthReport(server, true));
        while (fleet.now - began < durations.reportLimit()) {
            load.run(REPORT_STEP_US, REPORT_STEP_US, () -> {});
            long know = readers.stream()
                    .filter(reader -> holds(fleet.nodes[reader], reporter, server))
                    .count();
            if (know >= wanted) {
                return OptionalDouble.of((fleet.now - began) / (double) SECOND_US);
            }
        }
        return OptionalDouble.empty();
    }

    private static boolean holds(FleetSimulation.Node reader, FleetSimulation.Node reporter, int server) {
        return reader.node.entries().get(reporter.number, VersionedEntry.HEALTH_REPORT, server) != null;
    }

    /** Kills a seventh of the brokers at once; seconds until no survivor counts any of them as present. */
    private OptionalDouble failureDelay() {
        Set<Integer> killed = new HashSet<>();
        for (int broker = KILLED_ONE_IN / 2; broker < scenario.brokers(); broker += KILLED_ONE_IN) {
            fleet.nodes[broker].kill();
            killed.add(broker);
        }
        long began = fleet.now;
        while (fleet.now - began < durations.failureLimit()) {
            load.run(ControlLoad.SAMPLE_PERIOD_US, this::countFalseDeaths);
            if (Arrays.stream(fleet.nodes).noneMatch(node -> node.isUp() && countsOneOf(node, killed))) {
                return OptionalDouble.of((fleet.now - began) / (double) SECOND_US);
            }
        }
        return OptionalDouble.empty();
    }

    private boolean countsOneOf(FleetSimulation.Node node, Set<Integer> killed) {
        return peers.get(node.number).stream()
                .anyMatch(peer -> killed.contains(peer)
                        && node.node.membership().member(peer).isPresent());
    }

    /** The delay at an index in ascending order; those that passed their limit are last. */
    private static OptionalDouble within(List<OptionalDouble> delays, int place) {
        double[] sorted = delays.stream()
                .mapToDouble(delay -> delay.orElse(Double.POSITIVE_INFINITY))
                .sorted()
                .toArray();
        return Double.isInfinite(sorted[place]) ? OptionalDouble.empty() : OptionalDouble.of(sorted[place]);
    }

    /** Bytes and datagrams since the start. */
    private record Traffic(
            long sent,
            long sentMost,
            long received,
            long receivedMost,
            long datagrams,
            long[] sentBy,
            long[] receivedBy) {
        static Traffic of(FleetSimulation fleet) {
            long[] sentBy = new long[fleet.nodes.length];
            fleet.sentBy.forEach((broker, bytes) -> sentBy[broker] = bytes);
            return of(sentBy, fleet.receivedBy.clone(), fleet.datagramsSent);
        }

        private static Traffic of(long[] sentBy, long[] receivedBy, long datagrams) {
            return new Traffic(
                    Arrays.stream(sentBy).sum(),
                    Arrays.stream(sentBy).max().orElse(0),
                    Arrays.stream(receivedBy).sum(),
                    Arrays.stream(receivedBy).max().orElse(0),
                    datagrams,
                    sentBy,
                    receivedBy);
        }

        Traffic minus(Traffic start) {
            return of(
                    difference(sentBy, start.sentBy),
                    difference(receivedBy, start.receivedBy),
                    datagrams - start.datagrams);
        }

        private static long[] difference(long[] end, long[] start) {
            long[] difference = new long[end.length];
            Arrays.setAll(difference, broker -> end[broker] - start[broker]);
            return difference;
        }
    }
}
