package dockshed.capacity;

import com.ezylang.evalex.EvaluationException;
import com.ezylang.evalex.Expression;
import com.ezylang.evalex.parser.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Computes the values of the page's rows from its targets, constants and guesses and the files of measurements. A row that
 * cannot be computed is a {@link PageFaultException}.
 */
final class CapacityModel {
    private final Map<String, CapacityRow> rows;
    private final Path measurements;
    private final Map<String, Resolved> resolved = new HashMap<>();
    private final Deque<String> resolving = new ArrayDeque<>();

    /**
     * @param page the page whose rows are computed
     * @param measurements the directory of the files of measurements
     */
    CapacityModel(CapacityPage page, Path measurements) {
        this.rows = page.rows();
        this.measurements = measurements;
    }

    /** The value of a row, computed on the first call. */
    Resolved resolve(CapacityRow row) {
        Resolved value = resolved.get(row.id());
        if (value == null) {
            value = compute(row);
            resolved.put(row.id(), value);
        }
        return value;
    }

    /** The sort key of the ranking: infinity if no mechanism serves the need, 0 if the value is not measured. */
    double shortfallOf(CapacityRow.Ranked row) {
        return row.hasMechanism() ? resolve(row).value().orElse(0) : Double.POSITIVE_INFINITY;
    }

    /**
     * The value of a row's formula or budget, an expression over ids: not measured if one of its terms is not, and infinity
     * (not reached) if one of its terms is infinite.
     */
    Resolved evaluate(CapacityRow row, String formula) {
        Map<String, Resolved> terms = termsOf(row, formula);
        boolean onGuess = terms.values().stream().anyMatch(Resolved::onGuess);
        if (!terms.values().stream().allMatch(Resolved::isMeasured)) {
            return Resolved.notMeasured(onGuess);
        }
        Map<String, Double> values = new LinkedHashMap<>();
        terms.forEach((id, term) -> values.put(id, term.value().orElseThrow()));
        if (values.values().stream().anyMatch(value -> value.isInfinite())) {
            return Resolved.exact(Double.POSITIVE_INFINITY, onGuess);
        }
        double value = number(row, formula, values);
        OptionalDouble margin = margin(row, formula, terms, values, value);
        return new Resolved(OptionalDouble.of(value), margin, OptionalDouble.empty(), onGuess);
    }

    /** The path of a row's file of measurements, which may not exist. */
    Path fileOf(CapacityRow.Measured row) {
        return measurements.resolve(row.file());
    }

    /** Reads a row's file of measurements. */
    CapacityCsv read(CapacityRow.Measured row) {
        try {
            return CapacityCsv.read(fileOf(row));
        } catch (IllegalArgumentException malformed) {
            throw PageFaultException.of(row, malformed.getMessage());
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private Resolved compute(CapacityRow row) {
        if (resolving.contains(row.id())) {
            throw PageFaultException.of(row, "the formula needs its own result, through " + resolving);
        }
        resolving.push(row.id());
        try {
            if (row instanceof CapacityRow.Target target) {
                return Resolved.exact(Figure.exact(row, target.value()), false);
            }
            if (row instanceof CapacityRow.Constant constant) {
                return Resolved.exact(Figure.exact(row, constant.value()), false);
            }
            if (row instanceof CapacityRow.Guess guess) {
                return Resolved.exact(Figure.exact(row, guess.value()), true);
            }
            if (row instanceof CapacityRow.Measured measured) {
                return measure(measured);
            }
            if (row instanceof CapacityRow.Derived derived) {
                return evaluate(row, derived.formula());
            }
            return rank((CapacityRow.Ranked) row);
        } finally {
            resolving.pop();
        }
    }

    private Resolved rank(CapacityRow.Ranked row) {
        return row.hasMechanism() ? evaluate(row, row.formula()) : Resolved.notMeasured(false);
    }

    private Resolved measure(CapacityRow.Measured row) {
        if (!Files.exists(fileOf(row))) {
            return Resolved.notMeasured(false);
        }
        try {
            return Resolved.measured(row.measure().of(read(row)));
        } catch (IllegalArgumentException misfit) {
            throw PageFaultException.of(row, misfit.getMessage());
        }
    }

    private Map<String, Resolved> termsOf(CapacityRow row, String formula) {
        Map<String, Resolved> terms = new LinkedHashMap<>();
        for (String name : namesIn(row, formula)) {
            String id = name.toLowerCase(Locale.ROOT);
            CapacityRow term = rows.get(id);
            if (term == null) {
                throw PageFaultException.of(row, "the formula names `" + id + "`, and no row has that id");
            }
            terms.put(id, resolve(term));
        }
        return terms;
    }

    private static Set<String> namesIn(CapacityRow row, String formula) {
        try {
            return new Expression(formula).getUsedVariables();
        } catch (ParseException malformed) {
            throw PageFaultException.of(row, "no formula: " + malformed.getMessage());
        }
    }

    private static double number(CapacityRow row, String formula, Map<String, Double> values) {
        try {
            return new Expression(formula)
                    .withValues(values)
                    .evaluate()
                    .getNumberValue()
                    .doubleValue();
        } catch (ParseException | EvaluationException malformed) {
            throw PageFaultException.of(row, "no formula: " + malformed.getMessage());
        }
    }

    /** The margin of the result, propagated from those of the terms to first order as if the terms were independent. */
    private static OptionalDouble margin(
            CapacityRow row, String formula, Map<String, Resolved> terms, Map<String, Double> values, double value) {
        double squares = 0;
        boolean any = false;
        for (Map.Entry<String, Resolved> term : terms.entrySet()) {
            OptionalDouble margin = term.getValue().margin();
            if (margin.isPresent()) {
                Map<String, Double> shifted = new HashMap<>(values);
                shifted.merge(term.getKey(), margin.getAsDouble(), Double::sum);
                double change = number(row, formula, shifted) - value;
                squares += change * change;
                any = true;
            }
        }
        return any ? OptionalDouble.of(Math.sqrt(squares)) : OptionalDouble.empty();
    }
}
