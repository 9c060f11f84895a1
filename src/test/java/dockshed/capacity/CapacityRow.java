package dockshed.capacity;

import java.util.Optional;

/** A row of the page that has an id and a value. Texts are those of the page's cells. */
sealed interface CapacityRow {
    /** The name under which formulas and prose refer to the row. */
    String id();

    /** The row's line on the page, from 1. */
    int line();

    /** A number of the target size, set by the operators. */
    record Target(String id, int line, String value) implements CapacityRow {}

    /** A number set in the program or a deployment file; {@code literal} is the text in {@code file} that sets it. */
    record Constant(String id, int line, String value, String file, String literal) implements CapacityRow {}

    /** A number that was neither measured nor set, with the reason for assuming it. */
    record Guess(String id, int line, String value, String reason) implements CapacityRow {}

    /** A figure computed by {@code measure} from {@code file}, which {@code command} writes. */
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

    /** A figure computed from others by {@code formula}; {@code budget} is the expression that it must not exceed. */
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

    /** A mechanism's place in the ranking; {@code formula} is the factor by which the present program misses the target. */
    record Ranked(String id, int line, int rank, String formula, String value, String basis) implements CapacityRow {
        /** The formula of a need that no mechanism of the program serves. */
        static final String NO_MECHANISM = "none";

        /** Whether the program has a mechanism for the need. */
        boolean hasMechanism() {
            return !formula.equals(NO_MECHANISM);
        }
    }
}
