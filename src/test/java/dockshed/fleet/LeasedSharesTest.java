package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.topology.Zone;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that add up to more than the whole, under loss, partitions, restarts and clocks that are off,
 * and against leased shares that stay unused.
 */
class LeasedSharesTest {
    private static final double WHOLE = 1 + 1e-9;

    private static void assertWholeNotExceeded(FleetSimulation simulation) {
        for (SharedResource resource : SharedResource.values()) {
            double sum = simulation.sum(resource);
            assertTrue(sum <= WHOLE, "shares add up to " + sum);
        }
    }

    private static void offerDemand(FleetSimulation simulation, int node, double perSecond) {
        if (simulation.nodes[node].isUp()) {
            int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
            requests[0] = (int) (perSecond * 10);
            simulation.nodes[node].handle(
                    new LocalEvent.LoadSample(requests, requests[0], 0, requests[0] / 10, 10_000_000));
        }
    }

    @Test
    void demandIsFollowedAndTheWholeIsNearlyUsed() {
        FleetSimulation simulation = new FleetSimulation(8, FleetSettings.DEFAULTS, 1).startAll();
        simulation.run(12 * SECOND_US, 200 * MILLISECOND_US, () -> {
            for (int i = 0; i < 8; i++) {
                offerDemand(simulation, i, i == 0 ? 40 : 5);
            }
            assertWholeNotExceeded(simulation);
        });
        double hot = simulation.nodes[0].share(SharedResource.NEW_SESSIONS);
        double cool = simulation.nodes[3].share(SharedResource.NEW_SESSIONS);
        assertTrue(hot > 2.5 * cool, hot + " and " + cool);
        assertTrue(
                simulation.sum(SharedResource.NEW_SESSIONS) > 0.85,
                "held of the whole: " + simulation.sum(SharedResource.NEW_SESSIONS));
    }

    @Test
    void aNewBrokerHasAWorkingShareWithinASecondAndADeadOnesShareIsLeasedAgain() {
        FleetSimulation simulation = new FleetSimulation(8, FleetSettings.DEFAULTS, 2).startAll();
        simulation.run(12 * SECOND_US);
        int dead = simulation.nodes[0].node.leases().isCoordinator(simulation.nodes[0].clock()) ? 1 : 0;
        simulation.nodes[dead].kill();
        simulation.run(8 * SECOND_US, 50 * MILLISECOND_US, () -> assertWholeNotExceeded(simulation));
        double others = simulation.sum(SharedResource.NEW_SESSIONS);
        assertTrue(others > 0.80, "the leased part of the dead broker's share is used again: " + others);
        simulation.nodes[dead].start();
        simulation.run(SECOND_US, 50 * MILLISECOND_US, () -> assertWholeNotExceeded(simulation));
        assertTrue(simulation.nodes[dead].node.leases().leased(simulation.nodes[dead].clock()));
        assertTrue(
                simulation.nodes[dead].share(SharedResource.NEW_SESSIONS) > 0.9 / 8,
                "its share after a second: " + simulation.nodes[dead].share(SharedResource.NEW_SESSIONS));
    }

