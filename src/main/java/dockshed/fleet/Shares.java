package dockshed.fleet;

import dockshed.fleet.Envelope.Bodies;
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
 * Shares of what all brokers may use together: each box's room and cold pace ({@link #NEWCOMERS}), and further attempts
 * ({@link #ATTEMPTS}). The whole is 1. Of it {@link Terms#floor} is split evenly among all configured brokers for good; the
 * rest is leased by demand, by one broker at a time, the purser.
 *
 * <p>Why the shares held never add up to more than the whole:
 * <ul>
 * <li>Even parts of the floor add up to the floor, whoever is there.
 * <li>A witness promises itself to one candidate at a time, and to nobody for the longest promise after its start, as it
 * does not know what it promised before. A purser needs a majority of the witnesses, which are the same at every broker,
 * so any two pursers have one in common, and the later one had its promise only when the earlier one's was over. A
 * candidate counts a promise from when it asked for it, a witness from when it gave it, which is later.
 * <li>A lease ends before its purser's own time: the holder counts it from when it asked, the purser from when it gave.
 * <li>A purser gives a lease only if it and all that it gave and that may still run add up to the leased part. What it
 * reckons with for a holder is the largest of that holder's running leases, as a later, smaller one may be lost.
 * <li>Each of these compares two times of one process's own clock, so the clocks' settings have no part in it; their rates
 * may differ by {@link #DRIFT}. A process that stood still compares the time again before it uses a share.
 * </ul>
 */
final class Shares {
    static final int NEWCOMERS = 0, ATTEMPTS = 1, KINDS = 2;
    /** Of 1: how much faster one clock may run than another. */
    static final double DRIFT = 0.01;
    /** Microseconds of a witness's promise, and of a lease at most. */
    static final long PROMISE = 4_000_000, LEASE = 3_000_000;
    /** Witnesses; a majority of them makes a purser. */
    static final int WITNESSES = 5;
    /** Of the leased part, what is kept for brokers that come. */
    static final double KEPT = 0.1;
    /** Demand is told in tenths a second, shares in parts of 65,535. */
    private static final double DEMAND_UNIT = 10, SHARE_UNIT = 65_535;
    /** A lease is asked for again once this part of it is over; a new one at most so often. */
    private static final double RENEW = 0.65;

    private static final long ASK_AGAIN = 300_000;

    private record Lease(double[] share, long until) {}

    private final int me, brokers;
    private final double floor;
    private final long life;
    private final List<Integer> witnesses;
    private final int[] preference;
    private final Membership who;
    // as a witness
    private int promisedTo = -1;
    private long promisedLife; // of that broker: a later life knows nothing of the leases that still run
    private long promisedUntil;
    // as a candidate and purser
    private final Map<Integer, Long> promises = new HashMap<>(); // by witness: until when, by the own clock
    private int asked; // the round of asking; answers to others are void
    private long askedAt = Long.MIN_VALUE / 2;
    private final Map<Integer, List<Lease>> given = new HashMap<>();
    private final Map<Integer, double[]> demands = new HashMap<>();
    private final Map<Integer, Long> demandAt = new HashMap<>();
    // as a holder
    private final double[] demand = new double[KINDS];
    private double[] held = new double[KINDS];
    private long heldUntil = Long.MIN_VALUE / 2, heldSince;
    private int request;
    private long requestAt = Long.MIN_VALUE / 2;
    private int askedOf;
    private boolean answered;

    /** {@code life}: differs from that of every earlier life of this broker. */
    Shares(int me, int brokers, double floor, long life, long now, Membership who, SplittableRandom random) {
        this.me = me;
        this.life = life;
        // An answer to an earlier life's question must not be taken for one to this life's.
        asked = random.nextInt();
        request = random.nextInt();
        this.brokers = brokers;
        this.floor = floor;
        this.who = who;
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < brokers; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingInt((Integer i) -> Mix.mix(i, 0x5ee7)).thenComparing(i -> i));
        witnesses = List.copyOf(order.subList(0, Math.min(WITNESSES, brokers)));
        preference = order.stream().mapToInt(i -> i).toArray();
        // What this broker promised in an earlier life is not known any more, and is over by then.
        promisedUntil = now + (long) (PROMISE * (1 + 2 * DRIFT));
    }

    // ---- The holder.

    /** What this broker wants, by kind: its newcomers a second and its further attempts a second. */
    void demand(double newcomers, double attempts) {
        demand[NEWCOMERS] = newcomers;
        demand[ATTEMPTS] = attempts;
    }

    /** Its own part of the floor and what it holds by a lease, of 1. */
    double share(long now, int kind) {
        return floor / brokers + (now < heldUntil ? held[kind] : 0);
    }

    /** Until when {@link #share} holds as it is; what is used later must be the floor's part. */
    long until(long now) {
        return now < heldUntil ? heldUntil : now;
    }

    boolean leased(long now) {
        return now < heldUntil;
    }

    /**
     * The purser: whom a majority of the witnesses tell to have promised themselves to. One broker's word makes nobody
     * purser; -1: none is known.
     */
    private int purser(long now, Rows rows) {
        if (isPurser(now)) {
            return me;
        }
        Map<Long, Integer> votes = new HashMap<>();
        for (int w : witnesses) {
            Row r = rows.get(w, Row.PURSER, 0);
            if (r != null && r.value().length >= 8 && now - r.born() < PROMISE) {
                votes.merge(ByteBuffer.wrap(r.value()).getLong(), 1, Integer::sum);
            }
        }
        for (Map.Entry<Long, Integer> v : votes.entrySet()) {
            int number = (int) (v.getKey() >>> 48);
            if (v.getValue() >= majority() && number < brokers) {
                return number;
            }
        }
        return -1;
    }

    /** A witness's row: the purser's number and life. */
    private void testify(long now, Rows rows) {
        Row told = rows.get(me, Row.PURSER, 0);
        if (promisedTo < 0
                || now >= promisedUntil
                || told != null
                        && now - told.born() < PROMISE / 2
                        && ByteBuffer.wrap(told.value()).getLong() == vote()) {
            return;
        }
        rows.put(now, Row.PURSER, 0, ByteBuffer.allocate(8).putLong(vote()).array());
    }

    private long vote() {
        return (long) promisedTo << 48 | promisedLife;
    }

    private int candidate() {
        for (int i : preference) {
            if (who.member(i).there()) {
                return i;
            }
        }
        return me;
    }

    long next(long now) {
        long ask = requestAt + (answered ? (long) (RENEW * Math.max(1, heldUntil - heldSince)) : ASK_AGAIN);
        long round = askedAt + PROMISE / 4;
        // What is due and could not be done waits for the next look: there is nobody to ask, or it is not this one's
        // to.
        return Math.min(ask > now ? ask : Long.MAX_VALUE, round > now ? round : Long.MAX_VALUE);
    }

    void tick(long now, Rows rows, Membership.Out out) {
        int purser = purser(now, rows);
        boolean rivalled = purser >= 0 && purser != me && who.member(purser).there();
        if ((purser == me || candidate() == me && !rivalled) && now - askedAt >= PROMISE / 4) {
            ask(now, out);
        }
        testify(now, rows);
        boolean due = now - requestAt >= (answered ? (long) (RENEW * Math.max(1, heldUntil - heldSince)) : ASK_AGAIN);
        if (due && purser >= 0) {
            request++;
            requestAt = now;
            answered = false;
            askedOf = purser;
            Item item = new Bodies()
                    .u32(request)
                    .u16(unit(demand[NEWCOMERS]))
                    .u16(unit(demand[ATTEMPTS]))
                    .item(Envelope.ASK);
            if (purser == me) {
                item(now, me, item, out);
            } else {
                out.send(purser, List.of(item));
            }
        }
    }

    private static int unit(double demand) {
        return (int) Math.max(0, Math.min(0xFFFF, Math.round(demand * DEMAND_UNIT)));
    }

    // ---- The purser.

    private int majority() {
        return witnesses.size() / 2 + 1;
    }

    private void ask(long now, Membership.Out out) {
        asked++;
        askedAt = now;
        Item item = new Bodies().u32(asked).u48(life).item(Envelope.LOCK);
        for (int w : witnesses) {
            if (w == me) {
                item(now, me, item, out);
            } else if (who.member(w).there()) {
                out.send(w, List.of(item));
            }
        }
    }

    /** When the own time as purser ends: a majority's promises run until then. */
    private long purserUntil(long now) {
        List<Long> ends = promises.values().stream()
                .filter(t -> t > now)
                .sorted(Comparator.reverseOrder())
                .toList();
        return ends.size() < majority() ? now : ends.get(majority() - 1);
    }

    boolean isPurser(long now) {
        return purserUntil(now) > now;
    }

    private void give(long now, int to, int number, double[] wants, Membership.Out out) {
        long end = purserUntil(now);
        long lease = (long) (Math.min(LEASE, end - now) * (1 - 2 * DRIFT));
        if (lease < ASK_AGAIN) {
            return;
        }
        demands.put(to, wants);
        demandAt.put(to, now);
        demandAt.forEach((who, at) -> {
            if (now - at > 2 * LEASE) {
                demands.remove(who);
            }
        });
        demandAt.keySet().retainAll(demands.keySet());
        given.values().forEach(list -> list.removeIf(l -> l.until() <= now));
        given.values().removeIf(List::isEmpty);
        double[] share = new double[KINDS];
        for (int k = 0; k < KINDS; k++) {
            int kind = k;
            boolean known = given.containsKey(to);
            double all = demands.values().stream().mapToDouble(d -> d[kind]).sum();
            double part = all > 0 ? 0.2 / demands.size() + 0.8 * wants[k] / all : 1.0 / demands.size();
            double whole = 1 - floor;
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
            double aim = part * whole * (1 - KEPT);
            share[k] = Math.max(0, Math.min(aim, known ? free - KEPT / 2 * whole : free));
            share[k] = Math.floor(share[k] * SHARE_UNIT) / SHARE_UNIT;
        }
        given.computeIfAbsent(to, x -> new ArrayList<>()).add(new Lease(share, now + (long) (lease * (1 + 2 * DRIFT))));
        Item item = new Bodies()
                .u32(number)
                .u16((int) (lease / 1000))
                .u16((int) Math.round(share[0] * SHARE_UNIT))
                .u16((int) Math.round(share[1] * SHARE_UNIT))
                .item(Envelope.GRANT);
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
            case Envelope.LOCK -> {
                if (b.remaining() < 10 || !witnesses.contains(me)) {
                    return;
                }
                int number = b.getInt();
                long whose = Envelope.getLong6(b);
                if (promisedTo == from && promisedLife == whose || now >= promisedUntil) {
                    promisedTo = from;
                    promisedLife = whose;
                    promisedUntil = now + (long) (PROMISE * (1 + 2 * DRIFT));
                    Item yes = new Bodies().u32(number).item(Envelope.LOCKED);
                    if (from == me) {
                        item(now, me, yes, out);
                    } else {
                        out.send(from, List.of(yes));
                    }
                }
            }
            case Envelope.LOCKED -> {
                if (b.remaining() >= 4 && b.getInt() == asked && witnesses.contains(from) && now - askedAt < PROMISE) {
                    if (!isPurser(now)) {
                        given.clear(); // whatever was given in an earlier term is over with that term
                    }
                    promises.put(from, askedAt + PROMISE);
                }
            }
            case Envelope.ASK -> {
                if (b.remaining() >= 8 && isPurser(now)) {
                    int number = b.getInt();
                    give(
                            now,
                            from,
                            number,
                            new double[] {(b.getShort() & 0xFFFF) / DEMAND_UNIT, (b.getShort() & 0xFFFF) / DEMAND_UNIT},
                            out);
                }
            }
            case Envelope.GRANT -> {
                if (b.remaining() >= 10 && b.getInt() == request && !answered && from == askedOf) {
                    long lease = (b.getShort() & 0xFFFFL) * 1000;
                    answered = true;
                    heldSince = requestAt;
                    heldUntil = requestAt + Math.min(lease, LEASE);
                    held = new double[] {(b.getShort() & 0xFFFF) / SHARE_UNIT, (b.getShort() & 0xFFFF) / SHARE_UNIT};
                    double most = 1 - floor;
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
