package dockshed.rig;

import dockshed.fleet.FleetCosts;
import dockshed.fleet.FleetSettings;
import java.util.List;
import java.util.Locale;

/** The measurement behind bench/fleet.sh, on the virtual clock: overload with the part off, on, and told all at once. */
public final class FleetBench {
    private static final long S = World.S;
    private static final int FROM = 40;
    private static final int TO = 60;
    private static final int END = 90;

    private FleetBench() {}

    private enum Variant {
        OFF,
        ON,
        AT_ONCE,
        LIAR
    }

    /** Twice the room for 20 s, half the boxes slow, a broker killed. */
    static World.Script overload(int brokers) {
        World.Script s = new World.Script();
        s.brokers = brokers;
        s.length = END * S;
        s.arrivals = 48;
        s.surge = 2.4;
        s.stayLeast = 4 * S; // so that the load's end is the end of what is asked for, too
        s.stayMore = 8 * S;
        s.surgeFrom = FROM * S;
        s.surgeTo = TO * S;
        s.slow = s.boxes / 2;
        s.slowFrom = FROM * S;
        s.slowTo = TO * S;
        return s.outage(1, (FROM + 5) * S, (FROM + 10) * S);
    }

    private static World play(Variant v, int brokers, long seed) {
        World.Script s = overload(brokers);
        if (v != Variant.OFF) {
            s.fleet = v == Variant.AT_ONCE
                    ? new FleetSettings(100_000, 0, 0.5, true, true, true)
                    : FleetSettings.DEFAULTS;
            s.atOnce = v == Variant.AT_ONCE;
            s.liar = v == Variant.LIAR ? brokers - 1 : -1;
        }
        return World.run(s, seed);
    }

    /** Seconds after the load's end until a second's service is 0.95 of that before the load; -1: not within the run. */
    private static double recovered(World w) {
        double usual = w.service(FROM - 10, FROM);
        for (int i = TO; i + 2 < END; i++) {
            if (w.service(i, i + 2) >= 0.95 * usual) {
                return i - TO;
            }
        }
        return -1;
    }

    public static void main(String[] args) {
        boolean quick = List.of(args).contains("--quick");
        int seeds = quick ? 2 : 6;
        int brokers = List.of(args).contains("--many") ? 24 : 7;
        double[] during = new double[4];
        double[] after = new double[4];
        double[] recover = new double[4];
        double[] paid = new double[4];
        double[] further = new double[4];
        double[] people = new double[4];
        double alike = 0;
        double judged = 0;
        double shares = 0;
        double bytes = 0;
        int lost = 0;
        int twice = 0;
        System.out.println(
                "| variant | seed | before | load | after | recovered, s | refused | paid kept | further | shares | alike |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Variant v : Variant.values()) {
            int i = v.ordinal();
            for (int seed = 1; seed <= seeds; seed++) {
                World w = play(v, brokers, seed);
                double r = recovered(w);
                during[i] += w.service(FROM, TO) / seeds;
                after[i] += w.service(TO, TO + 15) / seeds;
                recover[i] += (r < 0 ? END - TO : r) / seeds;
                paid[i] += w.paidServed / (double) Math.max(1, w.paidAsked) / seeds;
                further[i] += w.furtherAttempts / (double) Math.max(1, w.people()) / seeds;
                lost += w.lost;
                twice += w.paidTwice;
                if (v == Variant.ON) {
                    alike += w.judgedAlike;
                    judged += w.judged;
                    shares = Math.max(shares, w.shareSumMax);
                    bytes += w.fleetBytes / (double) END / brokers / seeds;
                }
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %d | %.3f | %.3f | %.3f | %.0f | %d | %.3f | %.3f | %.3f | %.3f |%n",
                        v,
                        seed,
                        w.service(FROM - 10, FROM),
                        w.service(FROM, TO),
                        w.service(TO, TO + 15),
                        r,
                        w.refused,
                        w.paidServed / (double) Math.max(1, w.paidAsked),
                        w.furtherAttempts / (double) w.people(),
                        w.shareSumMax,
                        w.judged == 0 ? 1 : w.judgedAlike / w.judged);
            }
        }
        FleetCosts.ByteRates five = FleetCosts.byteRates(5, 30);
        FleetCosts.ByteRates hundred = FleetCosts.byteRates(100, 30);
        FleetCosts.ProbeCost few = FleetCosts.probeCost(7);
        FleetCosts.ProbeCost many = FleetCosts.probeCost(100);
        System.out.printf(
                Locale.ROOT,
                "bytes a second and broker: 5 brokers %.0f (most %.0f), 100 brokers %.0f (most %.0f)%n",
                five.mean(),
                five.highest(),
                hundred.mean(),
                hundred.highest());
        printProbes(few, many);
        double gap = during[2] - during[0];
        String closed = gap < 0.01 ? "none" : String.format(Locale.ROOT, "%.2f", (during[1] - during[0]) / gap);
        System.out.printf(
                Locale.ROOT,
                "fleet n=%d service_on=%.3f service_off=%.3f service_at_once=%.3f gap_closed=%s recover_on_s=%.1f "
                        + "recover_off_s=%.1f extra_per_fresh=%.3f shed_agree=%.3f paid_kept=%.3f paid_kept_off=%.3f share_sum_max=%.3f "
                        + "liar_cost=%.3f lost=%d paid_twice=%d probes_per_box_s=%.2f probes_per_box_s_100=%.2f bytes_s=%.0f bytes_s_100=%.0f "
                        + "growth_5_to_100=%.2f%n",
                brokers,
                during[1],
                during[0],
                during[2],
                closed,
                recover[1],
                recover[0],
                further[1],
                judged == 0 ? 1 : alike / judged,
                paid[1],
                paid[0],
                shares,
                during[1] - during[3],
                lost,
                twice,
                few.probesPerSecond(),
                many.probesPerSecond(),
                bytes,
                hundred.mean(),
                hundred.mean() / five.mean());
    }

    private static void printProbes(FleetCosts.ProbeCost few, FleetCosts.ProbeCost many) {
        System.out.printf(
                Locale.ROOT,
                "a dead box: 7 brokers %.2f trials a second, all know after %.1f s (%d do not); "
                        + "100 brokers %.2f, %.1f s (%d)%n",
                few.probesPerSecond(),
                few.seconds(),
                few.uninformed(),
                many.probesPerSecond(),
                many.seconds(),
                many.uninformed());
    }
}
