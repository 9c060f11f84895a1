package dockshed.model;

import java.util.ArrayDeque;

/**
 * The load of a link as one of its users knows it: what was read last, how far that is still to be trusted, and what
 * this user has changed since. Loads are in kB a second.
 */
public final class LoadEstimate {
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private double levelKb;
    private double trust;
    private double ownKb;
    private double pendingKb;
    private double changedKb;
    private long readAt = Long.MIN_VALUE;

    private record Change(long at, double deltaKb) {}

    /** A reading of all that is asked there: own changes up to its time are in it. */
    public void recordReading(double level, long at) {
        this.levelKb = level;
        trust = 1;
        readAt = at;
        while (!changes.isEmpty() && changes.peekFirst().at() <= at) {
            changes.removeFirst();
        }
        changedKb = changedUntil(Long.MAX_VALUE);
    }

    /** Lowers the trust in the last reading, as the sessions of others come and go. */
    public void decayTrust(double factor) {
        trust *= factor;
    }

    /** Books a change of this user's established load, and of the load of its set-ups that are under way. */
    public void recordChange(long now, double established, double setUp) {
        ownKb += established + setUp;
        pendingKb += setUp;
        changedKb += established;
        if (established != 0) {
            changes.add(new Change(now, established));
        }
    }

    /** This user's changes since the last reading up to a time. */
    public double changedUntil(long at) {
        return changes.stream()
                .filter(change -> change.at() <= at)
                .mapToDouble(Change::deltaKb)
                .sum();
    }

    /** The same as far as the last reading is trusted. */
    public double trustedChangeUntil(long at) {
        return trust * changedUntil(at);
    }

    /** What was asked in all by the last reading. */
    public double levelKb() {
        return levelKb;
    }

    /** Trust in the level: 1 when just read, 0 when never. */
    public double trust() {
        return trust;
    }

    /** This user's load, set-ups included. */
    public double ownKb() {
        return ownKb;
    }

    /** The load of this user's set-ups that are under way. */
    public double pendingKb() {
        return pendingKb;
    }

    /** This user's established load that came since the last reading, less what went. */
    public double changedKb() {
        return changedKb;
    }

    /** The time of the last reading. */
    public long readAt() {
        return readAt;
    }
}
