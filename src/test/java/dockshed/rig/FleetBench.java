package dockshed.rig;

import dockshed.fleet.FleetCosts;
import dockshed.fleet.FleetSettings;
import java.util.List;
import java.util.Locale;

/** The measurement behind bench/fleet.sh, on the virtual clock: overload with the part off, on, and told all at once. */
public final class FleetBench {
    private static final long SECOND_US = BrokerSimulation.SECOND_US;
    private static final int OVERLOAD_FROM_S = 40;
    private static final int OVERLOAD_TO_S = 60;
    private static final int END_S = 90;

    private FleetBench() {}

    private enum Variant {
        OFF,
        ON,
        AT_ONCE,
        LIAR
    }

    /** Twice the room for 20 s, half the boxes slow, a broker killed. */
    static BrokerSimulation.Scenario overload(int brokers) {
        BrokerSimulation.Scenario s = new BrokerSimulation.Scenario();
        s.brokers = brokers;
        s.duration = END_S * SECOND_US;
        s.arrivalsPerSecond = 48;
        s.surgeFactor = 2.4;
        s.minStay = 4 * SECOND_US; // so that the load's end is the end of what is asked for, too
        s.extraStay = 8 * SECOND_US;
        s.surgeFrom = OVERLOAD_FROM_S * SECOND_US;
        s.surgeTo = OVERLOAD_TO_S * SECOND_US;
        s.slowServers = s.servers / 2;
        s.slowFrom = OVERLOAD_FROM_S * SECOND_US;
        s.slowTo = OVERLOAD_TO_S * SECOND_US;
        return s.outage(1, (OVERLOAD_FROM_S + 5) * SECOND_US, (OVERLOAD_FROM_S + 10) * SECOND_US);
    }

    private static BrokerSimulation play(Variant v, int brokers, long seed) {
        BrokerSimulation.Scenario s = overload(brokers);
        if (v != Variant.OFF) {
            s.fleet = v == Variant.AT_ONCE
                    ? new FleetSettings(100_000, 0, 0.5, true, true, true)
                    : FleetSettings.DEFAULTS;
            s.instantExchange = v == Variant.AT_ONCE;
            s.byzantineBroker = v == Variant.LIAR ? brokers - 1 : -1;
        }
        return BrokerSimulation.run(s, seed);
    }

    /** Seconds after the load's end until a second's service is 0.95 of that before the load; -1: not within the run. */
    private static double recovered(BrokerSimulation w) {
        double usual = w.serviceRatio(OVERLOAD_FROM_S - 10, OVERLOAD_FROM_S);
        for (int i = OVERLOAD_TO_S; i + 2 < END_S; i++) {
            if (w.serviceRatio(i, i + 2) >= 0.95 * usual) {
                return i - OVERLOAD_TO_S;
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
                BrokerSimulation w = play(v, brokers, seed);
                double r = recovered(w);
                during[i] += w.serviceRatio(OVERLOAD_FROM_S, OVERLOAD_TO_S) / seeds;
                after[i] += w.serviceRatio(OVERLOAD_TO_S, OVERLOAD_TO_S + 15) / seeds;
                recover[i] += (r < 0 ? END_S - OVERLOAD_TO_S : r) / seeds;
                paid[i] += w.paidServed / (double) Math.max(1, w.paidRequests) / seeds;
                further[i] += w.brokerRetries / (double) Math.max(1, w.viewerCount()) / seeds;
                lost += w.unanswered;
                twice += w.duplicatePaidSetUps;
                if (v == Variant.ON) {
                    alike += w.agreeingShedDecisions;
                    judged += w.shedDecisions;
                    shares = Math.max(shares, w.maxShareSum);
                    bytes += w.fleetBytes / (double) END_S / brokers / seeds;
                }
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %d | %.3f | %.3f | %.3f | %.0f | %d | %.3f | %.3f | %.3f | %.3f |%n",
                        v,
                        seed,
                        w.serviceRatio(OVERLOAD_FROM_S - 10, OVERLOAD_FROM_S),
                        w.serviceRatio(OVERLOAD_FROM_S, OVERLOAD_TO_S),
                        w.serviceRatio(OVERLOAD_TO_S, OVERLOAD_TO_S + 15),
                        r,
                        w.refused,
                        w.paidServed / (double) Math.max(1, w.paidRequests),
                        w.brokerRetries / (double) w.viewerCount(),
                        w.maxShareSum,
                        w.shedDecisions == 0 ? 1 : w.agreeingShedDecisions / w.shedDecisions);
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
