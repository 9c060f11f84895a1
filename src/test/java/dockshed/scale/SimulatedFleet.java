package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import dockshed.fleet.FleetSimulationDriver;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A fleet of the brokers' control code on a simulated network and clock; the same seed gives the same run. */
final class SimulatedFleet implements ScaleFleet {
    /** The interval at which a fleet host publishes its snapshot. */
    private static final long OBSERVE_INTERVAL_MILLIS = 100;

    /** The interval at which {@link HollowProcess} offers load samples. */
    private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 250;

    private final FleetLayout layout;
    private final Visibility visibility;
    private final FleetSimulationDriver simulation;
    private final Map<Integer, Integer> ownerByChange = new TreeMap<>();
    private final BitSet[] listed;
    private final BitSet[] knownChanges;
    private Observations observed = Observations.empty();
    private long nextLoadSampleMillis;

    SimulatedFleet(FleetLayout layout, Mechanism mechanism, long seed) {
        this.layout = layout;
        visibility = mechanism.visibility(layout);
        simulation = new FleetSimulationDriver(layout.brokers(), mechanism.settings(layout), seed);
        listed = new BitSet[layout.brokers()];
        knownChanges = new BitSet[layout.brokers()];
        for (int broker = 0; broker < layout.brokers(); broker++) {
            listed[broker] = new BitSet();
            knownChanges[broker] = new BitSet();
        }
    }

    @Override
    public FleetLayout layout() {
        return layout;
    }

    @Override
    public long nowMillis() {
        return simulation.nowMillis();
    }

    @Override
    public void advance(long millis) {
        for (long untilMillis = nowMillis() + millis; nowMillis() < untilMillis; ) {
            if (nowMillis() >= nextLoadSampleMillis) {
                simulation.offerLoadSamples(LOAD_SAMPLE_INTERVAL_MILLIS);
                nextLoadSampleMillis = nowMillis() + LOAD_SAMPLE_INTERVAL_MILLIS;
            }
            simulation.run(Math.min(OBSERVE_INTERVAL_MILLIS, untilMillis - nowMillis()));
            observe();
        }
    }

    private void observe() {
        for (int observer = 0; observer < layout.brokers(); observer++) {
            if (simulation.isRunning(observer)) {
                observe(observer);
            }
        }
    }

    private void observe(int observer) {
        BitSet now = simulation.presentMembers(observer);
        simulation.knownScopes(observer).stream().forEach(scope -> now.set(visibility.subjectOfScope(scope)));
        if (!now.equals(listed[observer])) {
            observed.membership().add(MembershipChange.of(nowMillis(), observer, listed[observer], now));
            listed[observer] = now;
        }
        ownerByChange.forEach((change, owner) -> {
            int index = change - SceneScript.FIRST_CHANGE_NUMBER;
            if (!knownChanges[observer].get(index) && simulation.hasHealthReport(observer, change, owner)) {
                knownChanges[observer].set(index);
                observed.changes().add(new ChangeObservation(nowMillis(), observer, change));
            }
        });
    }

    @Override
    public void start(BitSet brokers) {
        brokers.stream().forEach(broker -> {
            listed[broker].clear();
            knownChanges[broker].clear();
            simulation.start(broker);
        });
    }

    @Override
    public void kill(BitSet brokers) {
        brokers.stream().forEach(simulation::kill);
    }

    @Override
    public void leave(BitSet brokers) {
        brokers.stream().forEach(simulation::leave);
    }

    @Override
    public void pause(int broker, long millis) {
        simulation.pause(broker, millis);
    }

    @Override
    public void cut(BitSet from, BitSet to) {
        simulation.partition(from, to);
    }

    @Override
    public void heal() {
        simulation.heal();
    }

    @Override
    public void setLoss(double share) {
        simulation.setLoss(share);
    }

    @Override
    public void publishChange(int broker, int change) {
        ownerByChange.put(change, broker);
        simulation.reportServerDown(broker, change);
    }

    @Override
    public boolean observesChanges(int broker) {
        return true;
    }

    @Override
    public Observations collect() {
        Observations since = observed;
        observed = Observations.empty();
        return since;
    }

    @Override
    public List<BrokerTotals> totals() {
        return layout.all().stream()
                .mapToObj(broker -> new BrokerTotals(
                        broker,
                        simulation.bytesSent(broker),
                        simulation.bytesReceived(broker),
                        BrokerTotals.UNMEASURED))
                .toList();
    }

    @Override
    public Ages figureAges() {
        return simulation.figureAges();
    }

    @Override
    public double memoryKb() {
        return Double.NaN;
    }

    @Override
    public void close() {}
}
