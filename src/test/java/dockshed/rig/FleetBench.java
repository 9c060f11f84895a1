package dockshed.rig;

import dockshed.fleet.FleetCosts;
import dockshed.fleet.FleetSettings;
import java.util.List;
import java.util.Locale;

/**
 * Measurement of bench/fleet.sh on the virtual clock: an overload without the fleet's admission control, with it, with an
 * exchange without delay and loss, and with a byzantine broker.
 */
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

    /** Twice the load that fits for 20 s, with half the edge servers slow and a broker killed. */
    static BrokerSimulation.Scenario overload(int brokers) {
        BrokerSimulation.Scenario scenario = new BrokerSimulation.Scenario();
        scenario.brokers = brokers;
        scenario.duration = END_S * SECOND_US;
        scenario.arrivalsPerSecond = 48;
        scenario.surgeFactor = 2.4;
        scenario.minStay = 4 * SECOND_US; // short, so that the demand ends with the surge
        scenario.extraStay = 8 * SECOND_US;
        scenario.surgeFrom = OVERLOAD_FROM_S * SECOND_US;
        scenario.surgeTo = OVERLOAD_TO_S * SECOND_US;
        scenario.slowServers = scenario.servers / 2;
        scenario.slowFrom = OVERLOAD_FROM_S * SECOND_US;
        scenario.slowTo = OVERLOAD_TO_S * SECOND_US;
        return scenario.outage(1, (OVERLOAD_FROM_S + 5) * SECOND_US, (OVERLOAD_FROM_S + 10) * SECOND_US);
    }

    private static BrokerSimulation run(Variant variant, int brokers, long seed) {
        BrokerSimulation.Scenario scenario = overload(brokers);
        if (variant != Variant.OFF) {
            scenario.fleet = variant == Variant.AT_ONCE
                    ? new FleetSettings(100_000, 0, 0.5, true, true, true)
                    : FleetSettings.DEFAULTS;
            scenario.instantExchange = variant == Variant.AT_ONCE;
            scenario.byzantineBroker = variant == Variant.LIAR ? brokers - 1 : -1;
        }
        return BrokerSimulation.run(scenario, seed);
    }

    /**
     * Seconds from the end of the overload until service in two seconds is 0.95 of that before it; -1: not within the
     * run.
     */
    private static double secondsToRecover(BrokerSimulation simulation) {
        double before = simulation.serviceRatio(OVERLOAD_FROM_S - 10, OVERLOAD_FROM_S);
        for (int second = OVERLOAD_TO_S; second + 2 < END_S; second++) {
            if (simulation.serviceRatio(second, second + 2) >= 0.95 * before) {
                return second - OVERLOAD_TO_S;
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
        double[] recoverySeconds = new double[4];
        double[] paidServedShare = new double[4];
        double[] brokerRetries = new double[4];
        double[] people = new double[4];
        double agreeing = 0;
        double decisions = 0;
        double maxShareSum = 0;
        double bytes = 0;
        int unanswered = 0;
        int paidTwice = 0;
        System.out.println(
                "| variant | seed | before | load | after | recovered, s | refused | paid kept | further | shares | alike |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Variant variant : Variant.values()) {
            int index = variant.ordinal();
            for (int seed = 1; seed <= seeds; seed++) {
                BrokerSimulation simulation = run(variant, brokers, seed);
                double recovery = secondsToRecover(simulation);
                during[index] += simulation.serviceRatio(OVERLOAD_FROM_S, OVERLOAD_TO_S) / seeds;
                after[index] += simulation.serviceRatio(OVERLOAD_TO_S, OVERLOAD_TO_S + 15) / seeds;
                recoverySeconds[index] += (recovery < 0 ? END_S - OVERLOAD_TO_S : recovery) / seeds;
                paidServedShare[index] += simulation.paidServed / (double) Math.max(1, simulation.paidRequests) / seeds;
                brokerRetries[index] +=
                        simulation.brokerRetries / (double) Math.max(1, simulation.viewerCount()) / seeds;
                unanswered += simulation.unanswered;
                paidTwice += simulation.duplicatePaidSetUps;
                if (variant == Variant.ON) {
                    agreeing += simulation.agreeingShedDecisions;
                    decisions += simulation.shedDecisions;
                    maxShareSum = Math.max(maxShareSum, simulation.maxShareSum);
                    bytes += simulation.fleetBytes / (double) END_S / brokers / seeds;
                }
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %d | %.3f | %.3f | %.3f | %.0f | %d | %.3f | %.3f | %.3f | %.3f |%n",
                        variant,
                        seed,
                        simulation.serviceRatio(OVERLOAD_FROM_S - 10, OVERLOAD_FROM_S),
                        simulation.serviceRatio(OVERLOAD_FROM_S, OVERLOAD_TO_S),
                        simulation.serviceRatio(OVERLOAD_TO_S, OVERLOAD_TO_S + 15),
                        recovery,
                        simulation.refused,
                        simulation.paidServed / (double) Math.max(1, simulation.paidRequests),
                        simulation.brokerRetries / (double) simulation.viewerCount(),
                        simulation.maxShareSum,
                        simulation.shedDecisions == 0
                                ? 1
                                : simulation.agreeingShedDecisions / simulation.shedDecisions);
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
                recoverySeconds[1],
                recoverySeconds[0],
                brokerRetries[1],
                decisions == 0 ? 1 : agreeing / decisions,
                paidServedShare[1],
                paidServedShare[0],
                maxShareSum,
                during[1] - during[3],
                unanswered,
                paidTwice,
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
