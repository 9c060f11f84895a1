package dockshed.core;

/**
 * Decides which broker probes a server that is suspected to have failed: this broker now, another one, or none any more
 * because others have established the server's state. Times are in microseconds.
 */
public interface ProbeCoordinator {
    /**
     * What this broker has to do about a suspect server. TRY: probe it now. WAIT: another broker is to probe it; decide
     * again later. UP, DOWN: take this as its state, which other brokers have found lately.
     */
    enum Verdict {
        TRY,
        WAIT,
        UP,
        DOWN
    }

    /** For a broker without a fleet: probes every suspect server itself. */
    ProbeCoordinator STANDALONE = new ProbeCoordinator() {
        @Override
        public Verdict decide(long now, String server, Suspicion suspicion) {
            return Verdict.TRY;
        }

        @Override
        public void probeFinished(String server, boolean up) {}

        @Override
        public void suspicionChanged(String server, boolean suspected) {}
    };

    /**
     * What this broker knows of a suspect server.
     *
     * @param suspectedSince      when it became suspect
     * @param lastReceivedAt      when this broker last received anything from it
     * @param lastProbedAt        when this broker last tried to connect to it
     * @param consecutiveFailures number of this broker's latest probes that failed in a row
     */
    record Suspicion(long suspectedSince, long lastReceivedAt, long lastProbedAt, int consecutiveFailures) {}

    /** What this broker has to do about the server now. */
    Verdict decide(long now, String server, Suspicion suspicion);

    /** A probe of this broker has succeeded ({@code up}) or failed. */
    void probeFinished(String server, boolean up);

    /** A server has become suspect, or is no longer. */
    void suspicionChanged(String server, boolean suspected);
}
