package dockshed.rollout;

/** Counts since the start; {@link RolloutNode} alone writes them. */
public final class RolloutCounts {
    /** Bodies and bytes sent and received. */
    public long sent;

    public long sentBytes;
    public long received;
    public long receivedBytes;
    /** Bodies and announcements that could not be read, and those of unknown kinds or later formats. */
    public long malformed;

    public long passedOver;
    /** Bodies of a sender beyond its allowance, and requests that were not served for want of allowance. */
    public long overAllowance;

    public long unserved;
    /** Rounds of asking the voters, of them without a result. */
    public long rounds;

    public long roundsWithoutResult;
    /** Chunks asked for again, and contents whose digest was wrong. */
    public long chunksRequestedAgain;

    public long badDigests;
    /** Announcements of the version in force here with another content: never of sound brokers. */
    public long conflicts;
}
