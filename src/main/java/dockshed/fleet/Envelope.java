package dockshed.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between brokers: who sends it, from which life and as its how manieth, then items. An item is a kind, a
 * length and that many bytes, so a reader passes over kinds that it does not know; a higher version may add kinds and
 * lengthen bodies, never change what stands here.
 *
 * @param sender      the sender's number in the tier
 * @param incarnation of the sender: grows with each start, and when it has to contradict a word on itself
 * @param serial      of the datagram within that life
 * @param items       in the order written
 */
public record Envelope(int sender, long incarnation, int serial, List<Item> items) {
    /** Bytes of a datagram at most: the platform's limit. */
    public static final int LIMIT = 256;

    static final byte MAGIC = (byte) 0xF1;
    static final int VERSION = 1;
    static final int HEAD = 2 + 2 + 6 + 4;
    /** No broker's number is higher: numbers take two bytes. */
    static final int MOST_BROKERS = 0xFFFF;

    /** Kinds of items; what a body holds stands at {@link Bodies}. */
    static final int PING = 1,
            ACK = 2,
            PING_FOR = 3,
            MEMBER = 4,
            ROW = 5,
            DIGEST = 6,
            LOCK = 7,
            LOCKED = 8,
            ASK = 9,
            GRANT = 10;

    record Item(int kind, byte[] body) {
        Item {
            if (body.length > 255) {
                throw new IllegalArgumentException("item of " + body.length + " bytes");
            }
        }

        int size() {
            return 2 + body.length;
        }

        ByteBuffer read() {
            return ByteBuffer.wrap(body);
        }
    }

    byte[] write() {
        ByteBuffer b =
                ByteBuffer.allocate(HEAD + items.stream().mapToInt(Item::size).sum());
        b.put(MAGIC).put((byte) VERSION).putShort((short) sender);
        putLong6(b, incarnation);
        b.putInt(serial);
        for (Item i : items) {
            b.put((byte) i.kind()).put((byte) i.body().length).put(i.body());
        }
        return b.array();
    }

    /** Whether a datagram claims to be one of these. */
    public static boolean mine(byte[] datagram) {
        return datagram.length >= HEAD && datagram[0] == MAGIC;
    }

    /** Null where it cannot be read. */
    static Envelope read(byte[] datagram) {
        if (!mine(datagram) || datagram.length > LIMIT || datagram[1] < VERSION) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(datagram, 2, datagram.length - 2);
        int sender = b.getShort() & 0xFFFF;
        long incarnation = getLong6(b);
        int serial = b.getInt();
        List<Item> items = new ArrayList<>();
        try {
            while (b.hasRemaining()) {
                int kind = b.get() & 0xFF;
                byte[] body = new byte[b.get() & 0xFF];
                b.get(body);
                items.add(new Item(kind, body));
            }
        } catch (BufferUnderflowException e) {
            return null; // cut off: nothing of it is trusted
        }
        return new Envelope(sender, incarnation, serial, List.copyOf(items));
    }

    static void putLong6(ByteBuffer b, long v) {
        b.putShort((short) (v >>> 32)).putInt((int) v);
    }

    static long getLong6(ByteBuffer b) {
        return (long) (b.getShort() & 0xFFFF) << 32 | b.getInt() & 0xFFFFFFFFL;
    }

    /** Bodies of the items, written; they are read where they are understood. */
    static final class Bodies {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        Bodies u8(int v) {
            out.write(v);
            return this;
        }

        Bodies u16(int v) {
            return u8(v >>> 8).u8(v);
        }

        Bodies u32(int v) {
            return u16(v >>> 16).u16(v);
        }

        Bodies u48(long v) {
            return u16((int) (v >>> 32)).u32((int) v);
        }

        Bodies bytes(byte[] v) {
            out.writeBytes(v);
            return this;
        }

        Item item(int kind) {
            return new Item(kind, out.toByteArray());
        }
    }
}
