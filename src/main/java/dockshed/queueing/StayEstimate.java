package dockshed.queueing;

/** Estimates how long sessions stay, from ended sessions and a prior. */
public final class StayEstimate {
    private double totalSeconds;
    private double ends;

    /** Starts from a prior mean in seconds that weighs as much as {@code priorEnds} ended sessions. */
    public StayEstimate(double priorMean, double priorEnds) {
        totalSeconds = priorMean * priorEnds;
        ends = priorEnds;
    }

    /** Records a session that is over. One that was cut off counts with its duration but not as an end. */
    public void recordEnd(double seconds, boolean normally) {
        totalSeconds += seconds;
        ends += normally ? 1 : 0;
    }

    /** Mean stay in seconds. */
    public double meanSeconds() {
        return totalSeconds / ends;
    }

    /** Ends per second of each session. */
    public double endRate() {
        return ends / totalSeconds;
    }

    /** Mean number of concurrent sessions at a number of arrivals per second, by Little's law. */
    public double concurrentSessions(double arrivalsPerSecond) {
        return arrivalsPerSecond * totalSeconds / ends;
    }

    /** Share of sessions that is still playing after {@code seconds}. */
    public double remainingShare(double seconds) {
        return Math.exp(-seconds * ends / totalSeconds);
    }
}
