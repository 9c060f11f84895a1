package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Plays scenes on a fleet, real or simulated, and works out each one's figures. */
final class SceneScript {
    /** The wanted rate is 460 changes a day; the scene has thirty times that: one each so many milliseconds. */
    static final long CHANGE_INTERVAL_MILLIS = 24L * 3600 * 1000 / (460 * 30);

    static final int RESTART_COUNT = 62;
    static final long PAUSE_MILLIS = 5_000;
    static final double LOW_LOSS_SHARE = 0.01;
    static final double HIGH_LOSS_SHARE = 0.2;
    /** The zone that is lost: of the first region, with the higher number of brokers. */
    static final int KILLED_ZONE = 1;

    private static final long POLL_INTERVAL_MILLIS = 250;
    /** Changes are numbered from here on. */
    static final int FIRST_CHANGE_NUMBER = 1_000_000;

    private final ScaleFleet fleet;
    private final Mechanism mechanism;
    private final String run;
    private final ScriptTimes times;
    private final Consumer<SceneResult> results;
    private final FleetLayout layout;
    private final Visibility visibility;
    private final FleetRecorder recorder;
    private int nextChange = FIRST_CHANGE_NUMBER;

    SceneScript(ScaleFleet fleet, Mechanism mechanism, String run, ScriptTimes times, Consumer<SceneResult> results) {
        this.fleet = fleet;
        this.mechanism = mechanism;
        this.run = run;
        this.times = times;
        this.results = results;
        layout = fleet.layout();
        visibility = mechanism.visibility(layout);
        recorder = new FleetRecorder(visibility, layout.brokers());
    }

    /** Plays one scene and hands out its result. */
    void play(SceneName scene) {
        long began = fleet.nowMillis();
        Map<Integer, BrokerTotals> before = totals();
        BitSet runningBefore = recorder.running();
        Map<Metric, Double> figures = new EnumMap<>(Metric.class);
        switch (scene) {
            case START -> start(figures);
            case STEADY -> advance(times.windowMillis());
            case MACHINES -> killAndRestart(twoMachines(), figures);
            case CHANGES -> changes(figures);
            case RESTARTS -> restarts(figures);
            case PAUSE -> pause(figures);
            case ZONE -> killAndRestart(layout.zone(KILLED_ZONE), figures);
            case REGIONS -> regions(true, figures);
            case REGIONS_ONE_WAY -> regions(false, figures);
            case LOSS_1 -> loss(LOW_LOSS_SHARE, figures);
            case LOSS_20 -> loss(HIGH_LOSS_SHARE, figures);
        }
        double seconds = (fleet.nowMillis() - began) / 1e3;
        putTraffic(before, runningBefore, seconds, figures);
        finish(scene, figures);
        figures.put(Metric.OBSERVERS, (double) recorder.running().cardinality());
        figures.put(Metric.FALSE_DEAD, (double) recorder.drainFalseDeaths());
        figures.put(Metric.LATE_DEAD, (double) recorder.drainLateDeaths());
        figures.put(Metric.SCOPES_LOST, (double) recorder.drainFalseScopeLosses());
        results.accept(new SceneResult(run, mechanism, layout.brokers(), scene, seconds, figures));
    }

    // ---- Scenes.

    private void start(Map<Metric, Double> figures) {
        long since = fleet.nowMillis();
        startBrokers(layout.all());
        awaitAllListed(times.startMaxMillis());
        putHealDelays(since, figures);
    }

    /** What is read of the brokers at the end, and takes a while itself. */
    private void finish(SceneName scene, Map<Metric, Double> figures) {
        switch (scene) {
            case STEADY -> {
                putFigureAges(figures);
                putMemory(figures);
            }
            case LOSS_1, LOSS_20 -> {
                putFigureAges(figures);
                fleet.setLoss(0);
            }
            default -> {}
        }
    }

    private void putMemory(Map<Metric, Double> figures) {
        double memory = fleet.memoryKb();
        if (!Double.isNaN(memory)) {
            figures.put(Metric.MEMORY_KB, memory);
        }
    }

    /** Two hollow brokers of different regions: an ordinary day's loss. */
    private BitSet twoMachines() {
        int inZone = layout.brokers() / FleetLayout.ZONES / 2;
        return BrokerRanges.of(layout.firstOfZone(2) + inZone, layout.firstOfZone(5) + inZone);
    }

