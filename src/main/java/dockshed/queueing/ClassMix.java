package dockshed.queueing;

/** Arrivals of several classes of one kind, and what they are worth on the mean. */
public final class ClassMix {
    private double arrivals;
    private double totalWorth;

    /** So many arrivals, each of that worth. */
    public void add(double count, double worthEach) {
        arrivals += count;
        totalWorth += count * worthEach;
    }

    /** All arrivals. */
    public double arrivals() {
        return arrivals;
    }

    /** The mean worth of an arrival. */
    public double meanWorth() {
        return totalWorth / arrivals;
    }
}
