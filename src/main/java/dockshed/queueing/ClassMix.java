package dockshed.queueing;

/** Arrivals of several classes of one kind, and what they are worth on the mean. */
public final class ClassMix {
    private double count;
    private double worth;

    /** So many arrivals, each of that worth. */
    public void add(double arrivals, double each) {
        count += arrivals;
        worth += arrivals * each;
    }

    /** All arrivals. */
    public double count() {
        return count;
    }

    /** The mean worth of an arrival. */
    public double meanWorth() {
        return worth / count;
    }
}
