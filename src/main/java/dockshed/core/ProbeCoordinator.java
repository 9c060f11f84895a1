package dockshed.core;

/** Who finds out about a server that is suspect, mute or coming back: this broker now, another one, or nobody any more. */
public interface ProbeCoordinator {
    /** TRY: this broker, now. WAIT: another's word is on its way. UP, DOWN: as others found lately. */
    enum Verdict {
        TRY,
        WAIT,
        UP,
        DOWN
    }

    /** This broker alone finds out about all. */
    ProbeCoordinator STANDALONE = new ProbeCoordinator() {
        @Override
        public Verdict decide(long now, String server, Suspicion s) {
            return Verdict.TRY;
        }

        @Override
        public void probeFinished(String server, boolean up) {}

        @Override
        public void suspicionChanged(String server, boolean is) {}
    };

    /**
     * What this broker knows of a suspect server; times in microseconds.
     *
     * @param suspectedSince    when it became suspect
     * @param lastSignOfLife   when it last gave a sign of life
     * @param lastProbedAt  when this broker last tried it
     * @param consecutiveFailures own trials in a row that did not come up
     */
    record Suspicion(long suspectedSince, long lastSignOfLife, long lastProbedAt, int consecutiveFailures) {}

    Verdict decide(long now, String server, Suspicion s);

    /** An own trial has come up, or has not. */
    void probeFinished(String server, boolean up);

    /** A server has become suspect, or is so no more. */
    void suspicionChanged(String server, boolean is);
}
