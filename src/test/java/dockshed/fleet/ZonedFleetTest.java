package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.fleet.FleetSnapshot.ScopeStatus;
import dockshed.topology.Scope;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards fleets with zones on the simulated network, with faults: against old figures, exceeded byte budgets, false
 * deaths, and zones or regions that stay unknown.
 */
class ZonedFleetTest {
    private static final long MAX_OWN_AGE_US = 2 * SECOND_US;
    private static final long MAX_OTHER_AGE_US = 5 * SECOND_US;
    private static final int MAX_BYTES_PER_SECOND = 28_000;

    private static ScopeStatus status(FleetSimulation.Node node, Scope of) {
        return node.snapshot().otherScopes().stream()
                .filter(status -> status.scope() == of.number())
                .findFirst()
                .orElseThrow();
    }

    private static boolean known(ZonedFleet fleet, int by, int scope) {
        return status(fleet.simulation.nodes[by], fleet.scope(scope)).isKnown();
    }

    /** Runs under load and calls {@code look} four times a second; no running broker may be called dead. */
    private static void run(ZonedFleet fleet, long micros, Runnable look) {
        fleet.simulation.run(micros, 250 * MILLISECOND_US, () -> {
            fleet.offerLoad();
            look.run();
            assertEquals(0, fleet.falseDeaths(), "false deaths");
        });
    }

    private static void run(ZonedFleet fleet, long micros) {
        run(fleet, micros, () -> {});
    }

    @Test
    void at510BrokersFiguresAreYoungAndTheBudgetIsKept() {
        ZonedFleet fleet = new ZonedFleet(510, 7, 11);
        fleet.simulation.loss = 0.01;
        fleet.start();
        ZonedFleet.Figures figures = fleet.measure(1500 * MILLISECOND_US);
        assertEquals(0, figures.falseDeaths(), figures.toString());
        assertEquals(0, figures.unknown(), figures.toString());
        assertTrue(figures.ownAges().getValueAtPercentile(99.9) <= MAX_OWN_AGE_US, figures.toString());
        assertTrue(figures.otherAges().getMaxValue() <= MAX_OTHER_AGE_US, figures.toString());
        assertTrue(figures.mostBytes() <= MAX_BYTES_PER_SECOND, figures.toString());
    }

    @Test
    void withAFifthOfTheDatagramsLostNobodyIsCalledDeadAndFiguresStayYoung() {
        ZonedFleet fleet = new ZonedFleet(96, 3, 12);
        fleet.simulation.loss = 0.2;
        fleet.start();
        ZonedFleet.Figures figures = fleet.measure(20 * SECOND_US);
        assertEquals(0, figures.falseDeaths(), figures.toString());
        assertTrue(figures.ownAges().getValueAtPercentile(99) <= MAX_OWN_AGE_US, figures.toString());
        assertTrue(figures.otherAges().getValueAtPercentile(99) <= MAX_OTHER_AGE_US, figures.toString());
        assertTrue(figures.mostBytes() <= MAX_BYTES_PER_SECOND, figures.toString());
    }

    @Test
    void whatABrokerSendsDoesNotGrowWithTheFleet() {
        // The same zones, and four times as many of them.
        ZonedFleet.Figures few = new ZonedFleet(48, 2, 13).start(3 * SECOND_US).measure(2 * SECOND_US);
        ZonedFleet.Figures many =
                new ZonedFleet(192, 8, 13).start(3 * SECOND_US).measure(2 * SECOND_US);
        assertTrue(many.bytes() < 1.15 * few.bytes(), few + "\n" + many);
    }

    @Test
    void aDeadZoneIsForgottenByTheOthersAndIsBackSoonAfterItsStart() {
        ZonedFleet fleet = new ZonedFleet(24, 3, 14).start();
        double before = fleet.simulation.nodes[0].snapshot().requestsPerSecond();
        fleet.scope(1).brokers().forEach(broker -> fleet.simulation.nodes[broker].kill());
        run(fleet, ScopeSummaryStore.MAX_AGE_US + SECOND_US);
        for (int by : new int[] {0, 7, 16, 23}) {
            assertFalse(known(fleet, by, 1), "known at " + by);
            assertTrue(known(fleet, by, by < 8 ? 2 : 0));
        }
        double without = fleet.simulation.nodes[0].snapshot().requestsPerSecond();
        assertEquals(2 * before / 3, without, 0.1 * before);
        fleet.scope(1).brokers().forEach(broker -> fleet.simulation.nodes[broker].start());
        run(fleet, 6 * SECOND_US);
        for (int by : new int[] {0, 7, 16, 23}) {
            assertEquals(8, status(fleet.simulation.nodes[by], fleet.scope(1)).present(), "as " + by + " sees it");
        }
        assertEquals(8, fleet.simulation.nodes[9].snapshot().presentBrokers().size());
    }

