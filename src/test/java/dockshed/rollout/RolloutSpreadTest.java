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

/**
 * Guards against a change that takes too long or costs too many bytes: 510 brokers in 7 zones on the simulated network.
 */
class RolloutSpreadTest {
    private static final int BROKERS = 510;
    private static final int ZONES = 7;
    private static final List<Integer> VOTERS = List.of(0, 1, 2, 3, 4);
    /** Time within which a change must be in force, in microseconds. */
    private static final long MAX_SPREAD_US = 17 * SECOND_US;
    /** Bytes per second that a broker may send and receive for all control traffic. */
    private static final double MAX_BYTES_PER_SECOND = 28_000;

    private static RolloutSimulation fleet(long seed) {
        return new RolloutSimulation(BROKERS, ZONES, VOTERS, seed).startAll();
    }

    private static Configuration smallDocument(long version) {
        return document(version, "names 127.0.0.1:" + version, 300);
    }

    private static void print(String what, RolloutSimulation simulation, long version, long since) {
        long[] delays = simulation.delays(version, since);
        System.out.printf(
                "rollout %s: p99_s=%.2f max_s=%.2f%n",
                what, RolloutSimulation.p99(delays) / 1e6, delays[delays.length - 1] / 1e6);
    }

    @Test
    void aChangeIsInForceEverywhereWithAZoneLostAndAFifthOfTheDatagrams() {
        for (int bytes : new int[] {300, Configuration.MAX_BYTES}) {
            RolloutSimulation simulation = fleet(bytes);
            simulation.loss = 0.2;
            for (Broker broker : simulation.brokers) {
                if (simulation.zone(broker.number) == 1) { // a voter is among them
                    broker.kill();
                }
            }
            long began = simulation.now;
            Configuration configuration = document(1, "names 127.0.0.1:1", bytes);
            simulation.propose(0, configuration);
            simulation.runUntilInForce(1, MAX_SPREAD_US);
            print("zone_lost loss=20% bytes=" + bytes, simulation, 1, began);
            assertInstanceOf(ProposalOutcome.Chosen.class, simulation.outcome(configuration.id()));
            simulation.check();
        }
    }

    @Test
    void regionsThatWerePartitionedHaveTheLatestInForceSoonAfterwards() {
        RolloutSimulation simulation = fleet(11);
        simulation.loss = 0.2;
        simulation.blocked = (from, to) ->
                simulation.zone(from) < 4 != simulation.zone(to) < 4; // zones 0 to 3 hold four of the voters
        simulation.propose(0, smallDocument(1));
        simulation.run(60 * SECOND_US);
        simulation.propose(3, smallDocument(2));
        simulation.run(60 * SECOND_US);
        for (Broker broker : simulation.brokers) {
            assertEquals(simulation.zone(broker.number) < 4 ? 2 : 0, broker.version(), "broker " + broker.number);
        }
        // First in one direction: the cut-off region is notified of the change but cannot ask; it keeps its
        // configuration.
        simulation.blocked = (from, to) -> simulation.zone(from) >= 4 && simulation.zone(to) < 4;
        simulation.run(20 * SECOND_US);
        assertTrue(Arrays.stream(simulation.brokers)
                .allMatch(broker -> simulation.zone(broker.number) < 4 || broker.version() == 0));
        simulation.blocked = (from, to) -> false;
        long met = simulation.now;
        simulation.runUntilInForce(2, MAX_SPREAD_US);
        print("regions_joined loss=20%", simulation, 2, met);
        simulation.check();
    }

