package dockshed.fleet;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A row of state: one broker owns it and alone may change it, the others hold copies.
 *
 * @param owner       the owner's number
 * @param kind        what it tells, see the constants
 * @param key         which of that kind, such as a box's hash; 0 where there is one only
 * @param incarnation of its owner when it was written
 * @param counter     grows with each change within an incarnation, from 1
 * @param born        when it was written, in microseconds of the holder's own clock; as told by the age that travels
 * @param value       up to {@link #MOST_VALUE} bytes
 */
record Row(int owner, int kind, int key, long incarnation, int counter, long born, byte[] value) {
    /** LOAD: demand and cut. BOX: health seen. PURSER: who shares out. NOTE: of the storm part. DIGEST: of the plans. */
    static final int LOAD = 1, BOX = 2, PURSER = 3, NOTE = 4, PLANS = 5;
    /** The highest kind that this version keeps; what is higher is passed over. */
    static final int KNOWN = PLANS;

    static final int HEAD = 2 + 1 + 4 + 6 + 4 + 2;
    /** So that a row fits into a datagram with nothing else. */
    static final int MOST_VALUE = Envelope.LIMIT - Envelope.HEAD - 2 - HEAD;
    /** Microseconds in which ages are told: 50 ms, up to nearly an hour. */
    private static final long AGE_UNIT = 50_000;

    Row {
        if (value.length > MOST_VALUE) {
            throw new IllegalArgumentException("row of " + value.length + " bytes");
        }
    }

    /** Whether rows of a kind change so often that each owner tells its own to each peer in turn; nobody passes them on. */
    static boolean pushed(int kind) {
        return kind == LOAD || kind == NOTE;
    }

    /** What it is a row of: the same for all versions of it. */
    long id() {
        return (long) owner << 40 | (long) kind << 32 | key & 0xFFFFFFFFL;
    }

    /**
     * The later version: of two lives the later, within one the higher counter. Of the same counter with other bytes (no
     * sound owner writes that) the greater bytes, so that all holders keep the same one.
     */
    int compareVersion(Row o) {
        int c = Long.compare(incarnation, o.incarnation);
        c = c != 0 ? c : Integer.compareUnsigned(counter, o.counter);
        return c != 0 ? c : Arrays.compareUnsigned(value, o.value);
    }

    /** The later of two versions; of one version told twice, the older age: what is relayed does not grow younger. */
    static Row merge(Row a, Row b) {
        int c = a.compareVersion(b);
        return c > 0 || c == 0 && a.born <= b.born ? a : b;
    }

    Envelope.Item write(long now) {
        long age = Math.max(0, now - born) / AGE_UNIT;
        return new Envelope.Bodies()
                .u16(owner)
                .u8(kind)
                .u32(key)
                .u48(incarnation)
                .u32(counter)
                .u16((int) Math.min(0xFFFF, age))
                .bytes(value)
                .item(Envelope.ROW);
    }

    /** Null where it cannot be read, or is of a kind that is not known here. */
    static Row read(Envelope.Item item, long now) {
        if (item.body().length < HEAD) {
            return null;
        }
        ByteBuffer b = item.read();
        int owner = b.getShort() & 0xFFFF;
        int kind = b.get() & 0xFF;
        int key = b.getInt();
        long incarnation = Envelope.getLong6(b);
        int counter = b.getInt();
        long born = now - (b.getShort() & 0xFFFFL) * AGE_UNIT;
        if (kind == 0 || kind > KNOWN || b.remaining() > MOST_VALUE) {
            return null;
        }
        byte[] value = new byte[b.remaining()];
        b.get(value);
        return new Row(owner, kind, key, incarnation, counter, born, value);
    }

    /** Of versions and values, not of ages. */
    int hash() {
        int h = Long.hashCode(id()) * 31 + Long.hashCode(incarnation);
        return Mix.mix((h * 31 + counter) * 31 + Arrays.hashCode(value));
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Row r && id() == r.id() && compareVersion(r) == 0 && born == r.born;
    }

    @Override
    public int hashCode() {
        return hash();
    }
}
