package dockshed.capacity;

import java.util.OptionalDouble;

/**
 * A row's value as computed.
 *
 * @param value the value; empty where a file of measurements that it needs is not there
 * @param margin half of its 95% interval, where a measured interval bears on it
 * @param rSquared of the fitted line, for a measured slope or intercept
 * @param onGuess whether a guess bears on it
 */
record Resolved(OptionalDouble value, OptionalDouble margin, OptionalDouble rSquared, boolean onGuess) {

    /** A number that stands on the page itself. */
    static Resolved exact(double value, boolean onGuess) {
        return new Resolved(OptionalDouble.of(value), OptionalDouble.empty(), OptionalDouble.empty(), onGuess);
    }

    /** A figure whose file of measurements is not there. */
    static Resolved notMeasured(boolean onGuess) {
        return new Resolved(OptionalDouble.empty(), OptionalDouble.empty(), OptionalDouble.empty(), onGuess);
    }

    /** A figure taken from a file of measurements. */
    static Resolved measured(Measure.Reading reading) {
        return new Resolved(OptionalDouble.of(reading.value()), reading.margin(), reading.rSquared(), false);
    }

    boolean isMeasured() {
        return value.isPresent();
    }
}
