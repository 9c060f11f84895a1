package dockshed.fleet;

import static dockshed.fleet.FleetWorld.MS;
import static dockshed.fleet.FleetWorld.S;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The promises of the fleet's heart, each with what breaks it: a switch in the simulated network or in a start spoils what
 * the promise rests on, and the check that holds without it has to fail.
 */
class MutantsTest {
    /** What a run has to show. */
    private static boolean sharesHold(Consumer<FleetWorld> mutant) {
        for (long seed = 1; seed <= 8; seed++) {
            if (SharesTest.worst(seed, mutant) > 1 + 1e-9) {
                return false;
            }
        }
        return true;
    }

    private static FleetWorld seven(Consumer<FleetWorld> mutant) {
        FleetWorld w = new FleetWorld(7, FleetTerms.USUAL, 21);
        mutant.accept(w);
        w.startAll();
        w.run(8 * S);
        return w;
    }

    /** Who comes late hears of what was told before: by repair, since nobody tells it on any more. */
    private static boolean lateOnesHear(Consumer<FleetWorld> mutant) {
        return late(mutant).nodes[6].heart.rows().get(1, Row.BOX, 5) != null;
    }

    private static FleetWorld late(Consumer<FleetWorld> mutant) {
        FleetWorld w = new FleetWorld(7, FleetTerms.USUAL, 22);
        mutant.accept(w);
        w.started = n -> n.heart.rows().keep(Row.BOX, 600 * S);
        for (int i = 0; i < 6; i++) {
            w.nodes[i].start();
        }
        w.run(6 * S);
        w.nodes[1].news(new News.Found(5, false));
        w.run(20 * S);
        w.nodes[6].start();
        w.run(10 * S);
        return w;
    }

    /** One that leaves is gone within a second, without a suspicion. */
    private static boolean leavesAreHeard(Consumer<FleetWorld> mutant) {
        FleetWorld w = seven(mutant);
        w.nodes[3].news(new News.Leaving());
        w.nodes[3].kill();
        w.run(S);
        return Arrays.stream(w.nodes)
                        .filter(n -> n.number != 3 && !n.view().living().contains(3))
                        .count()
                >= 3;
    }

    /** A row that was relayed is as old as it is. */
    private static boolean agesAreTold(Consumer<FleetWorld> mutant) {
        FleetWorld w = late(mutant);
        Row r = w.nodes[6].heart.rows().get(1, Row.BOX, 5);
        return r != null && w.nodes[6].clock() - r.born() > 15 * S;
    }

    /** On a sound network nobody has to contradict a word on itself. */
    private static boolean nobodyIsAccused(Consumer<FleetWorld> mutant) {
        FleetWorld w = seven(mutant);
        w.run(20 * S);
        return Arrays.stream(w.nodes).allMatch(n -> n.heart.who().refutations == 0);
    }

    /** All brokers have the same cut in an overload. */
    private static boolean cutsAgree(Consumer<FleetWorld> mutant) {
        FleetWorld w = seven(mutant);
        int[] tries = new int[Cut.STEPS];
        tries[0] = 28;
        // Each has room for another number; what is given to it is what lies over the cut that it sees.
        w.run(30 * S, 500 * MS, () -> {
            for (FleetWorld.Node n : w.nodes) {
                double over = 1 - n.view().cut() / (double) (1 << Cut.HASH_BITS);
                int given = (int) Math.round(28 * Math.max(0, Math.min(1, over)));
                int room = Math.min(given, 6 + 2 * n.number);
                n.news(new News.Figures(tries, room, given - room, 0, 500_000));
            }
        });
        List<Integer> cuts = Arrays.stream(w.nodes).map(n -> n.view().cut()).toList();
        return cuts.stream().allMatch(c -> c > 0 && Math.abs(c - cuts.get(0)) < 0.04 * (1 << Cut.HASH_BITS));
    }

    /** A dead box is tried by a few brokers only, and all know soon. */
    private static boolean fewFindOut(Consumer<FleetWorld> mutant) {
        FleetWorld w = new FleetWorld(15, FleetTerms.USUAL, 23);
        mutant.accept(w);
        w.startAll();
        w.run(10 * S);
        double[] found = FleetCosts.probes(w);
        return found[0] <= 1.5 && found[1] < 6 && found[2] == 0;
    }

    /** What is leased is used. */
    private static boolean theWholeIsUsed(Consumer<FleetWorld> mutant) {
        FleetWorld w = seven(mutant);
        w.run(6 * S);
        return w.sum(Shares.NEWCOMERS) > 0.8;
    }

    private static Consumer<FleetWorld> spoils(int kind, java.util.function.UnaryOperator<Envelope.Item> change) {
        return w -> w.spoil = FleetWorld.items(kind, change);
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
        WITNESSES_DO_NOT_TELL_LIVES_APART(
                MutantsTest::sharesHold, spoils(Envelope.LOCK, i -> at(i, 4, 0, 0, 0, 0, 0, 1))),
        LEASES_ARE_TWICE_WHAT_WAS_RECKONED(MutantsTest::sharesHold, spoils(Envelope.GRANT, i -> at(i, 6, 0xFF, 0xFF))),
        CLOCKS_RUN_APART_BY_MORE_THAN_THE_DRIFT(MutantsTest::sharesHold, w -> {
            for (FleetWorld.Node n : w.nodes) {
                n.rate = n.number % 2 == 0 ? 0.3 : 1;
            }
        }),
        LIVES_ARE_NOT_TOLD_APART(MutantsTest::sharesHold, w -> w.startMillis = ms -> 1000L),
        AGES_DO_NOT_TRAVEL(MutantsTest::agesAreTold, spoils(Envelope.ROW, i -> at(i, 17, 0, 0))),
        NOTHING_IS_REPAIRED(MutantsTest::lateOnesHear, spoils(Envelope.DIGEST, MutantsTest::nothing)),
        NO_WORD_ON_MEMBERS(MutantsTest::leavesAreHeard, spoils(Envelope.MEMBER, MutantsTest::nothing)),
        SERIALS_STAND_STILL(
                MutantsTest::nobodyIsAccused,
                w -> w.spoil = e -> new Envelope(e.sender(), e.incarnation(), 1, e.items())),
        NO_WORDS_ON_BOXES(MutantsTest::fewFindOut, spoils(Envelope.ROW, i -> i.body()[2] == Row.BOX ? nothing(i) : i)),
        NO_PROBE_IS_ANSWERED(MutantsTest::nobodyIsAccused, spoils(Envelope.ACK, MutantsTest::nothing)),
        NO_WITNESS_ANSWERS(MutantsTest::theWholeIsUsed, spoils(Envelope.LOCKED, MutantsTest::nothing)),
        EACH_CUTS_ALONE(MutantsTest::cutsAgree, spoils(Envelope.ROW, MutantsTest::nothing));

        private final Predicate<Consumer<FleetWorld>> holds;
        private final Consumer<FleetWorld> spoiled;

        Mutant(Predicate<Consumer<FleetWorld>> holds, Consumer<FleetWorld> spoiled) {
            this.holds = holds;
            this.spoiled = spoiled;
        }
    }

    @ParameterizedTest
    @EnumSource(Mutant.class)
    void eachMutantIsFoundByWhatHoldsWithoutIt(Mutant m) {
        assertTrue(m.holds.test(w -> {}), "does not hold by itself");
        assertFalse(m.holds.test(m.spoiled), "not found");
    }
}
