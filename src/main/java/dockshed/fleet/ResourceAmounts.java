package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import java.nio.ByteBuffer;
import java.util.function.ToDoubleFunction;

/** An amount of each {@link SharedResource}: a demand per second, or shares of 1. */
record ResourceAmounts(double newSessions, double retries) {
    /** Nothing of any resource. */
    static final ResourceAmounts NONE = new ResourceAmounts(0, 0);
    /** Encoded length in bytes. */
    static final int BYTES = 4;
    /** Unit for demands: they are encoded in tenths per second. */
    static final double DEMAND_UNIT = 10;
    /** Unit for shares: they are encoded in 65,535ths. */
    static final double SHARE_UNIT = 65_535;

    private static final int MAX_U16 = 0xFFFF;

    /** Creates the amounts from a function of the resource. */
    static ResourceAmounts of(ToDoubleFunction<SharedResource> amount) {
        return new ResourceAmounts(
                amount.applyAsDouble(SharedResource.NEW_SESSIONS), amount.applyAsDouble(SharedResource.RETRIES));
    }

    /** The amount of one resource. */
    double get(SharedResource resource) {
        return resource == SharedResource.NEW_SESSIONS ? newSessions : retries;
    }

    /** The amounts, each limited to {@code limit}. */
    ResourceAmounts atMost(double limit) {
        return new ResourceAmounts(Math.min(limit, newSessions), Math.min(limit, retries));
    }

    /** Writes both amounts in units of 1 / {@code unit}. */
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
