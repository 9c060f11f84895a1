package dockshed.capacity;

import java.util.OptionalDouble;

/**
 * The computed value of a row.
 *
 * @param value the value; empty if a file of measurements that it needs does not exist, infinite if a delay that it needs
 *     was not reached
 * @param margin half the width of its 95% confidence interval; empty if none of its terms has one
 * @param rSquared r squared of the fitted line, for a measured slope or intercept
 * @param onGuess whether its computation includes a guess
 */
record Resolved(OptionalDouble value, OptionalDouble margin, OptionalDouble rSquared, boolean onGuess) {

    /** A value without margin, such as a number written on the page. */
    static Resolved exact(double value, boolean onGuess) {
        return new Resolved(OptionalDouble.of(value), OptionalDouble.empty(), OptionalDouble.empty(), onGuess);
    }

    /** A figure whose file of measurements does not exist. */
    static Resolved notMeasured(boolean onGuess) {
        return new Resolved(OptionalDouble.empty(), OptionalDouble.empty(), OptionalDouble.empty(), onGuess);
    }

    /** A figure computed from a file of measurements. */
    static Resolved measured(Measure.Reading reading) {
        return new Resolved(OptionalDouble.of(reading.value()), reading.margin(), reading.rSquared(), false);
    }

    /** Whether all files of measurements that the value needs exist. */
    boolean isMeasured() {
        return value.isPresent();
    }
}
