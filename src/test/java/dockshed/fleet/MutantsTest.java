package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Mutants of the fleet's node, each with the check that must detect it: a switch in the simulation tampers with
 * something that a guarantee relies on, and the check that holds without the switch has to fail. This guards against
 * checks that pass whatever the node does.
 */
class MutantsTest {
    /** The shares held never exceed the whole, for several seeds. */
    private static boolean sharesNeverExceedTheWhole(Consumer<FleetSimulation> mutant) {
        for (long seed = 1; seed <= 8; seed++) {
            if (LeasedSharesTest.highestSum(seed, mutant) > 1 + 1e-9) {
                return false;
            }
        }
        return true;
    }

    private static FleetSimulation sevenBrokers(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = new FleetSimulation(7, FleetSettings.DEFAULTS, 21);
        mutant.accept(simulation);
        simulation.startAll();
        simulation.run(8 * SECOND_US);
        return simulation;
    }

    /** A broker that joins late receives earlier entries, by anti-entropy, since nobody relays them any more. */
    private static boolean lateJoinersCatchUp(Consumer<FleetSimulation> mutant) {
        return withLateJoiner(mutant).nodes[6].node.entries().get(1, VersionedEntry.HEALTH_REPORT, 5) != null;
    }

    private static FleetSimulation withLateJoiner(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = new FleetSimulation(7, FleetSettings.DEFAULTS, 22);
        mutant.accept(simulation);
        simulation.onStart = node -> node.node.entries().setTimeToLive(VersionedEntry.HEALTH_REPORT, 600 * SECOND_US);
        for (int i = 0; i < 6; i++) {
            simulation.nodes[i].start();
        }
        simulation.run(6 * SECOND_US);
        simulation.nodes[1].handle(new LocalEvent.HealthReport(5, false));
        simulation.run(20 * SECOND_US);
        simulation.nodes[6].start();
        simulation.run(10 * SECOND_US);
        return simulation;
    }

    /** A broker that leaves is gone within a second, without a suspicion. */
    private static boolean leavesArePropagated(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = sevenBrokers(mutant);
        simulation.nodes[3].handle(new LocalEvent.Leaving());
        simulation.nodes[3].kill();
        simulation.run(SECOND_US);
        return Arrays.stream(simulation.nodes)
                        .filter(node -> node.number != 3
                                && !node.snapshot().presentBrokers().contains(3))
                        .count()
                >= 3;
    }

    /** A relayed entry keeps its age. */
    private static boolean agesArePropagated(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = withLateJoiner(mutant);
        VersionedEntry report = simulation.nodes[6].node.entries().get(1, VersionedEntry.HEALTH_REPORT, 5);
        return report != null && simulation.nodes[6].clock() - report.writtenAt() > 15 * SECOND_US;
    }

    /** On a network without faults nobody has to refute a suspicion. */
    private static boolean nobodyIsSuspected(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = sevenBrokers(mutant);
        simulation.run(20 * SECOND_US);
        return Arrays.stream(simulation.nodes).allMatch(node -> node.node.membership().refutations == 0);
    }

    /** All brokers have the same shedding threshold in an overload. */
    private static boolean thresholdsAgree(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = sevenBrokers(mutant);
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 28;
        // Each broker has a different capacity; it is given the requests above the threshold that it sees.
        simulation.run(30 * SECOND_US, 500 * MILLISECOND_US, () -> {
            for (FleetSimulation.Node node : simulation.nodes) {
                double over = 1 - node.snapshot().sheddingThreshold() / (double) (1 << SheddingThreshold.HASH_BITS);
                int given = (int) Math.round(28 * Math.max(0, Math.min(1, over)));
                int capacity = Math.min(given, 6 + 2 * node.number);
                node.handle(new LocalEvent.LoadSample(requests, capacity, given - capacity, 0, 500_000));
            }
        });
        List<Integer> thresholds = Arrays.stream(simulation.nodes)
                .map(node -> node.snapshot().sheddingThreshold())
                .toList();
        return thresholds.stream()
                .allMatch(threshold -> threshold > 0
                        && Math.abs(threshold - thresholds.get(0)) < 0.04 * (1 << SheddingThreshold.HASH_BITS));
    }

