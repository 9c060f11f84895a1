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

/** Five brokers as processes with faults between them; what they log is merged and held against what is promised. */
class FleetProcessTest {
    private static final int BROKERS = 5;
    private static final Pattern LEASE = Pattern.compile(".*from=(\\d+) until=(\\d+) share=([0-9.E-]+) fleet lease.*");

    @TempDir
    Path dir;

    private static Predicate<String> present(int count) {
        return l -> l.contains("present=" + count + " ") && l.endsWith(" fleet");
    }

    private static Predicate<String> lost(int broker) {
        return l -> l.matches(".* lost=\\[[^]]*\\b" + broker + "\\b[^]]*] .* fleet");
    }

    private static void assertServes(FleetRig rig, int... at) throws Exception {
        for (int b : at) {
            assertEquals(200, rig.requestSession(b, "cert-lesson"));
            assertEquals(200, rig.requestSession(b, "refresher"));
        }
    }

    @Test
    @Timeout(170) // each wait is for a line that comes; suspicions take some seconds each
    void brokersFindLoseAndFindOneAnotherAndServeAllTheWhile() throws Exception {
        try (FleetRig rig = new FleetRig(dir, BROKERS, 3, "fleet {\n}\n")) {
            rig.network.loss = 0.05;
            rig.network.duplication = 0.05;
            rig.network.maxDelayMillis = 15;
            for (BrokerProcess b : rig.brokers) {
                b.awaitLine(0, present(BROKERS));
            }
            assertServes(rig, 0, 1, 2, 3, 4);

            // Killed, and started again with nothing.
            int[] marks = marks(rig);
            rig.brokers.get(3).kill();
            for (int i : new int[] {0, 1, 2, 4}) {
                rig.brokers.get(i).awaitLine(marks[i], lost(3));
            }
            assertServes(rig, 0, 1, 2, 4);
            marks = marks(rig);
            rig.brokers.get(3).start();
            rig.brokers.get(3).awaitLine(marks[3], present(BROKERS));
            for (int i : new int[] {0, 1, 2, 4}) {
                rig.brokers.get(i).awaitLine(marks[i], present(BROKERS));
            }
            assertServes(rig, 3);

            // Stopped until the others have noticed, and let go on: it calls nobody dead.
            marks = marks(rig);
            rig.brokers.get(1).signal("STOP");
            rig.brokers.get(0).awaitLine(marks[0], lost(1));
            assertServes(rig, 0, 2, 3, 4);
            rig.brokers.get(1).signal("CONT");
            rig.brokers.get(0).awaitLine(marks[0], present(BROKERS));
            rig.brokers.get(1).awaitLine(marks[1], l -> l.contains("stalls=1"));
            assertTrue(
                    rig.brokers.get(1).linesSince(marks[1]).stream()
                            .noneMatch(l -> l.matches(".* lost=\\[\\d.* fleet")),
                    "it called somebody dead: " + rig.brokers.get(1).linesSince(marks[1]));
            assertServes(rig, 1);

            // Cut in two, and healed; both parts serve.
            marks = marks(rig);
            rig.network.split(2, true);
            rig.brokers.get(0).awaitLine(marks[0], present(2));
            rig.brokers.get(4).awaitLine(marks[4], present(3));
            assertServes(rig, 0, 1, 2, 3, 4);
            marks = marks(rig);
            rig.network.split(2, false);
            for (int i = 0; i < BROKERS; i++) {
                rig.brokers.get(i).awaitLine(marks[i], present(BROKERS));
            }

            // A planned end is told; the place is taken by a byzantine peer.
            marks = marks(rig);
            rig.brokers.get(4).signal("TERM");
            assertEquals(0, rig.brokers.get(4).awaitExit());
            rig.brokers.get(0).awaitLine(marks[0], lost(4));
            marks = marks(rig);
            rig.injectByzantine(4, 1000);
            for (int i = 0; i < 4; i++) {
                int me = i;
                assertTrue(
                        rig.brokers.get(i).linesSince(marks[i]).stream()
                                .noneMatch(l -> l.matches(".* lost=\\[[0-3].* fleet")),
                        "a byzantine peer took somebody away at " + me);
                assertTrue(rig.brokers.get(i).linesSince(marks[i]).stream().noneMatch(l -> l.contains("ERROR")));
            }
            assertServes(rig, 0, 1, 2, 3);
            assertEquals(0, rig.failed.get());
            assertTrue(rig.paidSetUps.values().stream().allMatch(n -> n == 1), "a paid set-up ran twice");
            assertSharesHold(rig);
        }
    }

    private static int[] marks(FleetRig rig) {
        return rig.brokers.stream().mapToInt(BrokerProcess::logPosition).toArray();
    }

    /** All leases of all processes, on the one clock of this machine: at no time more than what is not guaranteed. */
    private static void assertSharesHold(FleetRig rig) {
        TreeMap<Long, Double> change = new TreeMap<>();
        int leases = 0;
        for (BrokerProcess b : rig.brokers) {
            List<double[]> mine = new ArrayList<>();
            for (String line : b.linesSince(0)) {
                Matcher m = LEASE.matcher(line);
                if (m.matches()) {
                    mine.add(new double[] {
                        Double.parseDouble(m.group(1)),
                        Double.parseDouble(m.group(2)),
                        Double.parseDouble(m.group(3)) - 0.5 / BROKERS
                    });
                }
            }
            leases += mine.size();
            for (int i = 0; i < mine.size(); i++) { // one lease takes the place of the one before
                double end = i + 1 < mine.size() ? Math.min(mine.get(i)[1], mine.get(i + 1)[0]) : mine.get(i)[1];
                change.merge((long) mine.get(i)[0], mine.get(i)[2], Double::sum);
                change.merge((long) end, -mine.get(i)[2], Double::sum);
            }
        }
        double held = 0;
        double most = 0;
        for (double d : change.values()) {
            held += d;
            most = Math.max(most, held);
        }
        assertTrue(leases > 2 * BROKERS, "leases seen: " + leases);
        assertTrue(most <= 0.5 + 1e-6, "leased at the same time: " + most);
    }
}
