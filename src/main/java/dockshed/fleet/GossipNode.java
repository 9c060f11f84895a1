package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All that a broker knows and says of the fleet, without I/O: it is told the time, what arrived and what happened on this
 * broker, and hands out datagrams and snapshots. Calls come from one thread, with a time that never goes back.
 */
public final class GossipNode {
    /** Microseconds without a call after which the process counts as stalled: its calls come every tenth of a second. */
    static final long STALL = 1_000_000;
    /** Microseconds after a stall in which datagrams are discarded: they had waited in the socket. */
    static final long STALE_DATAGRAMS = 60_000;
    /** Microseconds between two ticks at most. */
    static final long MAX_TICK_GAP = 100_000;
    /** Part of the byte budget that pushing the own entries to each peer in turn may take. */
    private static final double PUSH_PART = 0.5;
    /** Bytes that a push takes, about. */
    private static final double PUSH_BYTES = 70;
    /** Microseconds between two pushes at least. */
    private static final long MIN_PUSH_GAP = 100_000;
    /** Bytes a second that allow probes at their usual pace, a third of them for the probes themselves. */
    private static final double PROBE_BYTES = 900;
    /** Microseconds between two rounds of anti-entropy. */
    private static final long REPAIR_PERIOD = 2_000_000;
    /** Microseconds between two answers to digests at least. */
    private static final long REPAIR_REPLY_GAP = 400_000;
    /** Datagrams of an answer to a digest at most. */
    private static final int MAX_REPAIR_DATAGRAMS = 3;
    /** By how many entries the start of an answer to a digest moves on each time. */
    private static final int REPAIR_STRIDE = 7;
    /** The time constant of the load figures, in microseconds. */
    private static final double SMOOTHING = 1_000_000;
    /** Rounds of pushing that an entry of load figures outlives. */
    private static final int LOAD_ROUNDS = 4;
    /** Added to the life of an entry of load figures, in microseconds. */
    private static final long LOAD_MARGIN = 500_000;
    /** How long a note of the retry-storm part is held, in microseconds. */
    private static final long STORM_NOTE_LIFE = 3_000_000;
    /** Retries that a lease asks for at least, over requests. */
    private static final double MIN_RETRY_DEMAND = 0.05;
    /** Milliseconds by which an incarnation may lie in the future: a clock is seldom off by more than a week. */
    private static final long MAX_INCARNATION_LEAD = 7L * 24 * 3600 * 1000;
    /** More refutations than this never occur in one incarnation: then the others speak of another one of this broker. */
    private static final long MAX_REFUTATIONS = 10_000;
    /** Budget saved up at most: this many seconds' worth, and a datagram. */
    private static final double BURST_SECONDS = 2;

    /** Where datagrams go. */
    public interface Sink {
        /** Sends a datagram to the broker of that number; it may be lost. */
        void send(int to, byte[] datagram);
    }

    /** Counts since the start. */
    public static final class Counts {
        /** Datagrams sent. */
        public long sent;
        /** Bytes sent. */
        public long bytes;
        /** Datagrams that arrived. */
        public long received;
        /** Datagrams that were not read. */
        public long discarded;
        /** Times that the process did not run for over a second. */
        public long stalls;
        /** Times that an owner's own entry was behind what a relay had sent. */
        public long forged;
    }

    private final FleetSettings settings;
    private final int me;
    private final int brokers;
    private final SplittableRandom random;
    private final Membership membership;
    private final EntryStore entries;
    private final LeasedShares leases;
    private final SheddingThreshold threshold = new SheddingThreshold();
    private final Counts counts = new Counts();
    private long incarnation;
    private long lastCalledAt;
    private long discardUntil = Long.MIN_VALUE;
    private long steadyAt;
    private int serial;
    private double tokens;
    private long tokensAt;
    private long pushAt;
    private int pushTo;
    private long repairAt;
    private long repliedAt;
    private int repairStart;
    private final double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
    private double accepted;
    private double rejected;
    private double retries;
    private int proposal;
    private boolean left;

