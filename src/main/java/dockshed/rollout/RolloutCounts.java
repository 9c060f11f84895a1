package dockshed.rollout;

/** Counts since the start; only {@link RolloutNode} and its parts write them. */
public final class RolloutCounts {
    /** Bodies sent. */
    public long sent;

    /** Bytes of the bodies sent. */
    public long sentBytes;
    /** Bodies received. */
    public long received;
    /** Bytes of the bodies received. */
    public long receivedBytes;
    /** Bodies and announcements that could not be decoded. */
    public long malformed;

    /** Bodies and announcements of unknown kinds or later formats, and proposals of brokers that are no voters. */
    public long passedOver;
    /** Bodies from senders that exceeded their rate. */
    public long overAllowance;

    /** Chunk requests answered as busy because of the rates or the slots. */
    public long unserved;
    /** Rounds of requests to the voters. */
    public long rounds;

    /** Rounds that ended without a result. */
    public long roundsWithoutResult;
    /** Chunks that were requested and did not arrive. */
    public long chunksRequestedAgain;

    /** Downloaded contents whose digest was wrong. */
    public long badDigests;
    /** Announcements of the version in force here with another content: correct brokers never send these. */
    public long conflicts;
}
