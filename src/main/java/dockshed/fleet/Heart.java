package dockshed.fleet;

import dockshed.fleet.Envelope.Bodies;
import dockshed.fleet.Envelope.Item;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All that a broker knows and says of the fleet, without I/O: it is told the time, what came and what happened here, and
 * hands out datagrams and a view. Calls come from one thread, with a time that never goes back.
 */
public final class Heart {
    /** A process that was not called for so long stood still: its calls come every tenth of a second at least. */
    static final long STOOD_STILL = 1_000_000;
    /** After that, what had waited in the socket is of then, and is not read. */
    static final long STALE_MAIL = 60_000;
    /** Between looks, in microseconds, at most. */
    static final long LOOK = 100_000;
    /** Own figures are told to each peer in turn: so many bytes a second go into that, one peer every so often at most. */
    private static final double PUSH = 0.5;

    private static final long PUSH_LEAST = 100_000;
    /** Bytes a second that allow probes at their usual pace: a third of them go into that. */
    private static final double PROBING = 900;
    /** Between two comparisons of what is held, and between answers to such. */
    private static final long REPAIR = 2_000_000, REPAIR_ANSWER = 400_000;

    private static final int REPAIR_DATAGRAMS = 3;
    /** The time constant of the figures that are told. */
    private static final double SMOOTH = 1_000_000;
    /** Rounds of pushing that a row of figures outlives. */
    private static final int ROUNDS = 4;
    /** Whoever names a later life than this much from now is not believed: a clock is seldom off by more than a week. */
    private static final long PLAUSIBLE = 7L * 24 * 3600 * 1000;

    /** Words on itself that no process contradicts in its life: beyond that another life of it is meant. */
    private static final long CONTRADICTED = 10_000;

    /** Where datagrams go. */
    public interface Sink {
        void send(int to, byte[] datagram);
    }

    /** Counts since the start. */
    public static final class Counts {
        public long sent, bytes, received, passedOver, stoodStill, mended;
    }

    private final FleetTerms terms;
    private final int me, brokers;
    private final SplittableRandom random;
    private final Membership who;
    private final Rows rows;
    private final Shares shares;
    private final Cut cut = new Cut();
    private final Counts counts = new Counts();
    private long life, lastAt, deafUntil = Long.MIN_VALUE, steadyAt;
    private int serial;
    private double tokens;
    private long tokensAt, pushAt, repairAt, repairedAt, told;
    private int pushTo, repairFrom;
    private double[] demand = new double[Cut.STEPS];
    private double taken, unfit, attempts;
    private int proposal;
    private boolean left;

    /**
     * @param me      this broker's number of {@code brokers}
     * @param unixMs  the time of its start, which has to differ from that of every earlier start
     * @param now     microseconds of the clock that all later calls go by
     */
    public Heart(FleetTerms terms, int me, int brokers, long unixMs, long now, long seed) {
        if (me < 0 || me >= brokers || brokers > Envelope.MOST_BROKERS) {
            throw new IllegalArgumentException("broker " + me + " of " + brokers);
        }
        this.terms = terms;
        this.me = me;
        this.brokers = brokers;
        random = new SplittableRandom(seed);
        life = unixMs;
        who = new Membership(me, brokers, life, now, Math.max(1, PROBING / terms.bytes()), random.split());
        rows = new Rows(me, brokers, life);
        shares = new Shares(me, brokers, terms.floor(), life, now, who, random.split());
        rows.keep(Row.LOAD, ROUNDS * (pushGap() * brokers + 500_000));
        rows.keep(Row.NOTE, 3_000_000);
        rows.keep(Row.BOX, 4 * Probes.HOLD);
        rows.keep(Row.PURSER, Shares.PROMISE);
        lastAt = now;
        tokensAt = now;
        steadyAt = now;
        pushAt = now + random.nextLong(pushGap());
        repairAt = now + REPAIR + random.nextLong(REPAIR);
    }

    public Counts counts() {
        counts.mended = rows.forged;
        return counts;
    }

    /** The part of the whole that this broker may use now, for checks: of newcomers. */
    public double newcomers(long now) {
        return shares.share(now, Shares.NEWCOMERS);
    }

    Membership who() {
        return who;
    }

    Rows rows() {
        return rows;
    }

    Shares shares() {
        return shares;
    }

    private long pushGap() {
        return Math.max(PUSH_LEAST, (long) (70 / (terms.bytes() * PUSH) * 1e6));
    }

    /** When {@link #tick} is to be called at the latest. */
    public long next(long now) {
        return Math.min(now + LOOK, Math.max(now + 1000, Math.min(who.next(), Math.min(pushAt, shares.next(now)))));
    }

    // ---- Time.

    private void begin(long now) {
        long gap = now - lastAt;
        lastAt = now;
        if (gap > STOOD_STILL) {
            counts.stoodStill++;
            who.resumed(now, gap);
            shares.resumed();
            deafUntil = now + STALE_MAIL;
            steadyAt = Long.MAX_VALUE; // until somebody has answered
            pushAt = now;
        }
    }

