package dockshed.fleet;

import java.util.List;
import java.util.Map;

/**
 * What the broker's loop reads of the fleet: immutable and replaced as a whole. It states how long it is valid, since the
 * loop that makes it and the loop that reads it may each stall.
 *
 * @param takenAt           when it was made, in microseconds of the process's clock
 * @param steady            whether what is known of the others is later than this process's last stall
 * @param presentBrokers    numbers of the brokers that are present, this one included
 * @param newSessionShare   of 1: what this broker may use of each server's room and cold pace, until {@code leasedUntil}
 * @param retryShare        the same of the fleet's retries
 * @param guaranteedShare   what it may use of both after {@code leasedUntil}
 * @param leasedUntil       when the leased shares end
 * @param sheddingThreshold the priority below which to refuse; 0: none
 * @param requestsPerSecond of the whole fleet, as replicated
 * @param healthReports     on edge servers, by the hash of the server's id
 * @param stormMessages        of the retry-storm part, by broker
 * @param otherScopes       what is known of the other scopes of a divided fleet; all else is of the own scope, but for
 *     {@code sheddingThreshold} and {@code requestsPerSecond}
 */
public record FleetSnapshot(
        long takenAt,
        boolean steady,
        List<Integer> presentBrokers,
        double newSessionShare,
        double retryShare,
        double guaranteedShare,
        long leasedUntil,
        int sheddingThreshold,
        double requestsPerSecond,
        Map<Integer, List<VersionedEntry>> healthReports,
        Map<Integer, VersionedEntry> stormMessages,
        List<ScopeStatus> otherScopes) {
    /** Microseconds after which a snapshot counts as none: the fleet's loop has stalled. */
    public static final long MAX_AGE_US = 1_500_000;

    /** Stands in place of a share where none is kept. */
    public static final double UNSHARED = -1;

    /** Before anything is known: the broker is alone. */
    public static final FleetSnapshot ALONE = new FleetSnapshot(
            Long.MIN_VALUE / 2,
            false,
            List.of(),
            UNSHARED,
            UNSHARED,
            UNSHARED,
            Long.MIN_VALUE / 2,
            0,
            0,
            Map.of(),
            Map.of(),
            List.of());

    /**
     * Another scope as this broker knows it.
     *
     * @param scope      its number
     * @param zone       the name of its zone
     * @param region     of its zone
     * @param configured brokers in it
     * @param present    brokers that are present there; 0: nothing is known of it
     * @param age        of that figure, in microseconds
     */
    public record ScopeStatus(int scope, String zone, String region, int configured, int present, long age) {
        /** Whether anything is known of it that is young enough. */
        public boolean isKnown() {
            return present > 0;
        }
    }

    /** A snapshot of an undivided fleet. */
    public FleetSnapshot(
            long takenAt,
            boolean steady,
            List<Integer> presentBrokers,
            double newSessionShare,
            double retryShare,
            double guaranteedShare,
            long leasedUntil,
            int sheddingThreshold,
            double requestsPerSecond,
            Map<Integer, List<VersionedEntry>> healthReports,
            Map<Integer, VersionedEntry> stormNotes) {
        this(
                takenAt,
                steady,
                presentBrokers,
                newSessionShare,
                retryShare,
                guaranteedShare,
                leasedUntil,
                sheddingThreshold,
                requestsPerSecond,
                healthReports,
                stormNotes,
                List.of());
    }

    /** Whether it is young enough to be used. */
    public boolean isFresh(long now) {
        return now - takenAt <= MAX_AGE_US;
    }

    /** The share of new sessions in force, of 1, or {@link #UNSHARED}. */
    public double newSessionShare(long now) {
        return now < leasedUntil ? newSessionShare : guaranteedShare;
    }

    /** The share of retries in force, of 1, or {@link #UNSHARED}. */
    public double retryShare(long now) {
        return now < leasedUntil ? retryShare : guaranteedShare;
    }
}
