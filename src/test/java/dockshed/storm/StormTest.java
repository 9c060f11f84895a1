package dockshed.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rig.World;
import dockshed.rig.World.Script;
import org.junit.jupiter.api.Test;

/** The hard cases, each on a virtual clock with real brokers and the real module, with the part and without it. */
class StormTest {
    private static final long S = World.S;
    private static final int FROM = 30;
    private static final int SEEDS = 5;

    private static Script script() {
        Script s = new Script();
        s.length = 70 * S;
        return s;
    }

    private static World with(Script s) {
        s.terms = Terms.USUAL;
        return kept(World.run(s, 11));
    }

    private static World without(Script s) {
        return kept(World.run(s, 11));
    }

    /** The rules, which hold whatever happens. */
    private static World kept(World w) {
        assertEquals(0, w.paidTwice, "paid set-ups made twice");
        assertEquals(0, w.refusedAfterRun, "paid requests refused that may have run");
        assertEquals(0, w.belowFloor, "under the class's floor");
        assertEquals(0, w.lost, "requests without an answer");
        assertEquals(0, w.boxesFallen, "boxes pushed over");
        assertTrue(w.served > 100);
        return w;
    }

    private static Script coldFleet() {
        Script s = script().outage(0, 35 * S, 39 * S);
        for (int i = 0; i < s.boxes; i++) {
            s.restart(i, 35 * S);
        }
        return s;
    }

    @Test
    void aStormThatMeetsAColdFleetUsesItsPaceAndDoesNotExceedIt() {
        // One return time for all leaves the cold boxes' pace unused between the waves.
        Script on = coldFleet();
        Script off = coldFleet();
        on.longest = 10 * S;
        off.longest = 10 * S;
        on.terms = Terms.USUAL;
        double damped = 0;
        double plain = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            World w = kept(World.run(on, seed));
            damped += w.worst(FROM);
            plain += kept(World.run(off, seed)).worst(FROM);
            assertTrue(w.coldPeak <= 1.5, "cold peak " + w.coldPeak);
        }
        assertTrue(damped > 1.08 * plain, damped + " over " + plain);
    }

    @Test
    void aStormIsNoticedAndOverWithinTenSecondsOfTheLastRestart() {
        World w = with(script().outage(0, 35 * S, 39 * S));
        assertTrue(
                w.stormLog.stream().anyMatch(l -> l.startsWith("36") && l.endsWith("RISING")), w.stormLog.toString());
        assertTrue(w.stormLog.stream().anyMatch(l -> l.endsWith("STORM")), w.stormLog.toString());
        double after = w.calmAfter(39 * S);
        assertTrue(after >= 0 && after <= 10, "calm after " + after);
        World calm = with(script());
        assertTrue(calm.stormLog.stream().noneMatch(l -> l.endsWith("STORM")), "a calm run: " + calm.stormLog);
    }

    @Test
    void aStormDuringABriefSurgeIsWithinThreePointsOfItWithoutThePart() {
        Script on = script().outage(0, 35 * S, 39 * S);
        on.surge = 2;
        on.surgeFrom = 35 * S;
        on.surgeTo = 50 * S;
        World damped = with(on);
        on.terms = null;
        assertTrue(
                damped.worst(FROM) > without(on).worst(FROM) - 0.03,
                "worst " + damped.worst(FROM) + " without " + without(on).worst(FROM));
        assertTrue(damped.dampers().get(1).counts().appointed > 0);
    }

    @Test
    void allBrokersRestartedInTurnAnswerEveryRequestOnce() {
        World w = with(
                script().outage(0, 35 * S, 39 * S).outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S));
        assertTrue(w.stormLog.stream().filter(l -> l.endsWith("STORM")).count() >= 2, w.stormLog.toString());
        assertTrue(w.calmAfter(55 * S) >= 0 && w.calmAfter(55 * S) <= 10, "calm after " + w.calmAfter(55 * S));
        assertTrue(w.service(60, 69) > 0.7, "service after the last restart " + w.service(60, 69));
    }

    @Test
    void aBrokerThatStartsIntoAStormKnowingNothingLearnsFromItsPeers() {
        // Its list is from before the restart, so each box may be cold; the others know which are.
        Script s = script().outage(0, 35 * S, 39 * S).outage(1, 43 * S, 47 * S).outage(2, 51 * S, 55 * S);
        s.namesReachable = false;
        Terms u = Terms.USUAL;
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
            told += kept(World.run(s, seed)).refused;
            s.terms = silent;
            alone += kept(World.run(s, seed)).refused;
        }
        assertTrue(told < 0.9 * alone, told + " refused, alone " + alone);
    }

    @Test
    void viewersThatHeedNothingGainNothingAndBreakNothing() {
        Script s = coldFleet();
        s.ignore = 0.5;
        World w = with(s);
        assertTrue(w.dampers().stream().mapToLong(d -> d.counts().early).sum() > 0);
        s.ignore = 1;
        with(s);
    }

    @Test
    void aPaidSetUpWhoseReplyIsLostIsNeverMadeTwiceNorRefused() {
        Script s = script().outage(0, 35 * S, 39 * S);
        s.lostReplies = 0.2;
        World w = with(s);
        assertTrue(w.failed > 0, "what may have run is failed");
    }

    @Test
    void aLoopThatStandsStillForASecondStartsNoStormAndLosesNothing() {
        World w = with(script().stall(40 * S, S));
        assertTrue(w.stormLog.stream().noneMatch(l -> l.endsWith("STORM")), w.stormLog.toString());
    }

    @Test
    void oneSeedReplaysTheRunToTheLastEvent() {
        Script s = coldFleet();
        s.length = 45 * S;
        s.terms = Terms.USUAL;
        World a = World.run(s, 3);
        World b = World.run(s, 3);
        assertEquals(a.tries, b.tries);
        assertEquals(a.stormLog, b.stormLog);
        assertEquals(a.service(0, 45), b.service(0, 45));
    }
}
