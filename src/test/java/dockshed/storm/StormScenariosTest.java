package dockshed.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rig.BrokerSimulation;
import dockshed.rig.BrokerSimulation.Scenario;
import org.junit.jupiter.api.Test;

/**
 * Guards brokers against retry storms that meet other faults: cold servers, a surge, restarts in turn, a name server that
 * can't be reached, viewers that ignore the advised time, lost replies and a stalled loop. Real brokers with the real
 * decision module run on a virtual clock, with the retry storm filter and, where it is compared, without it.
 */
class StormScenariosTest {
    private static final long SECOND_US = BrokerSimulation.SECOND_US;
    private static final int MEASURE_FROM_S = 30;
    private static final int SEEDS = 5;

    private static Scenario baseScenario() {
        Scenario scenario = new Scenario();
        scenario.duration = 70 * SECOND_US;
        return scenario;
    }

    private static BrokerSimulation runWithFilter(Scenario scenario) {
        scenario.terms = Terms.DEFAULTS;
        return assertRulesKept(BrokerSimulation.run(scenario, 11));
    }

    private static BrokerSimulation runWithoutFilter(Scenario scenario) {
        return assertRulesKept(BrokerSimulation.run(scenario, 11));
    }

    /** Checks the rules that every run has to keep. */
    private static BrokerSimulation assertRulesKept(BrokerSimulation simulation) {
        assertEquals(0, simulation.duplicatePaidSetUps, "paid set-ups made twice");
        assertEquals(0, simulation.paidRefusedAfterRun, "paid requests refused that may have run");
        assertEquals(0, simulation.renditionsBelowLowest, "renditions under the lowest of the class");
        assertEquals(0, simulation.unanswered, "requests without an answer");
        assertEquals(0, simulation.crashedServers, "edge servers that crashed under set-ups");
        assertTrue(simulation.served > 100);
        return simulation;
    }

