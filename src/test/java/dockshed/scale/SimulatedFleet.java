package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import dockshed.fleet.FleetSimulationDriver;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The same control code on the simulated network and clock; one seed replays all. */
final class SimulatedFleet implements ScaleFleet {
    /** As often as a host publishes what it knows. */
    private static final long SAMPLE_MILLIS = 100;

    /** As {@link HollowProcess} offers them. */
    private static final long FIGURES_MILLIS = 250;

    private final FleetLayout layout;
    private final Visibility visibility;
    private final FleetSimulationDriver twin;
    private final Map<Integer, Integer> watched = new TreeMap<>();
    private final BitSet[] listed;
    private final BitSet[] known;
    private Observations observed = Observations.empty();
    private long figuresAt;

    SimulatedFleet(FleetLayout layout, Mechanism mechanism, long seed) {
        this.layout = layout;
        visibility = mechanism.visibility(layout);
        twin = new FleetSimulationDriver(layout.brokers(), mechanism.settings(layout), seed);
        listed = new BitSet[layout.brokers()];
        known = new BitSet[layout.brokers()];
        for (int i = 0; i < layout.brokers(); i++) {
            listed[i] = new BitSet();
            known[i] = new BitSet();
        }
    }

    @Override
    public FleetLayout layout() {
        return layout;
    }

    @Override
    public long nowMillis() {
        return twin.nowMillis();
    }

    @Override
    public void advance(long millis) {
        for (long until = nowMillis() + millis; nowMillis() < until; ) {
            if (nowMillis() >= figuresAt) {
                twin.offerLoadSamples(FIGURES_MILLIS);
                figuresAt = nowMillis() + FIGURES_MILLIS;
            }
            twin.run(Math.min(SAMPLE_MILLIS, until - nowMillis()));
            sample();
        }
    }

    private void sample() {
        for (int observer = 0; observer < layout.brokers(); observer++) {
            if (twin.isRunning(observer)) {
                sample(observer);
            }
        }
    }

    private void sample(int observer) {
        BitSet now = twin.presentMembers(observer);
        twin.knownScopes(observer).stream().forEach(scope -> now.set(visibility.subjectOfScope(scope)));
        if (!now.equals(listed[observer])) {
            observed.membership().add(MembershipChange.of(nowMillis(), observer, listed[observer], now));
            listed[observer] = now;
        }
        watched.forEach((change, owner) -> {
            int index = change - SceneScript.FIRST_CHANGE;
            if (!known[observer].get(index) && twin.hasHealthReport(observer, change, owner)) {
                known[observer].set(index);
                observed.changes().add(new ChangeSeen(nowMillis(), observer, change));
            }
        });
    }

    @Override
    public void start(BitSet brokers) {
        brokers.stream().forEach(broker -> {
            listed[broker].clear();
            known[broker].clear();
            twin.start(broker);
        });
    }

    @Override
    public void kill(BitSet brokers) {
        brokers.stream().forEach(twin::kill);
    }

    @Override
    public void leave(BitSet brokers) {
        brokers.stream().forEach(twin::leave);
    }

    @Override
    public void pause(int broker, long millis) {
        twin.pause(broker, millis);
    }

    @Override
    public void cut(BitSet from, BitSet to) {
        twin.partition(from, to);
    }

    @Override
    public void join() {
        twin.heal();
    }

    @Override
    public void lose(double share) {
        twin.setLoss(share);
    }

    @Override
    public void change(int broker, int change) {
        watched.put(change, broker);
        twin.reportServerDown(broker, change);
    }

    @Override
    public boolean reportsChanges(int broker) {
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
                        broker, twin.bytesSent(broker), twin.bytesReceived(broker), BrokerTotals.UNMEASURED))
                .toList();
    }

    @Override
    public Ages figureAges() {
        return twin.figureAges();
    }

    @Override
    public double memoryKb() {
        return Double.NaN;
    }

    @Override
    public void close() {}
}
