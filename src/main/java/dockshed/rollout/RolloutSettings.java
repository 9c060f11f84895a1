package dockshed.rollout;

import java.util.HashSet;
import java.util.List;

/**
 * Who takes part.
 *
 * @param me      this broker's number
 * @param members brokers of the fleet, numbered from 0
 * @param voters  numbers of those that decide: an odd number, the same at every broker
 */
public record RolloutSettings(int me, int members, List<Integer> voters) {
    /** Voters at most: more only make a vote slower. */
    public static final int MAX_VOTERS = 7;

    public RolloutSettings {
        voters = List.copyOf(voters);
        if (me < 0 || me >= members) {
            throw new IllegalArgumentException("broker " + me + " of " + members);
        }
        if (voters.size() % 2 == 0 || voters.size() > MAX_VOTERS || new HashSet<>(voters).size() != voters.size()) {
            throw new IllegalArgumentException("voters " + voters + ": an odd number of different brokers is needed");
        }
        for (int voter : voters) {
            if (voter < 0 || voter >= members) {
                throw new IllegalArgumentException("voter " + voter + " of " + members + " brokers");
            }
        }
    }

    boolean isVoter(int broker) {
        return voters.contains(broker);
    }

    int majority() {
        return voters.size() / 2 + 1;
    }
}
