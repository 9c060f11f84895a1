package dockshed.rollout;

import static dockshed.rollout.RolloutSimulation.MILLISECOND_US;
import static dockshed.rollout.RolloutSimulation.SECOND_US;
import static dockshed.rollout.RolloutSimulation.document;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rollout.RolloutSimulation.Broker;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How soon a change is in force at 510 brokers in 7 zones, on the simulated network, and what it costs. */
class RolloutSpreadTest {
    private static final int BROKERS = 510;
    private static final int ZONES = 7;
    private static final List<Integer> VOTERS = List.of(0, 1, 2, 3, 4);
    /** By when a change has to be in force. */
    private static final long MAX_SPREAD_US = 17 * SECOND_US;
    /** Bytes a second that a broker may send and receive for all control. */
    private static final double MAX_BYTES_PER_SECOND = 28_000;

    private static RolloutSimulation fleet(long seed) {
        return new RolloutSimulation(BROKERS, ZONES, VOTERS, seed).startAll();
    }

    private static Configuration smallDocument(long version) {
        return document(version, "names 127.0.0.1:" + version, 300);
    }

    private static void print(String what, RolloutSimulation w, long version, long since) {
        long[] delays = w.delays(version, since);
        System.out.printf(
                "rollout %s: p99_s=%.2f max_s=%.2f%n",
                what, RolloutSimulation.p99(delays) / 1e6, delays[delays.length - 1] / 1e6);
    }

    @Test
    void aChangeIsInForceEverywhereWithAZoneLostAndAFifthOfTheDatagrams() {
        for (int bytes : new int[] {300, Configuration.MAX_BYTES}) {
            RolloutSimulation w = fleet(bytes);
            w.loss = 0.2;
            for (Broker b : w.brokers) {
                if (w.zone(b.number) == 1) { // a voter is among them
                    b.kill();
                }
            }
            long began = w.now;
            Configuration c = document(1, "names 127.0.0.1:1", bytes);
            w.propose(0, c);
            w.runUntilInForce(1, MAX_SPREAD_US);
            print("zone_lost loss=20% bytes=" + bytes, w, 1, began);
            assertInstanceOf(ProposalOutcome.Chosen.class, w.outcome(c.id()));
            w.check();
        }
    }

    @Test
    void regionsThatWereApartHaveTheLatestInForceSoonAfterTheyMeet() {
        RolloutSimulation w = fleet(11);
        w.loss = 0.2;
        w.blocked = (a, b) -> w.zone(a) < 4 != w.zone(b) < 4; // zones 0 to 3 hold four of the voters
        w.propose(0, smallDocument(1));
        w.run(60 * SECOND_US);
        w.propose(3, smallDocument(2));
        w.run(60 * SECOND_US);
        for (Broker b : w.brokers) {
            assertEquals(w.zone(b.number) < 4 ? 2 : 0, b.version(), "broker " + b.number);
        }
        // One way first: the cut-off region hears of the change and cannot ask; it keeps what it has.
        w.blocked = (a, b) -> w.zone(a) >= 4 && w.zone(b) < 4;
        w.run(20 * SECOND_US);
        assertTrue(Arrays.stream(w.brokers).allMatch(b -> w.zone(b.number) < 4 || b.version() == 0));
        w.blocked = (a, b) -> false;
        long met = w.now;
        w.runUntilInForce(2, MAX_SPREAD_US);
        print("regions_joined loss=20%", w, 2, met);
        w.check();
    }

