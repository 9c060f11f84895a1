package dockshed.fleet;

import dockshed.topology.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The own entries and copies of the others'. Invariants: of each entry the latest version received is held, and no version
 * of an earlier incarnation than the latest known of its owner; merging is commutative, associative and idempotent; a copy
 * expires after its kind's time to live, however often it is received again.
 */
final class EntryStore {
    /** Entries of one owner at most: one of each single kind, and health reports. */
    static final int MAX_ENTRIES_PER_OWNER = 24;
    /** Within {@link #STRIKE_WINDOW_US} a relay's copies are overtaken by their owner's less often than this. */
    static final int MAX_STRIKES = 3;

    /** Microseconds for which a strike counts. */
    static final long STRIKE_WINDOW_US = 10_000_000;
    /** Buckets of the digest: owners by their number. */
    static final int DIGEST_BUCKETS = 16;

    private static final long DEFAULT_TIME_TO_LIVE_US = 10_000_000;
    /** An item's kind and length, and the entry's header. */
    private static final int ITEM_OVERHEAD = 2 + VersionedEntry.HEADER_BYTES;

    private static final class StoredEntry {
        VersionedEntry entry;
        /** The broker that it was received from: its owner, or a relay. */
        int source;
        /** How often this version was relayed. */
        int timesSent;

        StoredEntry(VersionedEntry entry, int source) {
            this.entry = entry;
            this.source = source;
        }
    }

    private final int me;
    private final Scope scope;
    private long incarnation;
    private final Map<Long, StoredEntry> stored = new LinkedHashMap<>();
    private final Map<Integer, Integer> entriesByOwner = new HashMap<>();
    private final Map<Integer, Long> latestIncarnations = new HashMap<>();
    /** Counts all changes of own entries, so that no counter is used twice, also of one that was evicted. */
    private int ownChanges;

    private final long[] timeToLive = new long[VersionedEntry.HIGHEST_KNOWN_KIND + 1];
    /** How often an owner's own version was behind what a relay had sent. */
    int forged;
    /** When that happened, by relay. */
    private final Map<Integer, List<Long>> strikes = new HashMap<>();

    EntryStore(int me, Scope scope, long incarnation) {
        this.me = me;
        this.scope = scope;
        this.incarnation = incarnation;
        Arrays.fill(timeToLive, DEFAULT_TIME_TO_LIVE_US);
    }

    /** Sets how long entries of a kind are held, in microseconds from when they were written. */
    void setTimeToLive(int kind, long micros) {
        timeToLive[kind] = micros;
    }

    /** Writes or changes an own entry. */
    void put(long now, int kind, int key, byte[] value) {
        boolean isNew = !stored.containsKey(VersionedEntry.id(me, kind, key));
        if (isNew && count(me) >= MAX_ENTRIES_PER_OWNER) {
            evictOldestOwn(kind);
        }
        set(new StoredEntry(new VersionedEntry(me, kind, key, incarnation, ++ownChanges, now, value), me));
    }

    /** Makes room among the own entries: the longest unchanged of that kind goes. */
    private void evictOldestOwn(int kind) {
        stored.values().stream()
                .filter(s -> s.entry.owner() == me && s.entry.kind() == kind)
                .min(Comparator.comparingLong(s -> s.entry.writtenAt()))
                .ifPresent(this::remove);
    }

    /** Rewrites the own entries under a later incarnation: all versions of the one before are void. */
    void startIncarnation(long later) {
        incarnation = later;
        for (StoredEntry own : matching(s -> s.entry.owner() == me)) {
            put(own.entry.writtenAt(), own.entry.kind(), own.entry.key(), own.entry.value());
        }
    }

    private List<StoredEntry> matching(Predicate<StoredEntry> condition) {
        return stored.values().stream().filter(condition).toList();
    }

    private void set(StoredEntry added) {
        StoredEntry previous = stored.put(added.entry.id(), added);
        if (previous == null) {
            entriesByOwner.merge(added.entry.owner(), 1, Integer::sum);
        }
    }

    private void remove(StoredEntry removed) {
        if (stored.remove(removed.entry.id(), removed)) {
            entriesByOwner.merge(removed.entry.owner(), -1, Integer::sum);
        }
    }

    private void removeMatching(Predicate<StoredEntry> condition) {
        matching(condition).forEach(this::remove);
    }

    private int count(int owner) {
        return entriesByOwner.getOrDefault(owner, 0);
    }

    /**
     * Merges an entry received from {@code source}. A copy from the owner itself that is older than the one held, in the
     * same incarnation, was either overtaken on its way, or the source of the held one forged it. The owner's copy wins;
     * what it lacks comes again.
     *
     * @param onForger called with a relay to which that happened {@link #MAX_STRIKES} times
     * @return whether the entry was new
     */
    boolean merge(long now, VersionedEntry received, int source, Consumer<Integer> onForger) {
        if (!accepts(now, received)) {
            return false;
        }
        noteIncarnation(received.owner(), received.incarnation());
        StoredEntry held = stored.get(received.id());
        if (held == null) {
            return add(received, source);
        }
        int order = received.compareVersion(held.entry);
        if (order < 0 && source == received.owner() && held.source != source) {
            recordStrike(now, held.source, onForger);
            remove(held);
            set(new StoredEntry(received, source));
            return true;
        }
        if (order > 0) {
            set(new StoredEntry(received, source));
            return true;
        }
        held.entry = VersionedEntry.merge(held.entry, received);
        held.source = source == received.owner() ? source : held.source;
        return false;
    }

