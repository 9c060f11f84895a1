package dockshed.fleet;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A replicated entry: one broker owns it and is the only one that may change it; the others hold copies. A value longer
 * than {@link #MAX_VALUE_BYTES} throws IllegalArgumentException.
 *
 * @param owner       the owner's number
 * @param kind        what the entry describes: see the constants
 * @param key         distinguishes entries of a kind, for example the hash of a server's id; 0 if there is only one
 * @param incarnation of the owner when the entry was written
 * @param counter     increases with each change within an incarnation, from 1
 * @param writtenAt   when the entry was written, in microseconds of the holder's own clock, computed from the age on
 *     the wire
 * @param value       up to {@link #MAX_VALUE_BYTES} bytes
 */
record VersionedEntry(int owner, int kind, int key, long incarnation, int counter, long writtenAt, byte[] value) {
    /** Kind: load figures and a proposed shedding threshold, {@link LoadFigures}. */
    static final int LOAD = 1;
    /** Kind: an edge server found up or down, {@link HealthProbeSchedule}. */
    static final int HEALTH_REPORT = 2;
    /** Kind: a voter's vote for the lease coordinator, {@link LeasedShares}. */
    static final int LEASE_COORDINATOR = 3;
    /** Kind: a message of the storm part. */
    static final int STORM_MESSAGE = 4;
    /** Kind: a digest of lesson plans; not written yet. */
    static final int PLANS = 5;
    /** The highest kind that this version holds; entries of higher kinds are discarded. */
    static final int HIGHEST_KNOWN_KIND = PLANS;

    /** Length of an encoded entry without its value: owner, kind, key, incarnation, counter, age. */
    static final int HEADER_BYTES = 2 + 1 + 4 + 6 + 4 + 2;
    /** Maximum length of a value: an entry fits into a datagram of its own. */
    static final int MAX_VALUE_BYTES = Envelope.MAX_BYTES - Envelope.HEADER_BYTES - 2 - HEADER_BYTES;
    /** Unit in which ages are encoded, in microseconds; the range is nearly an hour. */
    private static final long AGE_UNIT_US = 50_000;

    private static final int MAX_U16 = 0xFFFF;

    VersionedEntry {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "entry: expected a value of at most " + MAX_VALUE_BYTES + " bytes, got " + value.length);
        }
    }

    /**
     * Whether entries of a kind change so often that each owner pushes its own to each peer in turn, and nobody relays
     * them.
     */
    static boolean isPushed(int kind) {
        return kind == LOAD || kind == STORM_MESSAGE;
    }

    /** Identifies the entry; the same for all its versions. */
    long id() {
        return id(owner, kind, key);
    }

    /** Combines owner, kind and key to an entry's id. */
    static long id(int owner, int kind, int key) {
        return (long) owner << 40 | (long) kind << 32 | key & 0xFFFFFFFFL;
    }

    /**
     * Orders versions by incarnation, then by counter. Versions with the same counter but other bytes, which no correct
     * owner writes, are ordered by their bytes, so that all holders keep the same one.
     */
    int compareVersion(VersionedEntry other) {
        int order = Long.compare(incarnation, other.incarnation);
        order = order != 0 ? order : Integer.compareUnsigned(counter, other.counter);
        return order != 0 ? order : Arrays.compareUnsigned(value, other.value);
    }

    /**
     * The later of two versions; of equal versions the one with the greater age, since relaying does not make an entry
     * younger.
     */
    static VersionedEntry merge(VersionedEntry first, VersionedEntry second) {
        int order = first.compareVersion(second);
        return order > 0 || order == 0 && first.writtenAt <= second.writtenAt ? first : second;
    }

    /** Encodes the entry with its age. */
    Envelope.Item write(long now) {
        long age = Math.max(0, now - writtenAt) / AGE_UNIT_US;
        return new Envelope.BodyWriter()
                .u16(owner)
                .u8(kind)
                .u32(key)
                .u48(incarnation)
                .u32(counter)
                .u16((int) Math.min(MAX_U16, age))
                .bytes(value)
                .item(Envelope.ENTRY);
    }

    /** Decodes an item; returns null if it cannot be decoded or is of an unknown kind. */
    static VersionedEntry read(Envelope.Item item, long now) {
        if (item.body().length < HEADER_BYTES) {
            return null;
        }
        ByteBuffer in = item.read();
        int owner = in.getShort() & MAX_U16;
        int kind = in.get() & 0xFF;
        int key = in.getInt();
        long incarnation = Envelope.getU48(in);
        int counter = in.getInt();
        long writtenAt = now - (in.getShort() & MAX_U16) * AGE_UNIT_US;
        if (kind == 0 || kind > HIGHEST_KNOWN_KIND || in.remaining() > MAX_VALUE_BYTES) {
            return null;
        }
        byte[] value = new byte[in.remaining()];
        in.get(value);
        return new VersionedEntry(owner, kind, key, incarnation, counter, writtenAt, value);
    }

    /** A hash of version and value, independent of the age. */
    int hash() {
        int hash = Long.hashCode(id()) * 31 + Long.hashCode(incarnation);
        return StableHash.mix((hash * 31 + counter) * 31 + Arrays.hashCode(value));
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof VersionedEntry other
                && id() == other.id()
                && compareVersion(other) == 0
                && writtenAt == other.writtenAt;
    }

    @Override
    public int hashCode() {
        return hash();
    }
}
