package dockshed.fleet;

import java.nio.ByteBuffer;

/**
 * One broker's load, as replicated to the others.
 *
 * @param demand   requests per second, by priority step
 * @param accepted requests per second that got a server
 * @param rejected requests per second for which the decision module found no capacity
 * @param proposal the shedding threshold that this broker proposes
 */
record LoadFigures(double[] demand, double accepted, double rejected, int proposal) {
    /** Rates are encoded in twentieths of a request per second. */
    private static final double RATE_UNITS_PER_REQUEST = 20;
    /** Number of low bits that are dropped when a proposal is encoded. */
    private static final int PROPOSAL_SHIFT = 4;

    private static final int MAX_U16 = 0xFFFF;
    /** The highest rate that one broker can report, in requests per second. */
    static final double MAX_RATE = MAX_U16 / RATE_UNITS_PER_REQUEST;

    /** Length of the fixed part: a mask of the steps with any demand, two rates and the proposal. */
    private static final int HEADER_BYTES = 4 + 2 + 2 + 2;

    /** Encodes the figures as an entry's value. */
    byte[] write() {
        int mask = 0;
        for (int step = 0; step < SheddingThreshold.PRIORITY_STEPS; step++) {
            mask |= encodeRate(demand[step]) > 0 ? 1 << step : 0;
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + 2 * Integer.bitCount(mask));
        out.putInt(mask);
        out.putShort((short) encodeRate(accepted));
        out.putShort((short) encodeRate(rejected));
        out.putShort((short) (proposal >> PROPOSAL_SHIFT));
        for (int step = 0; step < SheddingThreshold.PRIORITY_STEPS; step++) {
            if ((mask >> step & 1) == 1) {
                out.putShort((short) encodeRate(demand[step]));
            }
        }
        return out.array();
    }

    private static int encodeRate(double perSecond) {
        return (int) Math.min(MAX_U16, Math.round(perSecond * RATE_UNITS_PER_REQUEST));
    }

    private static double decodeRate(ByteBuffer in) {
        return (in.getShort() & MAX_U16) / RATE_UNITS_PER_REQUEST;
    }

    /** Decodes a value; returns null if that is not possible. Bytes after the known fields are ignored. */
    static LoadFigures read(byte[] value) {
        ByteBuffer in = ByteBuffer.wrap(value);
        if (in.remaining() < HEADER_BYTES) {
            return null;
        }
        int mask = in.getInt();
        double accepted = decodeRate(in);
        double rejected = decodeRate(in);
        int proposal = (in.getShort() & MAX_U16) << PROPOSAL_SHIFT;
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        for (int step = 0; step < SheddingThreshold.PRIORITY_STEPS; step++) {
            if ((mask >> step & 1) == 1) {
                if (in.remaining() < 2) {
                    return null;
                }
                demand[step] = decodeRate(in);
            }
        }
        return new LoadFigures(demand, accepted, rejected, Math.min(SheddingThreshold.MAX_PRIORITY, proposal));
    }

    /** Requests per second of all priorities. */
    double totalDemand() {
        double sum = 0;
        for (double rate : demand) {
            sum += rate;
        }
        return sum;
    }

    /** Requests per second that reached the decision module. */
    double admitted() {
        return accepted + rejected;
    }
}
