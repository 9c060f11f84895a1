package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import dockshed.fleet.FleetSnapshot.ScopeStatus;
import dockshed.fleet.ScopeSummaryStore.Estimate;
import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One broker's gossip protocol, without I/O: it is given the time, the datagrams that arrive and the events at this
 * broker, and produces datagrams and snapshots. Calls come from one thread, with a time that never goes back.
 */
public final class GossipNode {
    /** Microseconds without a call after which the process counts as stalled; normally calls come every 100 ms. */
    static final long STALL_THRESHOLD_US = 1_000_000;
    /** Microseconds after a stall in which datagrams are discarded, since they had waited in the socket. */
    static final long STALE_DATAGRAM_WINDOW_US = 60_000;
    /** Maximum time between two ticks, in microseconds. */
    static final long MAX_TICK_GAP_US = 100_000;
    /** Part of the byte budget, of 1, for pushing the own entries to each peer in turn. */
    private static final double PUSH_BUDGET_SHARE = 0.5;
    /** Estimated bytes of a push. */
    private static final double ESTIMATED_PUSH_BYTES = 70;
    /** Minimum time between two pushes, in microseconds. */
    private static final long MIN_PUSH_GAP_US = 100_000;
    /** Byte budget per second that allows probes at their normal rate; the probes themselves take a third of it. */
    private static final double FULL_PROBE_RATE_BYTES_PER_SECOND = 900;
    /** Part of the byte budget, of 1, for pushing in a fleet with zones. */
    private static final double ZONED_PUSH_BUDGET_SHARE = 0.85;
    /** Estimated bytes of a push in a fleet with zones, before any were sent. */
    private static final double INITIAL_ZONED_PUSH_BYTES = 110;
    /** Weight of the latest push in the average of their bytes. */
    private static final double PUSH_BYTES_SMOOTHING = 0.05;
    /** Minimum time between two pushes to the same peer in a fleet with zones, in microseconds. */
    private static final long MIN_PUSH_ROUND_US = 500_000;
    /** Minimum time between two changes of the own load figures in a fleet with zones, in microseconds. */
    private static final long MIN_LOAD_CHANGE_GAP_US = 200_000;
    /**
     * Part of the pushes, of 1, that relay another scope's summary: each peer receives several per second of each scope
     * that way.
     */
    private static final double RELAYING_PUSH_SHARE = 0.5;
    /**
     * Bytes per second that the extension may send in addition to the gossip, as a part of the gossip's. The extension
     * has an allowance of its own because the gossip uses all of its budget at times, which would delay the extension
     * by minutes.
     */
    private static final double EXTENSION_BUDGET_SHARE = 0.5;

    /** Seconds' worth of the extension's allowance that may be saved up. */
    private static final double EXTENSION_BURST_SECONDS = 10;
    /** Time between two rounds of anti-entropy, in microseconds. */
    private static final long REPAIR_PERIOD_US = 2_000_000;
    /** Minimum time between two answers to digests, in microseconds. */
    private static final long MIN_REPAIR_REPLY_GAP_US = 400_000;
    /** Maximum number of datagrams in an answer to a digest. */
    private static final int MAX_REPAIR_DATAGRAMS = 3;
    /** Number of entries by which the start of an answer to a digest moves on each time. */
    private static final int REPAIR_STRIDE = 7;
    /** Time constant of the smoothed load figures, in microseconds. */
    private static final double LOAD_TIME_CONSTANT_US = 1_000_000;
    /** Time to live of load figures, in rounds of pushing. */
    private static final int LOAD_LIFETIME_ROUNDS = 4;
    /** Added to each of these rounds, in microseconds. */
    private static final long LOAD_LIFETIME_MARGIN_US = 500_000;
    /** Time to live of a storm message, in microseconds. */
    private static final long STORM_MESSAGE_LIFETIME_US = 3_000_000;
    /** Minimum demand for retries in a lease request, as a part of the requests. */
    private static final double MIN_RETRY_DEMAND_RATIO = 0.05;
    /** Milliseconds by which an incarnation may lie in the future: a clock is seldom off by more than a week. */
    private static final long MAX_INCARNATION_LEAD_MS = 7L * 24 * 3600 * 1000;
    /**
     * More refutations than this do not occur in one incarnation: beyond it, the others refer to a later start of this
     * broker.
     */
    private static final long MAX_REFUTATIONS = 10_000;
    /** Maximum byte budget that is saved up, in seconds' worth; one datagram is added. */
    private static final double BURST_SECONDS = 2;

