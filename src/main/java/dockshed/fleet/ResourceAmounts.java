package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import java.nio.ByteBuffer;
import java.util.function.ToDoubleFunction;

/**
 * An amount of each {@link SharedResource}: a demand a second, or shares of 1.
 *
 * @param newSessions of {@link SharedResource#NEW_SESSIONS}
 * @param retries     of {@link SharedResource#RETRIES}
 */
record ResourceAmounts(double newSessions, double retries) {
    static final ResourceAmounts NONE = new ResourceAmounts(0, 0);
    /** Bytes on the wire. */
    static final int BYTES = 4;
    /** Demand is encoded in tenths a second. */
    static final double DEMAND_UNIT = 10;
    /** Shares are encoded in parts of 65,535. */
    static final double SHARE_UNIT = 65_535;

    private static final int MAX_U16 = 0xFFFF;

    /** Asks for the amount of each resource. */
    static ResourceAmounts of(ToDoubleFunction<SharedResource> amount) {
        return new ResourceAmounts(
                amount.applyAsDouble(SharedResource.NEW_SESSIONS), amount.applyAsDouble(SharedResource.RETRIES));
    }

    double get(SharedResource resource) {
        return resource == SharedResource.NEW_SESSIONS ? newSessions : retries;
    }

    /** The amounts, each at most {@code limit}. */
    ResourceAmounts atMost(double limit) {
        return new ResourceAmounts(Math.min(limit, newSessions), Math.min(limit, retries));
    }

    /** Writes both, in parts of {@code unit}. */
    void write(BodyWriter out, double unit) {
        out.u16(encode(newSessions, unit)).u16(encode(retries, unit));
    }

    /** Reads what {@link #write} wrote with the same unit. */
    static ResourceAmounts read(ByteBuffer in, double unit) {
        double newSessions = (in.getShort() & MAX_U16) / unit;
        double retries = (in.getShort() & MAX_U16) / unit;
        return new ResourceAmounts(newSessions, retries);
    }

    private static int encode(double amount, double unit) {
        return (int) Math.max(0, Math.min(MAX_U16, Math.round(amount * unit)));
    }
}
