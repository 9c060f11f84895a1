package dockshed.config;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The {@code rollout} section of the operator's file.
 *
 * @param voters         numbers of the brokers that decide, the same in every broker's file
 * @param stateDirectory where this broker keeps its votes and what is in force
 * @param file           the document that a SIGHUP proposes; null: none can be proposed here
 */
public record RolloutConfig(List<Integer> voters, Path stateDirectory, Path file) {
    private static final Set<Integer> ALLOWED_VOTER_COUNTS = Set.of(3, 5, 7);
    private static final String EXPECTED_VOTERS = "3, 5 or 7 different numbers of brokers";
    /** Brokers' numbers take two bytes. */
    private static final int MAX_BROKER_NUMBER = 65_534;

    public RolloutConfig {
        voters = List.copyOf(voters);
    }

    /** Reads the section; null where it does not stand in the file, or is switched off. {@code brokers} 0: not known. */
    static RolloutConfig read(ConfFile.Section root, int brokers) {
        boolean named = root.has("rollout");
        ConfFile.Section s = root.section("rollout");
        boolean on = s.flag("enabled", true);
        List<Integer> voters = s.integers("voters", 0, MAX_BROKER_NUMBER, EXPECTED_VOTERS);
        String directory = s.text("state_directory", "the path of a directory");
        String file = s.text("file", "the path of a file");
        if (named && (!ALLOWED_VOTER_COUNTS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size())) {
            s.rejectCombination("voters", EXPECTED_VOTERS);
        }
        if (brokers > 0 && voters.stream().anyMatch(v -> v >= brokers)) {
            s.rejectCombination("voters", "numbers below " + brokers + ", the number of brokers");
        }
        if (named && directory == null) {
            s.rejectCombination("state_directory", "the path of a directory");
        }
        s.rejectUnknown();
        if (!named || !on || directory == null) {
            return null;
        }
        return new RolloutConfig(voters, Path.of(directory), file == null ? null : Path.of(file));
    }
}