    @Test
    void thirtyTimesTheWantedRateIsCarriedWithinTheBudget() {
        RolloutSimulation simulation = fleet(12);
        simulation.loss = 0.01;
        long[] before = Arrays.stream(simulation.brokers)
                .mapToLong(broker -> broker.sentBytes + broker.receivedBytes)
                .toArray();
        long began = simulation.now;
        long gap = 24L * 3600 * SECOND_US / (30 * 460);
        int changes = 12;
        for (int version = 1; version <= changes; version++) {
            long at = simulation.now;
            simulation.propose(version % VOTERS.size(), smallDocument(version));
            simulation.run(gap);
            assertTrue(simulation.delays(version, at)[0] < gap);
        }
        simulation.runUntilInForce(changes, MAX_SPREAD_US);
        double seconds = (simulation.now - began) / 1e6;
        double[] rates = Arrays.stream(simulation.brokers)
                .mapToDouble(broker -> (broker.sentBytes + broker.receivedBytes - before[broker.number]) / seconds)
                .sorted()
                .toArray();
        System.out.printf(
                "rollout rate=30: bytes_s=%.0f bytes_s_max=%.0f not_chosen=%d%n",
                Arrays.stream(rates).average().orElse(0),
                rates[rates.length - 1],
                simulation.endedProposals.stream()
                        .filter(proposal -> !(proposal.outcome() instanceof ProposalOutcome.Chosen))
                        .count());
        assertTrue(rates[rates.length - 1] < MAX_BYTES_PER_SECOND);
        assertTrue(simulation.endedProposals.stream()
                .allMatch(proposal -> proposal.outcome() instanceof ProposalOutcome.Chosen));
        simulation.check();
    }

    @Test
    void aByzantinePeerAtFullRateDelaysNobodyAndIsAvoided() {
        RolloutSimulation simulation = new RolloutSimulation(60, 3, VOTERS, 13).startAll();
        simulation.brokers[59].kill();
        simulation.byzantineBroker = 59;
        simulation.startForgedAnnouncements(10 * MILLISECOND_US);
        simulation.propose(0, document(1, "names 127.0.0.1:1", Configuration.MAX_BYTES));
        simulation.run(MAX_SPREAD_US);
        for (Broker broker : simulation.brokers) {
            assertTrue(broker.number == simulation.byzantineBroker || broker.version() == 1, "broker " + broker.number);
        }
        simulation.check();
        assertTrue(simulation.brokers[7].events.stream()
                .anyMatch(event -> event instanceof RolloutEvent.SourceAvoided avoided && avoided.broker() == 59));
    }

    @Test
    void anOlderProgramKeepsItsConfigurationAndReportsWhy() {
        RolloutSimulation simulation = new RolloutSimulation(20, 2, VOTERS, 14).startAll();
        simulation.brokers[9].oldProgram = true;
        simulation.brokers[1].oldProgram = true; // a voter
        simulation.propose(0, document(1, "names 127.0.0.1:1", 100));
        simulation.runUntilInForce(1, MAX_SPREAD_US);
        simulation.propose(0, document(2, "new directive", 100));
        simulation.run(MAX_SPREAD_US);
        for (Broker broker : simulation.brokers) {
            assertEquals(broker.oldProgram ? 1 : 2, broker.version(), "broker " + broker.number);
        }
        assertEquals(
                2, simulation.brokers[9].node.status(simulation.now).refused().version());
        assertTrue(simulation.brokers[9].events.stream()
                .anyMatch(event -> event instanceof RolloutEvent.Refused refused
                        && refused.reason().contains("2: new")));
        // A majority of voters with the older program refuses for all; the next version remains free.
        simulation.brokers[2].oldProgram = true;
        simulation.brokers[3].oldProgram = true;
        Configuration third = document(3, "new directive too", 100);
        simulation.propose(0, third);
        simulation.run(MAX_SPREAD_US);
        assertInstanceOf(ProposalOutcome.Invalid.class, simulation.outcome(third.id()));
        simulation.check();
    }

    @Test
    void aProposerThatLosesLearnsWhichContentWasChosen() {
        RolloutSimulation simulation = new RolloutSimulation(9, 2, VOTERS, 15).startAll();
        Configuration one = document(1, "names 127.0.0.1:1", 100);
        Configuration other = document(1, "names 127.0.0.1:2", 100);
        simulation.propose(0, one);
        simulation.run(300 * MILLISECOND_US);
        simulation.propose(1, other);
        simulation.run(10 * SECOND_US);
        assertInstanceOf(ProposalOutcome.Chosen.class, simulation.outcome(one.id()));
        ProposalOutcome.OtherContentChosen beaten =
                assertInstanceOf(ProposalOutcome.OtherContentChosen.class, simulation.outcome(other.id()));
        assertEquals(one.id(), beaten.chosen());
        simulation.check();
    }
}
