package dockshed.core;

/** Who finds out about a server that is suspect, mute or coming back: this broker now, another one, or nobody any more. */
public interface Finder {
    /** TRY: this broker, now. WAIT: another's word is on its way. UP, DOWN: as others found lately. */
    enum Verdict {
        TRY,
        WAIT,
        UP,
        DOWN
    }

    /** This broker alone finds out about all. */
    Finder ALONE = new Finder() {
        @Override
        public Verdict ask(long now, String server, Suspicion s) {
            return Verdict.TRY;
        }

        @Override
        public void found(String server, boolean up) {}

        @Override
        public void suspected(String server, boolean is) {}
    };

    /**
     * What this broker knows of a suspect server; times in microseconds.
     *
     * @param since    when it became suspect
     * @param signOf   when it last gave a sign of life
     * @param triedAt  when this broker last tried it
     * @param failures own trials in a row that did not come up
     */
    record Suspicion(long since, long signOf, long triedAt, int failures) {}

    Verdict ask(long now, String server, Suspicion s);

    /** An own trial has come up, or has not. */
    void found(String server, boolean up);

    /** A server has become suspect, or is so no more. */
    void suspected(String server, boolean is);
}
