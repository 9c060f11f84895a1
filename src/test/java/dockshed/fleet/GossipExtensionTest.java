package dockshed.fleet;

import static dockshed.fleet.FleetSimulation.MILLISECOND_US;
import static dockshed.fleet.FleetSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards the extension's way through the gossip: bodies must reach brokers of all scopes, and must not exceed the byte
 * budget.
 */
class GossipExtensionTest {
    /** Records what it receives. */
    private static final class Recorder implements GossipExtension {
        final List<byte[]> bodies = new ArrayList<>();
        final Set<Integer> announcers = new HashSet<>();
        private final byte[] announcement;

        Recorder(int number) {
            announcement = new byte[MAX_ANNOUNCEMENT_BYTES];
            announcement[0] = (byte) number;
        }

        @Override
        public void receive(long now, int from, byte[] body) {
            bodies.add(body);
        }

        @Override
        public void receiveAnnouncement(long now, int from, byte[] received) {
            assertEquals(from, received[0]);
            announcers.add(from);
        }

        @Override
        public void tick(long now) {}

        @Override
        public long nextTickAt(long now) {
            return now + SECOND_US;
        }

        @Override
        public byte[] announcement() {
            return announcement;
        }
    }

    private final Recorder[] recorders = new Recorder[12];

    private FleetSimulation start() {
        FleetSimulation simulation = new ZonedFleet(12, 3, 31).simulation;
        simulation.onStart = node -> {
            recorders[node.number] = new Recorder(node.number);
            node.node.setExtension(recorders[node.number]);
        };
        simulation.startAll();
        simulation.run(6 * SECOND_US);
        return simulation;
    }

    @Test
    void bodiesReachBrokersOfAllScopesAndAnnouncementsGoWithEveryDatagram() {
        FleetSimulation simulation = start();
        byte[] longest = new byte[GossipExtension.MAX_BODY_BYTES];
        longest[239] = 9;
        assertEquals(240, longest.length);
        assertTrue(simulation.nodes[0].node.sendExtension(2, longest));
        assertTrue(simulation.nodes[0].node.sendExtension(11, longest));
        simulation.run(200 * MILLISECOND_US);
        assertArrayEquals(longest, recorders[2].bodies.get(0));
        assertArrayEquals(longest, recorders[11].bodies.get(0));
        simulation.run(20 * SECOND_US);
        assertTrue(recorders[0].announcers.containsAll(Set.of(1, 2, 3)), "of its scope");
        assertTrue(recorders[0].announcers.stream().anyMatch(from -> from > 3), "of others");
    }

    @Test
    void bodiesTooLongTooManyOrForNobodyAreRefusedAndTheBudgetIsKept() {
        FleetSimulation simulation = start();
        GossipNode node = simulation.nodes[0].node;
        assertFalse(node.sendExtension(1, new byte[GossipExtension.MAX_BODY_BYTES + 1]));
        assertFalse(node.sendExtension(12, new byte[1]));
        assertFalse(node.sendExtension(0, new byte[1]));
        simulation.sentBy.clear();
        int[] taken = new int[1];
        simulation.run(
                20 * SECOND_US, 10 * MILLISECOND_US, () -> taken[0] += node.sendExtension(11, new byte[200]) ? 1 : 0);
        double sent = simulation.sentBy.get(0) / 20.0;
        assertTrue(sent < 1.2 * FleetSettings.ZONED_BYTES_PER_SECOND, "bytes a second: " + sent);
        assertTrue(taken[0] > 500 && node.counts().extensionDropped > 0, "taken: " + taken[0]);
        assertEquals(4, simulation.nodes[1].snapshot().presentBrokers().size());
    }
}