    @Test
    void regionsThatAreCutApartGoOnAndFindOneAnotherAgain() {
        ZonedFleet fleet = new ZonedFleet(24, 4, 15).start();
        fleet.simulation.partition(12, true);
        run(fleet, 20 * SECOND_US, () -> assertTrue(fleet.simulation.sum(SharedResource.NEW_SESSIONS) <= 1 + 1e-9));
        assertTrue(known(fleet, 0, 1));
        assertFalse(known(fleet, 0, 2));
        assertFalse(known(fleet, 20, 0));
        assertTrue(fleet.simulation.sum(SharedResource.NEW_SESSIONS) > 0.85, "each scope goes on leasing its part");
        fleet.simulation.partition(12, false);
        run(fleet, 4 * SECOND_US);
        for (FleetSimulation.Node node : fleet.simulation.nodes) {
            assertTrue(node.snapshot().otherScopes().stream().allMatch(ScopeStatus::isKnown), "at " + node.number);
        }
    }

    @Test
    void aZoneCutOffInOneDirectionIsKnownThroughAThird() {
        ZonedFleet fleet = new ZonedFleet(24, 3, 16).start();
        fleet.simulation.block(fleet.scope(0), fleet.scope(1), true);
        run(fleet, ScopeSummaryStore.MAX_AGE_US);
        int[] looks = new int[2];
        run(fleet, 30 * SECOND_US, () -> {
            for (int by = 8; by < 16; by++) {
                looks[known(fleet, by, 0) ? 0 : 1]++;
                assertTrue(known(fleet, by, 2) && known(fleet, by - 8, 1));
            }
        });
        assertTrue(looks[1] < 0.1 * looks[0], "looks at which it was unknown: " + looks[1] + " beside " + looks[0]);
    }

    @Test
    void aBrokerThatStalledCallsNobodyDeadAndIsAcceptedBack() {
        ZonedFleet fleet = new ZonedFleet(24, 3, 17).start();
        FleetSimulation.Node node = fleet.simulation.nodes[3];
        node.pause(5 * SECOND_US);
        fleet.simulation.run(5 * SECOND_US + 1);
        FleetSnapshot first = node.snapshot();
        assertFalse(first.steady(), "acts on what it knew");
        assertEquals(0, first.sheddingThreshold());
        fleet.simulation.run(6 * SECOND_US, 50 * MILLISECOND_US, () -> {
            fleet.offerLoad();
            for (int peer = 0; peer < 8; peer++) {
                assertTrue(node.node.membership().member(peer).state != Member.State.DEAD, "calls " + peer + " dead");
            }
        });
        assertTrue(node.snapshot().steady());
        run(fleet, 4 * SECOND_US);
        assertTrue(fleet.simulation.nodes[0].snapshot().presentBrokers().contains(3));
        assertTrue(node.snapshot().otherScopes().stream().allMatch(ScopeStatus::isKnown));
    }

