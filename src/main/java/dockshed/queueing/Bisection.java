package dockshed.queueing;

import java.util.function.DoublePredicate;

/** Search for a threshold by halving an interval. */
public final class Bisection {
    private Bisection() {}

    /** About the largest value from {@code low} to {@code high} that is still too low, after so many halvings. */
    public static double largest(double low, double high, int halvings, DoublePredicate tooLow) {
        double from = low;
        double to = high;
        for (int i = 0; i < halvings; i++) {
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
