package dockshed.queueing;

/** How long sessions stay, from those that have ended and a prior of some that count as seen. */
public final class StayEstimate {
    private double totalSeconds;
    private double ends;

    /** A prior mean in seconds, which weighs as much as so many ends. */
    public StayEstimate(double priorMean, double priorEnds) {
        totalSeconds = priorMean * priorEnds;
        ends = priorEnds;
    }

    /** A session is over after that many seconds; one that was cut off has been seen to stay, not to end. */
    public void recordEnd(double seconds, boolean byItself) {
        totalSeconds += seconds;
        ends += byItself ? 1 : 0;
    }

    /** Mean stay in seconds. */
    public double meanSeconds() {
        return totalSeconds / ends;
    }

    /** Ends a second of each session. */
    public double endRate() {
        return ends / totalSeconds;
    }

    /** Sessions at once in the long run at that many arrivals a second, by Little's law. */
    public double concurrentSessions(double arrivals) {
        return arrivals * totalSeconds / ends;
    }

    /** The part of sessions that is still there after that many seconds. */
    public double remainingShare(double seconds) {
        return Math.exp(-seconds * ends / totalSeconds);
    }
}
