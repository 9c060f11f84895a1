package dockshed.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Own rows and copies of the others'. Invariants: of each row the latest version that was told is held, and no version of
 * an earlier life than the latest known of its owner; merging is commutative, associative and idempotent; a copy goes
 * when its kind's time is over, however often it is told again.
 */
final class Rows {
    /** Rows of one owner at most: one of each single kind, and words on boxes. */
    static final int MOST_OF_ONE = 24;
    /** So often within so many microseconds no datagram of an owner is overtaken by the same relay's. */
    static final int STRIKES = 3;

    static final long WITHIN = 10_000_000;
    /** Buckets of the digest: owners by their number. */
    static final int BUCKETS = 16;

    private static final class Held {
        Row row;
        int via; // the broker that told it: its owner, or a relay
        int sends; // how often this version was sent on

        Held(Row row, int via) {
            this.row = row;
            this.via = via;
        }
    }

    private final int me;
    private final int brokers;
    private long incarnation;
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final Map<Integer, Integer> ofOne = new HashMap<>();
    private final Map<Integer, Long> lives = new HashMap<>(); // the latest incarnation known, by owner
    private int written; // counts all changes of own rows, so that no counter is used twice, also of one withdrawn
    private final long[] keep = new long[Row.KNOWN + 1];
    int forged; // times that an owner's own word was behind what a relay had told
    private final Map<Integer, List<Long>> strikes = new HashMap<>(); // of those, when, by relay

    Rows(int me, int brokers, long incarnation) {
        this.me = me;
        this.brokers = brokers;
        this.incarnation = incarnation;
        java.util.Arrays.fill(keep, 10_000_000);
    }

    /** How long rows of a kind are held, in microseconds from when they were written. */
    void keep(int kind, long micros) {
        keep[kind] = micros;
    }

    /** Writes or changes an own row. */
    void put(long now, int kind, int key, byte[] value) {
        Held h = held.get(new Row(me, kind, key, 0, 0, 0, value).id());
        if (h == null && count(me) >= MOST_OF_ONE) {
            oldestOwn(kind);
        }
        set(new Held(new Row(me, kind, key, incarnation, ++written, now, value), me));
    }

    /** Makes room among own rows: the longest unchanged of that kind goes. */
    private void oldestOwn(int kind) {
        held.values().stream()
                .filter(h -> h.row.owner() == me && h.row.kind() == kind)
                .min(Comparator.comparingLong(h -> h.row.born()))
                .ifPresent(this::drop);
    }

    /** Own rows go on under a later life: whatever was told of the one before is over. */
    void reborn(long later) {
        incarnation = later;
        for (Held h : List.copyOf(held.values())) {
            if (h.row.owner() == me) {
                put(h.row.born(), h.row.kind(), h.row.key(), h.row.value());
            }
        }
    }

    private void set(Held h) {
        Held was = held.put(h.row.id(), h);
        if (was == null) {
            ofOne.merge(h.row.owner(), 1, Integer::sum);
        }
    }

    private void drop(Held h) {
        if (held.remove(h.row.id(), h)) {
            ofOne.merge(h.row.owner(), -1, Integer::sum);
        }
    }

    private int count(int owner) {
        return ofOne.getOrDefault(owner, 0);
    }

    /**
     * Takes in what {@code via} tells. Returns true where that was news. A copy told by the owner itself that is older
     * than the one held, in the same life, was overtaken on its way, or whoever told the held one made it up. The owner's
     * is taken; what it lacks comes again. A relay to which that happens {@link #STRIKES} times is told to {@code liar}.
     */
    boolean merge(long now, Row told, int via, Consumer<Integer> liar) {
        if (told.owner() >= brokers || now - told.born() > keep[told.kind()]) {
            return false;
        }
        if (told.owner() == me) {
            return false; // nobody else knows better; the caller looks whether a word on us is to be contradicted
        }
        long life = lives.getOrDefault(told.owner(), 0L);
        if (told.incarnation() < life) {
            return false;
        }
        if (told.incarnation() > life) {
            life(told.owner(), told.incarnation());
        }
        Held was = held.get(told.id());
        if (was == null) {
            if (count(told.owner()) >= MOST_OF_ONE) {
                return false;
            }
            set(new Held(told, via));
            return true;
        }
        int c = told.compareVersion(was.row);
        if (c < 0 && via == told.owner() && was.via != via) {
            forged++;
            List<Long> of = strikes.computeIfAbsent(was.via, x -> new ArrayList<>());
            of.removeIf(t -> now - t > WITHIN);
            of.add(now);
            if (of.size() >= STRIKES) {
                strikes.remove(was.via);
                liar.accept(was.via);
            }
            drop(was);
            set(new Held(told, via));
            return true;
        }
        Row merged = Row.merge(was.row, told);
        if (c > 0) {
            set(new Held(merged, via));
            return true;
        }
        was.row = merged;
        was.via = via == told.owner() ? via : was.via;
        return false;
    }