    private void killAndRestart(BitSet brokers, Map<Metric, Double> figures) {
        long killed = fleet.nowMillis();
        recorder.stopped(brokers, killed);
        fleet.kill(brokers);
        BitSet others = recorder.running();
        BitSet lost = visibility.withScopesCovered(brokers);
        await(() -> recorder.listsMatch(others, lost, false), times.detectMaxMillis());
        putDetectionDelays(recorder.listingDelays(others, lost, false, killed), figures);
        long back = fleet.nowMillis();
        startBrokers(brokers);
        awaitAllListed(times.healMaxMillis());
        putHealDelays(back, figures);
    }

    private void changes(Map<Metric, Double> figures) {
        Delays delays = new Delays();
        for (int i = 0; i < times.changeCount(); i++) {
            boolean last = i + 1 == times.changeCount();
            delays.add(change(last ? times.changeMaxMillis() : CHANGE_INTERVAL_MILLIS, last));
        }
        putChangeDelays(delays, figures);
    }

    /** One change at one broker; waits until all know it, and for the time of the next where there is one. */
    private Delays change(long most, boolean last) {
        int change = nextChange++;
        int owner = layout.firstOfZone(change % FleetLayout.ZONES) + 5 + change % 7;
        while (!fleet.observesChanges(owner)) {
            owner++;
        }
        BitSet observers = recorder.running();
        observers.and(visibility.brokersInScopeOf(owner));
        observers.stream().filter(broker -> !fleet.observesChanges(broker)).forEach(observers::clear);
        long at = fleet.nowMillis();
        fleet.publishChange(owner, change);
        BooleanSupplier known =
                () -> recorder.changeDelays(observers, change, at).finishedShare() == 1;
        if (last) {
            await(known, most);
        } else {
            advance(most);
        }
        return recorder.changeDelays(observers, change, at);
    }

    /** Hollow brokers only: how long a real one's planned end takes is its viewers' affair. */
    private void restarts(Map<Metric, Double> figures) {
        long since = fleet.nowMillis();
        for (int i = 0; i < Math.min(RESTART_COUNT, layout.brokers() / 2); i++) {
            int broker = i * layout.brokers() / RESTART_COUNT % layout.brokers();
            while (!fleet.observesChanges(broker)) {
                broker++;
            }
            BitSet one = BrokerRanges.of(broker);
            recorder.stopped(one, fleet.nowMillis());
            fleet.leave(one);
            advance(times.restartIntervalMillis() / 2);
            startBrokers(one);
            since = fleet.nowMillis();
            advance(times.restartIntervalMillis() / 2);
        }
        awaitAllListed(times.healMaxMillis());
        putHealDelays(since, figures);
    }

    private void pause(Map<Metric, Double> figures) {
        long began = fleet.nowMillis();
        int inZone = layout.brokers() / FleetLayout.ZONES / 3;
        for (int broker : new int[] {layout.firstOfZone(3) + inZone, layout.firstOfZone(4)}) { // the second may be real
            recorder.outages().paused(broker, began, began + PAUSE_MILLIS);
            fleet.pause(broker, PAUSE_MILLIS);
        }
        advance(PAUSE_MILLIS);
        awaitAllListed(times.healMaxMillis());
        advance(POLL_INTERVAL_MILLIS);
        putHealDelays(began + PAUSE_MILLIS, figures);
    }

    private void regions(boolean bothWays, Map<Metric, Double> figures) {
        BitSet first = layout.firstRegion();
        BitSet second = layout.secondRegion();
        long cutAt = fleet.nowMillis();
        cut(first, second, cutAt);
        if (bothWays) {
            cut(second, first, cutAt);
        }
        BitSet ofFirst = visibility.withScopesCovered(first);
        BitSet ofSecond = visibility.withScopesCovered(second);
        await(
                () -> recorder.listsMatch(first, ofSecond, false) && recorder.listsMatch(second, ofFirst, false),
                times.detectMaxMillis());
        Delays delays = recorder.listingDelays(first, ofSecond, false, cutAt);
        delays.add(recorder.listingDelays(second, ofFirst, false, cutAt));
        putDetectionDelays(delays, figures);
        long joined = fleet.nowMillis();
        fleet.heal();
        recorder.outages().healed(fleet.nowMillis());
        awaitAllListed(times.healMaxMillis());
        putHealDelays(joined, figures);
    }

    private void cut(BitSet from, BitSet to, long atMillis) {
        recorder.outages().cut(from, to, atMillis);
        fleet.cut(from, to);
    }

    private void loss(double share, Map<Metric, Double> figures) {
        fleet.setLoss(share);
        putChangeDelays(change(times.windowMillis(), false), figures);
    }

