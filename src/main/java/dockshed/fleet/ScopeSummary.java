package dockshed.fleet;

import dockshed.fleet.Envelope.BodyWriter;
import dockshed.fleet.Envelope.Item;
import java.nio.ByteBuffer;

/**
 * The load of one scope, added up by one of its brokers from what that broker knows. Which scope it is of follows from its
 * maker.
 *
 * @param maker   number of the broker that added it up
 * @param version grows with each summary of that maker: its Unix time in milliseconds when it was made
 * @param madeAt  when it was made, in microseconds of the holder's clock, by the age that travels with it
 * @param present brokers of the scope that its maker sees present, itself included
 * @param load    sums over these brokers; its proposal is the median of theirs
 */
record ScopeSummary(int maker, long version, long madeAt, int present, LoadFigures load) {
    /** Maker, version, age, present brokers, proposal, exponent, two rates, a mask of the steps with any demand. */
    static final int HEADER_BYTES = 2 + 6 + 2 + 1 + 2 + 1 + 2 + 2 + 4;

    /** Microseconds in which ages travel. */
    private static final long AGE_UNIT_US = 50_000;

    private static final int MAX_U16 = 0xFFFF;
    private static final int MAX_U8 = 0xFF;
    /** Rates are encoded in twentieths of a request a second, times two to the power of the exponent. */
    private static final double RATE_UNITS_PER_REQUEST = 20;
    /** Of the largest scope at the largest rates that one broker can tell no more is needed. */
    private static final int MAX_EXPONENT = 8;
    /** Proposals are encoded without their lowest bits. */
    private static final int PROPOSAL_SHIFT = 4;

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

    /** The least exponent that all rates fit with. */
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

    /** Returns null if the item cannot be decoded; bytes behind the known fields are ignored. */
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

    /** Whether a scope of that size can have such a load: no broker can tell of more than {@link LoadFigures#MAX_RATE}. */
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