    /** Whether it is of another broker of the scope, of its latest incarnation, and not expired. */
    private boolean accepts(long now, VersionedEntry received) {
        return scope.contains(received.owner())
                && received.owner() != me
                && now - received.writtenAt() <= timeToLive[received.kind()]
                && received.incarnation() >= latestIncarnations.getOrDefault(received.owner(), 0L);
    }

    private boolean add(VersionedEntry received, int source) {
        if (count(received.owner()) >= MAX_ENTRIES_PER_OWNER) {
            return false;
        }
        set(new StoredEntry(received, source));
        return true;
    }

    private void recordStrike(long now, int relay, Consumer<Integer> onForger) {
        forged++;
        List<Long> times = strikes.computeIfAbsent(relay, x -> new ArrayList<>());
        times.removeIf(time -> now - time > STRIKE_WINDOW_US);
        times.add(now);
        if (times.size() >= MAX_STRIKES) {
            strikes.remove(relay);
            onForger.accept(relay);
        }
    }

    /** If the incarnation of an owner is later than those known, removes all entries of earlier ones. */
    void noteIncarnation(int owner, long later) {
        if (owner != me && later > latestIncarnations.getOrDefault(owner, 0L)) {
            latestIncarnations.put(owner, later);
            removeMatching(s -> s.entry.owner() == owner && s.entry.incarnation() < later);
        }
    }

    /** Removes all entries of an owner that is gone. */
    void forgetOwner(int owner) {
        removeMatching(s -> s.entry.owner() == owner);
    }

    /** Removes what a relay sent of others: it was caught forging. */
    void forgetRelayedBy(int relay) {
        removeMatching(s -> s.source == relay && s.entry.owner() != relay);
    }

    /** Removes what has outlived its time to live. */
    void expire(long now) {
        removeMatching(s -> now - s.entry.writtenAt() > timeToLive[s.entry.kind()]);
    }

    /** The entries of a kind, the own one included, by owner. */
    List<VersionedEntry> ofKind(int kind) {
        List<VersionedEntry> out = new ArrayList<>();
        for (StoredEntry s : stored.values()) {
            if (s.entry.kind() == kind) {
                out.add(s.entry);
            }
        }
        out.sort(Comparator.comparingLong(VersionedEntry::id));
        return out;
    }

    /** The version held of an entry, or null. */
    VersionedEntry get(int owner, int kind, int key) {
        StoredEntry held = stored.get(VersionedEntry.id(owner, kind, key));
        return held == null ? null : held.entry;
    }

    int size() {
        return stored.size();
    }

    Collection<VersionedEntry> all() {
        return stored.values().stream().map(s -> s.entry).toList();
    }

    /**
     * Entries to relay, those sent least first; counts them as sent.
     *
     * @param bytes    that the items may take together
     * @param maxTimes how often a version is relayed at most
     */
    List<Envelope.Item> deltas(long now, int bytes, int maxTimes) {
        List<Envelope.Item> out = new ArrayList<>();
        int left = bytes;
        for (StoredEntry s : dueForRelay(maxTimes)) {
            int size = ITEM_OVERHEAD + s.entry.value().length;
            if (size <= left) {
                left -= size;
                s.timesSent++;
                out.add(s.entry.write(now));
            }
            if (left < ITEM_OVERHEAD) {
                break;
            }
        }
        return out;
    }

    private List<StoredEntry> dueForRelay(int maxTimes) {
        List<StoredEntry> due = new ArrayList<>();
        for (StoredEntry s : stored.values()) {
            if (s.timesSent < maxTimes && !VersionedEntry.isPushed(s.entry.kind())) {
                due.add(s);
            }
        }
        due.sort(Comparator.comparingInt((StoredEntry s) -> s.timesSent).thenComparing(s -> -s.entry.writtenAt()));
        return due;
    }

    /** A digest for anti-entropy: a hash for each bucket of owners. */
    int[] digest() {
        int[] out = new int[DIGEST_BUCKETS];
        for (StoredEntry s : stored.values()) {
            if (!VersionedEntry.isPushed(s.entry.kind())) {
                out[s.entry.owner() % DIGEST_BUCKETS] += s.entry.hash();
            }
        }
        return out;
    }

    /** The entries of the buckets whose digests differ, rotated by {@code start}, so that repeated calls cover all. */
    List<VersionedEntry> differing(int[] theirs, int start) {
        int[] mine = digest();
        List<VersionedEntry> out = new ArrayList<>();
        for (StoredEntry s : stored.values()) {
            int bucket = s.entry.owner() % DIGEST_BUCKETS;
            if (mine[bucket] != theirs[bucket] && !VersionedEntry.isPushed(s.entry.kind())) {
                out.add(s.entry);
            }
        }
        Collections.rotate(out, -start);
        return out;
    }
}
