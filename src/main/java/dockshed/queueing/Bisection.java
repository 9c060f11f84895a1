package dockshed.queueing;

import java.util.function.DoublePredicate;

/** Search for a threshold by bisection. */
public final class Bisection {
    private Bisection() {}

    /**
     * Approximately the largest value between {@code low} and {@code high} that is still too low.
     *
     * @param steps how often the interval is halved
     */
    public static double largest(double low, double high, int steps, DoublePredicate tooLow) {
        double from = low;
        double to = high;
        for (int step = 0; step < steps; step++) {
            double middle = (from + to) / 2;
            if (tooLow.test(middle)) {
                from = middle;
            } else {
                to = middle;
            }
        }
        return from;
    }
}