    public void tick(long now, Sink sink) {
        begin(now);
        if (left) {
            return;
        }
        Membership.Out out = (to, items) -> send(now, to, items, sink);
        rows.expire(now);
        who.tick(now, out);
        if (terms.shares()) {
            shares.demand(sum(demand), Math.max(0.05 * sum(demand), attempts));
            shares.tick(now, rows, out);
        }
        if (now >= pushAt) {
            push(now, sink);
        }
        if (now >= repairAt) {
            repairAt = now + REPAIR + random.nextLong(REPAIR / 4);
            for (int to : who.some(1, me)) {
                out.send(to, List.of(digest(1)));
            }
        }
    }

    private static double sum(double[] all) {
        double sum = 0;
        for (double d : all) {
            sum += d;
        }
        return sum;
    }

    /** Tells the own figures to the next peer; those that are not there hear of them now and then only by probes. */
    private void push(long now, Sink sink) {
        pushAt = now + pushGap();
        figures(now);
        for (int i = 0; i < brokers; i++) {
            pushTo = (pushTo + 1) % brokers;
            if (pushTo != me && who.member(pushTo).there()) {
                List<Item> items = new ArrayList<>();
                for (int kind : new int[] {Row.LOAD, Row.NOTE}) {
                    Row r = rows.get(me, kind, 0);
                    if (r != null) {
                        items.add(r.write(now));
                    }
                }
                send(now, pushTo, items, sink);
                return;
            }
        }
    }

    /** Rewrites the own row of figures, as often as a peer is told of them. */
    private void figures(long now) {
        if (!terms.cut()) {
            return;
        }
        Cut.Load mine = new Cut.Load(demand.clone(), taken, unfit, proposal);
        proposal = cut.propose(now, mine, loads(false));
        rows.put(now, Row.LOAD, 0, new Cut.Load(mine.demand(), taken, unfit, proposal).write());
    }

    /** The figures of the brokers that are there, as told; with the own ones where they are wanted. */
    private List<Cut.Load> loads(boolean own) {
        List<Cut.Load> out = new ArrayList<>();
        for (Row r : rows.of(Row.LOAD)) {
            boolean counts = (own || r.owner() != me) && who.member(r.owner()).there();
            Cut.Load l = counts ? Cut.Load.read(r.value()) : null;
            if (l != null) {
                out.add(l);
            }
        }
        return out;
    }

    // ---- What comes.

    public void receive(long now, byte[] datagram, Sink sink) {
        begin(now);
        counts.received++;
        Envelope e = left || now < deafUntil ? null : Envelope.read(datagram);
        if (e != null && who.behind(e)) {
            // It does not know what was said of it: an earlier datagram of its life, or a clock that went back.
            send(now, e.sender(), List.of(who.wordOn(e.sender())), sink);
            e = null;
        }
        if (e == null || !who.admits(now, e, now / 1000 + PLAUSIBLE)) {
            counts.passedOver++;
            return;
        }
        int from = e.sender();
        if (who.heard(now, e)) {
            welcome(now, from, sink);
        }
        Membership.Out out = (to, items) -> send(now, to, items, sink);
        for (Item i : e.items()) {
            switch (i.kind()) {
                case Envelope.ROW -> row(now, from, i);
                case Envelope.DIGEST -> differing(now, from, i, sink);
                case Envelope.LOCK, Envelope.LOCKED, Envelope.ASK, Envelope.GRANT -> {
                    if (terms.shares()) {
                        shares.item(now, from, i, out);
                    }
                }
                default -> who.item(now, from, i, out);
            }
            if (who.incarnation() - life > CONTRADICTED) {
                life = who.incarnation(); // the others know of a life that began later: this clock went back
                rows.reborn(life);
            }
            if (i.kind() == Envelope.ACK && steadyAt == Long.MAX_VALUE) {
                steadyAt = now;
            }
        }
    }

    /** Who has just come is told at once whom to ask for its share. */
    private void welcome(long now, int to, Sink sink) {
        List<Item> items = new ArrayList<>();
        for (Row r : rows.of(Row.PURSER)) {
            items.add(r.write(now));
        }
        if (!items.isEmpty() && items.size() <= Shares.WITNESSES) {
            sendAsIs(now, to, items, sink);
        }
    }

    private void row(long now, int from, Item item) {
        Row r = Row.read(item, now);
        if (r == null || r.incarnation() > now / 1000 + PLAUSIBLE) {
            return;
        }
        if (r.owner() == me) {
            if (r.incarnation() > life) { // of a life before this one, by a clock that went back, or made up
                life = r.incarnation() + 1;
                rows.reborn(life);
            }
            return;
        }
        if (from != r.owner() && (Row.pushed(r.kind()) || who.member(from).distrustedUntil > now)) {
            return; // these come from their owners only
        }
        rows.merge(now, r, from, liar -> {
            who.distrust(now, liar);
            rows.forgetVia(liar);
        });
    }

    private Item digest(int answer) {
        Bodies b = new Bodies().u8(answer);
        for (int h : rows.digest()) {
            b.u32(h);
        }
        return b.item(Envelope.DIGEST);
    }

