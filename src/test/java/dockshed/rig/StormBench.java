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

/** The measurement behind bench/storm.sh: scripted outages, the part on and off, several seeds, on the virtual clock. */
public final class StormBench {
    static final long SECOND_US = BrokerSimulation.SECOND_US;
    private static final int MEASURE_FROM_S = 30; // second from which the fleet is full
    private static final String OFF = "off";
    private static final String ON = "calendar+notes";

    private StormBench() {}

    /** One variant in one scenario, over the seeds; thousandths in the histograms. */
    private static final class ResultRow {
        final Histogram worst = new Histogram(3);
        final Histogram whole = new Histogram(3);
        final Histogram tries = new Histogram(3);
        final Histogram calm = new Histogram(3);
        double refused;
        double cold;
        double kept;
        int twice;
        int lost;
        int fallen;
        int below;
        int after;
        int runs;
        int never;

        void add(BrokerSimulation w, long lastRestart) {
            runs++;
            worst.recordValue(Math.round(w.worstTenSeconds(MEASURE_FROM_S) * 1000));
            whole.recordValue(Math.round(w.serviceRatio(MEASURE_FROM_S, w.offeredBySecond.length) * 1000));
            tries.recordValue(Math.round(w.requests * 1000.0 / w.viewerCount()));
            refused += w.refused;
            cold = Math.max(cold, w.coldPeakRatio);
            long all = 0;
            long came = 0;
            for (RetryStormFilter d : w.dampers()) {
                came += d.counts().returnsOnTime;
                all += d.counts().returnsOnTime + d.counts().returnsEarly;
            }
            kept += all == 0 ? 0 : came / (double) all;
            twice += w.duplicatePaidSetUps;
            lost += w.unanswered;
            fallen += w.crashedServers;
            below += w.renditionsBelowFloor;
            after += w.paidRefusedAfterRun;
            double calmed = w.secondsUntilCalm(lastRestart);
            if (calmed < 0) {
                never++;
            } else {
                calm.recordValue(Math.round(calmed * 1000));
            }
        }

        static String mean(Histogram h) {
            return String.format(
                    Locale.ROOT,
                    "%.3f ±%.3f",
                    h.getMean() / 1000,
                    h.getStdDeviation() / 1000 / Math.sqrt(Math.max(1, h.getTotalCount())));
        }
    }

    static Terms terms(Returns returns, boolean notes) {
        Terms u = Terms.DEFAULTS;
        return new Terms(
                returns,
                u.soonest(),
                u.longest(),
                u.slot(),
                u.early(),
                u.remember(),
                u.hold(),
                u.waiting(),
                u.rush(),
                u.repeats(),
                u.trouble(),
                u.calmAfter(),
                u.retryShare(),
                u.retryLeast(),
                u.coldAim(),
                notes ? u.notesEvery() : 0);
    }

    private record NamedScenario(String name, long lastRestart, Supplier<BrokerSimulation.Scenario> script) {}

    static BrokerSimulation.Scenario baseScenario() {
        BrokerSimulation.Scenario s = new BrokerSimulation.Scenario();
        s.duration = 80 * SECOND_US;
        return s;
    }

