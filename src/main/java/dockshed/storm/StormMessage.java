package dockshed.storm;

import dockshed.storm.ColdServerLimiter.ServerUsage;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A broker's status for the other brokers, in one datagram: its storm state, arrivals a second, the returns that it has
 * booked by slot, and its set-ups to cold edge servers. Numbers are big-endian. A receiver discards messages of another
 * version and those that it can't read.
 *
 * <pre>
 * field                                                        bytes
 * magic number                                                 1
 * version                                                      1
 * state, plus 128 if the sender knows all cold servers         1
 * slot width in ms                                             2
 * arrivals a second times 10                                   2
 * returns a second that the sender can serve, times 10         2
 * number of the first slot                                     8
 * count of slots, at most 40                                   1
 *   for each slot, booked returns                              1
 * count of cold servers, at most 30                            1
 *   for each server, CRC-32C of its id                         4
 *   and set-ups sent to it                                     1
 * </pre>
 */
record StormMessage(
        StormDetector.State state,
        int slotWidthMs,
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
    /** The platform's limit on a datagram; the longest message has 19 + 40 + 150 bytes. */
    static final int MAX_BYTES = 256;

    private static final int HEADER_BYTES = 17;

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + 1 + bookedReturns.length + 1 + 5 * coldServers.size());
        buffer.put((byte) MAGIC)
                .put((byte) VERSION)
                .put((byte) (state.ordinal() | (knowsAllCold ? 0x80 : 0)))
                .putShort((short) slotWidthMs)
                .putShort(toTenths(arrivalRate))
                .putShort(toTenths(returnCapacity))
                .putLong(firstSlot);
        buffer.put((byte) bookedReturns.length);
        for (int count : bookedReturns) {
            buffer.put((byte) Math.min(255, count));
        }
        buffer.put((byte) coldServers.size());
        coldServers.forEach(usage -> buffer.putInt(usage.idHash()).put((byte) Math.min(255, usage.setUps())));
        return buffer.array();
    }

    private static short toTenths(double perSecond) {
        return (short) Math.min(65_535, Math.round(perSecond * 10));
    }

    /** Whether a datagram is a storm message, valid or not, rather than a message of the decision module. */
    static boolean isStormMessage(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] & 0xff) == MAGIC;
    }

    /** Returns null if the message is of another version or can't be read. */
    static StormMessage decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES + 2
                || bytes.length > MAX_BYTES
                || !isStormMessage(bytes)
                || bytes[1] != VERSION) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int flags = buffer.get();
        int state = flags & 0x7f;
        int slotWidthMs = buffer.getShort() & 0xffff;
        double arrivalRate = (buffer.getShort() & 0xffff) / 10.0;
        double returnCapacity = (buffer.getShort() & 0xffff) / 10.0;
        long firstSlot = buffer.getLong();
        int slots = buffer.get() & 0xff;
        if (state >= StormDetector.State.values().length || slots > MAX_SLOTS || buffer.remaining() < slots + 1) {
            return null;
        }
        int[] bookedReturns = new int[slots];
        for (int i = 0; i < slots; i++) {
            bookedReturns[i] = buffer.get() & 0xff;
        }
        int servers = buffer.get() & 0xff;
        if (servers > MAX_SERVERS || buffer.remaining() != 5 * servers) {
            return null;
        }
        List<ServerUsage> coldServers = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            coldServers.add(new ServerUsage(buffer.getInt(), buffer.get() & 0xff));
        }
        return new StormMessage(
                StormDetector.State.values()[state],
                slotWidthMs,
                arrivalRate,
                returnCapacity,
                firstSlot,
                bookedReturns,
                coldServers,
                (flags & 0x80) != 0);
    }
}
