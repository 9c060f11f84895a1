package dockshed.rollout;

/** What a voter may do. */
public enum VoterPhase {
    /** It does not know its earlier votes: abstains. */
    RECOVERING,
    /** All voters began without a record; it waits for a majority to be ready: abstains. */
    READY,
    /** Votes. */
    VOTING
}