    /** What the other does not hold alike is sent to it, in a few datagrams; it is asked for the same, once. */
    private void differing(long now, int from, Item item, Sink sink) {
        if (item.body().length < 1 + 4 * Rows.BUCKETS || now - repairedAt < REPAIR_ANSWER) {
            return;
        }
        repairedAt = now;
        ByteBuffer b = item.read();
        boolean answer = b.get() == 1;
        int[] theirs = new int[Rows.BUCKETS];
        for (int i = 0; i < theirs.length; i++) {
            theirs[i] = b.getInt();
        }
        List<Row> send = rows.differing(theirs, repairFrom);
        repairFrom += 7;
        List<Item> items = new ArrayList<>();
        int size = Envelope.HEAD;
        int datagrams = 0;
        for (Row r : send) {
            Item i = r.write(now);
            if (size + i.size() > Envelope.LIMIT) {
                sendAsIs(now, from, items, sink);
                items.clear();
                size = Envelope.HEAD;
                if (++datagrams == REPAIR_DATAGRAMS) {
                    break;
                }
            }
            items.add(i);
            size += i.size();
        }
        if (!items.isEmpty()) {
            sendAsIs(now, from, items, sink);
        }
        if (answer) {
            sendAsIs(now, from, List.of(digest(0)), sink);
        }
    }

    // ---- What happens here.

    public void news(long now, News n, Sink sink) {
        begin(now);
        if (n instanceof News.Figures f) {
            figures(f);
        } else if (n instanceof News.Found f) {
            rows.put(now, Row.BOX, f.box(), new byte[] {(byte) (f.up() ? Probes.UP : Probes.DOWN)});
        } else if (n instanceof News.Note note && note.bytes().length <= Row.MOST_VALUE) {
            rows.put(now, Row.NOTE, 0, note.bytes());
        } else if (n instanceof News.Leaving) {
            who.leave(now, (to, items) -> send(now, to, items, sink));
            left = true;
        }
    }

    private void figures(News.Figures f) {
        double keep = Math.exp(-f.micros() / SMOOTH);
        double perSecond = (1 - keep) * 1e6 / Math.max(1, f.micros());
        for (int i = 0; i < demand.length; i++) {
            demand[i] = keep * demand[i] + perSecond * f.tries()[i];
        }
        taken = keep * taken + perSecond * f.taken();
        unfit = keep * unfit + perSecond * f.unfit();
        attempts = keep * attempts + perSecond * f.attempts();
        tokens = Math.min(2 * terms.bytes() + Envelope.LIMIT, tokens + terms.perSession() * f.taken());
    }

    // ---- What goes out.

    /** Sends items that have to go, and fills up with what is to be passed on as far as the budget goes. */
    private void send(long now, int to, List<Item> items, Sink sink) {
        refill(now);
        List<Item> all = new ArrayList<>(items);
        int size = Envelope.HEAD + items.stream().mapToInt(Item::size).sum();
        int left = (int) Math.min(Envelope.LIMIT, Math.max(0, tokens)) - size;
        if (left > 0) {
            List<Item> gossip = who.gossip(left);
            all.addAll(gossip);
            left -= gossip.stream().mapToInt(Item::size).sum();
            all.addAll(rows.deltas(now, left, who.times() / 3 + 1));
        }
        sendAsIs(now, to, all, sink);
    }

    private void refill(long now) {
        tokens = Math.min(2 * terms.bytes() + Envelope.LIMIT, tokens + (now - tokensAt) * terms.bytes() / 1e6);
        tokensAt = now;
    }

    private void sendAsIs(long now, int to, List<Item> items, Sink sink) {
        byte[] datagram = new Envelope(me, who.incarnation(), ++serial, items).write();
        tokens -= datagram.length;
        counts.sent++;
        counts.bytes += datagram.length;
        sink.send(to, datagram);
    }

    // ---- What is read.

    public View view(long now) {
        begin(now);
        List<Integer> living = who.living();
        Map<Integer, List<Row>> words = new HashMap<>();
        for (Row r : rows.of(Row.BOX)) {
            if (who.member(r.owner()).there()) {
                words.computeIfAbsent(r.key(), k -> new ArrayList<>()).add(r);
            }
        }
        Map<Integer, Row> notes = new HashMap<>();
        for (Row r : rows.of(Row.NOTE)) {
            if (r.owner() != me) {
                notes.put(r.owner(), r);
            }
        }
        List<Integer> proposals = new ArrayList<>();
        double tries = 0;
        for (Cut.Load l : loads(true)) {
            proposals.add(l.proposal());
            tries += l.all();
        }
        boolean steady = now >= steadyAt;
        return new View(
                now,
                steady,
                List.copyOf(living),
                shared(shares.share(now, Shares.NEWCOMERS)),
                shared(shares.share(now, Shares.ATTEMPTS)),
                shared(terms.floor() / brokers),
                shares.until(now),
                terms.cut() && steady ? Cut.inForce(proposals) : 0,
                tries,
                Map.copyOf(words),
                Map.copyOf(notes));
    }

    private double shared(double share) {
        return terms.shares() ? share : View.UNSHARED;
    }
}
