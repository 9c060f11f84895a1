package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the fleet's membership and shares against a killed broker, a stopped one, a partition, a planned end and a
 * byzantine peer, over a network that loses, delays and duplicates datagrams. Five brokers run as processes; their
 * merged logs are checked.
 */
class FleetProcessTest {
    private static final int BROKERS = 5;
    private static final Pattern LEASE = Pattern.compile(".*from=(\\d+) until=(\\d+) share=([0-9.E-]+) fleet lease.*");

    @TempDir
    Path dir;

    private static Predicate<String> present(int count) {
        return line -> line.contains("present=" + count + " ") && line.endsWith(" fleet");
    }

    private static Predicate<String> lost(int broker) {
        return line -> line.matches(".* lost=\\[[^]]*\\b" + broker + "\\b[^]]*] .* fleet");
    }

    private static void assertServes(FleetRig rig, int... brokers) throws Exception {
        for (int broker : brokers) {
            assertEquals(200, rig.requestSession(broker, "cert-lesson"));
            assertEquals(200, rig.requestSession(broker, "refresher"));
        }
    }

    @Test
    @Timeout(170) // every wait is for a log line; a suspicion takes some seconds
    void brokersDetectFailuresAndReturnsOfOneAnotherAndServeMeanwhile() throws Exception {
        try (FleetRig rig = new FleetRig(dir, BROKERS, 3, "fleet {\n}\n")) {
            rig.network.loss = 0.05;
            rig.network.duplication = 0.05;
            rig.network.maxDelayMillis = 15;
            for (BrokerProcess broker : rig.brokers) {
                broker.awaitLine(0, present(BROKERS));
            }
            assertServes(rig, 0, 1, 2, 3, 4);

            // A broker is killed, and restarted without any state.
            int[] positions = positions(rig);
            rig.brokers.get(3).kill();
            for (int i : new int[] {0, 1, 2, 4}) {
                rig.brokers.get(i).awaitLine(positions[i], lost(3));
            }
            assertServes(rig, 0, 1, 2, 4);
            positions = positions(rig);
            rig.brokers.get(3).start();
            rig.brokers.get(3).awaitLine(positions[3], present(BROKERS));
            for (int i : new int[] {0, 1, 2, 4}) {
                rig.brokers.get(i).awaitLine(positions[i], present(BROKERS));
            }
            assertServes(rig, 3);

            // A broker is stopped until the others have noticed, and continued: it declares no other broker dead.
            positions = positions(rig);
            rig.brokers.get(1).signal("STOP");
            rig.brokers.get(0).awaitLine(positions[0], lost(1));
            assertServes(rig, 0, 2, 3, 4);
            rig.brokers.get(1).signal("CONT");
            rig.brokers.get(0).awaitLine(positions[0], present(BROKERS));
            rig.brokers.get(1).awaitLine(positions[1], line -> line.contains("stalls=1"));
            assertTrue(
                    rig.brokers.get(1).linesSince(positions[1]).stream()
                            .noneMatch(line -> line.matches(".* lost=\\[\\d.* fleet")),
                    "the stopped broker declared others dead: "
                            + rig.brokers.get(1).linesSince(positions[1]));
            assertServes(rig, 1);

            // A partition, which is healed; both sides serve.
            positions = positions(rig);
            rig.network.split(2, true);
            rig.brokers.get(0).awaitLine(positions[0], present(2));
            rig.brokers.get(4).awaitLine(positions[4], present(3));
            assertServes(rig, 0, 1, 2, 3, 4);
            positions = positions(rig);
            rig.network.split(2, false);
            for (int i = 0; i < BROKERS; i++) {
                rig.brokers.get(i).awaitLine(positions[i], present(BROKERS));
            }

            // A planned end is announced to the others; then a byzantine peer sends in the place of the broker that
            // ended.
            positions = positions(rig);
            rig.brokers.get(4).signal("TERM");
            assertEquals(0, rig.brokers.get(4).awaitExit());
            rig.brokers.get(0).awaitLine(positions[0], lost(4));
            positions = positions(rig);
            rig.injectByzantine(4, 1000);
            for (int i = 0; i < 4; i++) {
                int broker = i;
                assertTrue(
                        rig.brokers.get(i).linesSince(positions[i]).stream()
                                .noneMatch(line -> line.matches(".* lost=\\[[0-3].* fleet")),
                        "a byzantine peer made brokers disappear at " + broker);
                assertTrue(
                        rig.brokers.get(i).linesSince(positions[i]).stream().noneMatch(line -> line.contains("ERROR")));
            }
            assertServes(rig, 0, 1, 2, 3);
            assertEquals(0, rig.failed.get());
            assertTrue(rig.paidSetUps.values().stream().allMatch(setUps -> setUps == 1), "a paid set-up ran twice");
            assertSharesHold(rig);
        }
    }

    private static int[] positions(FleetRig rig) {
        return rig.brokers.stream().mapToInt(BrokerProcess::logPosition).toArray();
    }

    /** Checks that the leases of all brokers, on this machine's one clock, never exceed the share that is not guaranteed. */
    private static void assertSharesHold(FleetRig rig) {
        TreeMap<Long, Double> changes = new TreeMap<>();
        int leases = 0;
        for (BrokerProcess broker : rig.brokers) {
            List<double[]> ownLeases = new ArrayList<>();
            for (String line : broker.linesSince(0)) {
                Matcher matcher = LEASE.matcher(line);
                if (matcher.matches()) {
                    ownLeases.add(new double[] {
                        Double.parseDouble(matcher.group(1)),
                        Double.parseDouble(matcher.group(2)),
                        Double.parseDouble(matcher.group(3)) - 0.5 / BROKERS
                    });
                }
            }
            leases += ownLeases.size();
            for (int i = 0; i < ownLeases.size(); i++) { // a lease replaces the one before it
                double end = i + 1 < ownLeases.size()
                        ? Math.min(ownLeases.get(i)[1], ownLeases.get(i + 1)[0])
                        : ownLeases.get(i)[1];
                changes.merge((long) ownLeases.get(i)[0], ownLeases.get(i)[2], Double::sum);
                changes.merge((long) end, -ownLeases.get(i)[2], Double::sum);
            }
        }
        double held = 0;
        double highest = 0;
        for (double change : changes.values()) {
            held += change;
            highest = Math.max(highest, held);
        }
        assertTrue(leases > 2 * BROKERS, "leases seen: " + leases);
        assertTrue(highest <= 0.5 + 1e-6, "leased at the same time: " + highest);
    }
}
