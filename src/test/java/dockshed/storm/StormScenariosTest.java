package dockshed.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rig.BrokerSimulation;
import dockshed.rig.BrokerSimulation.Scenario;
import org.junit.jupiter.api.Test;

/** The hard cases, each on a virtual clock with real brokers and the real module, with the part and without it. */
class StormScenariosTest {
    private static final long S = BrokerSimulation.SECOND_US;
    private static final int FROM = 30;
    private static final int SEEDS = 5;

    private static Scenario script() {
        Scenario s = new Scenario();
        s.duration = 70 * S;
        return s;
    }

    private static BrokerSimulation with(Scenario s) {
        s.terms = Terms.DEFAULTS;
        return kept(BrokerSimulation.run(s, 11));
    }

    private static BrokerSimulation without(Scenario s) {
        return kept(BrokerSimulation.run(s, 11));
    }

    /** The rules, which hold whatever happens. */
    private static BrokerSimulation kept(BrokerSimulation w) {
        assertEquals(0, w.duplicatePaidSetUps, "paid set-ups made twice");
        assertEquals(0, w.paidRefusedAfterRun, "paid requests refused that may have run");
        assertEquals(0, w.renditionsBelowFloor, "under the class's floor");
        assertEquals(0, w.unanswered, "requests without an answer");
        assertEquals(0, w.crashedServers, "boxes pushed over");
        assertTrue(w.served > 100);
        return w;
    }

    private static Scenario coldFleet() {
        Scenario s = script().outage(0, 35 * S, 39 * S);
        for (int i = 0; i < s.servers; i++) {
            s.restart(i, 35 * S);
        }
        return s;
    }

    @Test
    void aStormThatMeetsAColdFleetUsesItsPaceAndDoesNotExceedIt() {
        // One return time for all leaves the cold boxes' pace unused between the waves.
        Scenario on = coldFleet();
        Scenario off = coldFleet();
        on.maxReturnDelay = 10 * S;
        off.maxReturnDelay = 10 * S;
        on.terms = Terms.DEFAULTS;
        double damped = 0;
        double plain = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            BrokerSimulation w = kept(BrokerSimulation.run(on, seed));
            damped += w.worstTenSeconds(FROM);
            plain += kept(BrokerSimulation.run(off, seed)).worstTenSeconds(FROM);
            assertTrue(w.coldPeakRatio <= 1.5, "cold peak " + w.coldPeakRatio);
        }
        assertTrue(damped > 1.08 * plain, damped + " over " + plain);
    }

    @Test
    void aStormIsNoticedAndOverWithinTenSecondsOfTheLastRestart() {
        BrokerSimulation w = with(script().outage(0, 35 * S, 39 * S));
        assertTrue(
                w.stormLog.stream().anyMatch(l -> l.startsWith("36") && l.endsWith("RISING")), w.stormLog.toString());
        assertTrue(w.stormLog.stream().anyMatch(l -> l.endsWith("STORM")), w.stormLog.toString());
        double after = w.secondsUntilCalm(39 * S);
        assertTrue(after >= 0 && after <= 10, "calm after " + after);
        BrokerSimulation calm = with(script());
        assertTrue(calm.stormLog.stream().noneMatch(l -> l.endsWith("STORM")), "a calm run: " + calm.stormLog);
    }

    @Test
    void aStormDuringABriefSurgeIsWithinThreePointsOfItWithoutThePart() {
        Scenario on = script().outage(0, 35 * S, 39 * S);
        on.surgeFactor = 2;
        on.surgeFrom = 35 * S;
        on.surgeTo = 50 * S;
        BrokerSimulation damped = with(on);
        on.terms = null;
        assertTrue(
                damped.worstTenSeconds(FROM) > without(on).worstTenSeconds(FROM) - 0.03,
                "worst " + damped.worstTenSeconds(FROM) + " without "
                        + without(on).worstTenSeconds(FROM));
        assertTrue(damped.dampers().get(1).counts().returnTimesGiven > 0);
    }

    @Test
    void allBrokersRestartedInTurnAnswerEveryRequestOnce() {
        BrokerSimulation w = with(
                script().outage(0, 35 * S, 39 * S).outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S));
        assertTrue(w.stormLog.stream().filter(l -> l.endsWith("STORM")).count() >= 2, w.stormLog.toString());
        assertTrue(
                w.secondsUntilCalm(55 * S) >= 0 && w.secondsUntilCalm(55 * S) <= 10,
                "calm after " + w.secondsUntilCalm(55 * S));
        assertTrue(w.serviceRatio(60, 69) > 0.7, "service after the last restart " + w.serviceRatio(60, 69));
    }

    @Test
    void aBrokerThatStartsIntoAStormKnowingNothingLearnsFromItsPeers() {
        // Its list is from before the restart, so each box may be cold; the others know which are.
        Scenario s =
                script().outage(0, 35 * S, 39 * S).outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S);
        s.nameServerReachable = false;
        Terms u = Terms.DEFAULTS;
        Terms silent = new Terms(
                u.returns(),
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
                0);
        double told = 0;
        double alone = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            s.terms = u;
            told += kept(BrokerSimulation.run(s, seed)).refused;
            s.terms = silent;
            alone += kept(BrokerSimulation.run(s, seed)).refused;
        }
        assertTrue(told < 0.9 * alone, told + " refused, alone " + alone);
    }

    @Test
    void viewersThatHeedNothingGainNothingAndBreakNothing() {
        Scenario s = coldFleet();
        s.ignoringShare = 0.5;
        BrokerSimulation w = with(s);
        assertTrue(w.dampers().stream().mapToLong(d -> d.counts().returnsEarly).sum() > 0);
        s.ignoringShare = 1;
        with(s);
    }

    @Test
    void aPaidSetUpWhoseReplyIsLostIsNeverMadeTwiceNorRefused() {
        Scenario s = script().outage(0, 35 * S, 39 * S);
        s.lostReplyShare = 0.2;
        BrokerSimulation w = with(s);
        assertTrue(w.failed > 0, "what may have run is failed");
    }

    @Test
    void aLoopThatStandsStillForASecondStartsNoStormAndLosesNothing() {
        BrokerSimulation w = with(script().stall(40 * S, S));
        assertTrue(w.stormLog.stream().noneMatch(l -> l.endsWith("STORM")), w.stormLog.toString());
    }

    @Test
    void oneSeedReplaysTheRunToTheLastEvent() {
        Scenario s = coldFleet();
        s.duration = 45 * S;
        s.terms = Terms.DEFAULTS;
        BrokerSimulation a = BrokerSimulation.run(s, 3);
        BrokerSimulation b = BrokerSimulation.run(s, 3);
        assertEquals(a.requests, b.requests);
        assertEquals(a.stormLog, b.stormLog);
        assertEquals(a.serviceRatio(0, 45), b.serviceRatio(0, 45));
    }
}