    /** A dead server is probed by only a few brokers, and all brokers know soon. */
    private static boolean fewProbe(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = new FleetSimulation(15, FleetSettings.DEFAULTS, 23);
        mutant.accept(simulation);
        simulation.startAll();
        simulation.run(10 * SECOND_US);
        FleetCosts.ProbeCost cost = FleetCosts.probeCost(simulation);
        return cost.probesPerSecond() <= 1.5 && cost.seconds() < 6 && cost.uninformed() == 0;
    }

    /** Nearly the whole is held in shares. */
    private static boolean theWholeIsLeased(Consumer<FleetSimulation> mutant) {
        FleetSimulation simulation = sevenBrokers(mutant);
        simulation.run(6 * SECOND_US);
        return simulation.sum(SharedResource.NEW_SESSIONS) > 0.8;
    }

    private static Consumer<FleetSimulation> tampers(int kind, java.util.function.UnaryOperator<Envelope.Item> change) {
        return simulation -> simulation.tamper = FleetSimulation.items(kind, change);
    }

    private static Envelope.Item withBytes(Envelope.Item item, int from, int... bytes) {
        byte[] body = item.body().clone();
        for (int k = 0; k < bytes.length && from + k < body.length; k++) {
            body[from + k] = (byte) bytes[k];
        }
        return new Envelope.Item(item.kind(), body);
    }

    private static Envelope.Item unknownItem(Envelope.Item item) {
        return new Envelope.Item(250, new byte[0]);
    }

    enum Mutant {
        VOTERS_DO_NOT_DISTINGUISH_INCARNATIONS(
                MutantsTest::sharesNeverExceedTheWhole,
                tampers(Envelope.VOTE_REQUEST, i -> withBytes(i, 4, 0, 0, 0, 0, 0, 1))),
        LEASES_ARE_LARGER_THAN_GRANTED(
                MutantsTest::sharesNeverExceedTheWhole,
                tampers(Envelope.LEASE_GRANT, i -> withBytes(i, 6, 0xFF, 0xFF))),
        CLOCKS_RUN_APART_BY_MORE_THAN_THE_DRIFT(MutantsTest::sharesNeverExceedTheWhole, simulation -> {
            for (FleetSimulation.Node n : simulation.nodes) {
                n.rate = n.number % 2 == 0 ? 0.3 : 1;
            }
        }),
        INCARNATIONS_ARE_ALL_THE_SAME(
                MutantsTest::sharesNeverExceedTheWhole, simulation -> simulation.startTimeMs = ms -> 1000L),
        AGES_ARE_NOT_TRANSMITTED(MutantsTest::agesArePropagated, tampers(Envelope.ENTRY, i -> withBytes(i, 17, 0, 0))),
        NO_ANTI_ENTROPY(MutantsTest::lateJoinersCatchUp, tampers(Envelope.DIGEST, MutantsTest::unknownItem)),
        NO_MEMBER_UPDATES(MutantsTest::leavesArePropagated, tampers(Envelope.MEMBER, MutantsTest::unknownItem)),
        SERIALS_DO_NOT_INCREASE(
                MutantsTest::nobodyIsSuspected,
                simulation -> simulation.tamper = e -> new Envelope(e.sender(), e.incarnation(), 1, e.items())),
        NO_HEALTH_REPORTS(
                MutantsTest::fewProbe,
                tampers(Envelope.ENTRY, i -> i.body()[2] == VersionedEntry.HEALTH_REPORT ? unknownItem(i) : i)),
        NO_PROBE_IS_ANSWERED(MutantsTest::nobodyIsSuspected, tampers(Envelope.ACK, MutantsTest::unknownItem)),
        NO_VOTER_ANSWERS(MutantsTest::theWholeIsLeased, tampers(Envelope.VOTE, MutantsTest::unknownItem)),
        EACH_SHEDS_ALONE(MutantsTest::thresholdsAgree, tampers(Envelope.ENTRY, MutantsTest::unknownItem));

        private final Predicate<Consumer<FleetSimulation>> holds;
        private final Consumer<FleetSimulation> tampering;

        Mutant(Predicate<Consumer<FleetSimulation>> holds, Consumer<FleetSimulation> tampering) {
            this.holds = holds;
            this.tampering = tampering;
        }
    }

    @ParameterizedTest
    @EnumSource(Mutant.class)
    void eachMutantIsFoundByWhatHoldsWithoutIt(Mutant m) {
        assertTrue(m.holds.test(simulation -> {}), "does not hold by itself");
        assertFalse(m.holds.test(m.tampering), "not found");
    }
}
