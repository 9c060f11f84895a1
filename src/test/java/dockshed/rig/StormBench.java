package dockshed.rig;

import dockshed.storm.Damper;
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
    static final long S = World.S;
    private static final int FROM = 30; // second from which the fleet is full
    private static final String OFF = "off";
    private static final String ON = "calendar+notes";

    private StormBench() {}

    /** One variant in one scenario, over the seeds; thousandths in the histograms. */
    private static final class Row {
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

        void add(World w, long lastRestart) {
            runs++;
            worst.recordValue(Math.round(w.worst(FROM) * 1000));
            whole.recordValue(Math.round(w.service(FROM, w.offered.length) * 1000));
            tries.recordValue(Math.round(w.tries * 1000.0 / w.people()));
            refused += w.refused;
            cold = Math.max(cold, w.coldPeak);
            long all = 0;
            long came = 0;
            for (Damper d : w.dampers()) {
                came += d.counts().kept;
                all += d.counts().kept + d.counts().early;
            }
            kept += all == 0 ? 0 : came / (double) all;
            twice += w.paidTwice;
            lost += w.lost;
            fallen += w.boxesFallen;
            below += w.belowFloor;
            after += w.refusedAfterRun;
            double calmed = w.calmAfter(lastRestart);
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
        Terms u = Terms.USUAL;
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

    private record Scenario(String name, long lastRestart, Supplier<World.Script> script) {}

    static World.Script base() {
        World.Script s = new World.Script();
        s.length = 80 * S;
        return s;
    }

    static World.Script one() {
        return base().outage(0, 35 * S, 39 * S);
    }

    static World.Script inTurn() {
        return one().outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S);
    }

    static World.Script cold(World.Script s, int every, long longest) {
        for (int i = 0; i < s.boxes; i += every) {
            s.restart(i, 35 * S);
        }
        s.longest = longest;
        return s;
    }

    static World.Script surge(World.Script s) {
        s.surge = 2;
        s.surgeFrom = 35 * S;
        s.surgeTo = 50 * S;
        return s;
    }

    private static List<Scenario> scenarios() {
        return List.of(
                new Scenario("no outage", 35 * S, StormBench::base),
                new Scenario("one of three", 39 * S, StormBench::one),
                new Scenario("all in turn", 55 * S, StormBench::inTurn),
                new Scenario("in turn, list out of reach", 55 * S, () -> {
                    World.Script s = inTurn();
                    s.namesReachable = false;
                    return s;
                }),
                new Scenario("one, fleet cold", 39 * S, () -> cold(one(), 1, 2 * S)),
                new Scenario("one, fleet cold, 10 s", 39 * S, () -> cold(one(), 1, 10 * S)),
                new Scenario("one, half cold", 39 * S, () -> cold(one(), 2, 2 * S)),
                new Scenario("one, surge", 50 * S, () -> surge(one())),
                new Scenario("one, nobody heeds", 39 * S, () -> {
                    World.Script s = one();
                    s.ignore = 1;
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
        Map<String, Row> rows = new LinkedHashMap<>();
        System.out.println(
                "| scenario | variant | worst 10 s | whole | refused | tries a viewer | cold peak | kept | calm after, s |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        int fallen = 0;
        int broken = 0;
        for (Scenario sc : scenarios()) {
            for (Map.Entry<String, Terms> v : variants.entrySet()) {
                Row r = rows.computeIfAbsent(sc.name() + "/" + v.getKey(), k -> new Row());
                for (int seed = 1; seed <= seeds; seed++) {
                    World.Script s = sc.script().get();
                    s.terms = v.getValue();
                    r.add(World.run(s, seed), sc.lastRestart());
                }
                fallen += r.fallen;
                broken += r.below + r.after;
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %s | %s | %s | %.0f | %s | %.2f | %s | %s |%n",
                        sc.name(),
                        v.getKey(),
                        Row.mean(r.worst),
                        Row.mean(r.whole),
                        r.refused / r.runs,
                        Row.mean(r.tries),
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
        Row off = rows.get("one of three/" + OFF);
        Row on = rows.get("one of three/" + ON);
        Row coldOff = rows.get("one, fleet cold, 10 s/" + OFF);
        Row coldOn = rows.get("one, fleet cold, 10 s/" + ON);
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
            World.Script s = base();
            s.arrivals = 6;
            s.terms = i % 2 == 0 ? null : terms(Returns.CALENDAR, true);
            least[i % 2] = Math.min(least[i % 2], World.run(s, 7).brokerNanos / 1e6);
        }
        return least;
    }
}
