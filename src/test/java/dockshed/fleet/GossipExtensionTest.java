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

class GossipExtensionTest {
    /** Records what it hears. */
    private static final class Recorder implements GossipExtension {
        final List<byte[]> bodies = new ArrayList<>();
        final Set<Integer> heardOf = new HashSet<>();
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
        public void receiveAnnouncement(long now, int from, byte[] heard) {
            assertEquals(from, heard[0]);
            heardOf.add(from);
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
        FleetSimulation w = new ZonedFleet(12, 3, 31).simulation;
        w.onStart = node -> {
            recorders[node.number] = new Recorder(node.number);
            node.node.setExtension(recorders[node.number]);
        };
        w.startAll();
        w.run(6 * SECOND_US);
        return w;
    }

    @Test
    void bodiesReachBrokersOfAllScopesAndAnnouncementsGoWithEveryDatagram() {
        FleetSimulation w = start();
        byte[] longest = new byte[GossipExtension.MAX_BODY_BYTES];
        longest[239] = 9;
        assertEquals(240, longest.length);
        assertTrue(w.nodes[0].node.sendExtension(2, longest));
        assertTrue(w.nodes[0].node.sendExtension(11, longest));
        w.run(200 * MILLISECOND_US);
        assertArrayEquals(longest, recorders[2].bodies.get(0));
        assertArrayEquals(longest, recorders[11].bodies.get(0));
        w.run(20 * SECOND_US);
        assertTrue(recorders[0].heardOf.containsAll(Set.of(1, 2, 3)), "of its scope");
        assertTrue(recorders[0].heardOf.stream().anyMatch(from -> from > 3), "of others");
    }

    @Test
    void whatIsTooLongTooMuchOrForNobodyIsRefusedAndTheBudgetIsKept() {
        FleetSimulation w = start();
        GossipNode node = w.nodes[0].node;
        assertFalse(node.sendExtension(1, new byte[GossipExtension.MAX_BODY_BYTES + 1]));
        assertFalse(node.sendExtension(12, new byte[1]));
        assertFalse(node.sendExtension(0, new byte[1]));
        w.sentBy.clear();
        int[] taken = new int[1];
        w.run(20 * SECOND_US, 10 * MILLISECOND_US, () -> taken[0] += node.sendExtension(11, new byte[200]) ? 1 : 0);
        double sent = w.sentBy.get(0) / 20.0;
        assertTrue(sent < 1.2 * FleetSettings.ZONED_BYTES_PER_SECOND, "bytes a second: " + sent);
        assertTrue(taken[0] > 500 && node.counts().extensionDropped > 0, "taken: " + taken[0]);
        assertEquals(4, w.nodes[1].snapshot().presentBrokers().size());
    }
}
