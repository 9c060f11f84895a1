package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Five brokers as processes, three of them voters and one without the part; a configuration goes round through faults. */
class RolloutProcessTest {
    private static final int N = 5;
    private static final int LEARNER = 3;
    private static final int WITHOUT = 4;
    private static final int[] VOTERS = {0, 1, 2};
    private static final int[] ALL = {0, 1, 2, LEARNER};
    private static final Pattern IN_FORCE =
            Pattern.compile(".*version=(\\d+) digest=([0-9a-f]+) after_ms=\\d+ configuration in force");
    private static final Pattern NEXT = Pattern.compile(".*: version: expected (\\d+), .*");

    @TempDir
    Path dir;

    private FleetRig rig;

    private Path state(int broker) {
        return dir.resolve("state" + broker);
    }

    private Path document(int broker) {
        return dir.resolve("document" + broker + ".conf");
    }

    private String conf(int broker) {
        return "fleet {\n}\n"
                + (broker == WITHOUT
                        ? ""
                        : "rollout {\nvoters 0 1 2\nstate_directory " + state(broker) + "\nfile " + document(broker)
                                + "\n}\n");
    }

    private BrokerProcess broker(int number) {
        return rig.brokers.get(number);
    }

    private static boolean inForce(String line, long least) {
        Matcher m = IN_FORCE.matcher(line);
        return m.matches() && Long.parseLong(m.group(1)) >= least;
    }

    /** Waits until brokers have a version or a later one in force. */
    private void awaitInForce(long version, int... brokers) throws Exception {
        for (int b : brokers) {
            broker(b).awaitLine(0, l -> inForce(l, version));
        }
    }

    private void propose(int broker, String text) throws Exception {
        Files.writeString(document(broker), text);
        broker(broker).signal("HUP");
    }

    private static String text(long version, int port) {
        return "version " + version + "\nnames 127.0.0.1:" + port + "\n";
    }

    /** Proposes until it is chosen, each time with the number that the refusal names; returns that number. */
    private long change(int broker, long first, int port) throws Exception {
        long version = first;
        while (true) {
            int mark = broker(broker).logPosition();
            propose(broker, text(version, port));
            String line = broker(broker)
                    .awaitLine(
                            mark, l -> l.matches(".*configuration (chosen: version=|unchanged: version=|rejected).*"));
            if (!line.contains("configuration rejected")) {
                return version;
            }
            Matcher next = NEXT.matcher(line);
            if (next.matches() && !line.contains("propose it again")) {
                version = Long.parseLong(next.group(1));
            }
        }
    }

    @Test
    @Timeout(170) // each wait is for a line that comes
    void aChangeComesInForceEverywhereWhateverIsKilledOrCut() throws Exception {
        try (FleetRig made = new FleetRig(dir, N, 1, this::conf)) {
            rig = made;
            rig.network.loss = 0.05;
            rig.network.duplication = 0.05;
            rig.network.maxDelayMillis = 5;
            for (int v : VOTERS) {
                broker(v).awaitLine(0, l -> l.contains("voter votes: above=0"));
            }
            propose(0, text(1, 1001));
            awaitInForce(1, ALL);

            // What is wrong with a document is told by file, line and key, and nothing changes.
            refused(0, "version 2\nnams 127.0.0.1:1\n", ":2: nams: expected one of version, names, got an unknown");
            refused(0, "names 127.0.0.1:1\nversion 2\n", ":2: version: expected to be the first directive, got 2");
            refused(0, text(7, 1), ":1: version: expected 2, the next, got 7");
            refused(LEARNER, text(2, 1), ":1: version: this broker is no voter");

            // A voter is killed and back: it knows its votes.
            broker(1).kill();
            propose(0, text(2, 1002));
            awaitInForce(2, 0, 2, LEARNER);
            int mark = broker(1).logPosition();
            broker(1).start();
            awaitInForce(2, ALL);
            assertTrue(broker(1).linesSince(mark).stream().noneMatch(l -> l.contains("voter abstains")));

            // One that is heard by nobody keeps what it has until it is.
            rig.network.mute(LEARNER, true);
            propose(1, text(3, 1003));
            awaitInForce(3, VOTERS);
            rig.network.mute(LEARNER, false);
            awaitInForce(3, ALL);

            // The proposer is killed as it begins, and as it has ended; others go on.
            long version = killed(0, 4, "configuration proposed: version=");
            awaitInForce(version, ALL);
            version = killed(1, version + 1, "configuration chosen: version=");
            awaitInForce(version, ALL);

            // A voter without its state abstains until it has asked the others.
            broker(2).kill();
            Files.delete(state(2).resolve("voter"));
            Files.write(state(2).resolve("in-force"), new byte[] {1, 2, 3});
            mark = broker(2).logPosition();
            broker(2).start();
            broker(2).awaitLine(mark, l -> l.contains("voter abstains until it has asked the others"));
            long floor = version;
            broker(2).awaitLine(mark, l -> l.matches(".*voter votes: above=" + floor + ".*"));

            // Two at once: whoever loses hears of it, and the next number goes through.
            int zero = broker(0).logPosition();
            int one = broker(1).logPosition();
            propose(0, text(version + 1, 2001));
            propose(1, text(version + 1, 2002));
            String ended = "configuration (chosen: version=|rejected, the previous one stays active: why=).*";
            broker(0).awaitLine(zero, l -> l.matches(".*" + ended));
            broker(1).awaitLine(one, l -> l.matches(".*" + ended));
            version = change(2, version + 2, 2003);
            awaitInForce(version, ALL);
            assertOneContentAVersionAndNeverBack();
            assertTrue(broker(WITHOUT).linesSince(0).stream().noneMatch(l -> l.contains("ERROR") || inForce(l, 0)));
            assertEquals(200, rig.requestSession(WITHOUT, "cert-lesson"));
            assertEquals(200, rig.requestSession(LEARNER, "cert-lesson"));
        }
    }

    private void refused(int broker, String text, String why) throws Exception {
        int mark = broker(broker).logPosition();
        propose(broker, text);
        broker(broker).awaitLine(mark, l -> l.contains("why=" + document(broker) + why));
    }

    /** Kills a proposer when it has logged something, and starts it again; another makes a change go through. */
    private long killed(int proposer, long version, String logged) throws Exception {
        int mark = broker(proposer).logPosition();
        propose(proposer, text(version, 3000 + proposer));
        broker(proposer).awaitLine(mark, l -> l.contains(logged));
        broker(proposer).kill();
        long next = change(2, version + 1, 3100 + proposer);
        broker(proposer).start();
        return next;
    }

    private void assertOneContentAVersionAndNeverBack() {
        Map<Long, String> digests = new HashMap<>();
        for (int b : ALL) {
            long highest = 0;
            for (String line : broker(b).linesSince(0)) {
                Matcher m = IN_FORCE.matcher(line);
                if (m.matches()) {
                    long version = Long.parseLong(m.group(1));
                    String other = digests.putIfAbsent(version, m.group(2));
                    assertTrue(other == null || other.equals(m.group(2)), "two contents of version " + version);
                    assertTrue(version >= highest || b == 2, "broker " + b + " went back: " + line); // 2 lost its state
                    highest = version;
                }
            }
        }
    }
}
