package dockshed.storm;

import dockshed.storm.ColdPace.Spent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What brokers tell one another of a storm, in one datagram: its sender's state, arrivals a second, the returns that it
 * has promised by slot, and what it has sent to cold boxes. Big-endian; a newer version is passed over, so is garbage.
 *
 * <pre>
 * magic 1, version 1, state and 128 if its sender knows all cold boxes 1, slot width in ms 2,
 * arrivals a second times 10 2, returns a second that it has room for times 10 2, first slot's number 8,
 * slots 1 (at most 40), a count each 1, boxes 1 (at most 30), for each the CRC-32C of its id 4 and a count 1
 * </pre>
 */
record Note(
        Watch.State state,
        int slotMillis,
        double arrivals,
        double room,
        long firstSlot,
        int[] promised,
        List<Spent> spent,
        boolean knows) {
    static final int MAGIC = 0xd5;
    static final int VERSION = 1;
    static final int MOST_SLOTS = 40;
    static final int MOST_BOXES = 30;
    /** The platform's limit on a datagram; the longest note has 19 + 40 + 150 bytes. */
    static final int MOST_BYTES = 256;

    private static final int HEAD = 17;

    byte[] write() {
        ByteBuffer b = ByteBuffer.allocate(HEAD + 1 + promised.length + 1 + 5 * spent.size());
        b.put((byte) MAGIC)
                .put((byte) VERSION)
                .put((byte) (state.ordinal() | (knows ? 0x80 : 0)))
                .putShort((short) slotMillis)
                .putShort(tenths(arrivals))
                .putShort(tenths(room))
                .putLong(firstSlot);
        b.put((byte) promised.length);
        for (int n : promised) {
            b.put((byte) Math.min(255, n));
        }
        b.put((byte) spent.size());
        spent.forEach(s -> b.putInt(s.hash()).put((byte) Math.min(255, s.count())));
        return b.array();
    }

    private static short tenths(double perSecond) {
        return (short) Math.min(65_535, Math.round(perSecond * 10));
    }

    /** Whether this is a note of this part's, good or bad, and not a message of the module's. */
    static boolean mine(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] & 0xff) == MAGIC;
    }

    /** Null where it is of another version, or cannot be read. */
    static Note read(byte[] bytes) {
        if (bytes.length < HEAD + 2 || bytes.length > MOST_BYTES || !mine(bytes) || bytes[1] != VERSION) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int flags = b.get();
        int state = flags & 0x7f;
        int width = b.getShort() & 0xffff;
        double arrivals = (b.getShort() & 0xffff) / 10.0;
        double room = (b.getShort() & 0xffff) / 10.0;
        long first = b.getLong();
        int slots = b.get() & 0xff;
        if (state >= Watch.State.values().length || slots > MOST_SLOTS || b.remaining() < slots + 1) {
            return null;
        }
        int[] promised = new int[slots];
        for (int i = 0; i < slots; i++) {
            promised[i] = b.get() & 0xff;
        }
        int boxes = b.get() & 0xff;
        if (boxes > MOST_BOXES || b.remaining() != 5 * boxes) {
            return null;
        }
        List<Spent> spent = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            spent.add(new Spent(b.getInt(), b.get() & 0xff));
        }
        return new Note(
                Watch.State.values()[state], width, arrivals, room, first, promised, spent, (flags & 0x80) != 0);
    }
}
