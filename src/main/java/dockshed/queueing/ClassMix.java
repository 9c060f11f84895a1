package dockshed.queueing;

/** Arrivals of a group of classes, and their mean worth. */
public final class ClassMix {
    private double arrivals;
    private double totalWorth;

    /** Adds arrivals of one class. */
    public void add(double count, double worthEach) {
        arrivals += count;
        totalWorth += count * worthEach;
    }

    /** Number of arrivals. */
    public double arrivals() {
        return arrivals;
    }

    /** Mean worth of an arrival; NaN without arrivals. */
    public double meanWorth() {
        return totalWorth / arrivals;
    }
}