    /** Sends datagrams. */
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
        /** Bytes that arrived. */
        public long bytesReceived;
        /** Datagrams that named another sender than the one that they came from. */
        public long spoofed;
        /** Summaries of other scopes that were refused. */
        public long summariesRefused;
        /** Bodies of the extension that were dropped. */
        public long extensionDropped;
        /** Datagrams that were discarded unread. */
        public long discarded;
        /** Number of times that the process stalled, for over a second. */
        public long stalls;
        /** Number of times that an owner's own entry was behind the one that a relay had sent. */
        public long forged;
    }

    private final FleetSettings settings;
    private final int me;
    private final int brokers;
    private final ZoneMap zones;
    private final Scope scope;
    private final SplittableRandom random;
    private final Membership membership;
    private final EntryStore entries;
    private final LeasedShares leases;
    private final SheddingThreshold threshold = new SheddingThreshold();
    private final ScopeSummaryStore summaries;
    private final ContactSchedule contacts;
    private final OutsideSenders outsideSenders;
    private final ExtensionQueue extensionQueue = new ExtensionQueue();
    private final Counts counts = new Counts();
    private GossipExtension extension = GossipExtension.NONE;
    private double pushBytes = INITIAL_ZONED_PUSH_BYTES;
    private long loadWrittenAt = Long.MIN_VALUE / 2;
    private long summaryVersion;
    private long incarnation;
    private long lastCalledAt;
    private long discardUntil = Long.MIN_VALUE;
    private long steadyAt;
    private int serial;
    private double tokens;
    private double extensionTokens;
    private long tokensAt;
    private long pushAt;
    private int pushTo;
    private long expireAt = Long.MIN_VALUE;
    private long repairAt;
    private long repairRepliedAt;
    private int repairStart;
    private final double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
    private double accepted;
    private double rejected;
    private double retries;
    private int proposal;
    private boolean hasLeft;

    /**
     * Creates the node of one broker; throws IllegalArgumentException if {@code me} or {@code brokers} is out of range
     * or the zones do not fit.
     *
     * @param me     this broker's number, below {@code brokers}
     * @param unixMs the time of the start in milliseconds; must differ from that of every earlier start
     * @param now    in microseconds of the clock that all later calls use
     * @param seed   of the node's random numbers
     */
    public GossipNode(FleetSettings settings, int me, int brokers, long unixMs, long now, long seed) {
        if (me < 0 || me >= brokers || brokers > Envelope.MAX_BROKERS) {
            throw new IllegalArgumentException("broker number: got " + me + ", expected 0 or more and below " + brokers
                    + ", which is at most " + Envelope.MAX_BROKERS);
        }
        this.settings = settings;
        this.me = me;
        this.brokers = brokers;
        zones = settings.zoneMap(brokers);
        scope = zones.scopeOf(me);
        random = new SplittableRandom(seed);
        incarnation = unixMs;
        double stretch = Math.max(1, FULL_PROBE_RATE_BYTES_PER_SECOND / settings.bytesPerSecond());
        membership = new Membership(me, scope, incarnation, now, stretch, random.split());
        entries = new EntryStore(me, scope, incarnation);
        leases = new LeasedShares(me, zones, settings.guaranteedShare(), incarnation, now, membership, random.split());
        summaries = new ScopeSummaryStore(zones, scope);
        contacts = new ContactSchedule(zones, scope, now, new SplittableRandom(seed + 1));
        outsideSenders = new OutsideSenders(brokers, now);
        entries.setTimeToLive(
                VersionedEntry.LOAD, LOAD_LIFETIME_ROUNDS * (pushInterval() * scope.size() + LOAD_LIFETIME_MARGIN_US));
        entries.setTimeToLive(VersionedEntry.STORM_MESSAGE, STORM_MESSAGE_LIFETIME_US);
        entries.setTimeToLive(VersionedEntry.HEALTH_REPORT, 4 * HealthProbeSchedule.REPORT_VALIDITY_US);
        entries.setTimeToLive(VersionedEntry.LEASE_COORDINATOR, LeasedShares.VOTE_TERM_US);
        lastCalledAt = now;
        tokensAt = now;
        steadyAt = now;
        pushAt = now + random.nextLong(pushInterval());
        repairAt = now + REPAIR_PERIOD_US + random.nextLong(REPAIR_PERIOD_US);
    }

    /** Counts since the start; they go on changing. */
    public Counts counts() {
        counts.forged = entries.forged;
        counts.summariesRefused = summaries.refused;
        counts.extensionDropped = extensionQueue.dropped;
        return counts;
    }

    /** Sets the protocol that is carried along; must be called before the first datagram. */
    public void setExtension(GossipExtension other) {
        extension = other;
    }

    /**
     * Queues a body of the extension for a broker of the fleet; returns false if there is no such other broker, the
     * body is too long or the queue is full.
     */
    public boolean sendExtension(int to, byte[] body) {
        return zones.contains(to) && to != me && extensionQueue.offer(to, body);
    }

    /** The part of the whole that this broker may use for new sessions now; for checks. */
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

    Scope scope() {
        return scope;
    }

    ScopeSummaryStore summaries() {
        return summaries;
    }

    /** Microseconds between two pushes. */
    private long pushInterval() {
        if (zones.zoned()) {
            double gap = pushBytes / (settings.bytesPerSecond() * ZONED_PUSH_BUDGET_SHARE) * 1e6;
            return Math.max(MIN_PUSH_ROUND_US / scope.size(), (long) gap);
        }
        return Math.max(
                MIN_PUSH_GAP_US, (long) (ESTIMATED_PUSH_BYTES / (settings.bytesPerSecond() * PUSH_BUDGET_SHARE) * 1e6));
    }

    /** When {@link #tick} has to be called at the latest, in microseconds. */
    public long nextTickAt(long now) {
        long due = Math.min(membership.nextTickAt(), Math.min(pushAt, leases.nextTickAt(now)));
        due = Math.min(due, Math.min(contacts.dueAt(), extension.nextTickAt(now)));
        return Math.min(now + MAX_TICK_GAP_US, Math.max(now + 1000, due));
    }

    // ---- Time.

    /** Handles a stall of this process, if the time since the previous call shows one. */
    private void detectStall(long now) {
        long gap = now - lastCalledAt;
        lastCalledAt = now;
        if (gap > STALL_THRESHOLD_US) {
            counts.stalls++;
            membership.resumeAfterStall(now, gap);
            leases.resumeAfterStall();
            discardUntil = now + STALE_DATAGRAM_WINDOW_US;
            steadyAt = Long.MAX_VALUE; // until another broker has answered
            pushAt = now;
        }
    }

    /**
     * Does what is due: probes, leases, a push, a round of anti-entropy, a contact with another scope, the extension.
     */
    public void tick(long now, Sink sink) {
        detectStall(now);
        if (hasLeft) {
            return;
        }
        Membership.ItemSender out = (to, items) -> send(now, to, items, sink);
        if (now >= expireAt) {
            expireAt = now + MAX_TICK_GAP_US;
            entries.expire(now);
            summaries.expire(now);
        }
        membership.tick(now, out);
        if (settings.leases()) {
            double requests = sum(demand);
            leases.demand(requests, Math.max(MIN_RETRY_DEMAND_RATIO * requests, retries));
            leases.tick(now, entries, out);
        }
        if (now >= pushAt) {
            push(now, sink);
        }
        if (now >= repairAt) {
            repairAt = now + REPAIR_PERIOD_US + random.nextLong(REPAIR_PERIOD_US / 4);
            for (int to : membership.randomPresent(1, me)) {
                out.send(to, List.of(digest(true)));
            }
        }
        if (now >= contacts.dueAt()) {
            contactOtherScope(now, sink);
        }
        extension.tick(now);
        sendExtensionMessages(now, sink);
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    // ---- Pushing load figures.

    /** Pushes the own load figures and storm message to the next present peer. */
    private void push(long now, Sink sink) {
        pushAt = now + pushInterval();
        writeLoadFigures(now);
        for (int i = 0; i < scope.size(); i++) {
            pushTo = (pushTo + 1) % scope.size();
            int peer = scope.first() + pushTo;
            if (peer != me && membership.member(peer).isPresent()) {
                long before = counts.bytes;
                send(now, peer, pushedItems(now), sink);
                pushBytes += PUSH_BYTES_SMOOTHING * (counts.bytes - before - pushBytes);
                return;
            }
        }
    }

    private List<Item> pushedItems(long now) {
        List<Item> items = new ArrayList<>();
        for (int kind : new int[] {VersionedEntry.LOAD, VersionedEntry.STORM_MESSAGE}) {
            VersionedEntry entry = entries.get(me, kind, 0);
            if (entry != null) {
                items.add(entry.write(now));
            }
        }
        ScopeSummary relayed =
                zones.zoned() && random.nextDouble() < RELAYING_PUSH_SHARE ? summaries.nextToRelay(now, scope) : null;
        if (relayed != null && sizeOf(items) + relayed.write(now).size() <= Envelope.MAX_BYTES) {
            items.add(relayed.write(now));
        }
        return items;
    }

    /** Length of a datagram with these items. */
    private static int sizeOf(List<Item> items) {
        return Envelope.HEADER_BYTES + items.stream().mapToInt(Item::size).sum();
    }

    // ---- Other scopes.

    /**
     * Sends the own scope's summary to a broker of another scope, with summaries of further scopes received first hand.
     */
    private void contactOtherScope(long now, Sink sink) {
        int to = contacts.nextContact(now);
        Scope theirs = zones.scopeOf(to);
        List<Item> items = new ArrayList<>(List.of(summarize(now).write(now)));
        int room = Envelope.MAX_BYTES - announcementBytes() - sizeOf(items);
        for (int i = 2; i < zones.scopes().size(); i++) {
            ScopeSummary relayed = summaries.nextToRelay(now, theirs);
            Item item = relayed == null ? null : relayed.write(now);
            if (item == null || item.size() > room || items.contains(item)) {
                break;
            }
            items.add(item);
            room -= item.size();
        }
        refill(now);
        sendDatagram(now, to, items, sink);
    }

    private ScopeSummary summarize(long now) {
        LoadFigures own = new LoadFigures(demand.clone(), accepted, rejected, proposal);
        LoadFigures load = SheddingThreshold.scopeLoad(own, loadFigures(false));
        summaryVersion = Math.max(summaryVersion + 1, now / 1000);
        return new ScopeSummary(
                me, summaryVersion, now, membership.presentMembers().size(), load);
    }

    /** Handles a datagram of a broker outside the scope, which does not make it a member. */
    private void receiveFromOutside(long now, Envelope envelope, Sink sink) {
        int from = envelope.sender();
        if (!zones.contains(from) || !outsideSenders.admits(now, from)) {
            counts.discarded++;
            return;
        }
        for (Item item : envelope.items()) {
            if (item.kind() == Envelope.PING && item.body().length >= 2) {
                // From a broker without the zones in its settings: without an answer it would count this one as dead.
                refill(now);
                sendDatagram(now, from, List.of(new Item(Envelope.ACK, Arrays.copyOf(item.body(), 2))), sink);
            } else {
                handleFleetItem(now, from, item);
            }
        }
        sendExtensionMessages(now, sink);
    }

    /** Handles an item of a kind that brokers of all scopes send one another. */
    private void handleFleetItem(long now, int from, Item item) {
        switch (item.kind()) {
            case Envelope.SCOPE_SUMMARY -> {
                if (zones.zoned()) {
                    summaries.offer(now, ScopeSummary.read(item, now), from, latestIncarnation(now));
                }
            }
            case Envelope.EXTENSION -> extension.receive(now, from, item.body());
            case Envelope.ANNOUNCEMENT -> extension.receiveAnnouncement(now, from, item.body());
            default -> {}
        }
    }

    // ---- The extension.

    private Item announcement() {
        byte[] body = extension.announcement();
        if (body.length > GossipExtension.MAX_ANNOUNCEMENT_BYTES) {
            throw new IllegalStateException("announcement: expected at most " + GossipExtension.MAX_ANNOUNCEMENT_BYTES
                    + " bytes, got " + body.length);
        }
        return new Item(Envelope.ANNOUNCEMENT, body);
    }

    /** Bytes that the announcement takes in a datagram; 0 if there is none. */
    private int announcementBytes() {
        Item item = announcement();
        return item.body().length == 0 ? 0 : item.size();
    }

    private void sendExtensionMessages(long now, Sink sink) {
        refill(now);
        for (ExtensionQueue.Message next = extensionQueue.peek(); next != null; next = extensionQueue.peek()) {
            Item item = new Item(Envelope.EXTENSION, next.body());
            int size = Envelope.HEADER_BYTES + item.size();
            if (extensionTokens < size) {
                return;
            }
            extensionQueue.remove();
            sendDatagram(now, next.to(), List.of(item), sink);
            extensionTokens -= size;
            tokens += size; // not charged to the gossip's budget
        }
    }

    private void writeLoadFigures(long now) {
        if (!settings.loadShedding()) {
            return;
        }
        if (zones.zoned() && now - loadWrittenAt < MIN_LOAD_CHANGE_GAP_US) {
            return;
        }
        loadWrittenAt = now;
        LoadFigures own = new LoadFigures(demand.clone(), accepted, rejected, proposal);
        proposal = threshold.propose(now, own, loadFigures(false), summaries.estimates(now));
        LoadFigures proposed = new LoadFigures(own.demand(), accepted, rejected, proposal);
        entries.put(now, VersionedEntry.LOAD, 0, proposed.write());
    }

    /** The load figures of the present brokers, with or without this broker's. */
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

    // ---- Receiving.

    /** Handles a datagram. Those that are malformed, repeated or not from the fleet are counted and discarded. */
    public void receive(long now, byte[] datagram, Sink sink) {
        detectStall(now);
        counts.received++;
        counts.bytesReceived += datagram.length;
        Envelope envelope = hasLeft || now < discardUntil ? null : Envelope.read(datagram);
        if (envelope != null && !scope.contains(envelope.sender())) {
            receiveFromOutside(now, envelope, sink);
            return;
        }
        if (envelope != null && membership.hasStaleIncarnation(envelope)) {
            // The sender does not know what is gossiped about it: its datagram is older, or its clock went back.
            if (membership.takeToken(now, envelope.sender())) {
                send(now, envelope.sender(), List.of(membership.stateItem(envelope.sender())), sink);
            }
            envelope = null;
        }
        if (envelope == null || !membership.admits(now, envelope, latestIncarnation(now))) {
            counts.discarded++;
            return;
        }
        if (membership.datagramReceived(now, envelope)) {
            sendPublishedVotes(now, envelope.sender(), sink);
        }
        Membership.ItemSender out = (to, items) -> send(now, to, items, sink);
        for (Item item : envelope.items()) {
            handleItem(now, envelope.sender(), item, sink, out);
        }
        sendExtensionMessages(now, sink);
    }

    /** The latest incarnation that is plausible, in milliseconds of Unix time. */
    static long latestIncarnation(long now) {
        return now / 1000 + MAX_INCARNATION_LEAD_MS;
    }

    private void handleItem(long now, int from, Item item, Sink sink, Membership.ItemSender out) {
        switch (item.kind()) {
            case Envelope.ENTRY -> mergeEntry(now, from, item);
            case Envelope.DIGEST -> answerDigest(now, from, item, sink);
            case Envelope.SCOPE_SUMMARY, Envelope.EXTENSION, Envelope.ANNOUNCEMENT -> handleFleetItem(now, from, item);
            case Envelope.VOTE_REQUEST, Envelope.VOTE, Envelope.LEASE_REQUEST, Envelope.LEASE_GRANT -> {
                if (settings.leases()) {
                    leases.handleItem(now, from, item, out);
                }
            }
            default -> membership.handleItem(now, from, item, out);
        }
        if (membership.incarnation() - incarnation > MAX_REFUTATIONS) {
            // The others know an incarnation that started later: this broker's clock went back.
            startIncarnation(membership.incarnation());
        }
        if (item.kind() == Envelope.ACK && steadyAt == Long.MAX_VALUE) {
            steadyAt = now;
        }
    }

    private void startIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
        entries.startIncarnation(newIncarnation);
    }

    /** Tells a broker that joins at once where to request its lease. */
    private void sendPublishedVotes(long now, int to, Sink sink) {
        List<Item> items = new ArrayList<>();
        for (VersionedEntry vote : entries.ofKind(VersionedEntry.LEASE_COORDINATOR)) {
            items.add(vote.write(now));
        }
        if (!items.isEmpty() && items.size() <= LeasedShares.VOTER_COUNT) {
            sendDatagram(now, to, items, sink);
        }
    }

    private void mergeEntry(long now, int from, Item item) {
        VersionedEntry entry = VersionedEntry.read(item, now);
        if (entry == null || entry.incarnation() > latestIncarnation(now)) {
            return;
        }
        if (entry.owner() == me) {
            if (entry.incarnation() > incarnation) {
                // Forged, or of an earlier start whose clock was ahead of this one's.
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

    /** Sends the entries that the other broker holds differently, in a few datagrams, and asks it once for the same. */
    private void answerDigest(long now, int from, Item item, Sink sink) {
        if (item.body().length < 1 + 4 * EntryStore.DIGEST_BUCKETS || now - repairRepliedAt < MIN_REPAIR_REPLY_GAP_US) {
            return;
        }
        repairRepliedAt = now;
        ByteBuffer in = item.read();
        boolean answerWanted = in.get() == 1;
        int[] theirs = new int[EntryStore.DIGEST_BUCKETS];
        for (int i = 0; i < theirs.length; i++) {
            theirs[i] = in.getInt();
        }
        sendRepair(now, from, entries.differing(theirs, repairStart), sink);
        repairStart += REPAIR_STRIDE;
        if (answerWanted) {
            sendDatagram(now, from, List.of(digest(false)), sink);
        }
    }

    private void sendRepair(long now, int to, List<VersionedEntry> differing, Sink sink) {
        List<Item> items = new ArrayList<>();
        int size = Envelope.HEADER_BYTES;
        int datagrams = 0;
        for (VersionedEntry entry : differing) {
            Item item = entry.write(now);
            if (size + item.size() > Envelope.MAX_BYTES) {
                sendDatagram(now, to, items, sink);
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
            sendDatagram(now, to, items, sink);
        }
    }

    // ---- Events at this broker.

    /** Handles an event at this broker. */
    public void handle(long now, LocalEvent event, Sink sink) {
        detectStall(now);
        if (event instanceof LocalEvent.LoadSample sample) {
            updateRates(sample);
        } else if (event instanceof LocalEvent.HealthReport report) {
            int health = report.up() ? HealthProbeSchedule.UP : HealthProbeSchedule.DOWN;
            entries.put(now, VersionedEntry.HEALTH_REPORT, report.server(), new byte[] {(byte) health});
        } else if (event instanceof LocalEvent.StormMessage message) {
            if (message.bytes().length <= VersionedEntry.MAX_VALUE_BYTES) {
                entries.put(now, VersionedEntry.STORM_MESSAGE, 0, message.bytes());
            }
        } else if (event instanceof LocalEvent.Leaving) {
            membership.leave(now, (to, items) -> send(now, to, items, sink));
            hasLeft = true;
        }
    }

    private void updateRates(LocalEvent.LoadSample sample) {
        double keep = Math.exp(-sample.micros() / LOAD_TIME_CONSTANT_US);
        double perSecond = (1 - keep) * 1e6 / Math.max(1, sample.micros());
        for (int step = 0; step < demand.length; step++) {
            demand[step] = keep * demand[step] + perSecond * sample.requests()[step];
        }
        accepted = keep * accepted + perSecond * sample.accepted();
        rejected = keep * rejected + perSecond * sample.rejected();
        retries = keep * retries + perSecond * sample.retries();
        tokens = Math.min(maxTokens(), tokens + settings.bytesPerSession() * sample.accepted());
    }

    // ---- Sending.

    /** Sends required items, and fills the datagram up with gossip as far as the byte budget allows. */
    private void send(long now, int to, List<Item> items, Sink sink) {
        refill(now);
        List<Item> all = new ArrayList<>(items);
        int size = sizeOf(items) + announcementBytes();
        int room = (int) Math.min(Envelope.MAX_BYTES, Math.max(0, tokens)) - size;
        if (room > 0) {
            List<Item> updates = membership.gossip(room);
            all.addAll(updates);
            room -= updates.stream().mapToInt(Item::size).sum();
            all.addAll(entries.deltas(now, room, membership.gossipTimes() / 3 + 1));
        }
        sendDatagram(now, to, all, sink);
    }

    private double maxTokens() {
        return BURST_SECONDS * settings.bytesPerSecond() + Envelope.MAX_BYTES;
    }

    private void refill(long now) {
        double added = (now - tokensAt) * settings.bytesPerSecond() / 1e6;
        tokens = Math.min(maxTokens(), tokens + added);
        double most = EXTENSION_BURST_SECONDS * EXTENSION_BUDGET_SHARE * settings.bytesPerSecond();
        extensionTokens = Math.min(most, extensionTokens + EXTENSION_BUDGET_SHARE * added);
        tokensAt = now;
    }

    /** Sends exactly these items, with the announcement if there is room for it. */
    private void sendDatagram(long now, int to, List<Item> items, Sink sink) {
        Item announcement = announcement();
        List<Item> all = items;
        if (announcement.body().length > 0 && sizeOf(items) + announcement.size() <= Envelope.MAX_BYTES) {
            all = new ArrayList<>(items);
            all.add(announcement);
        }
        byte[] datagram = new Envelope(me, membership.incarnation(), ++serial, all).write();
        tokens -= datagram.length;
        counts.sent++;
        counts.bytes += datagram.length;
        sink.send(to, datagram);
    }

    // ---- Snapshots.

    /** What this broker knows about the fleet now. */
    public FleetSnapshot snapshot(long now) {
        detectStall(now);
        List<Integer> proposals = new ArrayList<>();
        double requests = 0;
        for (LoadFigures figures : loadFigures(true)) {
            proposals.add(figures.proposal());
            requests += figures.totalDemand();
        }
        List<Estimate> estimates = summaries.estimates(now);
        for (Estimate estimate : estimates) {
            requests += estimate.load().totalDemand();
        }
        int inForce = SheddingThreshold.effectiveThreshold(
                SheddingThreshold.effectiveThreshold(proposals), proposals.size(), estimates);
        boolean steady = now >= steadyAt;
        return new FleetSnapshot(
                now,
                steady,
                List.copyOf(membership.presentMembers()),
                orUnshared(leases.share(now, SharedResource.NEW_SESSIONS)),
                orUnshared(leases.share(now, SharedResource.RETRIES)),
                orUnshared(settings.guaranteedShare() / brokers),
                leases.until(now),
                settings.loadShedding() && steady ? inForce : 0,
                requests,
                healthReports(),
                stormMessages(),
                otherScopes(estimates));
    }

    private List<ScopeStatus> otherScopes(List<Estimate> estimates) {
        Map<Integer, Estimate> known = new HashMap<>();
        estimates.forEach(estimate -> known.put(estimate.scope().number(), estimate));
        List<ScopeStatus> out = new ArrayList<>();
        for (Scope other : zones.scopes()) {
            if (!other.equals(scope)) {
                Estimate estimate = known.get(other.number());
                out.add(new ScopeStatus(
                        other.number(),
                        other.zone().name(),
                        other.zone().region(),
                        other.size(),
                        estimate == null ? 0 : estimate.present(),
                        estimate == null ? ScopeSummaryStore.MAX_AGE_US : estimate.age()));
            }
        }
        return List.copyOf(out);
    }

    private Map<Integer, List<VersionedEntry>> healthReports() {
        Map<Integer, List<VersionedEntry>> reports = new HashMap<>();
        for (VersionedEntry report : entries.ofKind(VersionedEntry.HEALTH_REPORT)) {
            if (membership.member(report.owner()).isPresent()) {
                reports.computeIfAbsent(report.key(), server -> new ArrayList<>())
                        .add(report);
            }
        }
        return Map.copyOf(reports);
    }

    private Map<Integer, VersionedEntry> stormMessages() {
        Map<Integer, VersionedEntry> messages = new HashMap<>();
        for (VersionedEntry message : entries.ofKind(VersionedEntry.STORM_MESSAGE)) {
            if (message.owner() != me) {
                messages.put(message.owner(), message);
            }
        }
        return Map.copyOf(messages);
    }

    private double orUnshared(double share) {
        return settings.leases() ? share : FleetSnapshot.UNSHARED;
    }
}
