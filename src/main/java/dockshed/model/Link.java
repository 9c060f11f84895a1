package dockshed.model;

/**
 * A link that carries sessions: its load, its configured rate, and when it last delivered less than its sessions need.
 */
public abstract class Link {
    private static final long NEVER_SHORT_AT_US = -1_000_000;

    private final LoadEstimate load = new LoadEstimate();
    private double configuredKb;
    private long relievedAt;
    private long shortAt = NEVER_SHORT_AT_US;

    /** The estimate of its load. */
    public final LoadEstimate load() {
        return load;
    }

    /** Its configured rate in kB/s; for an edge server, when it is warm. */
    public final double configuredKb() {
        return configuredKb;
    }

    final void setConfiguredKb(double kb) {
        configuredKb = kb;
    }

    /** Its estimated rate in kB/s when no server behind it is cold. */
    public abstract double nominalKb();

    /** Records that sessions are being stepped down because it is overloaded. */
    public final void markRelieved(long now) {
        relievedAt = now;
    }

    /** When sessions were last stepped down because it was overloaded, microseconds. */
    public final long relievedAt() {
        return relievedAt;
    }

    /** Records that it delivers less than its sessions need. */
    public final void markShort(long now) {
        shortAt = now;
    }

    /** When it was last found to deliver less than its sessions need, microseconds. */
    public final long shortAt() {
        return shortAt;
    }
}
