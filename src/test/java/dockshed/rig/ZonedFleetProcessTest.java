package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two zones of three brokers as processes, with faults between them. */
class ZonedFleetProcessTest {
    private static final int[] NORTH = {0, 1, 2};
    private static final int[] SOUTH = {3, 4, 5};
    private static final String CONF = "fleet {\n zone north n 0-2\n zone south s 3-5\n}\n";

    @TempDir
    Path dir;

    private static Predicate<String> zone(String name, boolean known) {
        return line -> line.contains("zone=" + name + " ") && line.contains("known=" + known + " ");
    }

    private static Predicate<String> presentInZone() {
        return line -> line.contains("present=3 ") && line.endsWith(" fleet");
    }

    private static void await(FleetRig rig, int[] brokers, int[] marks, Predicate<String> line) throws Exception {
        for (int broker : brokers) {
            rig.brokers.get(broker).awaitLine(marks[broker], line);
        }
    }

    private static int[] marks(FleetRig rig) {
        return rig.brokers.stream().mapToInt(BrokerProcess::logPosition).toArray();
    }

    private static void serve(FleetRig rig, int[] brokers) throws Exception {
        for (int broker : brokers) {
            assertEquals(200, rig.requestSession(broker, "refresher"));
        }
    }

    private static void assertNever(FleetRig rig, int[] brokers, int[] marks, String pattern) {
        for (int broker : brokers) {
            List<String> lines = rig.brokers.get(broker).linesSince(marks[broker]);
            assertTrue(lines.stream().noneMatch(line -> line.matches(pattern)), "at " + broker + ": " + lines);
        }
    }

    @Test
    @Timeout(170) // each wait is for a line that comes
    void zonesLoseAndFindOneAnotherAndNobodyIsCalledDeadForIt() throws Exception {
        try (FleetRig rig = new FleetRig(dir, 6, 3, CONF)) {
            rig.network.loss = 0.05;
            rig.network.maxDelayMillis = 10;
            int[] begin = new int[6];
            await(rig, NORTH, begin, zone("south", true));
            await(rig, SOUTH, begin, zone("north", true));
            await(rig, NORTH, begin, presentInZone());
            await(rig, SOUTH, begin, presentInZone());

            // A zone is killed, and started again with nothing.
            int[] marks = marks(rig);
            for (int broker : SOUTH) {
                rig.brokers.get(broker).kill();
            }
            await(rig, NORTH, marks, zone("south", false));
            serve(rig, NORTH);
            assertNever(rig, NORTH, marks, ".* lost=\\[\\d.* fleet");
            int[] back = marks(rig);
            for (int broker : SOUTH) {
                rig.brokers.get(broker).start();
            }
            await(rig, NORTH, back, zone("south", true));
            await(rig, SOUTH, back, zone("north", true));
            await(rig, SOUTH, back, presentInZone());
            serve(rig, SOUTH);

            // One way only: the north hears nothing of the south, which hears it all the while.
            int[] cut = marks(rig);
            rig.network.cut(SOUTH, NORTH, true);
            await(rig, NORTH, cut, zone("south", false));
            serve(rig, NORTH);
            serve(rig, SOUTH);
            assertNever(rig, SOUTH, cut, ".*zone=north .*known=false.*");
            int[] healed = marks(rig);
            rig.network.cut(SOUTH, NORTH, false);
            await(rig, NORTH, healed, zone("south", true));
            assertNever(rig, NORTH, cut, ".* lost=\\[\\d.* fleet");
            assertNever(rig, SOUTH, cut, ".* lost=\\[\\d.* fleet");
            assertNever(rig, new int[] {0, 1, 2, 3, 4, 5}, begin, ".* ERROR .*");
        }
    }
}