    @Test
    void whenTheCoordinatorDiesAnotherTakesOverOnceItsTermHasEnded() {
        FleetSimulation simulation = new FleetSimulation(7, FleetSettings.DEFAULTS, 3).startAll();
        simulation.run(12 * SECOND_US);
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.isUp() && node.node.leases().isCoordinator(node.clock())) {
                node.kill();
            }
        }
        simulation.run(14 * SECOND_US, 50 * MILLISECOND_US, () -> assertWholeNotExceeded(simulation));
        assertTrue(
                simulation.sum(SharedResource.NEW_SESSIONS) > 0.8,
                "held again: " + simulation.sum(SharedResource.NEW_SESSIONS));
    }

    @Test
    void theMinorityOfAPartitionKeepsItsGuaranteedShareAndTheMajorityGoesOn() {
        FleetSimulation simulation = new FleetSimulation(9, FleetSettings.DEFAULTS, 4).startAll();
        simulation.run(12 * SECOND_US);
        simulation.partition(2, true);
        simulation.run(20 * SECOND_US, 50 * MILLISECOND_US, () -> assertWholeNotExceeded(simulation));
        assertEquals(0.5 / 9, simulation.nodes[0].share(SharedResource.NEW_SESSIONS), 1e-9);
        assertTrue(
                simulation.sum(SharedResource.NEW_SESSIONS) > 0.75,
                "held: " + simulation.sum(SharedResource.NEW_SESSIONS));
        simulation.partition(2, false);
        simulation.run(14 * SECOND_US, 50 * MILLISECOND_US, () -> assertWholeNotExceeded(simulation));
        assertTrue(simulation.nodes[0].share(SharedResource.NEW_SESSIONS) > 0.5 / 9);
    }

    /**
     * The highest sum of the shares held under random faults: loss, duplicates, partitions, kills, pauses, clocks that
     * are off and run at other rates.
     */
    static double highestSum(long seed, java.util.function.Consumer<FleetSimulation> mutant) {
        return highestSum(new FleetSimulation(5 + (int) (seed % 4), FleetSettings.DEFAULTS, seed), mutant);
    }

    private static double highestSum(FleetSimulation simulation, java.util.function.Consumer<FleetSimulation> mutant) {
        simulation.loss = 0.1;
        simulation.duplication = 0.1;
        simulation.maxDelayUs = 60 * MILLISECOND_US;
        for (FleetSimulation.Node number : simulation.nodes) {
            number.offset = simulation.random.nextLong(20 * SECOND_US) - 10 * SECOND_US;
            number.rate = 1 + (simulation.random.nextDouble() - 0.5) * 0.9 * LeasedShares.MAX_CLOCK_DRIFT;
        }
        mutant.accept(simulation);
        simulation.startAll();
        simulation.run(8 * SECOND_US);
        double[] worst = {0};
        for (int i = 0; i < 40; i++) {
            int number = simulation.random.nextInt(simulation.nodes.length);
            switch (simulation.random.nextInt(6)) {
                case 0 -> simulation.nodes[number].kill();
                case 1, 2 -> {
                    simulation.nodes[number].kill();
                    simulation.nodes[number].start();
                }
                case 3 -> {
                    if (simulation.nodes[number].isUp() && simulation.nodes[number].pausedUntil < 0) {
                        simulation.nodes[number].pause(simulation.random.nextLong(5 * SECOND_US));
                    }
                }
                case 4 -> simulation.partition(simulation.random.nextInt(simulation.nodes.length), true);
                default -> simulation.partition(0, false);
            }
            simulation.run(simulation.random.nextLong(3 * SECOND_US), 20 * MILLISECOND_US, () -> {
                for (int j = 0; j < simulation.nodes.length; j++) {
                    offerDemand(simulation, j, simulation.random.nextInt(30));
                    if (!simulation.nodes[j].isUp() && simulation.random.nextInt(100) == 0) {
                        simulation.nodes[j].start();
                    }
                }
                worst[0] = Math.max(
                        worst[0],
                        Math.max(simulation.sum(SharedResource.NEW_SESSIONS), simulation.sum(SharedResource.RETRIES)));
            });
        }
        return worst[0];
    }

    @Test
    void theScopesOfADividedFleetTogetherHoldNoMoreThanTheWhole() {
        for (long seed = 1; seed <= 6; seed++) {
            FleetSettings zoned = FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(8, 2));
            assertTrue(highestSum(new FleetSimulation(8, zoned, seed), simulation -> {}) <= WHOLE, "seed " + seed);
        }
    }

    @Test
    void eachScopeLeasesItsPartAndNearlyAllOfIt() {
        FleetSettings zoned = FleetSettings.DEFAULTS.withZones(
                List.of(new Zone("a", "n", 0, 5), new Zone("b", "n", 6, 7), new Zone("c", "s", 8, 11)));
        FleetSimulation simulation = new FleetSimulation(12, zoned, 6).startAll();
        simulation.run(12 * SECOND_US, 200 * MILLISECOND_US, () -> {
            for (int i = 0; i < 12; i++) {
                offerDemand(simulation, i, 10);
            }
            assertWholeNotExceeded(simulation);
        });
        for (Zone zone : zoned.zones()) {
            double held = 0;
            for (int i = zone.first(); i <= zone.last(); i++) {
                held += simulation.nodes[i].share(SharedResource.NEW_SESSIONS);
            }
            double part = zone.size() / 12.0;
            assertTrue(held <= part + 1e-9 && held > 0.85 * part, zone.name() + " holds " + held + " of " + part);
        }
    }

    @Test
    void aVoterOfADividedFleetVotesForNobodyThatDividesItOtherwise() {
        FleetSettings zoned = FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(6, 2));
        FleetSimulation simulation = new FleetSimulation(6, zoned, 7);
        simulation.settingsOf = number -> number == 0
                ? FleetSettings.DEFAULTS
                : number == 1 ? FleetSettings.DEFAULTS.withZones(ZonedFleet.evenZones(6, 3)) : zoned;
        simulation.startAll();
        simulation.run(20 * SECOND_US, 50 * MILLISECOND_US, () -> {
            assertFalse(simulation.nodes[0].node.leases().isCoordinator(simulation.nodes[0].clock()));
            assertFalse(simulation.nodes[1].node.leases().isCoordinator(simulation.nodes[1].clock()));
        });
        assertTrue(simulation.nodes[4].node.leases().leased(simulation.nodes[4].clock()), "the others lease");
    }

    @Test
    void noFaultMakesTheSharesHeldMoreThanTheWhole() {
        for (long seed = 1; seed <= 12; seed++) {
            assertTrue(highestSum(seed, simulation -> {}) <= WHOLE, "seed " + seed);
        }
    }

    @Test
    void aBrokerWithoutACoordinatorDoesNotSpin() {
        // Guards against a busy loop: cut off from the voters, a broker was always due to ask, and ticked every
        // millisecond.
        FleetSimulation simulation = new FleetSimulation(5, FleetSettings.DEFAULTS, 5).startAll();
        simulation.run(8 * SECOND_US);
        simulation.partition(2, true);
        simulation.run(10 * SECOND_US);
        for (FleetSimulation.Node node : simulation.nodes) {
            for (int i = 0; i < 40; i++) {
                simulation.run(13 * MILLISECOND_US);
                assertTrue(node.node.leases().nextTickAt(node.clock()) > node.clock(), "always due at once");
            }
        }
    }
}
