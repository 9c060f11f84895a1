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
 * This broker's own entries and copies of the others'. Invariants: of each entry the latest version received is held,
 * and none of an earlier incarnation than the latest known of its owner; merging is commutative, associative and
 * idempotent; a copy expires after the time to live of its kind, however often it is received again.
 */
final class EntryStore {
    /** Maximum number of entries of one owner: one of each kind that has a single entry, and health reports. */
    static final int MAX_ENTRIES_PER_OWNER = 24;
    /**
     * A relay counts as a forger once this many of its copies were overtaken by their owners' own within {@link
     * #STRIKE_WINDOW_US}.
     */
    static final int MAX_STRIKES = 3;

    /** Time for which a strike counts, in microseconds. */
    static final long STRIKE_WINDOW_US = 10_000_000;
    /** Buckets of the digest; entries are assigned to them by their owners' numbers. */
    static final int DIGEST_BUCKETS = 16;

    /** Time to live of kinds for which none was set, in microseconds. */
    private static final long DEFAULT_TIME_TO_LIVE_US = 10_000_000;
    /** Bytes of an entry's item without the value: the item's kind and length, and the entry's header. */
    private static final int ITEM_OVERHEAD = 2 + VersionedEntry.HEADER_BYTES;

    private static final class StoredEntry {
        VersionedEntry entry;
        /** The broker that it was received from: its owner, or a relay. */
        int source;
        /** How many times this version was relayed. */
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
    /** Number of changes of own entries, so that no counter is used twice, not even for an entry that was evicted. */
    private int ownChanges;

    private final long[] timeToLive = new long[VersionedEntry.HIGHEST_KNOWN_KIND + 1];
    /** Number of times that an owner's own version was behind the one that a relay had sent. */
    int forged;
    /** Times of a relay's strikes, by relay. */
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

    /** Creates or changes an own entry. */
    void put(long now, int kind, int key, byte[] value) {
        boolean isNew = !stored.containsKey(VersionedEntry.id(me, kind, key));
        if (isNew && count(me) >= MAX_ENTRIES_PER_OWNER) {
            evictOldestOwn(kind);
        }
        set(new StoredEntry(new VersionedEntry(me, kind, key, incarnation, ++ownChanges, now, value), me));
    }

    /** Makes room for another own entry: evicts the one of that kind that was not changed for the longest time. */
    private void evictOldestOwn(int kind) {
        stored.values().stream()
                .filter(held -> held.entry.owner() == me && held.entry.kind() == kind)
                .min(Comparator.comparingLong(held -> held.entry.writtenAt()))
                .ifPresent(this::remove);
    }

    /** Rewrites the own entries under a later incarnation: all versions of earlier ones are void. */
    void startIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
        for (StoredEntry own : matching(held -> held.entry.owner() == me)) {
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
     * Merges an entry received from {@code source}. A copy from the owner itself that is older than the one held, in
     * the same incarnation, was either overtaken on its way, or the source of the held copy forged it. The owner's copy
     * wins; if it was overtaken, the later version arrives again.
     *
     * @param onForger called with a relay to which that happened {@link #MAX_STRIKES} times
     * @return whether the held version was replaced or added
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

    /** Whether an entry is of another broker of the scope, of that broker's latest incarnation, and not expired. */
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
        List<Long> times = strikes.computeIfAbsent(relay, key -> new ArrayList<>());
        times.removeIf(time -> now - time > STRIKE_WINDOW_US);
        times.add(now);
        if (times.size() >= MAX_STRIKES) {
            strikes.remove(relay);
            onForger.accept(relay);
        }
    }

    /** Records an owner's incarnation; if it is the latest known, removes the owner's entries of earlier ones. */
    void noteIncarnation(int owner, long newIncarnation) {
        if (owner != me && newIncarnation > latestIncarnations.getOrDefault(owner, 0L)) {
            latestIncarnations.put(owner, newIncarnation);
            removeMatching(held -> held.entry.owner() == owner && held.entry.incarnation() < newIncarnation);
        }
    }

    /** Removes all entries of an owner that is gone. */
    void forgetOwner(int owner) {
        removeMatching(held -> held.entry.owner() == owner);
    }

    /** Removes the copies received from a relay that was caught forging, except its own entries. */
    void forgetRelayedBy(int relay) {
        removeMatching(held -> held.source == relay && held.entry.owner() != relay);
    }

    /** Removes entries whose time to live is over. */
    void expire(long now) {
        removeMatching(held -> now - held.entry.writtenAt() > timeToLive[held.entry.kind()]);
    }

    /** All entries of a kind, own ones included, ordered by owner. */
    List<VersionedEntry> ofKind(int kind) {
        List<VersionedEntry> out = new ArrayList<>();
        for (StoredEntry held : stored.values()) {
            if (held.entry.kind() == kind) {
                out.add(held.entry);
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

    /** Number of entries held, own ones included. */
    int size() {
        return stored.size();
    }

    /** All entries held, own ones included. */
    Collection<VersionedEntry> all() {
        return stored.values().stream().map(held -> held.entry).toList();
    }

    /**
     * Entries to relay, those sent the fewest times first; counts them as sent.
     *
     * @param bytes    that the items may take together
     * @param maxTimes number of times that a version is relayed at most
     */
    List<Envelope.Item> deltas(long now, int bytes, int maxTimes) {
        List<Envelope.Item> out = new ArrayList<>();
        int left = bytes;
        for (StoredEntry held : dueForRelay(maxTimes)) {
            int size = ITEM_OVERHEAD + held.entry.value().length;
            if (size <= left) {
                left -= size;
                held.timesSent++;
                out.add(held.entry.write(now));
            }
            if (left < ITEM_OVERHEAD) {
                break;
            }
        }
        return out;
    }

    private List<StoredEntry> dueForRelay(int maxTimes) {
        List<StoredEntry> due = new ArrayList<>();
        for (StoredEntry held : stored.values()) {
            if (held.timesSent < maxTimes && !VersionedEntry.isPushed(held.entry.kind())) {
                due.add(held);
            }
        }
        due.sort(Comparator.comparingInt((StoredEntry held) -> held.timesSent)
                .thenComparing(held -> -held.entry.writtenAt()));
        return due;
    }

    /** A digest for anti-entropy: a hash for each bucket of owners. */
    int[] digest() {
        int[] out = new int[DIGEST_BUCKETS];
        for (StoredEntry held : stored.values()) {
            if (!VersionedEntry.isPushed(held.entry.kind())) {
                out[held.entry.owner() % DIGEST_BUCKETS] += held.entry.hash();
            }
        }
        return out;
    }

    /**
     * The entries of the buckets whose digests differ, rotated by {@code start} so that repeated calls cover all of
     * them.
     */
    List<VersionedEntry> differing(int[] theirs, int start) {
        int[] mine = digest();
        List<VersionedEntry> out = new ArrayList<>();
        for (StoredEntry held : stored.values()) {
            int bucket = held.entry.owner() % DIGEST_BUCKETS;
            if (mine[bucket] != theirs[bucket] && !VersionedEntry.isPushed(held.entry.kind())) {
                out.add(held.entry);
            }
        }
        Collections.rotate(out, -start);
        return out;
    }
}
