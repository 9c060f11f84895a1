package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import java.nio.ByteBuffer;

/**
 * The load of one scope, added up by one of its brokers from what that broker knows. The maker determines the scope.
 *
 * @param maker   number of the broker that added it up
 * @param version increases with each summary of that maker: the Unix time in milliseconds at which it was made
 * @param madeAt  when it was made, in microseconds of the holder's clock, computed from the age on the wire
 * @param present number of brokers of the scope that the maker sees as present, itself included
 * @param load    sums over these brokers; its proposal is the median of theirs
 */
record ScopeSummary(int maker, long version, long madeAt, int present, LoadFigures load) {
    /**
     * Length of the fixed part: maker, version, age, present brokers, proposal, exponent, two rates, a mask of the
     * steps with any demand.
     */
    static final int HEADER_BYTES = 2 + 6 + 2 + 1 + 2 + 1 + 2 + 2 + 4;

    /** Unit in which ages are encoded, in microseconds. */
    private static final long AGE_UNIT_US = 50_000;

    private static final int MAX_U16 = 0xFFFF;
    private static final int MAX_U8 = 0xFF;
    /** Rates are encoded in twentieths of a request per second, times two to the power of the exponent. */
    private static final double RATE_UNITS_PER_REQUEST = 20;
    /** Highest exponent: the largest scope at the highest rates that one broker can report needs no more. */
    private static final int MAX_EXPONENT = 8;
    /** Number of low bits that are dropped when a proposal is encoded. */
    private static final int PROPOSAL_SHIFT = 4;

    /** Encodes the summary with its age. */
    Item write(long now) {
        int exponent = exponent();
        double unit = RATE_UNITS_PER_REQUEST / (1 << exponent);
        int mask = 0;
        for (int step = 0; step < SheddingThreshold.PRIORITY_STEPS; step++) {
            mask |= encode(load.demand()[step], unit) > 0 ? 1 << step : 0;
        }
        long age = Math.max(0, now - madeAt) / AGE_UNIT_US;
        BodyWriter body = new BodyWriter()
                .u16(maker)
                .u48(version)
                .u16((int) Math.min(MAX_U16, age))
                .u8(Math.min(MAX_U8, present))
                .u16(load.proposal() >> PROPOSAL_SHIFT)
                .u8(exponent)
                .u16(encode(load.accepted(), unit))
                .u16(encode(load.rejected(), unit))
                .u32(mask);
        for (int step = 0; step < SheddingThreshold.PRIORITY_STEPS; step++) {
            if ((mask >> step & 1) == 1) {
                body.u16(encode(load.demand()[step], unit));
            }
        }
        return body.item(Envelope.SCOPE_SUMMARY);
    }

    /** The lowest exponent with which all rates fit. */
    private int exponent() {
        double highest = Math.max(load.accepted(), load.rejected());
        for (double rate : load.demand()) {
            highest = Math.max(highest, rate);
        }
        int exponent = 0;
        while (exponent < MAX_EXPONENT && highest * RATE_UNITS_PER_REQUEST / (1 << exponent) > MAX_U16) {
            exponent++;
        }
        return exponent;
    }

    private static int encode(double rate, double unit) {
        return (int) Math.min(MAX_U16, Math.round(rate * unit));
    }

    /** Decodes an item; returns null if that is not possible. Bytes after the known fields are ignored. */
    static ScopeSummary read(Item item, long now) {
        ByteBuffer in = item.read();
        if (in.remaining() < HEADER_BYTES) {
            return null;
        }
        int maker = in.getShort() & MAX_U16;
        long version = Envelope.getU48(in);
        long madeAt = now - (in.getShort() & MAX_U16) * AGE_UNIT_US;
        int present = in.get() & MAX_U8;
        int proposal = (in.getShort() & MAX_U16) << PROPOSAL_SHIFT;
        int exponent = in.get() & MAX_U8;
        if (exponent > MAX_EXPONENT) {
            return null;
        }
        double unit = RATE_UNITS_PER_REQUEST / (1 << exponent);
        double accepted = (in.getShort() & MAX_U16) / unit;
        double rejected = (in.getShort() & MAX_U16) / unit;
        int mask = in.getInt();
        if (in.remaining() < 2 * Integer.bitCount(mask)) {
            return null;
        }
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        for (int step = 0; step < demand.length; step++) {
            if ((mask >> step & 1) == 1) {
                demand[step] = (in.getShort() & MAX_U16) / unit;
            }
        }
        return new ScopeSummary(maker, version, madeAt, present, new LoadFigures(demand, accepted, rejected, proposal));
    }

    /**
     * Whether a scope of that size can have such a load: no broker can report more than {@link LoadFigures#MAX_RATE}.
     */
    boolean isPlausible(int scopeSize) {
        if (present < 1 || present > scopeSize || load.proposal() > SheddingThreshold.MAX_PRIORITY) {
            return false;
        }
        double most = present * LoadFigures.MAX_RATE;
        if (load.accepted() > most || load.rejected() > most) {
            return false;
        }
        for (double rate : load.demand()) {
            if (rate > most) {
                return false;
            }
        }
        return true;
    }
}
