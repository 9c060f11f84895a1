package dockshed.queueing;

/** A mean of weighted values, with a prior that has a weight of its own. */
public final class WeightedMean {
    private double weight;
    private double sum;

    /** The prior alone. */
    public WeightedMean(double prior, double priorWeight) {
        weight = priorWeight;
        sum = priorWeight * prior;
    }

    /** Takes in a value. */
    public void add(double value, double valueWeight) {
        weight += valueWeight;
        sum += valueWeight * value;
    }

    /** The mean of all. */
    public double value() {
        return sum / weight;
    }
}
