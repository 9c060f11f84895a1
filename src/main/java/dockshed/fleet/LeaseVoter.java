package dockshed.fleet;

import java.nio.ByteBuffer;

/**
 * A broker as a voter for the lease coordinator. It votes for one incarnation of one candidate at a time, and for
 * nobody during the first vote term after its start, because it does not know its earlier vote.
 */
final class LeaseVoter {
    private static final int NOBODY = -1;
    /** Bits of the incarnation in a replicated vote; the candidate's number is above them. */
    private static final int INCARNATION_BITS = 48;

    private static final int VOTE_BYTES = 8;
    /**
     * Length of a term by this broker's clock, in microseconds: longer than the candidate's, whichever clock is faster.
     */
    private static final long OWN_VOTE_TERM_US =
            (long) (LeasedShares.VOTE_TERM_US * (1 + 2 * LeasedShares.MAX_CLOCK_DRIFT));

    private final int me;
    private int votedFor = NOBODY;
    /** Of that broker: a later incarnation does not know the leases that are still running. */
    private long votedIncarnation;

    private long votedUntil;

    /** Creates a voter that does not vote before a term has passed. */
    LeaseVoter(int me, long now) {
        this.me = me;
        votedUntil = now + OWN_VOTE_TERM_US;
    }

    /** Votes for a candidate or renews the vote; returns false while another vote is running. */
    boolean vote(long now, int candidate, long incarnation) {
        boolean renewal = votedFor == candidate && votedIncarnation == incarnation;
        if (!renewal && now < votedUntil) {
            return false;
        }
        votedFor = candidate;
        votedIncarnation = incarnation;
        votedUntil = now + OWN_VOTE_TERM_US;
        return true;
    }

    /** Replicates the running vote if it is not replicated yet, or was half a term ago. */
    void publish(long now, EntryStore entries) {
        if (votedFor == NOBODY || now >= votedUntil) {
            return;
        }
        long vote = (long) votedFor << INCARNATION_BITS | votedIncarnation;
        VersionedEntry published = entries.get(me, VersionedEntry.LEASE_COORDINATOR, 0);
        boolean recent = published != null && now - published.writtenAt() < LeasedShares.VOTE_TERM_US / 2;
        if (recent && ByteBuffer.wrap(published.value()).getLong() == vote) {
            return;
        }
        byte[] value = ByteBuffer.allocate(VOTE_BYTES).putLong(vote).array();
        entries.put(now, VersionedEntry.LEASE_COORDINATOR, 0, value);
    }

    /** The vote in a replicated entry; null if the entry holds none or the vote's term is over. */
    static Long published(long now, VersionedEntry entry) {
        boolean running = entry != null
                && entry.value().length >= VOTE_BYTES
                && now - entry.writtenAt() < LeasedShares.VOTE_TERM_US;
        return running ? ByteBuffer.wrap(entry.value()).getLong() : null;
    }

    /** The broker for which a published vote is. */
    static int candidateOf(long vote) {
        return (int) (vote >>> INCARNATION_BITS);
    }
}
