package dockshed.rollout;

import java.util.List;

/**
 * What a voter must not forget across restarts. More than {@link #MAX_VOTES} votes throw IllegalArgumentException.
 *
 * @param joined  whether it may vote: false while it waits at the very first start for a majority to be ready
 * @param floor   it votes only for versions above this one, whatever {@code votes} holds
 * @param votes   its last votes, the latest first, at most {@link #MAX_VOTES}
 * @param content what the latest vote was for; null: it never voted, or the content is no longer needed
 */
public record VoterRecord(boolean joined, long floor, List<ConfigurationId> votes, Configuration content) {
    /** Number of votes kept: a proposer that fails halfway must not hide the version before its own. */
    public static final int MAX_VOTES = 4;

    public VoterRecord {
        votes = List.copyOf(votes);
        if (votes.size() > MAX_VOTES) {
            throw new IllegalArgumentException(
                    "votes in a voter's record: expected at most " + MAX_VOTES + ", got " + votes.size());
        }
    }
}
