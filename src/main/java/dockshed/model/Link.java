package dockshed.model;

/** A link that carries sessions: its load, what it is told to give, and when it was last found short. */
public abstract class Link {
    private static final long NEVER_SHORT_AT_US = -1_000_000;

    private final LoadEstimate load = new LoadEstimate();
    private double configuredKb;
    private long relievedAt;
    private long shortAt = NEVER_SHORT_AT_US;

    /** What is asked there and what this director has there. */
    public final LoadEstimate load() {
        return load;
    }

    /** What it carries, as told; an edge server's when warm. */
    public final double configuredKb() {
        return configuredKb;
    }

    final void setConfiguredKb(double kb) {
        configuredKb = kb;
    }

    /** What it carries when nothing at either end holds it back. */
    public abstract double nominalKb();

    /** Sessions are being sub-rated since it is overfull. */
    public final void markRelieved(long now) {
        relievedAt = now;
    }

    /** When sessions were last sub-rated since it was overfull. */
    public final long relievedAt() {
        return relievedAt;
    }

    /** It delivers short. */
    public final void markShort(long now) {
        shortAt = now;
    }

    /** When it was last found to deliver short. */
    public final long shortAt() {
        return shortAt;
    }
}