    /** A later life of an owner is known: rows of those before are void. */
    void life(int owner, long incarnation) {
        if (owner != me && incarnation > lives.getOrDefault(owner, 0L)) {
            lives.put(owner, incarnation);
            for (Held h : List.copyOf(held.values())) {
                if (h.row.owner() == owner && h.row.incarnation() < incarnation) {
                    drop(h);
                }
            }
        }
    }

    /** An owner is gone: what it told counts no more. */
    void forget(int owner) {
        for (Held h : List.copyOf(held.values())) {
            if (h.row.owner() == owner) {
                drop(h);
            }
        }
    }

    /** Forgets what a relay told of others: it was caught making things up. */
    void forgetVia(int via) {
        for (Held h : List.copyOf(held.values())) {
            if (h.via == via && h.row.owner() != via) {
                drop(h);
            }
        }
    }

    void expire(long now) {
        for (Held h : List.copyOf(held.values())) {
            if (now - h.row.born() > keep[h.row.kind()]) {
                drop(h);
            }
        }
    }

    /** The rows of a kind, own one included, by owner. */
    List<Row> of(int kind) {
        List<Row> out = new ArrayList<>();
        for (Held h : held.values()) {
            if (h.row.kind() == kind) {
                out.add(h.row);
            }
        }
        out.sort(Comparator.comparingLong(Row::id));
        return out;
    }

    Row get(int owner, int kind, int key) {
        Held h = held.get((long) owner << 40 | (long) kind << 32 | key & 0xFFFFFFFFL);
        return h == null ? null : h.row;
    }

    int size() {
        return held.size();
    }

    Collection<Row> all() {
        return held.values().stream().map(h -> h.row).toList();
    }

    /** Up to so many bytes of rows to send on, those sent least first, none more than {@code times}; counted as sent. */
    List<Envelope.Item> deltas(long now, int bytes, int times) {
        List<Held> due = new ArrayList<>();
        for (Held h : held.values()) {
            if (h.sends < times && !Row.pushed(h.row.kind())) {
                due.add(h);
            }
        }
        due.sort(Comparator.comparingInt((Held h) -> h.sends).thenComparing(h -> -h.row.born()));
        List<Envelope.Item> out = new ArrayList<>();
        int left = bytes;
        for (Held h : due) {
            int size = 2 + Row.HEAD + h.row.value().length;
            if (size <= left) {
                left -= size;
                h.sends++;
                out.add(h.row.write(now));
            }
            if (left < 2 + Row.HEAD) {
                break;
            }
        }
        return out;
    }

    /** What is held, in brief: a hash for each bucket of owners. */
    int[] digest() {
        int[] out = new int[BUCKETS];
        for (Held h : held.values()) {
            if (!Row.pushed(h.row.kind())) {
                out[h.row.owner() % BUCKETS] += h.row.hash();
            }
        }
        return out;
    }

    /** Rows of the buckets whose digests differ, from a place that moves on from call to call. */
    List<Row> differing(int[] theirs, int from) {
        int[] mine = digest();
        List<Row> out = new ArrayList<>();
        for (Held h : held.values()) {
            int bucket = h.row.owner() % BUCKETS;
            if (mine[bucket] != theirs[bucket] && !Row.pushed(h.row.kind())) {
                out.add(h.row);
            }
        }
        java.util.Collections.rotate(out, -from);
        return out;
    }
}
