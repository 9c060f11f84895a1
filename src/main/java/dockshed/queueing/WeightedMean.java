package dockshed.queueing;

/** Weighted mean with a weighted prior. */
public final class WeightedMean {
    private double weight;
    private double sum;

    /** Starts with the prior alone. */
    public WeightedMean(double prior, double priorWeight) {
        weight = priorWeight;
        sum = priorWeight * prior;
    }

    /** Adds a value. */
    public void add(double value, double valueWeight) {
        weight += valueWeight;
        sum += valueWeight * value;
    }

    /** The mean of the prior and all values. */
    public double value() {
        return sum / weight;
    }
}