    /**
     * @param me      this broker's number of {@code brokers}
     * @param unixMs  the time of its start, which has to differ from that of every earlier start
     * @param now     microseconds of the clock that all later calls go by
     */
    public GossipNode(FleetSettings settings, int me, int brokers, long unixMs, long now, long seed) {
        if (me < 0 || me >= brokers || brokers > Envelope.MAX_BROKERS) {
            throw new IllegalArgumentException("broker " + me + " of " + brokers);
        }
        this.settings = settings;
        this.me = me;
        this.brokers = brokers;
        random = new SplittableRandom(seed);
        incarnation = unixMs;
        double stretch = Math.max(1, PROBE_BYTES / settings.bytesPerSecond());
        membership = new Membership(me, brokers, incarnation, now, stretch, random.split());
        entries = new EntryStore(me, brokers, incarnation);
        leases =
                new LeasedShares(me, brokers, settings.guaranteedShare(), incarnation, now, membership, random.split());
        entries.setTimeToLive(VersionedEntry.LOAD, LOAD_ROUNDS * (pushInterval() * brokers + LOAD_MARGIN));
        entries.setTimeToLive(VersionedEntry.STORM_NOTE, STORM_NOTE_LIFE);
        entries.setTimeToLive(VersionedEntry.HEALTH_REPORT, 4 * HealthProbeSchedule.REPORT_MAX_AGE);
        entries.setTimeToLive(VersionedEntry.LEASE_COORDINATOR, LeasedShares.VOTE_TERM);
        lastCalledAt = now;
        tokensAt = now;
        steadyAt = now;
        pushAt = now + random.nextLong(pushInterval());
        repairAt = now + REPAIR_PERIOD + random.nextLong(REPAIR_PERIOD);
    }

    /** Counts since the start; they go on changing. */
    public Counts counts() {
        counts.forged = entries.forged;
        return counts;
    }

    /** The part of the whole that this broker may use for new sessions now, for checks. */
    public double newSessionShare(long now) {
        return leases.share(now, SharedResource.NEW_SESSIONS);
    }

    Membership membership() {
        return membership;
    }

    EntryStore entries() {
        return entries;
    }

    LeasedShares leases() {
        return leases;
    }

    private long pushInterval() {
        return Math.max(MIN_PUSH_GAP, (long) (PUSH_BYTES / (settings.bytesPerSecond() * PUSH_PART) * 1e6));
    }

    /** When {@link #tick} is to be called at the latest. */
    public long next(long now) {
        long due = Math.min(membership.next(), Math.min(pushAt, leases.next(now)));
        return Math.min(now + MAX_TICK_GAP, Math.max(now + 1000, due));
    }

    // ---- Time.

    private void begin(long now) {
        long gap = now - lastCalledAt;
        lastCalledAt = now;
        if (gap > STALL) {
            counts.stalls++;
            membership.resumed(now, gap);
            leases.resumed();
            discardUntil = now + STALE_DATAGRAMS;
            steadyAt = Long.MAX_VALUE; // until somebody has answered
            pushAt = now;
        }
    }

