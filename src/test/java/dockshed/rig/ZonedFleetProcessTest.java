package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the membership of zones against the loss of a whole zone and of one direction between two, over a network that
 * loses and delays datagrams. Two zones of three brokers run as processes.
 */
class ZonedFleetProcessTest {
    private static final int[] NORTH = {0, 1, 2};
    private static final int[] SOUTH = {3, 4, 5};
    private static final String OPERATOR_FILE = "fleet {\n zone north n 0-2\n zone south s 3-5\n}\n";

    @TempDir
    Path dir;

    private static Predicate<String> zone(String name, boolean known) {
        return line -> line.contains("zone=" + name + " ") && line.contains("known=" + known + " ");
    }

    private static Predicate<String> presentInZone() {
        return line -> line.contains("present=3 ") && line.endsWith(" fleet");
    }

    private static void await(FleetRig rig, int[] brokers, int[] positions, Predicate<String> line) throws Exception {
        for (int broker : brokers) {
            rig.brokers.get(broker).awaitLine(positions[broker], line);
        }
    }

    private static int[] positions(FleetRig rig) {
        return rig.brokers.stream().mapToInt(BrokerProcess::logPosition).toArray();
    }

    private static void serve(FleetRig rig, int[] brokers) throws Exception {
        for (int broker : brokers) {
            assertEquals(200, rig.requestSession(broker, "refresher"));
        }
    }

    private static void assertNever(FleetRig rig, int[] brokers, int[] positions, String pattern) {
        for (int broker : brokers) {
            List<String> lines = rig.brokers.get(broker).linesSince(positions[broker]);
            assertTrue(lines.stream().noneMatch(line -> line.matches(pattern)), "at " + broker + ": " + lines);
        }
    }

    @Test
    @Timeout(170) // every wait is for a log line
    void zonesDetectLossAndReturnOfOneAnotherAndNoBrokerIsDeclaredDeadForIt() throws Exception {
        try (FleetRig rig = new FleetRig(dir, 6, 3, OPERATOR_FILE)) {
            rig.network.loss = 0.05;
            rig.network.maxDelayMillis = 10;
            int[] start = new int[6];
            await(rig, NORTH, start, zone("south", true));
            await(rig, SOUTH, start, zone("north", true));
            await(rig, NORTH, start, presentInZone());
            await(rig, SOUTH, start, presentInZone());

            // A zone is killed, and restarted without any state.
            int[] positions = positions(rig);
            for (int broker : SOUTH) {
                rig.brokers.get(broker).kill();
            }
            await(rig, NORTH, positions, zone("south", false));
            serve(rig, NORTH);
            assertNever(rig, NORTH, positions, ".* lost=\\[\\d.* fleet");
            int[] afterRestart = positions(rig);
            for (int broker : SOUTH) {
                rig.brokers.get(broker).start();
            }
            await(rig, NORTH, afterRestart, zone("south", true));
            await(rig, SOUTH, afterRestart, zone("north", true));
            await(rig, SOUTH, afterRestart, presentInZone());
            serve(rig, SOUTH);

            // One direction is cut: the north receives nothing from the south, which still receives from the north.
            int[] afterCut = positions(rig);
            rig.network.cut(SOUTH, NORTH, true);
            await(rig, NORTH, afterCut, zone("south", false));
            serve(rig, NORTH);
            serve(rig, SOUTH);
            assertNever(rig, SOUTH, afterCut, ".*zone=north .*known=false.*");
            int[] afterHealing = positions(rig);
            rig.network.cut(SOUTH, NORTH, false);
            await(rig, NORTH, afterHealing, zone("south", true));
            assertNever(rig, NORTH, afterCut, ".* lost=\\[\\d.* fleet");
            assertNever(rig, SOUTH, afterCut, ".* lost=\\[\\d.* fleet");
            assertNever(rig, new int[] {0, 1, 2, 3, 4, 5}, start, ".* ERROR .*");
        }
    }
}
