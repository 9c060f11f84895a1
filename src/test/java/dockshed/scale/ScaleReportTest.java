package dockshed.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * The parts of the scale benchmark that need no fleet: broker ranges, delays, injected faults, the classification of deaths,
 * and the printed lines. Guards against figures that are wrong although the run succeeded, such as an unfinished delay that
 * counts as a short one, or a death counted as false although the script stopped the broker.
 */
class ScaleReportTest {
    private static SceneResult scene(String run, SceneName name, double detect, double gone, double heal) {
        Map<Metric, Double> figures = new EnumMap<>(Metric.class);
        figures.put(Metric.BYTES_S, 3600.0);
        figures.put(Metric.DETECT_P99_S, detect);
        figures.put(Metric.GONE_S, gone);
        figures.put(Metric.HEAL_S, heal);
        figures.put(Metric.FALSE_DEAD, 0.0);
        return new SceneResult(run, Mechanism.FULL_MESH, 510, name, 20, figures);
    }

    @Property(seed = "20261202", tries = 200)
    void rangesParseToTheSetThatWasFormatted(@ForAll List<@IntRange(max = 1023) Integer> numbers) {
        BitSet brokers = new BitSet();
        numbers.forEach(brokers::set);
        assertEquals(brokers, BrokerRanges.parse(BrokerRanges.format(brokers)));
    }

    @Test
    void theTargetSizeHasSixZonesOf73AndOneOf72() {
        FleetLayout layout = new FleetLayout(510);
        for (int zone = 0; zone < 6; zone++) {
            assertEquals(73, layout.zone(zone).cardinality());
        }
        assertEquals(72, layout.zone(6).cardinality());
        assertEquals(292, layout.firstRegion().cardinality());
        assertEquals(
                510, layout.firstRegion().cardinality() + layout.secondRegion().cardinality());
    }

    @Test
    void anUnfinishedDelayMakesAPercentileInfinite() {
        Delays delays = new Delays();
        for (int seconds = 1; seconds <= 98; seconds++) {
            delays.add(seconds * 1000);
        }
        delays.addUnfinished();
        delays.addUnfinished();
        assertEquals(50, delays.percentile(50), 0.1);
        assertEquals(98, delays.percentile(98), 0.1);
        assertTrue(Double.isInfinite(delays.percentile(99)));
        assertEquals(0.98, delays.finishedShare(), 1e-9);
    }

    @Test
    void aCutIsOneWayAndLossDependsOnTheRandomNumber() {
        LinkFaults faults = LinkFaults.NONE.withCut(BrokerRanges.of(1), BrokerRanges.of(2));
        assertTrue(faults.drops(1, 2, 0.9));
        assertFalse(faults.drops(2, 1, 0.9));
        assertFalse(faults.withoutCuts().drops(1, 2, 0));
        assertTrue(faults.withLoss(0.2).drops(2, 1, 0.1));
        assertFalse(faults.withLoss(0.2).drops(2, 1, 0.2));
    }

    /** Counts of false and late deaths if broker 0 declares broker 1 dead, which the script stopped from 10 s to 12 s. */
    private static int[] deathsCounted(long atMillis) {
        FleetRecorder recorder = new FleetRecorder(Mechanism.FULL_MESH.visibility(new FleetLayout(3)), 3);
        recorder.started(BrokerRanges.of(0, 1, 2), 0);
        recorder.stopped(BrokerRanges.of(1), 10_000);
        if (atMillis > 12_000) {
            recorder.started(BrokerRanges.of(1), 12_000);
        }
        recorder.record(new Observations(List.of(new MembershipChange(atMillis, 0, "1", "")), List.of()));
        return new int[] {recorder.drainFalseDeaths(), recorder.drainLateDeaths()};
    }

    @Test
    void aDeathIsFalseWhereTheBrokerRanAndWasReachable() {
        assertEquals(List.of(0, 0), List.of(deathsCounted(11_000)[0], deathsCounted(11_000)[1]));
        assertEquals(List.of(0, 1), List.of(deathsCounted(13_000)[0], deathsCounted(13_000)[1]));
        assertEquals(List.of(1, 0), List.of(deathsCounted(30_000)[0], deathsCounted(30_000)[1]));
        assertEquals(List.of(1, 0), List.of(deathsCounted(3_000)[0], deathsCounted(3_000)[1]));
    }

    @Test
    void aCutMakesBothOfItsEndsUnreachable() {
        Outages outages = new Outages();
        outages.cut(BrokerRanges.of(0), BrokerRanges.of(1), 10_000);
        assertFalse(outages.reachable(1, 0, 15_000, 16_000));
        assertTrue(outages.reachable(1, 2, 15_000, 16_000));
        outages.healed(20_000);
        assertTrue(outages.reachable(1, 0, 21_000, 22_000));
    }

    @Test
    void theSummaryLineParsesToWhatWasPrinted() {
        ScaleRun run = new ScaleRun(
                Mechanism.FULL_MESH,
                510,
                8,
                502,
                15,
                List.of(scene(SceneResult.SOCKETS, SceneName.ZONE, 20, 21.5, Double.POSITIVE_INFINITY)));
        SummaryLine line = SummaryLine.of(run, 0.9876);
        assertEquals(line, SummaryLine.parse(line.toString()));
        assertEquals("510", line.values().get("brokers"));
        assertEquals("21.5", line.values().get("zone_gone_s"));
        assertEquals("nan", line.values().get("heal_s"));
        assertEquals("0", line.values().get("false_dead"));
        assertEquals("nan", line.values().get("disagree"), "a sum without measurements is not zero");
        assertEquals("0.9876", line.values().get("r2"));
        assertThrows(IllegalArgumentException.class, () -> SummaryLine.parse("scale brokers"));
        assertThrows(IllegalArgumentException.class, () -> SummaryLine.parse("something else"));
    }

    @Test
    void aRowHasACellForEachColumn() {
        String row = scene(SceneResult.SOCKETS, SceneName.ZONE, 20, 21.5, 9).csvRow();
        assertEquals(SceneResult.csvHeader().split(",").length, row.split(",", -1).length);
        assertTrue(row.startsWith("sockets,full_mesh,510,zone,20,"));
    }

    @Test
    void theSimulationIsComparedSceneByScene() {
        SimulationComparison comparison = SimulationComparison.of(
                List.of(
                        scene(SceneResult.SOCKETS, SceneName.ZONE, 10, 20, 30),
                        scene(SceneResult.SOCKETS, SceneName.REGIONS, 5, 6, Double.POSITIVE_INFINITY)),
                List.of(
                        scene(SceneResult.SIMULATED, SceneName.ZONE, 11, 22, 33),
                        scene(SceneResult.SIMULATED, SceneName.REGIONS, 5.5, 6.6, 4)));
        assertEquals(5, comparison.pairs());
        assertEquals(1, comparison.rSquared(), 1e-9);
        assertEquals(0.1, comparison.delayError(), 1e-9);
        assertEquals(0, comparison.bytesError(), 1e-9);
        assertEquals(1, comparison.onlyOneEnded());
    }

    @Test
    void unknownOptionsAreRefused() {
        assertEquals(510, ScaleOptions.parse("--quick").brokers());
        assertEquals(
                List.of(SceneName.START, SceneName.ZONE),
                ScaleOptions.parse("--scenes", "zone").scenes());
        assertThrows(IllegalArgumentException.class, () -> ScaleOptions.parse("--slow"));
        assertThrows(IllegalArgumentException.class, () -> ScaleOptions.parse("--brokers"));
    }
}
