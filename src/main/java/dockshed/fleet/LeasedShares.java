package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Shares of what all brokers may use together: each server's capacity and cold-start rate ({@link
 * SharedResource#NEW_SESSIONS}), and retries ({@link SharedResource#RETRIES}). The whole is 1. The guaranteed share of
 * it is split evenly among all configured brokers permanently; the rest is leased by demand by one broker at a time,
 * the lease coordinator. If the fleet is divided into scopes, each scope has its own coordinator and voters, and leases
 * a part of the whole in proportion to its number of configured brokers.
 *
 * <p>Why the shares held never add up to more than the whole:
 * <ul>
 * <li>Even parts of the guaranteed share add up to it, whichever brokers are present.
 * <li>Every broker is in one scope, so the leased parts of all scopes add up to the leased part of the whole, and it is
 * sufficient that no scope leases more than its own part. The rest of the argument is about one scope. A voter votes
 * only for candidates that divide the fleet as it does, since a broker with other zones relies on other voters and
 * another part.
 * <li>A voter votes for one candidate at a time, and for nobody during the first vote term after its start, because it
 * does not know its earlier vote. A coordinator needs a majority of the voters, which are the same at every broker, so
 * any two coordinators have one voter in common, and the later one got that vote only when the earlier one's had ended.
 * A candidate counts a vote's term from its request, a voter from its vote, which is later.
 * <li>A lease ends before its coordinator's own term: the holder counts it from its request, the coordinator from its
 * grant.
 * <li>A coordinator grants a lease only if it and all granted leases that may still be running add up to at most the
 * leased part. For each holder it counts the largest of the holder's running leases, because a later, smaller one may
 * be lost.
 * <li>Each of these rules compares two times of the same process's clock, so the setting of the clocks does not matter;
 * their rates may differ by {@link #MAX_CLOCK_DRIFT}. A process that stalled compares the time again before it uses a
 * share.
 * </ul>
 */
final class LeasedShares {
    /** How much faster one clock may run than another, as a fraction. */
    static final double MAX_CLOCK_DRIFT = 0.01;
    /** Length of a vote's term, in microseconds. */
    static final long VOTE_TERM_US = 4_000_000;
    /** Maximum length of a lease, in microseconds. */
    static final long MAX_LEASE_US = 3_000_000;
    /** Number of voters in a scope of at least that many brokers; a majority of them makes a coordinator. */
    static final int VOTER_COUNT = 5;
    /** Microseconds between two requests for a lease that was not granted. */
    static final long REQUEST_RETRY_DELAY_US = 300_000;

    private static final int NOBODY = -1;
    /** Makes the order of candidates independent of other orders by hash. */
    private static final int CANDIDATE_SALT = 0x5ee7;

    private static final int VOTE_REQUEST_BYTES = 4 + 6;
    private static final int LAYOUT_HASH_BYTES = 4;
    /** Stands for the layout of a fleet without zones, whose vote requests contain no layout. */
    private static final int UNDIVIDED_LAYOUT = 0;

    private static final int VOTE_BYTES = 4;
    private static final int LEASE_REQUEST_BYTES = 4 + ResourceAmounts.BYTES;
    private static final int LEASE_GRANT_BYTES = 4 + 2 + ResourceAmounts.BYTES;

    private final int me;
    private final int brokers;
    private final Scope scope;
    /** How the fleet is divided into scopes; sent with vote requests if it is divided. */
    private final int layoutHash;

    private final double guaranteed;
    private final long incarnation;
    private final Membership membership;
    /** The brokers of the scope in order of preference; the first present one is the candidate. */
    private final List<Integer> preference;
    /** The first brokers of the preference; the same at every broker. */
    private final List<Integer> voters;

    private final LeaseVoter voter;
    private final LeaseCoordinator coordinator;
    private final LeaseHolder holder;

    /**
     * Creates the shares of one broker.
     *
     * @param guaranteed  part of the whole that is split evenly and permanently, of 1
     * @param incarnation differs from every earlier one of this broker
     */
    LeasedShares(
            int me,
            ZoneMap zones,
            double guaranteed,
            long incarnation,
            long now,
            Membership membership,
            SplittableRandom random) {
        this.me = me;
        brokers = zones.brokers();
        scope = zones.scopeOf(me);
        layoutHash = zones.zoned() ? zones.layoutHash() : UNDIVIDED_LAYOUT;
        this.guaranteed = guaranteed;
        this.incarnation = incarnation;
        this.membership = membership;
        preference = preference(scope);
        voters = preference.subList(0, Math.min(VOTER_COUNT, scope.size()));
        voter = new LeaseVoter(me, now);
        // Numbers start at random and differ by incarnation, also where the seed does not: an answer to an earlier
        // incarnation must not be taken for one to this incarnation.
        double leasable = (1 - guaranteed) * scope.size() / brokers;
        coordinator = new LeaseCoordinator(quorum(), leasable, firstNumber(random));
        holder = new LeaseHolder(leasable, firstNumber(random));
    }

    private int firstNumber(SplittableRandom random) {
        return StableHash.mix(random.nextInt(), Long.hashCode(incarnation));
    }

    private static List<Integer> preference(Scope scope) {
        List<Integer> order = new ArrayList<>(scope.brokers().boxed().toList());
        order.sort(Comparator.comparingInt((Integer broker) -> StableHash.mix(broker, CANDIDATE_SALT))
                .thenComparing(broker -> broker));
        return List.copyOf(order);
    }

    private int quorum() {
        return voters.size() / 2 + 1;
    }

    // ---- Demand and shares.

    /** Sets this broker's demand for each resource, per second. */
    void demand(double newSessions, double retries) {
        holder.demand(new ResourceAmounts(newSessions, retries));
    }

    /** This broker's part of the guaranteed share plus its lease, of 1. */
    double share(long now, SharedResource resource) {
        return guaranteed / brokers + holder.held(now, resource);
    }

    /** Until when {@link #share} is valid; afterwards only the guaranteed part may be used. */
    long until(long now) {
        return leased(now) ? holder.leasedUntil() : now;
    }

    /** Whether this broker holds a lease. */
    boolean leased(long now) {
        return holder.isLeased(now);
    }

    /** Whether this broker is the lease coordinator. */
    boolean isCoordinator(long now) {
        return coordinator.isCoordinator(now);
    }

    // ---- Time.

    /** When {@link #tick} is due. */
    long nextTickAt(long now) {
        long request = holder.nextRequestAt();
        long round = coordinator.nextRoundAt();
        // What is due but could not be done, without a coordinator or a reason, waits for the next regular tick.
        return Math.min(request > now ? request : Long.MAX_VALUE, round > now ? round : Long.MAX_VALUE);
    }

    /** Does what is due: requests votes, replicates this broker's vote, requests a lease. */
    void tick(long now, EntryStore entries, Membership.ItemSender out) {
        int current = currentCoordinator(now, entries);
        if (shouldRequestVotes(current) && now >= coordinator.nextRoundAt()) {
            requestVotes(now, out);
        }
        voter.publish(now, entries);
        if (current != NOBODY && now >= holder.nextRequestAt()) {
            requestLease(now, current, out);
        }
    }

    /** Handles a stall of this process: answers to earlier requests are not valid any more. */
    void resumeAfterStall() {
        holder.voidRequest();
        coordinator.voidRound();
    }

    /** The broker for which a majority of the voters report to have voted; a single report makes no coordinator. */
    private int currentCoordinator(long now, EntryStore entries) {
        if (isCoordinator(now)) {
            return me;
        }
        Map<Long, Integer> counts = new HashMap<>();
        for (int number : voters) {
            Long vote = LeaseVoter.published(now, entries.get(number, VersionedEntry.LEASE_COORDINATOR, 0));
            if (vote != null) {
                counts.merge(vote, 1, Integer::sum);
            }
        }
        for (Map.Entry<Long, Integer> count : counts.entrySet()) {
            int candidate = LeaseVoter.candidateOf(count.getKey());
            if (count.getValue() >= quorum() && scope.contains(candidate)) {
                return candidate;
            }
        }
        return NOBODY;
    }

    /** Whether this broker stands for election: it is the coordinator, or the candidate while there is none. */
    private boolean shouldRequestVotes(int current) {
        if (current == me) {
            return true;
        }
        boolean taken = current != NOBODY && membership.member(current).isPresent();
        return !taken && candidate() == me;
    }

    private int candidate() {
        for (int number : preference) {
            if (membership.member(number).isPresent()) {
                return number;
            }
        }
        return me;
    }

    private void requestVotes(long now, Membership.ItemSender out) {
        int round = coordinator.startRound(now);
        BodyWriter body = new BodyWriter().u32(round).u48(incarnation);
        if (layoutHash != UNDIVIDED_LAYOUT) {
            body.u32(layoutHash);
        }
        Item request = body.item(Envelope.VOTE_REQUEST);
        for (int number : voters) {
            if (number == me || membership.member(number).isPresent()) {
                send(now, number, request, out);
            }
        }
    }

    private void requestLease(long now, int from, Membership.ItemSender out) {
        BodyWriter request = new BodyWriter().u32(holder.startRequest(now, from));
        holder.demand().write(request, ResourceAmounts.DEMAND_UNIT);
        send(now, from, request.item(Envelope.LEASE_REQUEST), out);
    }

    /** Sends an item; an item to this broker itself is handled at once. */
    private void send(long now, int to, Item item, Membership.ItemSender out) {
        if (to == me) {
            handleItem(now, me, item, out);
        } else {
            out.send(to, List.of(item));
        }
    }

    // ---- Receiving.

    /** Handles an item of a kind that concerns leases; ignores others, and those that are too short. */
    void handleItem(long now, int from, Item item, Membership.ItemSender out) {
        ByteBuffer in = item.read();
        switch (item.kind()) {
            case Envelope.VOTE_REQUEST -> {
                if (in.remaining() >= VOTE_REQUEST_BYTES) {
                    int round = in.getInt();
                    long candidateIncarnation = Envelope.getU48(in);
                    if (sameLayout(in)) {
                        voteRequested(now, from, round, candidateIncarnation, out);
                    }
                }
            }
            case Envelope.VOTE -> {
                if (in.remaining() >= VOTE_BYTES && voters.contains(from)) {
                    coordinator.voted(now, from, in.getInt());
                }
            }
            case Envelope.LEASE_REQUEST -> {
                if (in.remaining() >= LEASE_REQUEST_BYTES && isCoordinator(now)) {
                    int request = in.getInt();
                    leaseRequested(now, from, request, ResourceAmounts.read(in, ResourceAmounts.DEMAND_UNIT), out);
                }
            }
            case Envelope.LEASE_GRANT -> {
                if (in.remaining() >= LEASE_GRANT_BYTES) {
                    int request = in.getInt();
                    long micros = (in.getShort() & 0xFFFF) * 1000L;
                    ResourceAmounts shares = ResourceAmounts.read(in, ResourceAmounts.SHARE_UNIT);
                    holder.granted(from, request, new LeaseCoordinator.Grant(micros, shares));
                }
            }
            default -> {}
        }
    }

    /** Whether a candidate divides the fleet into the same scopes as this broker. */
    private boolean sameLayout(ByteBuffer rest) {
        int layout = rest.remaining() >= LAYOUT_HASH_BYTES ? rest.getInt() : UNDIVIDED_LAYOUT;
        return layout == layoutHash;
    }

    private void voteRequested(
            long now, int candidate, int round, long candidateIncarnation, Membership.ItemSender out) {
        if (voters.contains(me) && voter.vote(now, candidate, candidateIncarnation)) {
            send(now, candidate, new BodyWriter().u32(round).item(Envelope.VOTE), out);
        }
    }

    private void leaseRequested(long now, int from, int request, ResourceAmounts wanted, Membership.ItemSender out) {
        LeaseCoordinator.Grant grant = coordinator.grant(now, from, wanted);
        if (grant == null) {
            return;
        }
        BodyWriter answer = new BodyWriter().u32(request).u16((int) (grant.micros() / 1000));
        grant.shares().write(answer, ResourceAmounts.SHARE_UNIT);
        send(now, from, answer.item(Envelope.LEASE_GRANT), out);
    }
}
