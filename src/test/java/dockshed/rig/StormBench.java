package dockshed.rig;

import dockshed.storm.RetryStormFilter;
import dockshed.storm.Terms;
import dockshed.storm.Terms.Returns;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Measurement of bench/storm.sh: outages on the virtual clock, with and without the retry storm filter, for several
 * seeds.
 */
public final class StormBench {
    static final long SECOND_US = BrokerSimulation.SECOND_US;
    private static final int MEASURE_FROM_S = 30; // from then on the fleet is at its full load
    private static final String OFF = "off";
    private static final String ON = "calendar+notes";

    private StormBench() {}

    /** Results of one variant in one scenario over all seeds; histograms hold thousandths. */
    private static final class ResultRow {
        final Histogram worstTenSeconds = new Histogram(3);
        final Histogram serviceRatio = new Histogram(3);
        final Histogram requestsPerViewer = new Histogram(3);
        final Histogram secondsUntilCalm = new Histogram(3);
        double refused;
        double coldPeakRatio;
        double onTimeShare;
        int duplicatePaidSetUps;
        int unanswered;
        int crashedServers;
        int renditionsBelowLowest;
        int paidRefusedAfterRun;
        int runs;
        int neverCalm;

        void add(BrokerSimulation simulation, long lastRestart) {
            runs++;
            worstTenSeconds.recordValue(Math.round(simulation.worstTenSeconds(MEASURE_FROM_S) * 1000));
            serviceRatio.recordValue(
                    Math.round(simulation.serviceRatio(MEASURE_FROM_S, simulation.offeredBySecond.length) * 1000));
            requestsPerViewer.recordValue(Math.round(simulation.requests * 1000.0 / simulation.viewerCount()));
            refused += simulation.refused;
            coldPeakRatio = Math.max(coldPeakRatio, simulation.coldPeakRatio);
            long returns = 0;
            long onTime = 0;
            for (RetryStormFilter filter : simulation.stormFilters()) {
                onTime += filter.counts().returnsOnTime;
                returns += filter.counts().returnsOnTime + filter.counts().returnsEarly;
            }
            onTimeShare += returns == 0 ? 0 : onTime / (double) returns;
            duplicatePaidSetUps += simulation.duplicatePaidSetUps;
            unanswered += simulation.unanswered;
            crashedServers += simulation.crashedServers;
            renditionsBelowLowest += simulation.renditionsBelowLowest;
            paidRefusedAfterRun += simulation.paidRefusedAfterRun;
            double untilCalm = simulation.secondsUntilCalm(lastRestart);
            if (untilCalm < 0) {
                neverCalm++;
            } else {
                secondsUntilCalm.recordValue(Math.round(untilCalm * 1000));
            }
        }

        static String mean(Histogram histogram) {
            return String.format(
                    Locale.ROOT,
                    "%.3f ±%.3f",
                    histogram.getMean() / 1000,
                    histogram.getStdDeviation() / 1000 / Math.sqrt(Math.max(1, histogram.getTotalCount())));
        }
    }

    static Terms terms(Returns returns, boolean messages) {
        Terms defaults = Terms.DEFAULTS;
        return new Terms(
                returns,
                defaults.soonest(),
                defaults.longest(),
                defaults.slot(),
                defaults.early(),
                defaults.remember(),
                defaults.hold(),
                defaults.waiting(),
                defaults.rush(),
                defaults.repeats(),
                defaults.trouble(),
                defaults.calmAfter(),
                defaults.retryShare(),
                defaults.retryLeast(),
                defaults.coldAim(),
                messages ? defaults.notesEvery() : 0);
    }

    private record NamedScenario(String name, long lastRestart, Supplier<BrokerSimulation.Scenario> scenario) {}

    static BrokerSimulation.Scenario baseScenario() {
        BrokerSimulation.Scenario scenario = new BrokerSimulation.Scenario();
        scenario.duration = 80 * SECOND_US;
        return scenario;
    }