    /** Does what is due: probes, leases, a push, a round of anti-entropy. */
    public void tick(long now, Sink sink) {
        begin(now);
        if (left) {
            return;
        }
        Membership.Out out = (to, items) -> send(now, to, items, sink);
        entries.expire(now);
        membership.tick(now, out);
        if (settings.leases()) {
            double requests = sum(demand);
            leases.demand(requests, Math.max(MIN_RETRY_DEMAND * requests, retries));
            leases.tick(now, entries, out);
        }
        if (now >= pushAt) {
            push(now, sink);
        }
        if (now >= repairAt) {
            repairAt = now + REPAIR_PERIOD + random.nextLong(REPAIR_PERIOD / 4);
            for (int to : membership.randomPresent(1, me)) {
                out.send(to, List.of(digest(true)));
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

    // ---- Load figures, pushed by their owner.

    /** Pushes the own load figures and storm note to the next present peer. */
    private void push(long now, Sink sink) {
        pushAt = now + pushInterval();
        writeLoadFigures(now);
        for (int i = 0; i < brokers; i++) {
            pushTo = (pushTo + 1) % brokers;
            if (pushTo != me && membership.member(pushTo).isPresent()) {
                send(now, pushTo, pushedItems(now), sink);
                return;
            }
        }
    }

    private List<Item> pushedItems(long now) {
        List<Item> items = new ArrayList<>();
        for (int kind : new int[] {VersionedEntry.LOAD, VersionedEntry.STORM_NOTE}) {
            VersionedEntry entry = entries.get(me, kind, 0);
            if (entry != null) {
                items.add(entry.write(now));
            }
        }
        return items;
    }

    private void writeLoadFigures(long now) {
        if (!settings.loadShedding()) {
            return;
        }
        LoadFigures own = new LoadFigures(demand.clone(), accepted, rejected, proposal);
        proposal = threshold.propose(now, own, loadFigures(false));
        LoadFigures proposed = new LoadFigures(own.demand(), accepted, rejected, proposal);
        entries.put(now, VersionedEntry.LOAD, 0, proposed.write());
    }

    /** The load figures of the present brokers, with or without the own ones. */
    private List<LoadFigures> loadFigures(boolean own) {
        List<LoadFigures> out = new ArrayList<>();
        for (VersionedEntry entry : entries.ofKind(VersionedEntry.LOAD)) {
            boolean wanted = own || entry.owner() != me;
            boolean present = membership.member(entry.owner()).isPresent();
            LoadFigures figures = wanted && present ? LoadFigures.read(entry.value()) : null;
            if (figures != null) {
                out.add(figures);
            }
        }
        return out;
    }

    // ---- What arrives.

    /** Handles a datagram; one that is malformed, repeated or not of the fleet is counted and discarded. */
    public void receive(long now, byte[] datagram, Sink sink) {
        begin(now);
        counts.received++;
        Envelope envelope = left || now < discardUntil ? null : Envelope.read(datagram);
        if (envelope != null && membership.isBehind(envelope)) {
            // It does not know what was said of it: an earlier datagram of its incarnation, or a clock that went back.
            send(now, envelope.sender(), List.of(membership.updateOn(envelope.sender())), sink);
            envelope = null;
        }
        if (envelope == null || !membership.admits(now, envelope, latestIncarnation(now))) {
            counts.discarded++;
            return;
        }
        if (membership.heard(now, envelope)) {
            welcome(now, envelope.sender(), sink);
        }
        Membership.Out out = (to, items) -> send(now, to, items, sink);
        for (Item item : envelope.items()) {
            item(now, envelope.sender(), item, sink, out);
        }
    }

    private static long latestIncarnation(long now) {
        return now / 1000 + MAX_INCARNATION_LEAD;
    }

    private void item(long now, int from, Item item, Sink sink, Membership.Out out) {
        switch (item.kind()) {
            case Envelope.ENTRY -> mergeEntry(now, from, item);
            case Envelope.DIGEST -> answerDigest(now, from, item, sink);
            case Envelope.VOTE_REQUEST, Envelope.VOTE, Envelope.LEASE_REQUEST, Envelope.LEASE_GRANT -> {
                if (settings.leases()) {
                    leases.item(now, from, item, out);
                }
            }
            default -> membership.item(now, from, item, out);
        }
        if (membership.incarnation() - incarnation > MAX_REFUTATIONS) {
            // The others know of an incarnation that began later: this clock went back.
            startIncarnation(membership.incarnation());
        }
        if (item.kind() == Envelope.ACK && steadyAt == Long.MAX_VALUE) {
            steadyAt = now;
        }
    }

    private void startIncarnation(long later) {
        incarnation = later;
        entries.startIncarnation(later);
    }

    /** A broker that joins is told at once whom to ask for its lease. */
    private void welcome(long now, int to, Sink sink) {
        List<Item> items = new ArrayList<>();
        for (VersionedEntry vote : entries.ofKind(VersionedEntry.LEASE_COORDINATOR)) {
            items.add(vote.write(now));
        }
        if (!items.isEmpty() && items.size() <= LeasedShares.VOTERS) {
            sendAsIs(now, to, items, sink);
        }
    }

    private void mergeEntry(long now, int from, Item item) {
        VersionedEntry entry = VersionedEntry.read(item, now);
        if (entry == null || entry.incarnation() > latestIncarnation(now)) {
            return;
        }
        if (entry.owner() == me) {
            if (entry.incarnation() > incarnation) {
                // Of an incarnation before this one, by a clock that went back since, or forged.
                startIncarnation(entry.incarnation() + 1);
            }
            return;
        }
        boolean relayed = from != entry.owner();
        if (relayed && (VersionedEntry.isPushed(entry.kind()) || membership.member(from).distrustedUntil > now)) {
            return;
        }
        entries.merge(now, entry, from, forger -> {
            membership.distrust(now, forger);
            entries.forgetRelayedBy(forger);
        });
    }

    // ---- Anti-entropy.

    private Item digest(boolean answerWanted) {
        BodyWriter body = new BodyWriter().u8(answerWanted ? 1 : 0);
        for (int hash : entries.digest()) {
            body.u32(hash);
        }
        return body.item(Envelope.DIGEST);
    }

    /** Sends what the other does not hold alike, in a few datagrams, and asks it for the same once. */
    private void answerDigest(long now, int from, Item item, Sink sink) {
        if (item.body().length < 1 + 4 * EntryStore.DIGEST_BUCKETS || now - repliedAt < REPAIR_REPLY_GAP) {
            return;
        }
        repliedAt = now;
        ByteBuffer in = item.read();
        boolean answerWanted = in.get() == 1;
        int[] theirs = new int[EntryStore.DIGEST_BUCKETS];
        for (int i = 0; i < theirs.length; i++) {
            theirs[i] = in.getInt();
        }
        sendRepair(now, from, entries.differing(theirs, repairStart), sink);
        repairStart += REPAIR_STRIDE;
        if (answerWanted) {
            sendAsIs(now, from, List.of(digest(false)), sink);
        }
    }

    private void sendRepair(long now, int to, List<VersionedEntry> differing, Sink sink) {
        List<Item> items = new ArrayList<>();
        int size = Envelope.HEADER_BYTES;
        int datagrams = 0;
        for (VersionedEntry entry : differing) {
            Item item = entry.write(now);
            if (size + item.size() > Envelope.MAX_BYTES) {
                sendAsIs(now, to, items, sink);
                items.clear();
                size = Envelope.HEADER_BYTES;
                if (++datagrams == MAX_REPAIR_DATAGRAMS) {
                    break;
                }
            }
            items.add(item);
            size += item.size();
        }
        if (!items.isEmpty()) {
            sendAsIs(now, to, items, sink);
        }
    }

    // ---- What happens on this broker.

    /** Takes in an event of this broker. */
    public void handle(long now, LocalEvent event, Sink sink) {
        begin(now);
        if (event instanceof LocalEvent.LoadSample sample) {
            smooth(sample);
        } else if (event instanceof LocalEvent.HealthReport report) {
            int health = report.up() ? HealthProbeSchedule.UP : HealthProbeSchedule.DOWN;
            entries.put(now, VersionedEntry.HEALTH_REPORT, report.server(), new byte[] {(byte) health});
        } else if (event instanceof LocalEvent.StormNote note) {
            if (note.bytes().length <= VersionedEntry.MAX_VALUE_BYTES) {
                entries.put(now, VersionedEntry.STORM_NOTE, 0, note.bytes());
            }
        } else if (event instanceof LocalEvent.Leaving) {
            membership.leave(now, (to, items) -> send(now, to, items, sink));
            left = true;
        }
    }

    private void smooth(LocalEvent.LoadSample sample) {
        double keep = Math.exp(-sample.micros() / SMOOTHING);
        double perSecond = (1 - keep) * 1e6 / Math.max(1, sample.micros());
        for (int step = 0; step < demand.length; step++) {
            demand[step] = keep * demand[step] + perSecond * sample.requests()[step];
        }
        accepted = keep * accepted + perSecond * sample.accepted();
        rejected = keep * rejected + perSecond * sample.rejected();
        retries = keep * retries + perSecond * sample.retries();
        tokens = Math.min(maxTokens(), tokens + settings.bytesPerSession() * sample.accepted());
    }

    // ---- What is sent.

    /** Sends items that have to go, and fills the datagram up with gossip as far as the budget goes. */
    private void send(long now, int to, List<Item> items, Sink sink) {
        refill(now);
        List<Item> all = new ArrayList<>(items);
        int size = Envelope.HEADER_BYTES + items.stream().mapToInt(Item::size).sum();
        int room = (int) Math.min(Envelope.MAX_BYTES, Math.max(0, tokens)) - size;
        if (room > 0) {
            List<Item> updates = membership.gossip(room);
            all.addAll(updates);
            room -= updates.stream().mapToInt(Item::size).sum();
            all.addAll(entries.deltas(now, room, membership.gossipTimes() / 3 + 1));
        }
        sendAsIs(now, to, all, sink);
    }

    private double maxTokens() {
        return BURST_SECONDS * settings.bytesPerSecond() + Envelope.MAX_BYTES;
    }

    private void refill(long now) {
        tokens = Math.min(maxTokens(), tokens + (now - tokensAt) * settings.bytesPerSecond() / 1e6);
        tokensAt = now;
    }

    private void sendAsIs(long now, int to, List<Item> items, Sink sink) {
        byte[] datagram = new Envelope(me, membership.incarnation(), ++serial, items).write();
        tokens -= datagram.length;
        counts.sent++;
        counts.bytes += datagram.length;
        sink.send(to, datagram);
    }

    // ---- What is read.

    /** What this broker knows of the fleet now. */
    public FleetSnapshot snapshot(long now) {
        begin(now);
        List<Integer> proposals = new ArrayList<>();
        double requests = 0;
        for (LoadFigures figures : loadFigures(true)) {
            proposals.add(figures.proposal());
            requests += figures.totalDemand();
        }
        boolean steady = now >= steadyAt;
        return new FleetSnapshot(
                now,
                steady,
                List.copyOf(membership.presentMembers()),
                orUnshared(leases.share(now, SharedResource.NEW_SESSIONS)),
                orUnshared(leases.share(now, SharedResource.RETRIES)),
                orUnshared(settings.guaranteedShare() / brokers),
                leases.until(now),
                settings.loadShedding() && steady ? SheddingThreshold.inForce(proposals) : 0,
                requests,
                healthReports(),
                stormNotes());
    }

    private Map<Integer, List<VersionedEntry>> healthReports() {
        Map<Integer, List<VersionedEntry>> reports = new HashMap<>();
        for (VersionedEntry report : entries.ofKind(VersionedEntry.HEALTH_REPORT)) {
            if (membership.member(report.owner()).isPresent()) {
                reports.computeIfAbsent(report.key(), k -> new ArrayList<>()).add(report);
            }
        }
        return Map.copyOf(reports);
    }

    private Map<Integer, VersionedEntry> stormNotes() {
        Map<Integer, VersionedEntry> notes = new HashMap<>();
        for (VersionedEntry note : entries.ofKind(VersionedEntry.STORM_NOTE)) {
            if (note.owner() != me) {
                notes.put(note.owner(), note);
            }
        }
        return Map.copyOf(notes);
    }

    private double orUnshared(double share) {
        return settings.leases() ? share : FleetSnapshot.UNSHARED;
    }
}
