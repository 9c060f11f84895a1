package dockshed.rollout;

import java.util.HashSet;
import java.util.List;

/**
 * Which brokers take part in the rollout. The constructor throws IllegalArgumentException for brokers or voters out of
 * range and for an even number of voters or repeated ones.
 *
 * @param me      this broker's number
 * @param members brokers in the fleet, numbered from 0
 * @param voters  numbers of the brokers that vote: an odd number of them, the same list at every broker
 */
public record RolloutSettings(int me, int members, List<Integer> voters) {
    /** Maximum number of voters: more would only make a vote slower. */
    public static final int MAX_VOTERS = 7;

    public RolloutSettings {
        voters = List.copyOf(voters);
        if (me < 0 || me >= members) {
            throw new IllegalArgumentException(
                    "broker number: got " + me + ", expected 0 or more and below " + members);
        }
        if (voters.size() % 2 == 0 || voters.size() > MAX_VOTERS || new HashSet<>(voters).size() != voters.size()) {
            throw new IllegalArgumentException(
                    "voters: got " + voters + ", expected an odd number of different brokers, at most " + MAX_VOTERS);
        }
        for (int voter : voters) {
            if (voter < 0 || voter >= members) {
                throw new IllegalArgumentException("voter: got " + voter + ", expected 0 or more and below " + members
                        + ", the number of brokers");
            }
        }
    }

    boolean isVoter(int broker) {
        return voters.contains(broker);
    }

    /** Votes that choose a content. */
    int majority() {
        return voters.size() / 2 + 1;
    }
}
