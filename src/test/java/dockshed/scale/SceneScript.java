package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Plays scenes on a fleet, on sockets or simulated, and computes the figures of each. */
final class SceneScript {
    /** Time between two changes: the target rate is 460 changes a day, and the scene has thirty times that. */
    static final long CHANGE_INTERVAL_MILLIS = 24L * 3600 * 1000 / (460 * 30);

    static final int RESTART_COUNT = 62;
    static final long PAUSE_MILLIS = 5_000;
    static final double LOW_LOSS_SHARE = 0.01;
    static final double HIGH_LOSS_SHARE = 0.2;
    /** The zone that is killed: in the first region, and one of those with the most brokers. */
    static final int KILLED_ZONE = 1;

    private static final long POLL_INTERVAL_MILLIS = 250;
    /** The number of the first change; later ones count up from it. */
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

    /**
     * @param run     {@link SceneResult#SOCKETS} or {@link SceneResult#SIMULATED}
     * @param results receives the result of each scene
     */
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

    /** Plays one scene and passes its result on. */
    void play(SceneName scene) {
        long startMillis = fleet.nowMillis();
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
        double seconds = (fleet.nowMillis() - startMillis) / 1e3;
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
        long startMillis = fleet.nowMillis();
        startBrokers(layout.all());
        awaitAllListed(times.startMaxMillis());
        putHealDelays(startMillis, figures);
    }