    @Test
    void thirtyTimesTheWantedRateIsCarriedWithinTheBudget() {
        RolloutSimulation w = fleet(12);
        w.loss = 0.01;
        long[] before = Arrays.stream(w.brokers)
                .mapToLong(b -> b.sentBytes + b.receivedBytes)
                .toArray();
        long began = w.now;
        long gap = 24L * 3600 * SECOND_US / (30 * 460);
        int changes = 12;
        for (int version = 1; version <= changes; version++) {
            long at = w.now;
            w.propose(version % VOTERS.size(), smallDocument(version));
            w.run(gap);
            assertTrue(w.delays(version, at)[0] < gap);
        }
        w.runUntilInForce(changes, MAX_SPREAD_US);
        double seconds = (w.now - began) / 1e6;
        double[] rates = Arrays.stream(w.brokers)
                .mapToDouble(b -> (b.sentBytes + b.receivedBytes - before[b.number]) / seconds)
                .sorted()
                .toArray();
        System.out.printf(
                "rollout rate=30: bytes_s=%.0f bytes_s_max=%.0f not_chosen=%d%n",
                Arrays.stream(rates).average().orElse(0),
                rates[rates.length - 1],
                w.endedProposals.stream()
                        .filter(e -> !(e.outcome() instanceof ProposalOutcome.Chosen))
                        .count());
        assertTrue(rates[rates.length - 1] < MAX_BYTES_PER_SECOND);
        assertTrue(w.endedProposals.stream().allMatch(e -> e.outcome() instanceof ProposalOutcome.Chosen));
        w.check();
    }

    @Test
    void aLiarAtFullRateHoldsNobodyUpAndIsAvoided() {
        RolloutSimulation w = new RolloutSimulation(60, 3, VOTERS, 13).startAll();
        w.brokers[59].kill();
        w.liar = 59;
        w.announceLies(10 * MILLISECOND_US);
        w.propose(0, document(1, "names 127.0.0.1:1", Configuration.MAX_BYTES));
        w.run(MAX_SPREAD_US);
        for (Broker b : w.brokers) {
            assertTrue(b.number == w.liar || b.version() == 1, "broker " + b.number);
        }
        w.check();
        assertTrue(w.brokers[7].events.stream()
                .anyMatch(e -> e instanceof RolloutEvent.SourceAvoided a && a.broker() == 59));
    }

    @Test
    void anOlderProgramKeepsWhatItHasAndSaysWhy() {
        RolloutSimulation w = new RolloutSimulation(20, 2, VOTERS, 14).startAll();
        w.brokers[9].oldProgram = true;
        w.brokers[1].oldProgram = true; // a voter
        w.propose(0, document(1, "names 127.0.0.1:1", 100));
        w.runUntilInForce(1, MAX_SPREAD_US);
        w.propose(0, document(2, "new directive", 100));
        w.run(MAX_SPREAD_US);
        for (Broker b : w.brokers) {
            assertEquals(b.oldProgram ? 1 : 2, b.version(), "broker " + b.number);
        }
        assertEquals(2, w.brokers[9].node.status(w.now).refused().version());
        assertTrue(w.brokers[9].events.stream()
                .anyMatch(e -> e instanceof RolloutEvent.Refused r && r.reason().contains("2: new")));
        // A majority of old voters refuses for all; the next number goes on.
        w.brokers[2].oldProgram = true;
        w.brokers[3].oldProgram = true;
        Configuration third = document(3, "new directive too", 100);
        w.propose(0, third);
        w.run(MAX_SPREAD_US);
        assertInstanceOf(ProposalOutcome.Invalid.class, w.outcome(third.id()));
        w.check();
    }

    @Test
    void whoeverLosesAgainstAnotherProposerHearsWhichBeatIt() {
        RolloutSimulation w = new RolloutSimulation(9, 2, VOTERS, 15).startAll();
        Configuration one = document(1, "names 127.0.0.1:1", 100);
        Configuration other = document(1, "names 127.0.0.1:2", 100);
        w.propose(0, one);
        w.run(300 * MILLISECOND_US);
        w.propose(1, other);
        w.run(10 * SECOND_US);
        assertInstanceOf(ProposalOutcome.Chosen.class, w.outcome(one.id()));
        ProposalOutcome.OtherContentChosen beaten =
                assertInstanceOf(ProposalOutcome.OtherContentChosen.class, w.outcome(other.id()));
        assertEquals(one.id(), beaten.chosen());
        w.check();
    }
}
