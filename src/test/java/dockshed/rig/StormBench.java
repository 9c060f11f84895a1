package dockshed.rig;

import dockshed.storm.Damper;
import dockshed.storm.Terms;
import dockshed.storm.Terms.Returns;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.HdrHistogram.DoubleHistogram;

/** The measurement behind bench/storm.sh: scripted outages, the part on and off, several seeds, on the virtual clock. */
public final class StormBench {
    private static final long MS = World.MS, S = World.S;

    private StormBench() { }

    /** Means over the seeds of one variant in one scenario. */
    private static final class Row {
        double worst, whole, refused, tries, cold, kept, calm;
        int twice, lost, fallen, below, after, runs, never;
        long nanos;

        void add(World w, int from, long lastRestart) {
            runs++;
            worst += w.worst(from);
            whole += w.service(from, w.offered.length);
            refused += w.refused;
            tries += w.tries / (double) w.people();
            cold = Math.max(cold, w.coldPeak);
            long k = 0;
            long all = 0;
            for (Damper d : w.dampers()) {
                k += d.counts().kept;
                all += d.counts().kept + d.counts().early;
            }
            kept += all == 0 ? 0 : k / (double) all;
            twice += w.paidTwice;
            lost += w.lost;
            fallen += w.boxesFallen;
            below += w.belowFloor;
            after += w.refusedAfterRun;
            if (w.calmAt < 0) {
                never++;
            } else {
                calm += Math.max(0, w.calmAt - lastRestart) / 1e6;
            }
        }
    }

    static Terms terms(Returns returns, boolean notes) {
        Terms u = Terms.USUAL;
        return new Terms(returns, u.soonest(), u.longest(), u.slot(), u.early(), u.remember(), u.hold(), u.waiting(),
                u.rush(), u.repeats(), u.trouble(), u.calmAfter(), u.retryShare(), u.retryLeast(), u.coldAim(),
                notes ? u.notesEvery() : 0);
    }

    private record Scenario(String name, int from, long lastRestart, Supplier<World.Script> script) { }

    private static World.Script base() {
        World.Script s = new World.Script();
        s.length = 80 * S;
        return s;
    }

    static World.Script restarts(World.Script s, int of, long at) {
        for (int i = 0; i < s.boxes; i += s.boxes / of) {
            s.restart(i, at);
        }
        return s;
    }

    public static void main(String[] args) {
        boolean quick = List.of(args).contains("--quick");
        int seeds = quick ? 2 : 5;
        List<Scenario> scenarios = new ArrayList<>();
        scenarios.add(new Scenario("none", 30, 30 * S, StormBench::base));
        scenarios.add(new Scenario("one-of-three", 30, 39 * S, () -> base().outage(0, 35 * S, 39 * S)));
        scenarios.add(new Scenario("all-in-turn", 30, 55 * S, () -> base().outage(0, 35 * S, 39 * S)
                .outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S)));
        scenarios.add(new Scenario("cold-fleet", 30, 39 * S, () -> {
            World.Script s = base().outage(0, 35 * S, 39 * S);
            return restarts(s, s.boxes, 35 * S);
        }));
        scenarios.add(new Scenario("cold-half", 30, 39 * S, () -> {
            World.Script s = base().outage(0, 35 * S, 39 * S);
            return restarts(s, s.boxes / 2, 35 * S);
        }));
        scenarios.add(new Scenario("surge", 30, 50 * S, () -> {
            World.Script s = base().outage(0, 35 * S, 39 * S);
            s.surge = 2;
            s.surgeFrom = 35 * S;
            s.surgeTo = 50 * S;
            return s;
        }));
        Map<String, Terms> variants = new LinkedHashMap<>();
        variants.put("off", null);
        variants.put("fixed", terms(Returns.FIXED, false));
        variants.put("jitter", terms(Returns.JITTER, false));
        variants.put("calendar", terms(Returns.CALENDAR, false));
        variants.put("calendar+notes", terms(Returns.CALENDAR, true));
        Map<String, Row> rows = new LinkedHashMap<>();
        System.out.println("| scenario | variant | worst 10 s | whole | refused | tries a viewer | cold peak | kept | "
                + "calm after s | boxes fallen | paid twice | lost |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Scenario sc : scenarios) {
            for (Map.Entry<String, Terms> v : variants.entrySet()) {
                Row r = rows.computeIfAbsent(sc.name() + "/" + v.getKey(), k -> new Row());
                long began = System.nanoTime();
                for (int seed = 1; seed <= seeds; seed++) {
                    World.Script s = sc.script().get();
                    s.terms = v.getValue();
                    r.add(World.run(s, seed), sc.from(), sc.lastRestart());
                }
                r.nanos = System.nanoTime() - began;
                System.out.printf(Locale.ROOT, "| %s | %s | %.3f | %.3f | %.0f | %.2f | %.2f | %.2f | %s | %d | %d | %d |%n",
                        sc.name(), v.getKey(), r.worst / r.runs, r.whole / r.runs, r.refused / r.runs, r.tries / r.runs,
                        r.cold, r.kept / r.runs, v.getValue() == null ? "-" : r.never > 0 ? "never in " + r.never
                        : String.format(Locale.ROOT, "%.1f", r.calm / r.runs), r.fallen, r.twice, r.lost);
            }
        }
    }
}
