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

/**
 * Guards the rollout of configurations against killed voters and proposers, a voter without its state, a broker that
 * can't be heard and concurrent proposals. Five brokers run as processes: three voters, one learner and one without
 * rollout.
 */
class RolloutProcessTest {
    private static final int BROKERS = 5;
    private static final int LEARNER = 3;
    private static final int WITHOUT_ROLLOUT = 4;
    private static final int[] VOTERS = {0, 1, 2};
    private static final int[] WITH_ROLLOUT = {0, 1, 2, LEARNER};
    private static final Pattern IN_FORCE =
            Pattern.compile(".*version=(\\d+) digest=([0-9a-f]+) after_ms=\\d+ configuration in force");
    private static final Pattern EXPECTED_VERSION = Pattern.compile(".*: version: expected (\\d+), .*");

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
                + (broker == WITHOUT_ROLLOUT
                        ? ""
                        : "rollout {\nvoters 0 1 2\nstate_directory " + state(broker) + "\nfile " + document(broker)
                                + "\n}\n");
    }

    private BrokerProcess broker(int number) {
        return rig.brokers.get(number);
    }

    private static boolean inForce(String line, long minVersion) {
        Matcher matcher = IN_FORCE.matcher(line);
        return matcher.matches() && Long.parseLong(matcher.group(1)) >= minVersion;
    }

    /** Waits until a version or a later one is in force at all the brokers. */
    private void awaitInForce(long version, int... brokers) throws Exception {
        for (int broker : brokers) {
            broker(broker).awaitLine(0, line -> inForce(line, version));
        }
    }

    private void propose(int broker, String text) throws Exception {
        Files.writeString(document(broker), text);
        broker(broker).signal("HUP");
    }

    private static String text(long version, int port) {
        return "version " + version + "\nnames 127.0.0.1:" + port + "\n";
    }

    /** Proposes until a proposal is chosen, each time with the version that the refusal expects; returns that version. */
    private long proposeUntilChosen(int broker, long firstVersion, int port) throws Exception {
        long version = firstVersion;
        while (true) {
            int position = broker(broker).logPosition();
            propose(broker, text(version, port));
            String line = broker(broker)
                    .awaitLine(
                            position,
                            loggedLine -> loggedLine.matches(
                                    ".*configuration (chosen: version=|unchanged: version=|rejected).*"));
            if (!line.contains("configuration rejected")) {
                return version;
            }
            Matcher expected = EXPECTED_VERSION.matcher(line);
            if (expected.matches() && !line.contains("propose it again")) {
                version = Long.parseLong(expected.group(1));
            }
        }
    }

    @Test
    @Timeout(170) // every wait is for a log line
    void aChangeComesIntoForceAtAllBrokersDespiteFailures() throws Exception {
        try (FleetRig started = new FleetRig(dir, BROKERS, 1, this::conf)) {
            rig = started;
            rig.network.loss = 0.05;
            rig.network.duplication = 0.05;
            rig.network.maxDelayMillis = 5;
            for (int voter : VOTERS) {
                broker(voter).awaitLine(0, line -> line.contains("voter votes: above=0"));
            }
            propose(0, text(1, 1001));
            awaitInForce(1, WITH_ROLLOUT);

            // Errors in a document name file, line and key, and the configuration does not change.
            assertRefused(
                    0, "version 2\nnams 127.0.0.1:1\n", ":2: nams: expected one of version, names, got an unknown");
            assertRefused(
                    0, "names 127.0.0.1:1\nversion 2\n", ":2: version: expected to be the first directive, got 2");
            assertRefused(0, text(7, 1), ":1: version: expected 2, the next, got 7");
            assertRefused(LEARNER, text(2, 1), ":1: version: this broker is no voter");

            // A voter is killed and restarted: it has kept its votes.
            broker(1).kill();
            propose(0, text(2, 1002));
            awaitInForce(2, 0, 2, LEARNER);
            int position = broker(1).logPosition();
            broker(1).start();
            awaitInForce(2, WITH_ROLLOUT);
            assertTrue(broker(1).linesSince(position).stream().noneMatch(line -> line.contains("voter abstains")));

            // A broker that nobody receives from keeps its configuration until others receive from it again.
            rig.network.mute(LEARNER, true);
            propose(1, text(3, 1003));
            awaitInForce(3, VOTERS);
            rig.network.mute(LEARNER, false);
            awaitInForce(3, WITH_ROLLOUT);

            // The proposer is killed when it has proposed, and when its proposal is chosen; others carry on.
            long version = proposeAndKill(0, 4, "configuration proposed: version=");
            awaitInForce(version, WITH_ROLLOUT);
            version = proposeAndKill(1, version + 1, "configuration chosen: version=");
            awaitInForce(version, WITH_ROLLOUT);

            // A voter that has lost its state abstains until it has asked the others.
            broker(2).kill();
            Files.delete(state(2).resolve("voter"));
            Files.write(state(2).resolve("in-force"), new byte[] {1, 2, 3});
            position = broker(2).logPosition();
            broker(2).start();
            broker(2).awaitLine(position, line -> line.contains("voter abstains until it has asked the others"));
            long floor = version;
            broker(2).awaitLine(position, line -> line.matches(".*voter votes: above=" + floor + ".*"));

            // Two proposals at the same time: the loser is told, and the next version is chosen.
            int positionOf0 = broker(0).logPosition();
            int positionOf1 = broker(1).logPosition();
            propose(0, text(version + 1, 2001));
            propose(1, text(version + 1, 2002));
            String outcome = "configuration (chosen: version=|rejected, the previous one stays active: why=).*";
            broker(0).awaitLine(positionOf0, line -> line.matches(".*" + outcome));
            broker(1).awaitLine(positionOf1, line -> line.matches(".*" + outcome));
            version = proposeUntilChosen(2, version + 2, 2003);
            awaitInForce(version, WITH_ROLLOUT);
            assertOneContentAVersionAndNeverBack();
            assertTrue(broker(WITHOUT_ROLLOUT).linesSince(0).stream()
                    .noneMatch(line -> line.contains("ERROR") || inForce(line, 0)));
            assertEquals(200, rig.requestSession(WITHOUT_ROLLOUT, "cert-lesson"));
            assertEquals(200, rig.requestSession(LEARNER, "cert-lesson"));
        }
    }

    private void assertRefused(int broker, String text, String reason) throws Exception {
        int position = broker(broker).logPosition();
        propose(broker, text);
        broker(broker).awaitLine(position, line -> line.contains("why=" + document(broker) + reason));
    }

    /** Kills a proposer once it has logged {@code logged} and restarts it; meanwhile another broker's proposal is chosen. */
    private long proposeAndKill(int proposer, long version, String logged) throws Exception {
        int position = broker(proposer).logPosition();
        propose(proposer, text(version, 3000 + proposer));
        broker(proposer).awaitLine(position, line -> line.contains(logged));
        broker(proposer).kill();
        long chosen = proposeUntilChosen(2, version + 1, 3100 + proposer);
        broker(proposer).start();
        return chosen;
    }

    private void assertOneContentAVersionAndNeverBack() {
        Map<Long, String> digests = new HashMap<>();
        for (int broker : WITH_ROLLOUT) {
            long highest = 0;
            for (String line : broker(broker).linesSince(0)) {
                Matcher matcher = IN_FORCE.matcher(line);
                if (matcher.matches()) {
                    long version = Long.parseLong(matcher.group(1));
                    String other = digests.putIfAbsent(version, matcher.group(2));
                    assertTrue(other == null || other.equals(matcher.group(2)), "two contents of version " + version);
                    assertTrue(
                            version >= highest || broker == 2,
                            "broker " + broker + " went back to an older version: " + line); // broker 2 lost its state
                    highest = version;
                }
            }
        }
    }
}
