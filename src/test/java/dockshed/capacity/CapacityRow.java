package dockshed.capacity;

import java.util.Optional;

/** A row of the page that has an id and a value. */
sealed interface CapacityRow {
    /** The name under which formulas and prose refer to the row. */
    String id();

    /** The row's line on the page, from 1. */
    int line();

    /** A number of the wanted size, set by the operators. */
    record Target(String id, int line, String value) implements CapacityRow {}

    /** A number that the program or a deployment file holds: the file and the text in it that says so. */
    record Constant(String id, int line, String value, String file, String literal) implements CapacityRow {}

    /** A number that nobody has measured or told, with the reason why it is taken. */
    record Guess(String id, int line, String value, String reason) implements CapacityRow {}

    /** A figure taken from a file of measurements. */
    record Measured(
            String id,
            int line,
            Measure measure,
            String file,
            String value,
            String margin,
            String rSquared,
            String command)
            implements CapacityRow {}

    /** A figure worked out from others. */
    record Derived(
            String id,
            int line,
            String formula,
            String value,
            String margin,
            Optional<String> budget,
            String remains,
            String basis)
            implements CapacityRow {}

    /** A mechanism's place in the ranking; {@code formula} is how far today misses the target. */
    record Ranked(String id, int line, int rank, String formula, String value, String basis) implements CapacityRow {
        /** The formula of a need that nothing in the program serves. */
        static final String NO_MECHANISM = "none";

        boolean hasMechanism() {
            return !formula.equals(NO_MECHANISM);
        }
    }
}
