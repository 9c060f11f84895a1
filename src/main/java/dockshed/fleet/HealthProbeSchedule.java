package dockshed.fleet;

import dockshed.core.ProbeCoordinator.Suspicion;
import dockshed.core.ProbeCoordinator.Verdict;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which broker probes an edge server that is suspect, silent or coming back. Rendezvous hashing over the present
 * brokers gives each server an order of brokers; they take turns, {@link #TURN_US} apart from the time of the
 * suspicion, until one has reported a result. So a dead server is probed by one broker per turn, whatever the size of
 * the fleet, and a prober that is dead or cut off costs one turn.
 *
 * <p>Trust: a server counts as down only by the probes of two brokers, this one included, both later than the server's
 * last sign of life here. A report that it is up is trusted during the first {@link #MAX_WAIT_US} of a suspicion; after
 * that this broker probes.
 */
final class HealthProbeSchedule {
    /** Microseconds between two brokers' turns: a connection attempt that fails takes a quarter of a second. */
    static final long TURN_US = 700_000;
    /** Microseconds for which a health report counts. */
    static final long REPORT_VALIDITY_US = 2_500_000;
    /** Microseconds from the suspicion for which a broker waits for the others at most. */
    static final long MAX_WAIT_US = 6_000_000;
    /** Value of a report that the server is up. */
    static final int UP = 1;
    /** Value of a report that the server is down. */
    static final int DOWN = 2;
    /** Number of brokers whose probes must agree that a server is down; this broker is one of them. */
    static final int REQUIRED_REPORTS = 2;

    private HealthProbeSchedule() {}

    /** The brokers in the order of their turns at a server: the highest hash first. */
    static List<Integer> order(List<Integer> brokers, int server) {
        List<Integer> out = new ArrayList<>(brokers);
        out.sort(Comparator.comparingInt((Integer broker) -> StableHash.mix(server, broker))
                .reversed()
                .thenComparing(broker -> broker));
        return out;
    }

    /**
     * What this broker has to do about a suspect server.
     *
     * @param brokers the present brokers
     * @param server  the hash of the server's id
     * @param reports on the server, from present brokers
     */
    static Verdict verdict(
            long now, int me, List<Integer> brokers, int server, List<VersionedEntry> reports, Suspicion suspicion) {
        int down = Math.min(1, suspicion.consecutiveFailures());
        for (VersionedEntry report : reports) {
            if (report.owner() == me || !counts(now, report, suspicion)) {
                continue;
            }
            if (report.value()[0] == UP && now - suspicion.suspectedSince() < MAX_WAIT_US) {
                return Verdict.UP;
            }
            down += report.value()[0] == DOWN ? 1 : 0;
        }
        if (down >= REQUIRED_REPORTS) {
            return Verdict.DOWN;
        }
        return probeDue(now, me, brokers, server, suspicion) ? Verdict.TRY : Verdict.WAIT;
    }

    private static boolean counts(long now, VersionedEntry report, Suspicion suspicion) {
        return report.value().length > 0
                && now - report.writtenAt() <= REPORT_VALIDITY_US
                && report.writtenAt() >= suspicion.lastReceivedAt();
    }

    private static boolean probeDue(long now, int me, List<Integer> brokers, int server, Suspicion suspicion) {
        int turn = order(brokers, server).indexOf(me);
        long wait = Math.min(MAX_WAIT_US, Math.max(0, turn) * TURN_US);
        boolean firstOrRepeat = suspicion.consecutiveFailures() == 0 || now - suspicion.lastProbedAt() >= MAX_WAIT_US;
        return now - suspicion.suspectedSince() >= wait && firstOrRepeat;
    }
}