    /** Takes the figures whose reading takes time itself, after the scene's time and traffic were measured. */
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
        double memoryKb = fleet.memoryKb();
        if (!Double.isNaN(memoryKb)) {
            figures.put(Metric.MEMORY_KB, memoryKb);
        }
    }

    /** Two hollow brokers in different regions: as many as are lost on an ordinary day. */
    private BitSet twoMachines() {
        int indexInZone = layout.brokers() / FleetLayout.ZONES / 2;
        return BrokerRanges.of(layout.firstOfZone(2) + indexInZone, layout.firstOfZone(5) + indexInZone);
    }

    private void killAndRestart(BitSet brokers, Map<Metric, Double> figures) {
        long killedMillis = fleet.nowMillis();
        recorder.stopped(brokers, killedMillis);
        fleet.kill(brokers);
        BitSet others = recorder.running();
        BitSet lost = visibility.withScopesCovered(brokers);
        await(() -> recorder.listsMatch(others, lost, false), times.detectMaxMillis());
        putDetectionDelays(recorder.listingDelays(others, lost, false, killedMillis), figures);
        long restartedMillis = fleet.nowMillis();
        startBrokers(brokers);
        awaitAllListed(times.healMaxMillis());
        putHealDelays(restartedMillis, figures);
    }

    private void changes(Map<Metric, Double> figures) {
        Delays delays = new Delays();
        for (int index = 0; index < times.changeCount(); index++) {
            boolean last = index + 1 == times.changeCount();
            delays.add(change(last ? times.changeMaxMillis() : CHANGE_INTERVAL_MILLIS, last));
        }
        putChangeDelays(delays, figures);
    }

    /**
     * Publishes one change at one broker and returns the delays until the others knew of it.
     *
     * @param maxMillis how long to wait: for the last change, until all know of it at most; for others, in full
     */
    private Delays change(long maxMillis, boolean last) {
        int change = nextChange++;
        int owner = layout.firstOfZone(change % FleetLayout.ZONES) + 5 + change % 7;
        while (!fleet.observesChanges(owner)) {
            owner++;
        }
        BitSet observers = recorder.running();
        observers.and(visibility.brokersInScopeOf(owner));
        observers.stream().filter(broker -> !fleet.observesChanges(broker)).forEach(observers::clear);
        long publishedMillis = fleet.nowMillis();
        fleet.publishChange(owner, change);
        BooleanSupplier known =
                () -> recorder.changeDelays(observers, change, publishedMillis).finishedShare() == 1;
        if (last) {
            await(known, maxMillis);
        } else {
            advance(maxMillis);
        }
        return recorder.changeDelays(observers, change, publishedMillis);
    }

    /** Restarts hollow brokers only: how long a real broker takes to end depends on its viewers. */
    private void restarts(Map<Metric, Double> figures) {
        long lastStartMillis = fleet.nowMillis();
        for (int restart = 0; restart < Math.min(RESTART_COUNT, layout.brokers() / 2); restart++) {
            int broker = restart * layout.brokers() / RESTART_COUNT % layout.brokers();
            while (!fleet.observesChanges(broker)) {
                broker++;
            }
            BitSet one = BrokerRanges.of(broker);
            recorder.stopped(one, fleet.nowMillis());
            fleet.leave(one);
            advance(times.restartIntervalMillis() / 2);
            startBrokers(one);
            lastStartMillis = fleet.nowMillis();
            advance(times.restartIntervalMillis() / 2);
        }
        awaitAllListed(times.healMaxMillis());
        putHealDelays(lastStartMillis, figures);
    }

    private void pause(Map<Metric, Double> figures) {
        long pausedMillis = fleet.nowMillis();
        int indexInZone = layout.brokers() / FleetLayout.ZONES / 3;
        for (int broker :
                new int[] {layout.firstOfZone(3) + indexInZone, layout.firstOfZone(4)}) { // the second may be real
            recorder.outages().paused(broker, pausedMillis, pausedMillis + PAUSE_MILLIS);
            fleet.pause(broker, PAUSE_MILLIS);
        }
        advance(PAUSE_MILLIS);
        awaitAllListed(times.healMaxMillis());
        advance(POLL_INTERVAL_MILLIS);
        putHealDelays(pausedMillis + PAUSE_MILLIS, figures);
    }

    private void regions(boolean bothWays, Map<Metric, Double> figures) {
        BitSet first = layout.firstRegion();
        BitSet second = layout.secondRegion();
        long cutMillis = fleet.nowMillis();
        cut(first, second, cutMillis);
        if (bothWays) {
            cut(second, first, cutMillis);
        }
        BitSet ofFirst = visibility.withScopesCovered(first);
        BitSet ofSecond = visibility.withScopesCovered(second);
        await(
                () -> recorder.listsMatch(first, ofSecond, false) && recorder.listsMatch(second, ofFirst, false),
                times.detectMaxMillis());
        Delays delays = recorder.listingDelays(first, ofSecond, false, cutMillis);
        delays.add(recorder.listingDelays(second, ofFirst, false, cutMillis));
        putDetectionDelays(delays, figures);
        long healedMillis = fleet.nowMillis();
        fleet.heal();
        recorder.outages().healed(fleet.nowMillis());
        awaitAllListed(times.healMaxMillis());
        putHealDelays(healedMillis, figures);
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

    /** Polls until the condition holds, or for the given time at most. */
    private void await(BooleanSupplier condition, long maxMillis) {
        long untilMillis = fleet.nowMillis() + maxMillis;
        do {
            advance(POLL_INTERVAL_MILLIS);
        } while (!condition.getAsBoolean() && fleet.nowMillis() < untilMillis);
    }

    private void awaitAllListed(long maxMillis) {
        BitSet running = recorder.running();
        BitSet present = visibility.withScopesTouched(running);
        await(() -> recorder.listsMatch(running, present, true), maxMillis);
    }

    // ---- Figures.

    private static void putDetectionDelays(Delays delays, Map<Metric, Double> figures) {
        figures.put(Metric.DETECT_P50_S, delays.percentile(50));
        figures.put(Metric.DETECT_P99_S, delays.percentile(99));
        figures.put(Metric.GONE_S, delays.longest());
    }

    private void putHealDelays(long sinceMillis, Map<Metric, Double> figures) {
        BitSet running = recorder.running();
        Delays delays = recorder.listingDelays(running, visibility.withScopesTouched(running), true, sinceMillis);
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

    /** Traffic and CPU time of the brokers that ran both before and after the scene. */
    private void putTraffic(
            Map<Integer, BrokerTotals> before, BitSet ranBefore, double seconds, Map<Metric, Double> figures) {
        BitSet running = recorder.running();
        running.and(ranBefore.isEmpty() ? running : ranBefore);
        double bytes = 0;
        double maxBytes = 0;
        double sentBytes = 0;
        double cpuNanos = 0;
        double maxCpuNanos = 0;
        int counted = 0;
        boolean cpuMeasured = true;
        for (BrokerTotals after : fleet.totals()) {
            if (!running.get(after.broker())) {
                continue;
            }
            BrokerTotals earlier = before.get(after.broker());
            counted++;
            bytes += after.bytes() - earlier.bytes();
            maxBytes = Math.max(maxBytes, after.bytes() - earlier.bytes());
            sentBytes += after.bytesSent() - earlier.bytesSent();
            cpuMeasured &= after.cpuNanos() != BrokerTotals.UNMEASURED;
            cpuNanos += after.cpuNanos() - earlier.cpuNanos();
            maxCpuNanos = Math.max(maxCpuNanos, after.cpuNanos() - earlier.cpuNanos());
        }
        figures.put(Metric.BYTES_S, bytes / counted / seconds);
        figures.put(Metric.BYTES_S_MAX, maxBytes / seconds);
        figures.put(Metric.SENT_BYTES_S, sentBytes / counted / seconds);
        if (cpuMeasured) {
            figures.put(Metric.CPU, cpuNanos / counted / seconds / 1e9);
            figures.put(Metric.CPU_MAX, maxCpuNanos / seconds / 1e9);
        }
    }

    /** All scenes in the order played; a run may leave scenes out. */
    static List<SceneName> allScenes() {
        return List.of(SceneName.values());
    }
}
