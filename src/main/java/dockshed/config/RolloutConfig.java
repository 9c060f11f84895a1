package dockshed.config;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The {@code rollout} section of the operator's file.
 *
 * @param voters         numbers of the brokers that vote, the same in every broker's file
 * @param stateDirectory where this broker stores its votes and the configuration in force
 * @param file           the document that a SIGHUP proposes; null: this broker cannot propose any
 */
public record RolloutConfig(List<Integer> voters, Path stateDirectory, Path file) {
    private static final Set<Integer> ALLOWED_VOTER_COUNTS = Set.of(3, 5, 7);
    private static final String EXPECTED_VOTERS = "3, 5 or 7 different numbers of brokers";
    /** Broker numbers are encoded in two bytes. */
    private static final int MAX_BROKER_NUMBER = 65_534;

    public RolloutConfig {
        voters = List.copyOf(voters);
    }

    /** Reads the section; null if it is absent, switched off or invalid. {@code brokers} 0: unknown. */
    static RolloutConfig read(ConfFile.Section root, int brokers) {
        boolean present = root.has("rollout");
        ConfFile.Section section = root.section("rollout");
        boolean enabled = section.flag("enabled", true);
        List<Integer> voters = section.integers("voters", 0, MAX_BROKER_NUMBER, EXPECTED_VOTERS);
        String directory = section.text("state_directory", "the path of a directory");
        String file = section.text("file", "the path of a file");
        if (present
                && (!ALLOWED_VOTER_COUNTS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size())) {
            section.rejectCombination("voters", EXPECTED_VOTERS);
        }
        if (brokers > 0 && voters.stream().anyMatch(voter -> voter >= brokers)) {
            section.rejectCombination("voters", "numbers below " + brokers + ", the number of brokers");
        }
        if (present && directory == null) {
            section.rejectCombination("state_directory", "the path of a directory");
        }
        section.rejectUnknown();
        if (!present || !enabled || directory == null) {
            return null;
        }
        return new RolloutConfig(voters, Path.of(directory), file == null ? null : Path.of(file));
    }
}
