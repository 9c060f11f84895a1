package dockshed.fleet;

import java.util.List;
import java.util.Map;

/**
 * What the broker's loop reads about the fleet: immutable, and replaced as a whole. It states how long it is valid,
 * since the loop that creates it and the loop that reads it may each stall.
 *
 * @param takenAt           when the snapshot was taken, in microseconds of the process's clock
 * @param steady            whether what is known about the others is later than this process's last stall
 * @param presentBrokers    numbers of the present brokers, this one included
 * @param newSessionShare   of 1: what this broker may use of each server's capacity and cold-start rate, until {@code
 *     leasedUntil}
 * @param retryShare        of 1: what it may use of the fleet's retries, until {@code leasedUntil}
 * @param guaranteedShare   of 1: what it may use of both after {@code leasedUntil}
 * @param leasedUntil       when the leased shares end, in microseconds
 * @param sheddingThreshold the priority below which requests are refused; 0: none
 * @param requestsPerSecond of the whole fleet, by the replicated figures
 * @param healthReports     on edge servers, by the hash of the server's id
 * @param stormMessages     the latest message of the storm part of each other broker, by broker
 * @param otherScopes       what is known about the other scopes of a divided fleet; all other components concern the
 *     own scope, except {@code sheddingThreshold} and {@code requestsPerSecond}
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
    /** Microseconds after which a snapshot is not used any more: the fleet's loop has stalled. */
    public static final long MAX_AGE_US = 1_500_000;

    /** Stands for a share that is not limited. */
    public static final double UNSHARED = -1;

    /** Used before anything is known: the broker serves alone. */
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
     * @param zone       name of its zone
     * @param region     of its zone
     * @param configured number of its brokers
     * @param present    number of its present brokers; 0: nothing is known about it
     * @param age        of {@code present}, in microseconds
     */
    public record ScopeStatus(int scope, String zone, String region, int configured, int present, long age) {
        /** Whether there is information about the scope that is recent enough. */
        public boolean isKnown() {
            return present > 0;
        }
    }

    /** Creates a snapshot of an undivided fleet. */
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

    /** Whether the snapshot is recent enough to be used. */
    public boolean isFresh(long now) {
        return now - takenAt <= MAX_AGE_US;
    }

    /** The share of new sessions that applies now, of 1, or {@link #UNSHARED}. */
    public double newSessionShare(long now) {
        return now < leasedUntil ? newSessionShare : guaranteedShare;
    }

    /** The share of retries that applies now, of 1, or {@link #UNSHARED}. */
    public double retryShare(long now) {
        return now < leasedUntil ? retryShare : guaranteedShare;
    }
}