    @Test
    void aByzantinePeerAtFullRateCostsNobodyItsPlaceAndMovesNoZonesFigures() {
        ZonedFleet fleet = new ZonedFleet(30, 3, 18).start();
        FleetSimulation simulation = fleet.simulation;
        int byzantine = 12;
        simulation.nodes[byzantine].kill();
        ByzantinePeer peer = new ByzantinePeer(byzantine, 30, simulation.nodes[byzantine].clock() + 5 * SECOND_US, 3);
        double before = simulation.nodes[0].snapshot().requestsPerSecond();
        long[] step = {0};
        simulation.sentBy.clear();
        simulation.run(20 * SECOND_US, 10 * MILLISECOND_US, () -> {
            for (int to = 0; to < 30; to++) {
                if (to != byzantine) {
                    simulation.transmit(byzantine, to, peer.nextDatagram(simulation.nodes[byzantine].clock()));
                }
            }
            if (step[0]++ % 25 == 0) {
                fleet.offerLoad();
                assertEquals(0, fleet.falseDeaths());
                for (int by : new int[] {0, 9, 20, 29}) { // in the other zones
                    FleetSnapshot snapshot = simulation.nodes[by].snapshot();
                    assertTrue(
                            Math.abs(snapshot.requestsPerSecond() - before) < 0.3 * before,
                            by + ": " + snapshot.requestsPerSecond() + " of " + before);
                    assertEquals(0, snapshot.sheddingThreshold());
                    assertEquals(10, snapshot.presentBrokers().size());
                }
            }
        });
        assertTrue(simulation.sum(SharedResource.NEW_SESSIONS) <= 1 + 1e-9);
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.number != byzantine) {
                double sent = simulation.sentBy.get(node.number) / 20.0;
                assertTrue(sent < 1.2 * FleetSettings.ZONED_BYTES_PER_SECOND, node.number + " sends a second: " + sent);
            }
        }
    }

    @Test
    void mangledDatagramsFromWithinAndWithoutNeverCrash() {
        ZonedFleet fleet = new ZonedFleet(12, 3, 19).start();
        FleetSimulation simulation = fleet.simulation;
        simulation.nodes[1].kill();
        simulation.nodes[7].kill();
        ByzantinePeer inside = new ByzantinePeer(1, 12, simulation.nodes[1].clock(), 4);
        ByzantinePeer outside = new ByzantinePeer(7, 12, simulation.nodes[1].clock(), 5);
        ByzantinePeer nobody = new ByzantinePeer(700, 12, simulation.nodes[1].clock(), 6);
        SplittableRandom random = new SplittableRandom(7);
        GossipNode node = simulation.nodes[0].node;
        for (int i = 0; i < 1500; i++) {
            simulation.run(20 * MILLISECOND_US);
            long now = simulation.nodes[0].clock();
            byte[] datagram = (i % 3 == 0 ? inside : i % 3 == 1 ? outside : nobody).nextDatagram(now);
            byte[] mangled = mangle(datagram, random);
            node.receive(now, mangled, (to, answer) -> simulation.transmit(0, to, answer)); // which checks the length
        }
        assertEquals(0, fleet.falseDeaths());
        assertTrue(simulation.nodes[2].snapshot().presentBrokers().containsAll(List.of(0, 2, 3)));
        assertTrue(node.counts().discarded > 0);
    }

    /** Truncates or lengthens a datagram, changes some of its bytes, or gives an item an unknown kind. */
    private static byte[] mangle(byte[] datagram, SplittableRandom random) {
        return switch (random.nextInt(4)) {
            case 0 -> Arrays.copyOf(datagram, random.nextInt(datagram.length));
            case 1 -> Arrays.copyOf(datagram, datagram.length + random.nextInt(600));
            case 2 -> {
                byte[] out = datagram.clone();
                for (int count = random.nextInt(8); count >= 0; count--) {
                    out[Envelope.HEADER_BYTES + random.nextInt(out.length - Envelope.HEADER_BYTES)] =
                            (byte) random.nextInt(256);
                }
                yield out;
            }
            default -> {
                byte[] out = datagram.clone();
                out[Envelope.HEADER_BYTES] = (byte) (14 + random.nextInt(240));
                yield out;
            }
        };
    }

    @Test
    void aBrokerWithoutZonesBesideZonedOnesIsPresentAndCallsNobodyDead() {
        ZonedFleet fleet = new ZonedFleet(18, 3, 20);
        FleetSettings zoned = fleet.simulation.settings;
        fleet.simulation.settingsOf = number -> number == 4 ? FleetSettings.DEFAULTS : zoned;
        fleet.start();
        run(fleet, 60 * SECOND_US);
        for (int by = 0; by < 6; by++) {
            assertTrue(fleet.simulation.nodes[by].snapshot().presentBrokers().contains(4), "at " + by);
        }
        assertEquals(
                IntStream.range(0, 18).boxed().toList(),
                fleet.simulation.nodes[4].snapshot().presentBrokers());
    }

    @Test
    void allZonesShedAlike() {
        FleetSimulation simulation = new ZonedFleet(24, 3, 21).simulation;
        simulation.startAll();
        simulation.run(6 * SECOND_US);
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 28;
        simulation.run(30 * SECOND_US, 500 * MILLISECOND_US, () -> {
            for (FleetSimulation.Node node : simulation.nodes) {
                double over = 1 - node.snapshot().sheddingThreshold() / (double) (1 << SheddingThreshold.HASH_BITS);
                int given = (int) Math.round(28 * Math.max(0, Math.min(1, over)));
                int capacity = Math.min(given, 8 + 3 * (node.number / 8)); // a different capacity in each zone
                node.handle(new LocalEvent.LoadSample(requests, capacity, given - capacity, 0, 500_000));
            }
        });
        List<Integer> thresholds = Arrays.stream(simulation.nodes)
                .map(node -> node.snapshot().sheddingThreshold())
                .toList();
        for (int threshold : thresholds) {
            double apart = Math.abs(threshold - thresholds.get(0)) / (double) (1 << SheddingThreshold.HASH_BITS);
            assertTrue(threshold > 0 && apart < 0.05, thresholds.toString());
        }
    }
}
