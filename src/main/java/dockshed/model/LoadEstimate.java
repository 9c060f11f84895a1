package dockshed.model;

import java.util.ArrayDeque;

/**
 * The load of a link as one of its users knows it: what was read last, how far that is still to be trusted, and what
 * this user has changed since. Loads are in kB a second.
 */
public final class LoadEstimate {
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private double level;
    private double trust;
    private double own;
    private double pending;
    private double changed;
    private long readAt = Long.MIN_VALUE;

    private record Change(long at, double by) {}

    /** A reading of all that is asked there: own changes up to its time are in it. */
    public void read(double level, long at) {
        this.level = level;
        trust = 1;
        readAt = at;
        while (!changes.isEmpty() && changes.peekFirst().at() <= at) {
            changes.removeFirst();
        }
        changed = changedBy(Long.MAX_VALUE);
    }

    /** Lowers the trust in the last reading, as the sessions of others come and go. */
    public void decayTrust(double factor) {
        trust *= factor;
    }

    /** Books a change of this user's established load, and of the load of its set-ups that are under way. */
    public void book(long now, double established, double setUp) {
        own += established + setUp;
        pending += setUp;
        changed += established;
        if (established != 0) {
            changes.add(new Change(now, established));
        }
    }

    /** This user's changes since the last reading up to a time. */
    public double changedBy(long at) {
        return changes.stream()
                .filter(change -> change.at() <= at)
                .mapToDouble(Change::by)
                .sum();
    }

    /** The same as far as the last reading is trusted. */
    public double trustedChangeBy(long at) {
        return trust * changedBy(at);
    }

    /** What was asked in all by the last reading. */
    public double level() {
        return level;
    }

    /** Trust in the level: 1 when just read, 0 when never. */
    public double trust() {
        return trust;
    }

    /** This user's load, set-ups included. */
    public double own() {
        return own;
    }

    /** The load of this user's set-ups that are under way. */
    public double pending() {
        return pending;
    }

    /** This user's established load that came since the last reading, less what went. */
    public double changed() {
        return changed;
    }

    /** The time of the last reading. */
    public long readAt() {
        return readAt;
    }
}