    private static Scenario coldFleetScenario() {
        Scenario scenario = baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US);
        for (int i = 0; i < scenario.servers; i++) {
            scenario.restart(i, 35 * SECOND_US);
        }
        return scenario;
    }

    @Test
    void aStormThatMeetsAColdFleetUsesItsSetUpRateAndDoesNotExceedIt() {
        // With one return time for all viewers, cold servers are idle between the waves of returns.
        Scenario withFilter = coldFleetScenario();
        Scenario withoutFilter = coldFleetScenario();
        withFilter.maxReturnDelay = 10 * SECOND_US;
        withoutFilter.maxReturnDelay = 10 * SECOND_US;
        withFilter.terms = Terms.DEFAULTS;
        double worstWithFilter = 0;
        double worstWithoutFilter = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            BrokerSimulation simulation = assertRulesKept(BrokerSimulation.run(withFilter, seed));
            worstWithFilter += simulation.worstTenSeconds(MEASURE_FROM_S);
            worstWithoutFilter +=
                    assertRulesKept(BrokerSimulation.run(withoutFilter, seed)).worstTenSeconds(MEASURE_FROM_S);
            assertTrue(simulation.coldPeakRatio <= 1.5, "cold peak " + simulation.coldPeakRatio);
        }
        assertTrue(worstWithFilter > 1.08 * worstWithoutFilter, worstWithFilter + " over " + worstWithoutFilter);
    }

    @Test
    void aStormIsDetectedAndOverWithinTenSecondsOfTheLastRestart() {
        BrokerSimulation simulation = runWithFilter(baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US));
        assertTrue(
                simulation.stormLog.stream().anyMatch(line -> line.startsWith("36") && line.endsWith("RISING")),
                simulation.stormLog.toString());
        assertTrue(
                simulation.stormLog.stream().anyMatch(line -> line.endsWith("STORM")), simulation.stormLog.toString());
        double secondsUntilCalm = simulation.secondsUntilCalm(39 * SECOND_US);
        assertTrue(secondsUntilCalm >= 0 && secondsUntilCalm <= 10, "calm after " + secondsUntilCalm);
        BrokerSimulation calm = runWithFilter(baseScenario());
        assertTrue(calm.stormLog.stream().noneMatch(line -> line.endsWith("STORM")), "a calm run: " + calm.stormLog);
    }

    @Test
    void serviceInAStormDuringABriefSurgeIsWithinThreePointsOfThatWithoutTheFilter() {
        Scenario scenario = baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US);
        scenario.surgeFactor = 2;
        scenario.surgeFrom = 35 * SECOND_US;
        scenario.surgeTo = 50 * SECOND_US;
        BrokerSimulation withFilter = runWithFilter(scenario);
        scenario.terms = null;
        assertTrue(
                withFilter.worstTenSeconds(MEASURE_FROM_S)
                        > runWithoutFilter(scenario).worstTenSeconds(MEASURE_FROM_S) - 0.03,
                "worst " + withFilter.worstTenSeconds(MEASURE_FROM_S) + " without "
                        + runWithoutFilter(scenario).worstTenSeconds(MEASURE_FROM_S));
        assertTrue(withFilter.stormFilters().get(1).counts().returnTimesGiven > 0);
    }

    @Test
    void allBrokersRestartedInTurnAnswerEveryRequestOnce() {
        BrokerSimulation simulation = runWithFilter(baseScenario()
                .outage(0, 35 * SECOND_US, 39 * SECOND_US)
                .outage(1, 43 * SECOND_US, 47 * SECOND_US)
                .outage(2, 51 * SECOND_US, 55 * SECOND_US));
        assertTrue(
                simulation.stormLog.stream()
                                .filter(line -> line.endsWith("STORM"))
                                .count()
                        >= 2,
                simulation.stormLog.toString());
        assertTrue(
                simulation.secondsUntilCalm(55 * SECOND_US) >= 0 && simulation.secondsUntilCalm(55 * SECOND_US) <= 10,
                "calm after " + simulation.secondsUntilCalm(55 * SECOND_US));
        assertTrue(
                simulation.serviceRatio(60, 69) > 0.7,
                "service after the last restart " + simulation.serviceRatio(60, 69));
    }

    @Test
    void aBrokerRestartedInAStormWithAStaleListLearnsFromItsPeers() {
        // Its list is from before the restart, so any edge server may be cold; the other brokers know which ones are.
        Scenario scenario = baseScenario()
                .outage(0, 35 * SECOND_US, 39 * SECOND_US)
                .outage(1, 43 * SECOND_US, 47 * SECOND_US)
                .outage(2, 51 * SECOND_US, 55 * SECOND_US);
        scenario.nameServerReachable = false;
        Terms defaults = Terms.DEFAULTS;
        Terms withoutMessages = new Terms(
                defaults.returns(),
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
                0);
        double refusedWithMessages = 0;
        double refusedWithoutMessages = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            scenario.terms = defaults;
            refusedWithMessages += assertRulesKept(BrokerSimulation.run(scenario, seed)).refused;
            scenario.terms = withoutMessages;
            refusedWithoutMessages += assertRulesKept(BrokerSimulation.run(scenario, seed)).refused;
        }
        assertTrue(
                refusedWithMessages < 0.9 * refusedWithoutMessages,
                refusedWithMessages + " refused with messages, without " + refusedWithoutMessages);
    }

    @Test
    void viewersThatIgnoreTheAdvisedTimeBreakNoRule() {
        Scenario scenario = coldFleetScenario();
        scenario.ignoringShare = 0.5;
        BrokerSimulation simulation = runWithFilter(scenario);
        assertTrue(simulation.stormFilters().stream()
                        .mapToLong(filter -> filter.counts().returnsEarly)
                        .sum()
                > 0);
        scenario.ignoringShare = 1;
        runWithFilter(scenario);
    }

    @Test
    void aPaidSetUpWhoseReplyIsLostIsNeitherRepeatedNorRefused() {
        Scenario scenario = baseScenario().outage(0, 35 * SECOND_US, 39 * SECOND_US);
        scenario.lostReplyShare = 0.2;
        BrokerSimulation simulation = runWithFilter(scenario);
        assertTrue(simulation.failed > 0, "requests that may have run are failed");
    }

    @Test
    void aLoopThatStandsStillForASecondStartsNoStormAndLosesNoRequest() {
        BrokerSimulation simulation = runWithFilter(baseScenario().stall(40 * SECOND_US, SECOND_US));
        assertTrue(
                simulation.stormLog.stream().noneMatch(line -> line.endsWith("STORM")), simulation.stormLog.toString());
    }

    @Test
    void theSameSeedReplaysTheSameRun() {
        Scenario scenario = coldFleetScenario();
        scenario.duration = 45 * SECOND_US;
        scenario.terms = Terms.DEFAULTS;
        BrokerSimulation first = BrokerSimulation.run(scenario, 3);
        BrokerSimulation second = BrokerSimulation.run(scenario, 3);
        assertEquals(first.requests, second.requests);
        assertEquals(first.stormLog, second.stormLog);
        assertEquals(first.serviceRatio(0, 45), second.serviceRatio(0, 45));
    }
}
