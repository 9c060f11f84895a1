package dockshed.storm;

import dockshed.storm.ColdServerLimiter.ServerUsage;
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
record StormMessage(
        StormDetector.State state,
        int slotMillis,
        double arrivalRate,
        double returnCapacity,
        long firstSlot,
        int[] bookedReturns,
        List<ServerUsage> coldServers,
        boolean knowsAllCold) {
    static final int MAGIC = 0xd5;
    static final int VERSION = 1;
    static final int MAX_SLOTS = 40;
    static final int MAX_SERVERS = 30;
    /** The platform's limit on a datagram; the longest note has 19 + 40 + 150 bytes. */
    static final int MAX_BYTES = 256;

    private static final int HEADER_BYTES = 17;

    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + 1 + bookedReturns.length + 1 + 5 * coldServers.size());
        b.put((byte) MAGIC)
                .put((byte) VERSION)
                .put((byte) (state.ordinal() | (knowsAllCold ? 0x80 : 0)))
                .putShort((short) slotMillis)
                .putShort(tenths(arrivalRate))
                .putShort(tenths(returnCapacity))
                .putLong(firstSlot);
        b.put((byte) bookedReturns.length);
        for (int n : bookedReturns) {
            b.put((byte) Math.min(255, n));
        }
        b.put((byte) coldServers.size());
        coldServers.forEach(s -> b.putInt(s.idHash()).put((byte) Math.min(255, s.setUps())));
        return b.array();
    }

    private static short tenths(double perSecond) {
        return (short) Math.min(65_535, Math.round(perSecond * 10));
    }

    /** Whether this is a note of this part's, good or bad, and not a message of the module's. */
    static boolean isStormMessage(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] & 0xff) == MAGIC;
    }

    /** Null where it is of another version, or cannot be read. */
    static StormMessage decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES + 2
                || bytes.length > MAX_BYTES
                || !isStormMessage(bytes)
                || bytes[1] != VERSION) {
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
        if (state >= StormDetector.State.values().length || slots > MAX_SLOTS || b.remaining() < slots + 1) {
            return null;
        }
        int[] promised = new int[slots];
        for (int i = 0; i < slots; i++) {
            promised[i] = b.get() & 0xff;
        }
        int boxes = b.get() & 0xff;
        if (boxes > MAX_SERVERS || b.remaining() != 5 * boxes) {
            return null;
        }
        List<ServerUsage> spent = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            spent.add(new ServerUsage(b.getInt(), b.get() & 0xff));
        }
        return new StormMessage(
                StormDetector.State.values()[state],
                width,
                arrivals,
                room,
                first,
                promised,
                spent,
                (flags & 0x80) != 0);
    }
}