    static BrokerSimulation.Scenario singleOutage() {
        return baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US);
    }

    static BrokerSimulation.Scenario outagesInTurn() {
        return singleOutage().outage(1, 43 * SECOND_US, 47 * SECOND_US).outage(2, 51 * SECOND_US, 55 * SECOND_US);
    }

    static BrokerSimulation.Scenario withColdServers(BrokerSimulation.Scenario s, int every, long longest) {
        for (int i = 0; i < s.servers; i += every) {
            s.restart(i, 35 * SECOND_US);
        }
        s.maxReturnDelay = longest;
        return s;
    }

    static BrokerSimulation.Scenario withSurge(BrokerSimulation.Scenario s) {
        s.surgeFactor = 2;
        s.surgeFrom = 35 * SECOND_US;
        s.surgeTo = 50 * SECOND_US;
        return s;
    }

    private static List<NamedScenario> scenarios() {
        return List.of(
                new NamedScenario("no outage", 35 * SECOND_US, StormBench::baseScenario),
                new NamedScenario("one of three", 39 * SECOND_US, StormBench::singleOutage),
                new NamedScenario("all in turn", 55 * SECOND_US, StormBench::outagesInTurn),
                new NamedScenario("in turn, list out of reach", 55 * SECOND_US, () -> {
                    BrokerSimulation.Scenario s = outagesInTurn();
                    s.nameServerReachable = false;
                    return s;
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
                    BrokerSimulation.Scenario s = singleOutage();
                    s.ignoringShare = 1;
                    return s;
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
        int fallen = 0;
        int broken = 0;
        for (NamedScenario sc : scenarios()) {
            for (Map.Entry<String, Terms> v : variants.entrySet()) {
                ResultRow r = rows.computeIfAbsent(sc.name() + "/" + v.getKey(), k -> new ResultRow());
                for (int seed = 1; seed <= seeds; seed++) {
                    BrokerSimulation.Scenario s = sc.script().get();
                    s.terms = v.getValue();
                    r.add(BrokerSimulation.run(s, seed), sc.lastRestart());
                }
                fallen += r.fallen;
                broken += r.below + r.after;
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %s | %s | %s | %.0f | %s | %.2f | %s | %s |%n",
                        sc.name(),
                        v.getKey(),
                        ResultRow.mean(r.worst),
                        ResultRow.mean(r.whole),
                        r.refused / r.runs,
                        ResultRow.mean(r.tries),
                        r.cold,
                        v.getValue() == null ? "-" : String.format(Locale.ROOT, "%.2f", r.kept / r.runs),
                        v.getValue() == null
                                ? "-"
                                : r.never > 0
                                        ? "not in " + r.never + " of " + r.runs
                                        : String.format(Locale.ROOT, "%.1f", r.calm.getMean() / 1000));
            }
        }
        double[] cost = overhead(quick ? 2 : 6);
        System.out.printf(
                Locale.ROOT, "processor in the brokers on a calm run: off %.1f ms, on %.1f ms%n", cost[0], cost[1]);
        ResultRow off = rows.get("one of three/" + OFF);
        ResultRow on = rows.get("one of three/" + ON);
        ResultRow coldOff = rows.get("one, fleet cold, 10 s/" + OFF);
        ResultRow coldOn = rows.get("one, fleet cold, 10 s/" + ON);
        int twice = rows.values().stream().mapToInt(r -> r.twice).sum();
        int lost = rows.values().stream().mapToInt(r -> r.lost).sum();
        System.out.printf(
                Locale.ROOT,
                "storm worst10_on=%.3f worst10_off=%.3f ratio=%.2f worst10_none=%.3f cold_worst10_on=%.3f "
                        + "cold_worst10_off=%.3f cold_ratio=%.2f cold_peak_on=%.2f cold_peak_off=%.2f tries_on=%.2f tries_off=%.2f "
                        + "calm_s=%.1f overhead=%.3f boxes_fallen=%d rules_broken=%d paid_twice=%d lost=%d%n",
                on.worst.getMean() / 1000,
                off.worst.getMean() / 1000,
                on.worst.getMean() / off.worst.getMean(),
                rows.get("no outage/" + OFF).worst.getMean() / 1000,
                coldOn.worst.getMean() / 1000,
                coldOff.worst.getMean() / 1000,
                coldOn.worst.getMean() / coldOff.worst.getMean(),
                coldOn.cold,
                coldOff.cold,
                on.tries.getMean() / 1000,
                off.tries.getMean() / 1000,
                on.calm.getMean() / 1000,
                cost[1] / cost[0] - 1,
                fallen,
                broken,
                twice,
                lost);
    }

    /** Milliseconds that the brokers take of a calm run, off and on in turn; the least of several. */
    private static double[] overhead(int runs) {
        double[] least = {Double.MAX_VALUE, Double.MAX_VALUE};
        for (int i = 0; i < 2 * runs; i++) {
            BrokerSimulation.Scenario s = baseScenario();
            s.arrivalsPerSecond = 6;
            s.terms = i % 2 == 0 ? null : terms(Returns.CALENDAR, true);
            least[i % 2] = Math.min(least[i % 2], BrokerSimulation.run(s, 7).brokerCpuNanos / 1e6);
        }
        return least;
    }
}