    static BrokerSimulation.Scenario singleOutage() {
        return baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US);
    }

    static BrokerSimulation.Scenario outagesInTurn() {
        return singleOutage().outage(1, 43 * SECOND_US, 47 * SECOND_US).outage(2, 51 * SECOND_US, 55 * SECOND_US);
    }

    static BrokerSimulation.Scenario withColdServers(
            BrokerSimulation.Scenario scenario, int step, long maxReturnDelay) {
        for (int i = 0; i < scenario.servers; i += step) {
            scenario.restart(i, 35 * SECOND_US);
        }
        scenario.maxReturnDelay = maxReturnDelay;
        return scenario;
    }

    static BrokerSimulation.Scenario withSurge(BrokerSimulation.Scenario scenario) {
        scenario.surgeFactor = 2;
        scenario.surgeFrom = 35 * SECOND_US;
        scenario.surgeTo = 50 * SECOND_US;
        return scenario;
    }

    private static List<NamedScenario> scenarios() {
        return List.of(
                new NamedScenario("no outage", 35 * SECOND_US, StormBench::baseScenario),
                new NamedScenario("one of three", 39 * SECOND_US, StormBench::singleOutage),
                new NamedScenario("all in turn", 55 * SECOND_US, StormBench::outagesInTurn),
                new NamedScenario("in turn, list out of reach", 55 * SECOND_US, () -> {
                    BrokerSimulation.Scenario scenario = outagesInTurn();
                    scenario.nameServerReachable = false;
                    return scenario;
                }),
                new NamedScenario(
                        "one, fleet cold", 39 * SECOND_US, () -> withColdServers(singleOutage(), 1, 2 * SECOND_US)),
                new NamedScenario(
                        "one, fleet cold, 10 s",
                        39 * SECOND_US,
                        () -> withColdServers(singleOutage(), 1, 10 * SECOND_US)),
                new NamedScenario(
                        "one, half cold", 39 * SECOND_US, () -> withColdServers(singleOutage(), 2, 2 * SECOND_US)),
                new NamedScenario("one, surge", 50 * SECOND_US, () -> withSurge(singleOutage())),
                new NamedScenario("one, nobody heeds", 39 * SECOND_US, () -> {
                    BrokerSimulation.Scenario scenario = singleOutage();
                    scenario.ignoringShare = 1;
                    return scenario;
                }));
    }

    public static void main(String[] args) {
        boolean quick = List.of(args).contains("--quick");
        int seeds = quick ? 2 : 5;
        Map<String, Terms> variants = new LinkedHashMap<>();
        variants.put(OFF, null);
        variants.put("fixed", terms(Returns.FIXED, false));
        variants.put("jitter", terms(Returns.JITTER, false));
        variants.put("calendar", terms(Returns.CALENDAR, false));
        variants.put(ON, terms(Returns.CALENDAR, true));
        Map<String, ResultRow> rows = new LinkedHashMap<>();
        System.out.println(
                "| scenario | variant | worst 10 s | whole | refused | tries a viewer | cold peak | kept | calm after, s |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        int crashed = 0;
        int rulesBroken = 0;
        for (NamedScenario named : scenarios()) {
            for (Map.Entry<String, Terms> variant : variants.entrySet()) {
                ResultRow row = rows.computeIfAbsent(named.name() + "/" + variant.getKey(), k -> new ResultRow());
                for (int seed = 1; seed <= seeds; seed++) {
                    BrokerSimulation.Scenario scenario = named.scenario().get();
                    scenario.terms = variant.getValue();
                    row.add(BrokerSimulation.run(scenario, seed), named.lastRestart());
                }
                crashed += row.crashedServers;
                rulesBroken += row.renditionsBelowLowest + row.paidRefusedAfterRun;
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %s | %s | %s | %.0f | %s | %.2f | %s | %s |%n",
                        named.name(),
                        variant.getKey(),
                        ResultRow.mean(row.worstTenSeconds),
                        ResultRow.mean(row.serviceRatio),
                        row.refused / row.runs,
                        ResultRow.mean(row.requestsPerViewer),
                        row.coldPeakRatio,
                        variant.getValue() == null
                                ? "-"
                                : String.format(Locale.ROOT, "%.2f", row.onTimeShare / row.runs),
                        variant.getValue() == null
                                ? "-"
                                : row.neverCalm > 0
                                        ? "not in " + row.neverCalm + " of " + row.runs
                                        : String.format(Locale.ROOT, "%.1f", row.secondsUntilCalm.getMean() / 1000));
            }
        }
        double[] brokerMillis = brokerMillis(quick ? 2 : 6);
        System.out.printf(
                Locale.ROOT,
                "processor in the brokers on a calm run: off %.1f ms, on %.1f ms%n",
                brokerMillis[0],
                brokerMillis[1]);
        ResultRow off = rows.get("one of three/" + OFF);
        ResultRow on = rows.get("one of three/" + ON);
        ResultRow coldOff = rows.get("one, fleet cold, 10 s/" + OFF);
        ResultRow coldOn = rows.get("one, fleet cold, 10 s/" + ON);
        int paidTwice =
                rows.values().stream().mapToInt(row -> row.duplicatePaidSetUps).sum();
        int unanswered = rows.values().stream().mapToInt(row -> row.unanswered).sum();
        System.out.printf(
                Locale.ROOT,
                "storm worst10_on=%.3f worst10_off=%.3f ratio=%.2f worst10_none=%.3f cold_worst10_on=%.3f "
                        + "cold_worst10_off=%.3f cold_ratio=%.2f cold_peak_on=%.2f cold_peak_off=%.2f tries_on=%.2f tries_off=%.2f "
                        + "calm_s=%.1f overhead=%.3f boxes_fallen=%d rules_broken=%d paid_twice=%d lost=%d%n",
                on.worstTenSeconds.getMean() / 1000,
                off.worstTenSeconds.getMean() / 1000,
                on.worstTenSeconds.getMean() / off.worstTenSeconds.getMean(),
                rows.get("no outage/" + OFF).worstTenSeconds.getMean() / 1000,
                coldOn.worstTenSeconds.getMean() / 1000,
                coldOff.worstTenSeconds.getMean() / 1000,
                coldOn.worstTenSeconds.getMean() / coldOff.worstTenSeconds.getMean(),
                coldOn.coldPeakRatio,
                coldOff.coldPeakRatio,
                on.requestsPerViewer.getMean() / 1000,
                off.requestsPerViewer.getMean() / 1000,
                on.secondsUntilCalm.getMean() / 1000,
                brokerMillis[1] / brokerMillis[0] - 1,
                crashed,
                rulesBroken,
                paidTwice,
                unanswered);
    }

    /**
     * Milliseconds spent in the brokers in a calm run, without and with the filter: the least of several alternating
     * runs.
     */
    private static double[] brokerMillis(int runs) {
        double[] least = {Double.MAX_VALUE, Double.MAX_VALUE};
        for (int i = 0; i < 2 * runs; i++) {
            BrokerSimulation.Scenario scenario = baseScenario();
            scenario.arrivalsPerSecond = 6;
            scenario.terms = i % 2 == 0 ? null : terms(Returns.CALENDAR, true);
            least[i % 2] = Math.min(least[i % 2], BrokerSimulation.run(scenario, 7).brokerTimeNanos / 1e6);
        }
        return least;
    }
}