    // ---- Steps.

    private void startBrokers(BitSet brokers) {
        recorder.started(brokers, fleet.nowMillis());
        fleet.start(brokers);
    }

    private void advance(long millis) {
        fleet.advance(millis);
        recorder.record(fleet.collect());
    }

    private void await(BooleanSupplier condition, long most) {
        long until = fleet.nowMillis() + most;
        do {
            advance(POLL_INTERVAL_MILLIS);
        } while (!condition.getAsBoolean() && fleet.nowMillis() < until);
    }

    private void awaitAllListed(long most) {
        BitSet running = recorder.running();
        BitSet there = visibility.withScopesTouched(running);
        await(() -> recorder.listsMatch(running, there, true), most);
    }

    // ---- Figures.

    private static void putDetectionDelays(Delays delays, Map<Metric, Double> figures) {
        figures.put(Metric.DETECT_P50_S, delays.percentile(50));
        figures.put(Metric.DETECT_P99_S, delays.percentile(99));
        figures.put(Metric.GONE_S, delays.longest());
    }

    private void putHealDelays(long since, Map<Metric, Double> figures) {
        BitSet running = recorder.running();
        Delays delays = recorder.listingDelays(running, visibility.withScopesTouched(running), true, since);
        figures.put(Metric.HEAL_S, delays.longest());
        figures.put(Metric.HEAL_P99_S, delays.percentile(99));
    }

    private static void putChangeDelays(Delays delays, Map<Metric, Double> figures) {
        figures.put(Metric.CHANGE_P50_S, delays.percentile(50));
        figures.put(Metric.CHANGE_P99_S, delays.percentile(99));
        figures.put(Metric.CHANGE_REACHED, delays.finishedShare());
    }

    private void putFigureAges(Map<Metric, Double> figures) {
        Ages ages = fleet.figureAges();
        long count = ages.ownScope().getTotalCount() + ages.otherScopes().getTotalCount();
        figures.put(Metric.FIGURE_AGE_MEAN_S, ages.ownScope().getMean() / 1e3);
        figures.put(Metric.FIGURE_AGE_P99_S, ages.ownScope().getValueAtPercentile(99) / 1e3);
        if (ages.otherScopes().getTotalCount() > 0) {
            figures.put(Metric.SUMMARY_AGE_P99_S, ages.otherScopes().getValueAtPercentile(99) / 1e3);
        }
        figures.put(Metric.FIGURES_MISSING, ages.missing() / (double) Math.max(1, count));
    }

    private Map<Integer, BrokerTotals> totals() {
        Map<Integer, BrokerTotals> byBroker = new HashMap<>();
        for (BrokerTotals totals : fleet.totals()) {
            byBroker.put(totals.broker(), totals);
        }
        return byBroker;
    }

    /** Of brokers that ran at both ends of the scene. */
    private void putTraffic(
            Map<Integer, BrokerTotals> before, BitSet ranBefore, double seconds, Map<Metric, Double> figures) {
        BitSet running = recorder.running();
        running.and(ranBefore.isEmpty() ? running : ranBefore);
        double bytes = 0;
        double bytesMost = 0;
        double sent = 0;
        double cpu = 0;
        double cpuMost = 0;
        int counted = 0;
        boolean cpuMeasured = true;
        for (BrokerTotals after : fleet.totals()) {
            if (!running.get(after.broker())) {
                continue;
            }
            BrokerTotals was = before.get(after.broker());
            counted++;
            bytes += after.bytes() - was.bytes();
            bytesMost = Math.max(bytesMost, after.bytes() - was.bytes());
            sent += after.bytesSent() - was.bytesSent();
            cpuMeasured &= after.cpuNanos() != BrokerTotals.UNMEASURED;
            cpu += after.cpuNanos() - was.cpuNanos();
            cpuMost = Math.max(cpuMost, after.cpuNanos() - was.cpuNanos());
        }
        figures.put(Metric.BYTES_S, bytes / counted / seconds);
        figures.put(Metric.BYTES_S_MAX, bytesMost / seconds);
        figures.put(Metric.SENT_BYTES_S, sent / counted / seconds);
        if (cpuMeasured) {
            figures.put(Metric.CPU, cpu / counted / seconds / 1e9);
            figures.put(Metric.CPU_MAX, cpuMost / seconds / 1e9);
        }
    }

    /** In the order played; scenes that are left out have no result. */
    static List<SceneName> allScenes() {
        return List.of(SceneName.values());
    }
}
