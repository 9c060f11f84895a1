package dockshed.rollout;

import java.util.List;

/**
 * What a voter must never forget.
 *
 * @param joined   whether it may vote: false while it waits at the first start for a majority to be ready
 * @param floor    it votes only for versions above this one, whatever {@code votes} holds
 * @param votes    its last votes, the latest first, at most {@link #MAX_VOTES}
 * @param content  what the latest vote was for; null: it never voted, or the content is not needed any more
 */
public record VoterRecord(boolean joined, long floor, List<ConfigurationId> votes, Configuration content) {
    /** Votes that are remembered: a proposer that dies halfway must not hide the version before it. */
    public static final int MAX_VOTES = 4;

    public VoterRecord {
        votes = List.copyOf(votes);
        if (votes.size() > MAX_VOTES) {
            throw new IllegalArgumentException(votes.size() + " votes");
        }
    }
}
