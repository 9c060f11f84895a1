package dockshed.rollout;

import java.util.BitSet;
import java.util.List;

/**
 * Messages between brokers about configurations; {@link RolloutCodec} encodes and decodes them. {@code round} and
 * {@code request} are numbers that an answer repeats.
 */
sealed interface RolloutMessage {
    /** Asks a voter what it knows of versions above {@code above}. */
    record ReportRequest(int round, long above) implements RolloutMessage {}

    /**
     * A voter's answer to a {@link ReportRequest} or a {@link Proposal}.
     *
     * @param round   of the request
     * @param phase   whether the sender votes
     * @param invalid whether it refused the proposed content because its program cannot use it
     * @param highest the version above which it votes
     * @param known   what it voted for or has in force, of the versions asked for; the latest first
     */
    record Report(int round, VoterPhase phase, boolean invalid, long highest, List<ConfigurationId> known)
            implements RolloutMessage {
        /** Maximum length of {@code known}: the votes in a voter's record and the configuration in force. */
        static final int MAX_KNOWN = VoterRecord.MAX_VOTES + 1;

        public Report {
            known = List.copyOf(known);
        }

        /** The configuration known of a version; null if there is none. */
        ConfigurationId knownAt(long version) {
            for (ConfigurationId id : known) {
                if (id.version() == version) {
                    return id;
                }
            }
            return null;
        }
    }

    /** Asks a voter to vote for a content, which the voter downloads from the sender first. */
    record Proposal(int round, long above, ConfigurationId id) implements RolloutMessage {}

    /** Asks for chunks of a content: {@code missing} has the indexes of those wanted. */
    record ChunkRequest(int request, long version, long digestPrefix, BitSet missing) implements RolloutMessage {}

    /** One chunk of a content that has {@code length} bytes in total. */
    record Chunk(int request, long version, int length, int index, byte[] bytes) implements RolloutMessage {}

    /** The requested chunks are not available; {@code busy}: the sender has them, but cannot send them now. */
    record Unavailable(int request, long version, boolean busy) implements RolloutMessage {}
}
