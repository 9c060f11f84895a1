package dockshed.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A broker as a candidate and lease coordinator: it is the coordinator as long as a majority's votes are running, and
 * grants leases by demand. It never grants more than the leased part, counting all leases that may still be running.
 */
final class LeaseCoordinator {
    /** Part of the leased share that is reserved for brokers that join. */
    private static final double RESERVED_FRACTION = 0.1;
    /** Part of the leased share that is split evenly; the rest follows the demand. */
    private static final double EVEN_FRACTION = 0.2;

    /** Minimum length of a lease that is worth granting, in microseconds. */
    private static final long MIN_LEASE_US = LeasedShares.REQUEST_RETRY_DELAY_US;
    /** Microseconds after which a broker that has not requested again is not counted any more. */
    private static final long DEMAND_VALIDITY_US = 2 * LeasedShares.MAX_LEASE_US;

    /** A granted lease: its length in microseconds, and the shares. */
    record Grant(long micros, ResourceAmounts shares) {}

    private record RunningLease(ResourceAmounts shares, long until) {}

    private record Demand(ResourceAmounts amounts, long reportedAt) {}

    private final int quorum;
    /** Part of the whole that is leased, of 1. */
    private final double leasable;
    /** When each vote ends, by voter, in microseconds of this broker's clock. */
    private final Map<Integer, Long> votes = new HashMap<>();
    /** The current round of vote requests; votes of other rounds are ignored. */
    private int round;

    private long roundAt = Long.MIN_VALUE / 2;
    private final Map<Integer, List<RunningLease>> running = new HashMap<>();
    private final Map<Integer, Demand> demands = new HashMap<>();

    /**
     * Creates a candidate without votes.
     *
     * @param leasable   part of the whole that is leased, of 1
     * @param firstRound number that differs from those of every earlier incarnation
     */
    LeaseCoordinator(int quorum, double leasable, int firstRound) {
        this.quorum = quorum;
        this.leasable = leasable;
        round = firstRound;
    }

    // ---- Election.

    /** When the next round of vote requests is due. */
    long nextRoundAt() {
        return roundAt + LeasedShares.VOTE_TERM_US / 4;
    }

    /** Starts a round of vote requests and returns its number. */
    int startRound(long now) {
        roundAt = now;
        return ++round;
    }

    /** Invalidates votes in progress, since this process has stalled after it requested them. */
    void voidRound() {
        round++;
    }

    /** Handles a voter's vote. It counts from when it was requested, so it ends before the voter's own term. */
    void voted(long now, int voter, int votedRound) {
        if (votedRound != round || now - roundAt >= LeasedShares.VOTE_TERM_US) {
            return;
        }
        if (!isCoordinator(now)) {
            running.clear(); // all leases of an earlier term ended with it
        }
        votes.put(voter, roundAt + LeasedShares.VOTE_TERM_US);
    }

    /** Whether votes of a majority are running. */
    boolean isCoordinator(long now) {
        return termEnd(now) > now;
    }

    private long termEnd(long now) {
        List<Long> ends = votes.values().stream()
                .filter(end -> end > now)
                .sorted(Comparator.reverseOrder())
                .toList();
        return ends.size() < quorum ? now : ends.get(quorum - 1);
    }

    // ---- Leases.

    /** Grants a lease to a broker by its demand; null if the coordinator's term is nearly over. */
    Grant grant(long now, int holder, ResourceAmounts wanted) {
        long micros = (long)
                (Math.min(LeasedShares.MAX_LEASE_US, termEnd(now) - now) * (1 - 2 * LeasedShares.MAX_CLOCK_DRIFT));
        if (micros < MIN_LEASE_US) {
            return null;
        }
        demands.put(holder, new Demand(wanted, now));
        demands.values().removeIf(demand -> now - demand.reportedAt() > DEMAND_VALIDITY_US);
        running.values().forEach(leases -> leases.removeIf(lease -> lease.until() <= now));
        running.values().removeIf(List::isEmpty);
        ResourceAmounts shares = ResourceAmounts.of(resource -> share(holder, wanted, resource));
        long until = now + (long) (micros * (1 + 2 * LeasedShares.MAX_CLOCK_DRIFT));
        running.computeIfAbsent(holder, unused -> new ArrayList<>()).add(new RunningLease(shares, until));
        return new Grant(micros, shares);
    }

    private double share(int holder, ResourceAmounts wanted, SharedResource resource) {
        double free = leasable - heldByOthers(holder, resource);
        double aim = part(wanted, resource) * leasable * (1 - RESERVED_FRACTION);
        boolean known = running.containsKey(holder);
        double limit = known ? free - RESERVED_FRACTION / 2 * leasable : free;
        double share = Math.max(0, Math.min(aim, limit));
        return Math.floor(share * ResourceAmounts.SHARE_UNIT) / ResourceAmounts.SHARE_UNIT;
    }

    /** The part of the leased share that corresponds to a demand. */
    private double part(ResourceAmounts wanted, SharedResource resource) {
        int holders = demands.size();
        double all = demands.values().stream()
                .mapToDouble(demand -> demand.amounts().get(resource))
                .sum();
        if (all <= 0) {
            return 1.0 / holders;
        }
        return EVEN_FRACTION / holders + (1 - EVEN_FRACTION) * wanted.get(resource) / all;
    }

    /** What the other holders may have: the largest running lease of each, because a later, smaller one may be lost. */
    private double heldByOthers(int holder, SharedResource resource) {
        double sum = 0;
        for (Map.Entry<Integer, List<RunningLease>> other : running.entrySet()) {
            if (other.getKey() != holder) {
                sum += other.getValue().stream()
                        .mapToDouble(lease -> lease.shares().get(resource))
                        .max()
                        .orElse(0);
            }
        }
        return sum;
    }
}
