package dockshed.rollout;

import java.util.BitSet;
import java.util.List;

/** What brokers say to one another about configurations; {@link RolloutCodec} reads and writes them. */
sealed interface RolloutMessage {
    /** Asks a voter what it knows. {@code above}: only versions above this one are of interest. */
    record ReportRequest(int round, long above) implements RolloutMessage {}

    /**
     * A voter's answer to a {@link ReportRequest} or a {@link Proposal}.
     *
     * @param round   of the question
     * @param phase   whether it votes
     * @param invalid whether it refused the proposed content, as its program cannot use it
     * @param highest the version above which it votes
     * @param known   what it voted for or has in force, of the versions asked for; the latest first
     */
    record Report(int round, VoterPhase phase, boolean invalid, long highest, List<ConfigurationId> known)
            implements RolloutMessage {
        /** Its votes and what it has in force. */
        static final int MAX_KNOWN = VoterRecord.MAX_VOTES + 1;

        public Report {
            known = List.copyOf(known);
        }

        /** What it says of a version; null: nothing. */
        ConfigurationId knownAt(long version) {
            for (ConfigurationId id : known) {
                if (id.version() == version) {
                    return id;
                }
            }
            return null;
        }
    }

    /** Asks a voter to vote for a content, which it fetches from the sender first. */
    record Proposal(int round, long above, ConfigurationId id) implements RolloutMessage {}

    /** Asks for chunks of a content: {@code missing} has the numbers of those wanted. */
    record ChunkRequest(int request, long version, long digestPrefix, BitSet missing) implements RolloutMessage {}

    /** One chunk of a content of {@code length} bytes in all. */
    record Chunk(int request, long version, int length, int index, byte[] bytes) implements RolloutMessage {}

    /** The chunks asked for cannot be had here now; {@code busy}: but later. */
    record Unavailable(int request, long version, boolean busy) implements RolloutMessage {}
}
