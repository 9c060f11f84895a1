package dockshed.fleet;

/**
 * Limits the rate of datagrams that are read from each broker outside the own scope; no other state is kept for these
 * brokers.
 */
final class OutsideSenders {
    /** Datagrams read per second from one broker; a correct broker sends less than one on average. */
    static final double MAX_DATAGRAMS_PER_SECOND = 10;
    /** Datagrams read at once from one broker. */
    static final double MAX_DATAGRAM_BURST = 30;

    private final float[] tokens;
    private final long[] tokensAt;

    OutsideSenders(int brokers, long now) {
        tokens = new float[brokers];
        tokensAt = new long[brokers];
        java.util.Arrays.fill(tokens, (float) MAX_DATAGRAM_BURST);
        java.util.Arrays.fill(tokensAt, now);
    }

    /** Whether a datagram of that broker is read. */
    boolean admits(long now, int broker) {
        double refilled = tokens[broker] + (now - tokensAt[broker]) * MAX_DATAGRAMS_PER_SECOND / 1e6;
        double available = Math.min(MAX_DATAGRAM_BURST, refilled);
        boolean admitted = available >= 1;
        tokens[broker] = (float) (admitted ? available - 1 : available);
        tokensAt[broker] = now;
        return admitted;
    }
}
