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
 * The votesReceived of the fleet's node, each with what breaks it: a switch in the simulated network or in a start tampers with what
 * the guarantee rests on, and the check that holds without it has to fail.
 */
class MutantsTest {
    /** What a run has to show. */
    private static boolean sharesHold(Consumer<FleetSimulation> mutant) {
        for (long seed = 1; seed <= 8; seed++) {
            if (LeasedSharesTest.worst(seed, mutant) > 1 + 1e-9) {
                return false;
            }
        }
        return true;
    }

    private static FleetSimulation seven(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = new FleetSimulation(7, FleetSettings.DEFAULTS, 21);
        mutant.accept(w);
        w.startAll();
        w.run(8 * SECOND_US);
        return w;
    }

    /** Who joins late receives what was gossiped before: by anti-entropy, since nobody relays it any more. */
    private static boolean lateOnesHear(Consumer<FleetSimulation> mutant) {
        return late(mutant).nodes[6].node.entries().get(1, VersionedEntry.HEALTH_REPORT, 5) != null;
    }

    private static FleetSimulation late(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = new FleetSimulation(7, FleetSettings.DEFAULTS, 22);
        mutant.accept(w);
        w.onStart = n -> n.node.entries().setTimeToLive(VersionedEntry.HEALTH_REPORT, 600 * SECOND_US);
        for (int i = 0; i < 6; i++) {
            w.nodes[i].start();
        }
        w.run(6 * SECOND_US);
        w.nodes[1].handle(new LocalEvent.HealthReport(5, false));
        w.run(20 * SECOND_US);
        w.nodes[6].start();
        w.run(10 * SECOND_US);
        return w;
    }

    /** One that leaves is gone within a second, without a suspicion. */
    private static boolean leavesAreHeard(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = seven(mutant);
        w.nodes[3].handle(new LocalEvent.Leaving());
        w.nodes[3].kill();
        w.run(SECOND_US);
        return Arrays.stream(w.nodes)
                        .filter(n ->
                                n.number != 3 && !n.snapshot().presentBrokers().contains(3))
                        .count()
                >= 3;
    }

    /** A relayed entry keeps its age. */
    private static boolean agesAreTold(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = late(mutant);
        VersionedEntry r = w.nodes[6].node.entries().get(1, VersionedEntry.HEALTH_REPORT, 5);
        return r != null && w.nodes[6].clock() - r.writtenAt() > 15 * SECOND_US;
    }

    /** On a sound network nobody has to refute a suspicion. */
    private static boolean nobodyIsAccused(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = seven(mutant);
        w.run(20 * SECOND_US);
        return Arrays.stream(w.nodes).allMatch(n -> n.node.membership().refutations == 0);
    }

    /** All brokers have the same shedding threshold in an overload. */
    private static boolean thresholdsAgree(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = seven(mutant);
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 28;
        // Each has room for another number; what is given to it is what lies over the threshold that it sees.
        w.run(30 * SECOND_US, 500 * MILLISECOND_US, () -> {
            for (FleetSimulation.Node n : w.nodes) {
                double over = 1 - n.snapshot().sheddingThreshold() / (double) (1 << SheddingThreshold.HASH_BITS);
                int given = (int) Math.round(28 * Math.max(0, Math.min(1, over)));
                int room = Math.min(given, 6 + 2 * n.number);
                n.handle(new LocalEvent.LoadSample(requests, room, given - room, 0, 500_000));
            }
        });
        List<Integer> thresholds = Arrays.stream(w.nodes)
                .map(n -> n.snapshot().sheddingThreshold())
                .toList();
        return thresholds.stream()
                .allMatch(c -> c > 0 && Math.abs(c - thresholds.get(0)) < 0.04 * (1 << SheddingThreshold.HASH_BITS));
    }

    /** A dead server is probed by a few brokers only, and all know soon. */
    private static boolean fewProbe(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = new FleetSimulation(15, FleetSettings.DEFAULTS, 23);
        mutant.accept(w);
        w.startAll();
        w.run(10 * SECOND_US);
        FleetCosts.ProbeCost cost = FleetCosts.probeCost(w);
        return cost.probesPerSecond() <= 1.5 && cost.seconds() < 6 && cost.uninformed() == 0;
    }

    /** What is leased is used. */
    private static boolean theWholeIsUsed(Consumer<FleetSimulation> mutant) {
        FleetSimulation w = seven(mutant);
        w.run(6 * SECOND_US);
        return w.sum(SharedResource.NEW_SESSIONS) > 0.8;
    }

    private static Consumer<FleetSimulation> tampers(int kind, java.util.function.UnaryOperator<Envelope.Item> change) {
        return w -> w.tamper = FleetSimulation.items(kind, change);
    }

    private static Envelope.Item at(Envelope.Item i, int from, int... bytes) {
        byte[] body = i.body().clone();
        for (int k = 0; k < bytes.length && from + k < body.length; k++) {
            body[from + k] = (byte) bytes[k];
        }
        return new Envelope.Item(i.kind(), body);
    }

    private static Envelope.Item nothing(Envelope.Item i) {
        return new Envelope.Item(250, new byte[0]);
    }

    enum Mutant {
        VOTERS_DO_NOT_TELL_INCARNATIONS_APART(
                MutantsTest::sharesHold, tampers(Envelope.VOTE_REQUEST, i -> at(i, 4, 0, 0, 0, 0, 0, 1))),
        LEASES_ARE_TWICE_WHAT_WAS_RECKONED(
                MutantsTest::sharesHold, tampers(Envelope.LEASE_GRANT, i -> at(i, 6, 0xFF, 0xFF))),
        CLOCKS_RUN_APART_BY_MORE_THAN_THE_DRIFT(MutantsTest::sharesHold, w -> {
            for (FleetSimulation.Node n : w.nodes) {
                n.rate = n.number % 2 == 0 ? 0.3 : 1;
            }
        }),
        INCARNATIONS_ARE_NOT_TOLD_APART(MutantsTest::sharesHold, w -> w.startTimeMs = ms -> 1000L),
        AGES_DO_NOT_TRAVEL(MutantsTest::agesAreTold, tampers(Envelope.ENTRY, i -> at(i, 17, 0, 0))),
        NO_ANTI_ENTROPY(MutantsTest::lateOnesHear, tampers(Envelope.DIGEST, MutantsTest::nothing)),
        NO_MEMBER_UPDATES(MutantsTest::leavesAreHeard, tampers(Envelope.MEMBER, MutantsTest::nothing)),
        SERIALS_STAND_STILL(
                MutantsTest::nobodyIsAccused,
                w -> w.tamper = e -> new Envelope(e.sender(), e.incarnation(), 1, e.items())),
        NO_HEALTH_REPORTS(
                MutantsTest::fewProbe,
                tampers(Envelope.ENTRY, i -> i.body()[2] == VersionedEntry.HEALTH_REPORT ? nothing(i) : i)),
        NO_PROBE_IS_ANSWERED(MutantsTest::nobodyIsAccused, tampers(Envelope.ACK, MutantsTest::nothing)),
        NO_VOTER_ANSWERS(MutantsTest::theWholeIsUsed, tampers(Envelope.VOTE, MutantsTest::nothing)),
        EACH_SHEDS_ALONE(MutantsTest::thresholdsAgree, tampers(Envelope.ENTRY, MutantsTest::nothing));

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
        assertTrue(m.holds.test(w -> {}), "does not hold by itself");
        assertFalse(m.holds.test(m.tampering), "not found");
    }
}
