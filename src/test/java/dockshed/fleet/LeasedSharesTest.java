package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MS;
import static dockshed.fleet.FleetSimulation.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leased shares under loss, partitions, restarts and clocks that are off: what is held never adds up to more than the whole. */
class LeasedSharesTest {
    private static final double WHOLE = 1 + 1e-9;

    private static void check(FleetSimulation w) {
        for (SharedResource resource : SharedResource.values()) {
            double sum = w.sum(resource);
            assertTrue(sum <= WHOLE, "shares add up to " + sum);
        }
    }

    private static void ask(FleetSimulation w, int node, double perSecond) {
        if (w.nodes[node].up()) {
            int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
            requests[0] = (int) (perSecond * 10);
            w.nodes[node].event(new LocalEvent.LoadSample(requests, requests[0], 0, requests[0] / 10, 10_000_000));
        }
    }

    @Test
    void demandIsFollowedAndTheWholeIsNearlyUsed() {
        FleetSimulation w = new FleetSimulation(8, FleetSettings.DEFAULTS, 1).startAll();
        w.run(12 * S, 200 * MS, () -> {
            for (int i = 0; i < 8; i++) {
                ask(w, i, i == 0 ? 40 : 5);
            }
            check(w);
        });
        double hot = w.nodes[0].share(SharedResource.NEW_SESSIONS);
        double cool = w.nodes[3].share(SharedResource.NEW_SESSIONS);
        assertTrue(hot > 2.5 * cool, hot + " and " + cool);
        assertTrue(
                w.sum(SharedResource.NEW_SESSIONS) > 0.85, "held of the whole: " + w.sum(SharedResource.NEW_SESSIONS));
    }

    @Test
    void aFreshBrokerHasAWorkingShareWithinASecondAndADeadOnesComesBack() {
        FleetSimulation w = new FleetSimulation(8, FleetSettings.DEFAULTS, 2).startAll();
        w.run(12 * S);
        int dead = w.nodes[0].node.leases().isCoordinator(w.nodes[0].clock()) ? 1 : 0;
        w.nodes[dead].kill();
        w.run(8 * S, 50 * MS, () -> check(w));
        double others = w.sum(SharedResource.NEW_SESSIONS);
        assertTrue(others > 0.80, "of the dead one's part what was leased is used again: " + others);
        w.nodes[dead].start();
        w.run(S, 50 * MS, () -> check(w));
        assertTrue(w.nodes[dead].node.leases().leased(w.nodes[dead].clock()));
        assertTrue(
                w.nodes[dead].share(SharedResource.NEW_SESSIONS) > 0.9 / 8,
                "its share after a second: " + w.nodes[dead].share(SharedResource.NEW_SESSIONS));
    }

    @Test
    void whenTheCoordinatorDiesAnotherTakesOverOnceItsTimeIsOver() {
        FleetSimulation w = new FleetSimulation(7, FleetSettings.DEFAULTS, 3).startAll();
        w.run(12 * S);
        for (FleetSimulation.Node n : w.nodes) {
            if (n.up() && n.node.leases().isCoordinator(n.clock())) {
                n.kill();
            }
        }
        w.run(14 * S, 50 * MS, () -> check(w));
        assertTrue(w.sum(SharedResource.NEW_SESSIONS) > 0.8, "held again: " + w.sum(SharedResource.NEW_SESSIONS));
    }

    @Test
    void theMinorityOfAPartitionKeepsItsGuaranteedShareAndTheMajorityGoesOn() {
        FleetSimulation w = new FleetSimulation(9, FleetSettings.DEFAULTS, 4).startAll();
        w.run(12 * S);
        w.partition(2, true);
        w.run(20 * S, 50 * MS, () -> check(w));
        assertEquals(0.5 / 9, w.nodes[0].share(SharedResource.NEW_SESSIONS), 1e-9);
        assertTrue(w.sum(SharedResource.NEW_SESSIONS) > 0.75, "held: " + w.sum(SharedResource.NEW_SESSIONS));
        w.partition(2, false);
        w.run(14 * S, 50 * MS, () -> check(w));
        assertTrue(w.nodes[0].share(SharedResource.NEW_SESSIONS) > 0.5 / 9);
    }

    /** Faults at random: loss, duplicates, partitions, kills, pauses, clocks that are off and run at other rates. */
    static double worst(long seed, java.util.function.Consumer<FleetSimulation> mutant) {
        FleetSimulation w = new FleetSimulation(5 + (int) (seed % 4), FleetSettings.DEFAULTS, seed);
        w.loss = 0.1;
        w.duplication = 0.1;
        w.most = 60 * MS;
        for (FleetSimulation.Node n : w.nodes) {
            n.offset = w.random.nextLong(20 * S) - 10 * S;
            n.rate = 1 + (w.random.nextDouble() - 0.5) * 0.9 * LeasedShares.DRIFT;
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
                    if (w.nodes[n].up() && w.nodes[n].pausedUntil < 0) {
                        w.nodes[n].pause(w.random.nextLong(5 * S));
                    }
                }
                case 4 -> w.partition(w.random.nextInt(w.nodes.length), true);
                default -> w.partition(0, false);
            }
            w.run(w.random.nextLong(3 * S), 20 * MS, () -> {
                for (int j = 0; j < w.nodes.length; j++) {
                    ask(w, j, w.random.nextInt(30));
                    if (!w.nodes[j].up() && w.random.nextInt(100) == 0) {
                        w.nodes[j].start();
                    }
                }
                worst[0] =
                        Math.max(worst[0], Math.max(w.sum(SharedResource.NEW_SESSIONS), w.sum(SharedResource.RETRIES)));
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
    void oneWithoutACoordinatorDoesNotSpin() {
        // SheddingThreshold off from the voters it was due to ask at every moment, and its loop turned every
        // millisecond.
        FleetSimulation w = new FleetSimulation(5, FleetSettings.DEFAULTS, 5).startAll();
        w.run(8 * S);
        w.partition(2, true);
        w.run(10 * S);
        for (FleetSimulation.Node n : w.nodes) {
            for (int i = 0; i < 40; i++) {
                w.run(13 * MS);
                assertTrue(n.node.leases().next(n.clock()) > n.clock(), "due at once, again and again");
            }
        }
    }
}
