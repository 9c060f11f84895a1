package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Shares of what all brokers may use together: each server's room and cold pace ({@link #NEW_SESSIONS}), and retries ({@link
 * #RETRIES}). The whole is 1. Of it the guaranteed share is split evenly among all configured brokers for good; the rest is
 * leased by demand, by one broker at a time, the lease coordinator.
 *
 * <p>Why the shares held never add up to more than the whole:
 * <ul>
 * <li>Even parts of the guaranteed share add up to it, whoever is present.
 * <li>A voter votes for one candidate at a time, and for nobody in the first vote term after its start, as it does not know
 * its earlier vote. A coordinator needs a majority of the voters, which are the same at every broker, so any two
 * coordinators have one in common, and the later one got its vote only when the earlier one's had ended. A candidate counts
 * a vote's term from when it requested it, a voter from when it gave it, which is later.
 * <li>A lease ends before its coordinator's own term: the holder counts it from its request, the coordinator from its grant.
 * <li>A coordinator grants a lease only if it and all granted ones that may still run add up to the leased part. What it
 * counts for a holder is the largest of that holder's running leases, as a later, smaller one may be lost.
 * <li>Each of these compares two times of one process's own clock, so the clocks' settings have no part in it; their rates
 * may differ by {@link #DRIFT}. A process that stalled compares the time again before it uses a share.
 * </ul>
 */
final class LeasedShares {
    /** Resource: room for new sessions. */
    static final int NEW_SESSIONS = 0;
    /** Resource: retries. */
    static final int RETRIES = 1;

    static final int RESOURCES = 2;
    /** Of 1: how much faster one clock may run than another. */
    static final double DRIFT = 0.01;
    /** Microseconds of a vote's term. */
    static final long VOTE_TERM = 4_000_000;
    /** Microseconds of a lease at most. */
    static final long MAX_LEASE = 3_000_000;
    /** Voters; a majority of them makes a coordinator. */
    static final int VOTERS = 5;
    /** Part of the leased share that is reserved for brokers that join. */
    static final double RESERVED_PART = 0.1;
    /** Demand is encoded in tenths a second. */
    private static final double DEMAND_UNIT = 10;
    /** Shares are encoded in parts of 65,535. */
    private static final double SHARE_UNIT = 65_535;
    /** A lease is renewed once this part of it is over. */
    private static final double RENEW_AFTER = 0.65;
    /** Microseconds between two requests for a lease that was not granted. */
    private static final long RETRY_AFTER = 300_000;

    private record Lease(double[] share, long until) {}

    private final int me, brokers;
    private final double guaranteed;
    private final long incarnation;
    private final List<Integer> voters;
    private final int[] preference;
    private final Membership membership;
    // as a voter
    private int votedFor = -1;
    private long votedIncarnation; // of that broker: a later incarnation knows nothing of the leases that still run
    private long votedUntil;
    // as a candidate and coordinator
    private final Map<Integer, Long> votesReceived = new HashMap<>(); // by voter: until when, by the own clock
    private int asked; // the round of asking; answers to others are void
    private long askedAt = Long.MIN_VALUE / 2;
    private final Map<Integer, List<Lease>> given = new HashMap<>();
    private final Map<Integer, double[]> demands = new HashMap<>();
    private final Map<Integer, Long> demandReportedAt = new HashMap<>();
    // as a holder
    private final double[] demand = new double[RESOURCES];
    private double[] held = new double[RESOURCES];
    private long heldUntil = Long.MIN_VALUE / 2, heldSince;
    private int request;
    private long requestAt = Long.MIN_VALUE / 2;
    private int askedOf;
    private boolean answered;

    /** {@code incarnation}: differs from every earlier one of this broker. */
    LeasedShares(
            int me,
            int brokers,
            double guaranteed,
            long incarnation,
            long now,
            Membership membership,
            SplittableRandom random) {
        this.me = me;
        this.incarnation = incarnation;
        // An answer to a request of an earlier incarnation must not pass for one to a request of this one.
        asked = random.nextInt();
        request = random.nextInt();
        this.brokers = brokers;
        this.guaranteed = guaranteed;
        this.membership = membership;
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < brokers; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingInt((Integer i) -> StableHash.mix(i, 0x5ee7))
                .thenComparing(i -> i));
        voters = List.copyOf(order.subList(0, Math.min(VOTERS, brokers)));
        preference = order.stream().mapToInt(i -> i).toArray();
        // How this broker voted in an earlier incarnation is not known any more; that vote has ended by then.
        votedUntil = now + (long) (VOTE_TERM * (1 + 2 * DRIFT));
    }

    // ---- The holder.

    /** What this broker wants a second of each resource. */
    void demand(double newSessions, double retries) {
        demand[NEW_SESSIONS] = newSessions;
        demand[RETRIES] = retries;
    }

    /** Its part of the guaranteed share and what it holds by a lease, of 1. */
    double share(long now, int kind) {
        return guaranteed / brokers + (now < heldUntil ? held[kind] : 0);
    }

    /** Until when {@link #share} holds as it is; what is used later must be the guaranteed part. */
    long until(long now) {
        return now < heldUntil ? heldUntil : now;
    }

    boolean leased(long now) {
        return now < heldUntil;
    }

    /**
     * The coordinator: the broker that a majority of the voters report to have voted for. One broker's report makes nobody
     * coordinator; -1: none is known.
     */
    private int coordinator(long now, EntryStore entries) {
        if (isCoordinator(now)) {
            return me;
        }
        Map<Long, Integer> votes = new HashMap<>();
        for (int w : voters) {
            VersionedEntry r = entries.get(w, VersionedEntry.LEASE_COORDINATOR, 0);
            if (r != null && r.value().length >= 8 && now - r.writtenAt() < VOTE_TERM) {
                votes.merge(ByteBuffer.wrap(r.value()).getLong(), 1, Integer::sum);
            }
        }
        for (Map.Entry<Long, Integer> v : votes.entrySet()) {
            int number = (int) (v.getKey() >>> 48);
            if (v.getValue() >= quorum() && number < brokers) {
                return number;
            }
        }
        return -1;
    }

    /** Replicates this voter's vote: the coordinator's number and incarnation. */
    private void publishVote(long now, EntryStore entries) {
        VersionedEntry told = entries.get(me, VersionedEntry.LEASE_COORDINATOR, 0);
        if (votedFor < 0
                || now >= votedUntil
                || told != null
                        && now - told.writtenAt() < VOTE_TERM / 2
                        && ByteBuffer.wrap(told.value()).getLong() == vote()) {
            return;
        }
        entries.put(
                now,
                VersionedEntry.LEASE_COORDINATOR,
                0,
                ByteBuffer.allocate(8).putLong(vote()).array());
    }

    private long vote() {
        return (long) votedFor << 48 | votedIncarnation;
    }

    private int candidate() {
        for (int i : preference) {
            if (membership.member(i).isPresent()) {
                return i;
            }
        }
        return me;
    }

    long next(long now) {
        long ask = requestAt + (answered ? (long) (RENEW_AFTER * Math.max(1, heldUntil - heldSince)) : RETRY_AFTER);
        long round = askedAt + VOTE_TERM / 4;
        // What is due and could not be done waits for the next look: there is nobody to ask, or it is not this one's
        // to.
        return Math.min(ask > now ? ask : Long.MAX_VALUE, round > now ? round : Long.MAX_VALUE);
    }

    void tick(long now, EntryStore entries, Membership.Out out) {
        int coordinator = coordinator(now, entries);
        boolean rivalled = coordinator >= 0
                && coordinator != me
                && membership.member(coordinator).isPresent();
        if ((coordinator == me || candidate() == me && !rivalled) && now - askedAt >= VOTE_TERM / 4) {
            ask(now, out);
        }
        publishVote(now, entries);
        boolean due =
                now - requestAt >= (answered ? (long) (RENEW_AFTER * Math.max(1, heldUntil - heldSince)) : RETRY_AFTER);
        if (due && coordinator >= 0) {
            request++;
            requestAt = now;
            answered = false;
            askedOf = coordinator;
            Item item = new BodyWriter()
                    .u32(request)
                    .u16(unit(demand[NEW_SESSIONS]))
                    .u16(unit(demand[RETRIES]))
                    .item(Envelope.LEASE_REQUEST);
            if (coordinator == me) {
                item(now, me, item, out);
            } else {
                out.send(coordinator, List.of(item));
            }
        }
    }

    private static int unit(double demand) {
        return (int) Math.max(0, Math.min(0xFFFF, Math.round(demand * DEMAND_UNIT)));
    }

    // ---- The coordinator.

    private int quorum() {
        return voters.size() / 2 + 1;
    }

    private void ask(long now, Membership.Out out) {
        asked++;
        askedAt = now;
        Item item = new BodyWriter().u32(asked).u48(incarnation).item(Envelope.VOTE_REQUEST);
        for (int w : voters) {
            if (w == me) {
                item(now, me, item, out);
            } else if (membership.member(w).isPresent()) {
                out.send(w, List.of(item));
            }
        }
    }

    /** When the own time as coordinator ends: a majority's votesReceived run until then. */
    private long coordinatorUntil(long now) {
        List<Long> ends = votesReceived.values().stream()
                .filter(t -> t > now)
                .sorted(Comparator.reverseOrder())
                .toList();
        return ends.size() < quorum() ? now : ends.get(quorum() - 1);
    }

    boolean isCoordinator(long now) {
        return coordinatorUntil(now) > now;
    }

    private void give(long now, int to, int number, double[] wants, Membership.Out out) {
        long end = coordinatorUntil(now);
        long lease = (long) (Math.min(MAX_LEASE, end - now) * (1 - 2 * DRIFT));
        if (lease < RETRY_AFTER) {
            return;
        }
        demands.put(to, wants);
        demandReportedAt.put(to, now);
        demandReportedAt.forEach((who, at) -> {
            if (now - at > 2 * MAX_LEASE) {
                demands.remove(who);
            }
        });
        demandReportedAt.keySet().retainAll(demands.keySet());
        given.values().forEach(list -> list.removeIf(l -> l.until() <= now));
        given.values().removeIf(List::isEmpty);
        double[] share = new double[RESOURCES];
        for (int k = 0; k < RESOURCES; k++) {
            int kind = k;
            boolean known = given.containsKey(to);
            double all = demands.values().stream().mapToDouble(d -> d[kind]).sum();
            double part = all > 0 ? 0.2 / demands.size() + 0.8 * wants[k] / all : 1.0 / demands.size();
            double whole = 1 - guaranteed;
            double others = 0;
            for (Map.Entry<Integer, List<Lease>> e : given.entrySet()) {
                others += e.getKey() == to
                        ? 0
                        : e.getValue().stream()
                                .mapToDouble(l -> l.share()[kind])
                                .max()
                                .orElse(0);
            }
            double free = whole - others;
            double aim = part * whole * (1 - RESERVED_PART);
            share[k] = Math.max(0, Math.min(aim, known ? free - RESERVED_PART / 2 * whole : free));
            share[k] = Math.floor(share[k] * SHARE_UNIT) / SHARE_UNIT;
        }
        given.computeIfAbsent(to, x -> new ArrayList<>()).add(new Lease(share, now + (long) (lease * (1 + 2 * DRIFT))));
        Item item = new BodyWriter()
                .u32(number)
                .u16((int) (lease / 1000))
                .u16((int) Math.round(share[0] * SHARE_UNIT))
                .u16((int) Math.round(share[1] * SHARE_UNIT))
                .item(Envelope.LEASE_GRANT);
        if (to == me) {
            item(now, me, item, out);
        } else {
            out.send(to, List.of(item));
        }
    }

    // ---- What comes.

    void item(long now, int from, Item item, Membership.Out out) {
        ByteBuffer b = item.read();
        switch (item.kind()) {
            case Envelope.VOTE_REQUEST -> {
                if (b.remaining() < 10 || !voters.contains(me)) {
                    return;
                }
                int number = b.getInt();
                long whose = Envelope.getU48(b);
                if (votedFor == from && votedIncarnation == whose || now >= votedUntil) {
                    votedFor = from;
                    votedIncarnation = whose;
                    votedUntil = now + (long) (VOTE_TERM * (1 + 2 * DRIFT));
                    Item yes = new BodyWriter().u32(number).item(Envelope.VOTE);
                    if (from == me) {
                        item(now, me, yes, out);
                    } else {
                        out.send(from, List.of(yes));
                    }
                }
            }
            case Envelope.VOTE -> {
                if (b.remaining() >= 4 && b.getInt() == asked && voters.contains(from) && now - askedAt < VOTE_TERM) {
                    if (!isCoordinator(now)) {
                        given.clear(); // whatever was given in an earlier term is over with that term
                    }
                    votesReceived.put(from, askedAt + VOTE_TERM);
                }
            }
            case Envelope.LEASE_REQUEST -> {
                if (b.remaining() >= 8 && isCoordinator(now)) {
                    int number = b.getInt();
                    give(
                            now,
                            from,
                            number,
                            new double[] {(b.getShort() & 0xFFFF) / DEMAND_UNIT, (b.getShort() & 0xFFFF) / DEMAND_UNIT},
                            out);
                }
            }
            case Envelope.LEASE_GRANT -> {
                if (b.remaining() >= 10 && b.getInt() == request && !answered && from == askedOf) {
                    long lease = (b.getShort() & 0xFFFFL) * 1000;
                    answered = true;
                    heldSince = requestAt;
                    heldUntil = requestAt + Math.min(lease, MAX_LEASE);
                    held = new double[] {(b.getShort() & 0xFFFF) / SHARE_UNIT, (b.getShort() & 0xFFFF) / SHARE_UNIT};
                    double most = 1 - guaranteed;
                    held = Arrays.stream(held).map(x -> Math.min(most, x)).toArray();
                }
            }
            default -> {}
        }
    }

    /** This process stood still: what it asked for before says nothing of now. */
    void resumed() {
        request++;
        requestAt = Long.MIN_VALUE / 2;
        asked++;
    }
}
