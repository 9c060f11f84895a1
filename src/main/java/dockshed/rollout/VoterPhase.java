package dockshed.rollout;

/** Whether a voter votes. The order is that of the wire. */
public enum VoterPhase {
    /** Does not know its earlier votes, and abstains. */
    RECOVERING,
    /** No voter had a record at the first start; abstains until a majority is ready. */
    READY,
    /** Votes. */
    VOTING
}
