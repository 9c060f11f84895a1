package dockshed.fleet;

import static dockshed.fleet.FleetWorld.MS;
import static dockshed.fleet.FleetWorld.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Shares under loss, cuts, restarts and clocks that are off: what is held never adds up to more than the whole. */
class SharesTest {
    private static final double WHOLE = 1 + 1e-9;

    private static void check(FleetWorld w) {
        for (int k = 0; k < Shares.KINDS; k++) {
            double sum = w.sum(k);
            assertTrue(sum <= WHOLE, "shares add up to " + sum);
        }
    }

    private static void ask(FleetWorld w, int node, double perSecond) {
        if (w.nodes[node].up()) {
            int[] tries = new int[Cut.STEPS];
            tries[0] = (int) (perSecond * 10);
            w.nodes[node].news(new News.Figures(tries, tries[0], 0, tries[0] / 10, 10_000_000));
        }
    }

    @Test
    void demandIsFollowedAndTheWholeIsNearlyUsed() {
        FleetWorld w = new FleetWorld(8, FleetTerms.USUAL, 1).startAll();
        w.run(12 * S, 200 * MS, () -> {
            for (int i = 0; i < 8; i++) {
                ask(w, i, i == 0 ? 40 : 5);
            }
            check(w);
        });
        double hot = w.nodes[0].share(0);
        double cool = w.nodes[3].share(0);
        assertTrue(hot > 2.5 * cool, hot + " and " + cool);
        assertTrue(w.sum(0) > 0.85, "held of the whole: " + w.sum(0));
    }

    @Test
    void aFreshBrokerHasAWorkingShareWithinASecondAndADeadOnesComesBack() {
        FleetWorld w = new FleetWorld(8, FleetTerms.USUAL, 2).startAll();
        w.run(12 * S);
        int dead = w.nodes[0].heart.shares().isPurser(w.nodes[0].clock()) ? 1 : 0;
        w.nodes[dead].kill();
        w.run(8 * S, 50 * MS, () -> check(w));
        double others = w.sum(0);
        assertTrue(others > 0.80, "of the dead one's part what was leased is used again: " + others);
        w.nodes[dead].start();
        w.run(S, 50 * MS, () -> check(w));
        assertTrue(w.nodes[dead].heart.shares().leased(w.nodes[dead].clock()));
        assertTrue(w.nodes[dead].share(0) > 0.9 / 8, "its share after a second: " + w.nodes[dead].share(0));
    }

    @Test
    void whenThePurserDiesAnotherTakesOverOnceItsTimeIsOver() {
        FleetWorld w = new FleetWorld(7, FleetTerms.USUAL, 3).startAll();
        w.run(12 * S);
        for (FleetWorld.Node n : w.nodes) {
            if (n.up() && n.heart.shares().isPurser(n.clock())) {
                n.kill();
            }
        }
        w.run(14 * S, 50 * MS, () -> check(w));
        assertTrue(w.sum(0) > 0.8, "held again: " + w.sum(0));
    }

    @Test
    void theMinorityOfACutKeepsItsFloorAndTheMajorityGoesOn() {
        FleetWorld w = new FleetWorld(9, FleetTerms.USUAL, 4).startAll();
        w.run(12 * S);
        w.halve(2, true);
        w.run(20 * S, 50 * MS, () -> check(w));
        assertEquals(0.5 / 9, w.nodes[0].share(0), 1e-9);
        assertTrue(w.sum(0) > 0.75, "held: " + w.sum(0));
        w.halve(2, false);
        w.run(14 * S, 50 * MS, () -> check(w));
        assertTrue(w.nodes[0].share(0) > 0.5 / 9);
    }

    /** Faults at random: loss, repeats, cuts, kills, pauses, clocks that are off and run at other rates. */
    static double worst(long seed, java.util.function.Consumer<FleetWorld> mutant) {
        FleetWorld w = new FleetWorld(5 + (int) (seed % 4), FleetTerms.USUAL, seed);
        w.loss = 0.1;
        w.twice = 0.1;
        w.most = 60 * MS;
        for (FleetWorld.Node n : w.nodes) {
            n.offset = w.random.nextLong(20 * S) - 10 * S;
            n.rate = 1 + (w.random.nextDouble() - 0.5) * 0.9 * Shares.DRIFT;
        }
        mutant.accept(w);
        w.startAll();
        w.run(8 * S);
        double[] worst = {0};
        for (int i = 0; i < 40; i++) {
            int n = w.random.nextInt(w.nodes.length);
            switch (w.random.nextInt(6)) {
                case 0 -> w.nodes[n].kill();
                case 1, 2 -> {
                    w.nodes[n].kill();
                    w.nodes[n].start();
                }
                case 3 -> {
                    if (w.nodes[n].up() && w.nodes[n].stillUntil < 0) {
                        w.nodes[n].still(w.random.nextLong(5 * S));
                    }
                }
                case 4 -> w.halve(w.random.nextInt(w.nodes.length), true);
                default -> w.halve(0, false);
            }
            w.run(w.random.nextLong(3 * S), 20 * MS, () -> {
                for (int j = 0; j < w.nodes.length; j++) {
                    ask(w, j, w.random.nextInt(30));
                    if (!w.nodes[j].up() && w.random.nextInt(100) == 0) {
                        w.nodes[j].start();
                    }
                }
                worst[0] = Math.max(worst[0], Math.max(w.sum(0), w.sum(1)));
            });
        }
        return worst[0];
    }

    @Test
    void noFaultMakesTheSharesHeldMoreThanTheWhole() {
        for (long seed = 1; seed <= 12; seed++) {
            assertTrue(worst(seed, w -> {}) <= WHOLE, "seed " + seed);
        }
    }

    @Test
    void oneWithoutAPurserDoesNotSpin() {
        // Cut off from the witnesses it was due to ask at every moment, and its loop turned every millisecond.
        FleetWorld w = new FleetWorld(5, FleetTerms.USUAL, 5).startAll();
        w.run(8 * S);
        w.halve(2, true);
        w.run(10 * S);
        for (FleetWorld.Node n : w.nodes) {
            for (int i = 0; i < 40; i++) {
                w.run(13 * MS);
                assertTrue(n.heart.shares().next(n.clock()) > n.clock(), "due at once, again and again");
            }
        }
    }
}
