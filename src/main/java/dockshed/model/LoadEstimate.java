package dockshed.model;

import java.util.ArrayDeque;

/**
 * The load of a link as one broker knows it: the last reading, how far that can still be trusted, and the changes by
 * this broker since. Loads are in kB/s, times in microseconds.
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

    /** Records a reading of the total load; it includes own changes up to its time. */
    public void recordReading(double levelKb, long at) {
        this.levelKb = levelKb;
        trust = 1;
        readAt = at;
        while (!changes.isEmpty() && changes.peekFirst().at() <= at) {
            changes.removeFirst();
        }
        changedKb = changedUntil(Long.MAX_VALUE);
    }

    /** Lowers the trust in the last reading, since sessions of other brokers start and end. */
    public void decayTrust(double factor) {
        trust *= factor;
    }

    /** Records a change in the load of own playing sessions, and of own set-ups in progress. */
    public void recordChange(long now, double playingKb, double setUpKb) {
        ownKb += playingKb + setUpKb;
        pendingKb += setUpKb;
        changedKb += playingKb;
        if (playingKb != 0) {
            changes.add(new Change(now, playingKb));
        }
    }

    /** Own changes since the last reading up to a time. */
    public double changedUntil(long at) {
        return changes.stream()
                .filter(change -> change.at() <= at)
                .mapToDouble(Change::deltaKb)
                .sum();
    }

    /** Own changes since the last reading up to a time, times the trust in that reading. */
    public double trustedChangeUntil(long at) {
        return trust * changedUntil(at);
    }

    /** Total load in the last reading. */
    public double levelKb() {
        return levelKb;
    }

    /** Trust in the level: 1 when just read, 0 when never. */
    public double trust() {
        return trust;
    }

    /** Own load, including set-ups in progress. */
    public double ownKb() {
        return ownKb;
    }

    /** Load of own set-ups in progress. */
    public double pendingKb() {
        return pendingKb;
    }

    /** Net change in the load of own playing sessions since the last reading. */
    public double changedKb() {
        return changedKb;
    }

    /** The time of the last reading. */
    public long readAt() {
        return readAt;
    }
}
