package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.topology.Zone;
import java.util.List;
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
        if (w.nodes[node].isUp()) {
            int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
            requests[0] = (int) (perSecond * 10);
            w.nodes[node].handle(new LocalEvent.LoadSample(requests, requests[0], 0, requests[0] / 10, 10_000_000));
        }
    }

    @Test
    void demandIsFollowedAndTheWholeIsNearlyUsed() {
        FleetSimulation w = new FleetSimulation(8, FleetSettings.DEFAULTS, 1).startAll();
        w.run(12 * SECOND_US, 200 * MILLISECOND_US, () -> {
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
        w.run(12 * SECOND_US);
        int dead = w.nodes[0].node.leases().isCoordinator(w.nodes[0].clock()) ? 1 : 0;
        w.nodes[dead].kill();
        w.run(8 * SECOND_US, 50 * MILLISECOND_US, () -> check(w));
        double others = w.sum(SharedResource.NEW_SESSIONS);
        assertTrue(others > 0.80, "of the dead one's part what was leased is used again: " + others);
        w.nodes[dead].start();
        w.run(SECOND_US, 50 * MILLISECOND_US, () -> check(w));
        assertTrue(w.nodes[dead].node.leases().leased(w.nodes[dead].clock()));
        assertTrue(
                w.nodes[dead].share(SharedResource.NEW_SESSIONS) > 0.9 / 8,
                "its share after a second: " + w.nodes[dead].share(SharedResource.NEW_SESSIONS));
    }

    @Test
    void whenTheCoordinatorDiesAnotherTakesOverOnceItsTimeIsOver() {
        FleetSimulation w = new FleetSimulation(7, FleetSettings.DEFAULTS, 3).startAll();
        w.run(12 * SECOND_US);
        for (FleetSimulation.Node n : w.nodes) {
            if (n.isUp() && n.node.leases().isCoordinator(n.clock())) {
                n.kill();
            }
        }
        w.run(14 * SECOND_US, 50 * MILLISECOND_US, () -> check(w));
        assertTrue(w.sum(SharedResource.NEW_SESSIONS) > 0.8, "held again: " + w.sum(SharedResource.NEW_SESSIONS));
    }

    @Test
    void theMinorityOfAPartitionKeepsItsGuaranteedShareAndTheMajorityGoesOn() {
        FleetSimulation w = new FleetSimulation(9, FleetSettings.DEFAULTS, 4).startAll();
        w.run(12 * SECOND_US);
        w.partition(2, true);
        w.run(20 * SECOND_US, 50 * MILLISECOND_US, () -> check(w));
        assertEquals(0.5 / 9, w.nodes[0].share(SharedResource.NEW_SESSIONS), 1e-9);
        assertTrue(w.sum(SharedResource.NEW_SESSIONS) > 0.75, "held: " + w.sum(SharedResource.NEW_SESSIONS));
        w.partition(2, false);
        w.run(14 * SECOND_US, 50 * MILLISECOND_US, () -> check(w));
        assertTrue(w.nodes[0].share(SharedResource.NEW_SESSIONS) > 0.5 / 9);
    }

    /** Faults at random: loss, duplicates, partitions, kills, pauses, clocks that are off and run at other rates. */
    static double worst(long seed, java.util.function.Consumer<FleetSimulation> mutant) {
        return worst(new FleetSimulation(5 + (int) (seed % 4), FleetSettings.DEFAULTS, seed), mutant);
    }

    private static double worst(FleetSimulation w, java.util.function.Consumer<FleetSimulation> mutant) {
        w.loss = 0.1;
        w.duplication = 0.1;
        w.maxDelayUs = 60 * MILLISECOND_US;
        for (FleetSimulation.Node n : w.nodes) {
            n.offset = w.random.nextLong(20 * SECOND_US) - 10 * SECOND_US;
            n.rate = 1 + (w.random.nextDouble() - 0.5) * 0.9 * LeasedShares.MAX_CLOCK_DRIFT;
        }
        mutant.accept(w);
        w.startAll();
        w.run(8 * SECOND_US);
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
                    if (w.nodes[n].isUp() && w.nodes[n].pausedUntil < 0) {
                        w.nodes[n].pause(w.random.nextLong(5 * SECOND_US));
                    }
                }
                case 4 -> w.partition(w.random.nextInt(w.nodes.length), true);
                default -> w.partition(0, false);
            }
            w.run(w.random.nextLong(3 * SECOND_US), 20 * MILLISECOND_US, () -> {
                for (int j = 0; j < w.nodes.length; j++) {
                    ask(w, j, w.random.nextInt(30));
                    if (!w.nodes[j].isUp() && w.random.nextInt(100) == 0) {
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
    void theScopesOfADividedFleetTogetherHoldNoMoreThanTheWhole() {
        for (long seed = 1; seed <= 6; seed++) {
            FleetSettings zoned = FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(8, 2));
            assertTrue(worst(new FleetSimulation(8, zoned, seed), w -> {}) <= WHOLE, "seed " + seed);
        }
    }

    @Test
    void eachScopeLeasesItsPartAndNearlyAllOfIt() {
        FleetSettings zoned = FleetSettings.DEFAULTS.withZones(
                List.of(new Zone("a", "n", 0, 5), new Zone("b", "n", 6, 7), new Zone("c", "s", 8, 11)));
        FleetSimulation w = new FleetSimulation(12, zoned, 6).startAll();
        w.run(12 * SECOND_US, 200 * MILLISECOND_US, () -> {
            for (int i = 0; i < 12; i++) {
                ask(w, i, 10);
            }
            check(w);
        });
        for (Zone zone : zoned.zones()) {
            double held = 0;
            for (int i = zone.first(); i <= zone.last(); i++) {
                held += w.nodes[i].share(SharedResource.NEW_SESSIONS);
            }
            double part = zone.size() / 12.0;
            assertTrue(held <= part + 1e-9 && held > 0.85 * part, zone.name() + " holds " + held + " of " + part);
        }
    }

    @Test
    void aVoterOfADividedFleetVotesForNobodyThatDividesItOtherwise() {
        FleetSettings zoned = FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(6, 2));
        FleetSimulation w = new FleetSimulation(6, zoned, 7);
        w.settingsOf = number -> number == 0
                ? FleetSettings.DEFAULTS
                : number == 1 ? FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(6, 3)) : zoned;
        w.startAll();
        w.run(20 * SECOND_US, 50 * MILLISECOND_US, () -> {
            assertFalse(w.nodes[0].node.leases().isCoordinator(w.nodes[0].clock()));
            assertFalse(w.nodes[1].node.leases().isCoordinator(w.nodes[1].clock()));
        });
        assertTrue(w.nodes[4].node.leases().leased(w.nodes[4].clock()), "the others lease");
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
        w.run(8 * SECOND_US);
        w.partition(2, true);
        w.run(10 * SECOND_US);
        for (FleetSimulation.Node n : w.nodes) {
            for (int i = 0; i < 40; i++) {
                w.run(13 * MILLISECOND_US);
                assertTrue(n.node.leases().nextTickAt(n.clock()) > n.clock(), "due at once, again and again");
            }
        }
    }
}
