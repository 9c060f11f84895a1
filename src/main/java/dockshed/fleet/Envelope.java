package dockshed.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between brokers: the sender, its incarnation, a serial number, then items. An item is a kind, a length
 * and that many bytes, so readers can skip unknown kinds; a higher version may add kinds and lengthen bodies, but must
 * not change what is defined here.
 *
 * @param sender      the sender's number in the tier
 * @param incarnation of the sender: increases with each start, and whenever it has to refute a suspicion of itself
 * @param serial      of the datagram within that incarnation
 * @param items       in the order written
 */
public record Envelope(int sender, long incarnation, int serial, List<Item> items) {
    /** Maximum length of a datagram in bytes: the platform's limit. */
    public static final int MAX_BYTES = 256;

    /** First byte of a datagram. */
    static final byte MAGIC = (byte) 0xF1;
    /** Version of the protocol that this program writes, and the lowest that it reads. */
    static final int VERSION = 1;
    /** Length of the header: magic and version, sender, incarnation, serial. */
    static final int HEADER_BYTES = 2 + 2 + 6 + 4;
    /** Maximum number of brokers: their numbers take two bytes. */
    static final int MAX_BROKERS = 0xFFFF;

    /** Kind of item: a probe, with its number. */
    static final int PING = 1;
    /** Kind of item: the answer to a probe, with its number. */
    static final int ACK = 2;
    /** Kind of item: a request for an indirect probe, with probe number and target. */
    static final int PING_REQUEST = 3;
    /** Kind of item: a member's state, with its number, state and incarnation. */
    static final int MEMBER = 4;
    /** Kind of item: a {@link VersionedEntry}. */
    static final int ENTRY = 5;
    /** Kind of item: a digest for anti-entropy, with whether the receiver's is wanted and a hash for each bucket. */
    static final int DIGEST = 6;
    /**
     * Kind of item: a candidate's request to a voter, with round, the candidate's incarnation and, in a divided fleet,
     * the hash of the zone layout.
     */
    static final int VOTE_REQUEST = 7;
    /** Kind of item: a voter's vote, with the round. */
    static final int VOTE = 8;
    /** Kind of item: a request to the lease coordinator, with its number and the demand for each resource. */
    static final int LEASE_REQUEST = 9;
    /** Kind of item: a lease, with the request's number, its length in milliseconds and the share of each resource. */
    static final int LEASE_GRANT = 10;

    /** Kind of item: a {@link ScopeSummary}. */
    static final int SCOPE_SUMMARY = 11;
    /** Kind of item: a body of the {@link GossipExtension}. */
    static final int EXTENSION = 12;
    /** Kind of item: an announcement of the {@link GossipExtension}. */
    static final int ANNOUNCEMENT = 13;

    /** Maximum length of an item's body: the length takes one byte. */
    private static final int MAX_BODY_BYTES = 255;
    /** Length of an item's kind and length. */
    static final int ITEM_HEADER_BYTES = 2;

    /**
     * One item; the class that handles its kind decodes the body. A body longer than 255 bytes throws
     * IllegalArgumentException.
     */
    record Item(int kind, byte[] body) {
        Item {
            if (body.length > MAX_BODY_BYTES) {
                throw new IllegalArgumentException(
                        "item: expected a body of at most " + MAX_BODY_BYTES + " bytes, got " + body.length);
            }
        }

        /** Bytes that the item takes in a datagram. */
        int size() {
            return ITEM_HEADER_BYTES + body.length;
        }

        /** A buffer over the body, for reading. */
        ByteBuffer read() {
            return ByteBuffer.wrap(body);
        }
    }

    /** Encodes the datagram. */
    byte[] write() {
        int size = HEADER_BYTES + items.stream().mapToInt(Item::size).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(MAGIC).put((byte) VERSION).putShort((short) sender);
        putU48(out, incarnation);
        out.putInt(serial);
        for (Item item : items) {
            out.put((byte) item.kind()).put((byte) item.body().length).put(item.body());
        }
        return out.array();
    }

    /** Whether a datagram is marked as an envelope. */
    public static boolean isEnvelope(byte[] datagram) {
        return datagram.length >= HEADER_BYTES && datagram[0] == MAGIC;
    }

    /** The sender that a datagram names, or -1 if it is no envelope. */
    static int sender(byte[] datagram) {
        return isEnvelope(datagram) ? (datagram[2] & 0xFF) << 8 | datagram[3] & 0xFF : -1;
    }

    /** Decodes a datagram; returns null if that is not possible. */
    static Envelope read(byte[] datagram) {
        if (!isEnvelope(datagram) || datagram.length > MAX_BYTES || datagram[1] < VERSION) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 2, datagram.length - 2);
        int sender = in.getShort() & 0xFFFF;
        long incarnation = getU48(in);
        int serial = in.getInt();
        List<Item> items = readItems(in);
        return items == null ? null : new Envelope(sender, incarnation, serial, items);
    }

    /** Returns null if the datagram is truncated: then none of its items is used. */
    private static List<Item> readItems(ByteBuffer in) {
        List<Item> items = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                int kind = in.get() & 0xFF;
                byte[] body = new byte[in.get() & 0xFF];
                in.get(body);
                items.add(new Item(kind, body));
            }
        } catch (BufferUnderflowException e) {
            return null;
        }
        return List.copyOf(items);
    }

    /** Writes the lowest six bytes. */
    static void putU48(ByteBuffer out, long value) {
        out.putShort((short) (value >>> 32)).putInt((int) value);
    }

    /** Reads what {@link #putU48} wrote. */
    static long getU48(ByteBuffer in) {
        return (long) (in.getShort() & 0xFFFF) << 32 | in.getInt() & 0xFFFFFFFFL;
    }

    /** Builds the body of an item, big-endian. */
    static final class BodyWriter {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        BodyWriter u8(int value) {
            out.write(value);
            return this;
        }

        BodyWriter u16(int value) {
            return u8(value >>> 8).u8(value);
        }

        BodyWriter u32(int value) {
            return u16(value >>> 16).u16(value);
        }

        BodyWriter u48(long value) {
            return u16((int) (value >>> 32)).u32((int) value);
        }

        BodyWriter bytes(byte[] value) {
            out.writeBytes(value);
            return this;
        }

        Item item(int kind) {
            return new Item(kind, out.toByteArray());
        }
    }
}
