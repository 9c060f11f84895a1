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
    static final long CHANGE_GAP_MILLIS = 24L * 3600 * 1000 / (460 * 30);

    static final int RESTARTS = 62;
    static final long PAUSE_MILLIS = 5_000;
    static final double LITTLE_LOSS = 0.01;
    static final double MUCH_LOSS = 0.2;
    /** The zone that is lost: of the first region, with the higher number of brokers. */
    static final int LOST_ZONE = 1;

    private static final long STEP_MILLIS = 250;
    /** Changes are numbered from here on. */
    static final int FIRST_CHANGE = 1_000_000;

    private final ScaleFleet fleet;
    private final Mechanism mechanism;
    private final String run;
    private final ScriptTimes times;
    private final Consumer<SceneResult> results;
    private final FleetLayout layout;
    private final Visibility visibility;
    private final FleetRecorder recorder;
    private int nextChange = FIRST_CHANGE;

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
            case STEADY -> advance(times.window());
            case MACHINES -> lost(machines(), figures);
            case CHANGES -> changes(figures);
            case RESTARTS -> restarts(figures);
            case PAUSE -> pause(figures);
            case ZONE -> lost(layout.zone(LOST_ZONE), figures);
            case REGIONS -> regions(true, figures);
            case REGIONS_ONE_WAY -> regions(false, figures);
            case LOSS_1 -> loss(LITTLE_LOSS, figures);
            case LOSS_20 -> loss(MUCH_LOSS, figures);
        }
        double seconds = (fleet.nowMillis() - began) / 1e3;
        traffic(before, runningBefore, seconds, figures);
        afterwards(scene, figures);
        figures.put(Metric.OBSERVERS, (double) recorder.running().cardinality());
        figures.put(Metric.FALSE_DEAD, (double) recorder.takeFalselyDead());
        figures.put(Metric.LATE_DEAD, (double) recorder.takeLatelyDead());
        figures.put(Metric.SCOPES_LOST, (double) recorder.takeFalselyLostScopes());
        results.accept(new SceneResult(run, mechanism, layout.brokers(), scene, seconds, figures));
    }

    // ---- Scenes.

    private void start(Map<Metric, Double> figures) {
        long since = fleet.nowMillis();
        startBrokers(layout.all());
        awaitAllListed(times.startMost());
        healed(since, figures);
    }

    /** What is read of the brokers at the end, and takes a while itself. */
    private void afterwards(SceneName scene, Map<Metric, Double> figures) {
        switch (scene) {
            case STEADY -> {
                figureAges(figures);
                memory(figures);
            }
            case LOSS_1, LOSS_20 -> {
                figureAges(figures);
                fleet.lose(0);
            }
            default -> {}
        }
    }

    private void memory(Map<Metric, Double> figures) {
        double memory = fleet.memoryKb();
        if (!Double.isNaN(memory)) {
            figures.put(Metric.MEMORY_KB, memory);
        }
    }

    /** Two hollow brokers of different regions: an ordinary day's loss. */
    private BitSet machines() {
        int inZone = layout.brokers() / FleetLayout.ZONES / 2;
        return BrokerRanges.of(layout.firstOfZone(2) + inZone, layout.firstOfZone(5) + inZone);
    }

    private void lost(BitSet brokers, Map<Metric, Double> figures) {
        long killed = fleet.nowMillis();
        recorder.stopped(brokers, killed);
        fleet.kill(brokers);
        BitSet others = recorder.running();
        BitSet lost = visibility.wholeOf(brokers);
        await(() -> recorder.all(others, lost, false), times.detectMost());
        detected(recorder.listing(others, lost, false, killed), figures);
        long back = fleet.nowMillis();
        startBrokers(brokers);
        awaitAllListed(times.healMost());
        healed(back, figures);
    }

    private void changes(Map<Metric, Double> figures) {
        Delays delays = new Delays();
        for (int i = 0; i < times.changes(); i++) {
            boolean last = i + 1 == times.changes();
            delays.add(change(last ? times.changeMost() : CHANGE_GAP_MILLIS, last));
        }
        changed(delays, figures);
    }

    /** One change at one broker; waits until all know it, and for the time of the next where there is one. */
    private Delays change(long most, boolean last) {
        int change = nextChange++;
        int owner = layout.firstOfZone(change % FleetLayout.ZONES) + 5 + change % 7;
        while (!fleet.reportsChanges(owner)) {
            owner++;
        }
        BitSet observers = recorder.running();
        observers.and(visibility.scopeOf(owner));
        observers.stream().filter(broker -> !fleet.reportsChanges(broker)).forEach(observers::clear);
        long at = fleet.nowMillis();
        fleet.change(owner, change);
        BooleanSupplier known = () -> recorder.knowing(observers, change, at).endedShare() == 1;
        if (last) {
            await(known, most);
        } else {
            advance(most);
        }
        return recorder.knowing(observers, change, at);
    }

    /** Hollow brokers only: how long a real one's planned end takes is its viewers' affair. */
    private void restarts(Map<Metric, Double> figures) {
        long since = fleet.nowMillis();
        for (int i = 0; i < Math.min(RESTARTS, layout.brokers() / 2); i++) {
            int broker = i * layout.brokers() / RESTARTS % layout.brokers();
            while (!fleet.reportsChanges(broker)) {
                broker++;
            }
            BitSet one = BrokerRanges.of(broker);
            recorder.stopped(one, fleet.nowMillis());
            fleet.leave(one);
            advance(times.restartGap() / 2);
            startBrokers(one);
            since = fleet.nowMillis();
            advance(times.restartGap() / 2);
        }
        awaitAllListed(times.healMost());
        healed(since, figures);
    }

    private void pause(Map<Metric, Double> figures) {
        long began = fleet.nowMillis();
        int inZone = layout.brokers() / FleetLayout.ZONES / 3;
        for (int broker : new int[] {layout.firstOfZone(3) + inZone, layout.firstOfZone(4)}) { // the second may be real
            recorder.outages().paused(broker, began, began + PAUSE_MILLIS);
            fleet.pause(broker, PAUSE_MILLIS);
        }
        advance(PAUSE_MILLIS);
        awaitAllListed(times.healMost());
        advance(STEP_MILLIS);
        healed(began + PAUSE_MILLIS, figures);
    }

    private void regions(boolean bothWays, Map<Metric, Double> figures) {
        BitSet first = layout.firstRegion();
        BitSet second = layout.secondRegion();
        long cutAt = fleet.nowMillis();
        cut(first, second, cutAt);
        if (bothWays) {
            cut(second, first, cutAt);
        }
        BitSet ofFirst = visibility.wholeOf(first);
        BitSet ofSecond = visibility.wholeOf(second);
        await(() -> recorder.all(first, ofSecond, false) && recorder.all(second, ofFirst, false), times.detectMost());
        Delays delays = recorder.listing(first, ofSecond, false, cutAt);
        delays.add(recorder.listing(second, ofFirst, false, cutAt));
        detected(delays, figures);
        long joined = fleet.nowMillis();
        fleet.join();
        recorder.outages().joined(fleet.nowMillis());
        awaitAllListed(times.healMost());
        healed(joined, figures);
    }

    private void cut(BitSet from, BitSet to, long atMillis) {
        recorder.outages().cut(from, to, atMillis);
        fleet.cut(from, to);
    }

    private void loss(double share, Map<Metric, Double> figures) {
        fleet.lose(share);
        changed(change(times.window(), false), figures);
    }

    // ---- Steps.

    private void startBrokers(BitSet brokers) {
        recorder.started(brokers, fleet.nowMillis());
        fleet.start(brokers);
    }

    private void advance(long millis) {
        fleet.advance(millis);
        recorder.take(fleet.collect());
    }

    private void await(BooleanSupplier condition, long most) {
        long until = fleet.nowMillis() + most;
        do {
            advance(STEP_MILLIS);
        } while (!condition.getAsBoolean() && fleet.nowMillis() < until);
    }

    private void awaitAllListed(long most) {
        BitSet running = recorder.running();
        BitSet there = visibility.anyOf(running);
        await(() -> recorder.all(running, there, true), most);
    }

    // ---- Figures.

    private static void detected(Delays delays, Map<Metric, Double> figures) {
        figures.put(Metric.DETECT_P50_S, delays.percentile(50));
        figures.put(Metric.DETECT_P99_S, delays.percentile(99));
        figures.put(Metric.GONE_S, delays.longest());
    }

    private void healed(long since, Map<Metric, Double> figures) {
        BitSet running = recorder.running();
        Delays delays = recorder.listing(running, visibility.anyOf(running), true, since);
        figures.put(Metric.HEAL_S, delays.longest());
        figures.put(Metric.HEAL_P99_S, delays.percentile(99));
    }

    private static void changed(Delays delays, Map<Metric, Double> figures) {
        figures.put(Metric.CHANGE_P50_S, delays.percentile(50));
        figures.put(Metric.CHANGE_P99_S, delays.percentile(99));
        figures.put(Metric.CHANGE_REACHED, delays.endedShare());
    }

    private void figureAges(Map<Metric, Double> figures) {
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
    private void traffic(
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
    static List<SceneName> all() {
        return List.of(SceneName.values());
    }
}
