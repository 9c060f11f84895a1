package dockshed.queueing;

/** How long sessions stay, from those that have ended and a prior of some that count as seen. */
public final class StayEstimate {
    private double played;
    private double ends;

    /** A prior mean in seconds, which weighs as much as so many ends. */
    public StayEstimate(double priorMean, double priorEnds) {
        played = priorMean * priorEnds;
        ends = priorEnds;
    }

    /** A session is over after that many seconds; one that was cut off has been seen to stay, not to end. */
    public void ended(double seconds, boolean byItself) {
        played += seconds;
        ends += byItself ? 1 : 0;
    }

    /** Mean stay in seconds. */
    public double mean() {
        return played / ends;
    }

    /** Ends a second of each session. */
    public double rate() {
        return ends / played;
    }

    /** Sessions at once in the long run at that many arrivals a second, by Little's law. */
    public double atOnce(double arrivals) {
        return arrivals * played / ends;
    }

    /** The part of sessions that is still there after that many seconds. */
    public double remaining(double seconds) {
        return Math.exp(-seconds * ends / played);
    }
}
