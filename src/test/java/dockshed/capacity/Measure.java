package dockshed.capacity;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * How a figure is computed from a file of measurements. The page writes it as in {@code slope of heap_bytes by connections
 * where state=session}; instead of {@code slope} also {@code intercept}, {@code mean}, {@code max}, {@code min} or {@code
 * value}, which needs exactly one matching row.
 *
 * @param kind what is computed
 * @param column the column that it is computed from
 * @param by the column of sizes, for a slope or an intercept
 * @param conditions the cells that matching rows have, by column
 */
record Measure(Kind kind, String column, Optional<String> by, Map<String, String> conditions) {

    /** What is computed from the matching rows. */
    enum Kind {
        SLOPE,
        INTERCEPT,
        MEAN,
        MAX,
        MIN,
        VALUE
    }

    /**
     * A computed figure.
     *
     * @param value the figure
     * @param margin half the width of its 95% confidence interval, if it has one
     * @param rSquared of the fitted line, for a slope or an intercept
     */
    record Reading(double value, OptionalDouble margin, OptionalDouble rSquared) {}

    private static final Pattern FORM = Pattern.compile(
            "(slope|intercept|mean|max|min|value) of (\\w+)(?: by (\\w+))?(?: where (\\w+=\\S+(?: and \\w+=\\S+)*))?");
    /** Upper end of a two-sided 95% confidence interval. */
    private static final double CONFIDENCE_UPPER_QUANTILE = 0.975;
    /** Cells of a delay that did not end within its time limit. */
    private static final Set<String> NOT_REACHED_CELLS = Set.of("inf", "none");

    /**
     * Parses the page's text of a measure.
     *
     * @throws IllegalArgumentException if the text does not have the form above
     */
    static Measure parse(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches()) {
            throw new IllegalArgumentException("no measure: \"" + text + "\"");
        }
        Kind kind = Kind.valueOf(form.group(1).toUpperCase(Locale.ROOT));
        boolean needsSizes = kind == Kind.SLOPE || kind == Kind.INTERCEPT;
        if (needsSizes != (form.group(3) != null)) {
            throw new IllegalArgumentException(
                    "\"by\" belongs to a slope and to an intercept, and to nothing else: \"" + text + "\"");
        }
        return new Measure(kind, form.group(2), Optional.ofNullable(form.group(3)), conditionsOf(form.group(4)));
    }

    private static Map<String, String> conditionsOf(String text) {
        Map<String, String> conditions = new LinkedHashMap<>();
        if (text != null) {
            for (String condition : text.split(" and ")) {
                String[] sides = condition.split("=", 2);
                conditions.put(sides[0], sides[1]);
            }
        }
        return conditions;
    }

    /**
     * Computes the figure; infinity if one of its cells is a delay that was not reached.
     *
     * @throws IllegalArgumentException if the file lacks a column, a cell is not a number,
     *     or the number of rows that match the conditions does not suffice
     */
    Reading of(CapacityCsv file) {
        CapacityCsv matching = file;
        for (Map.Entry<String, String> condition : conditions.entrySet()) {
            matching = matching.where(condition.getKey(), condition.getValue());
        }
        if (matching.column(column).stream().anyMatch(NOT_REACHED_CELLS::contains)) {
            return withoutMargin(Double.POSITIVE_INFINITY);
        }
        double[] numbers = matching.numbers(column);
        if (numbers.length == 0) {
            throw new IllegalArgumentException(file.name() + ": no row with " + conditions);
        }
        return switch (kind) {
            case SLOPE -> slope(matching.fit(by.orElseThrow(), column));
            case INTERCEPT -> intercept(matching.fit(by.orElseThrow(), column));
            case MEAN -> mean(numbers);
            case MAX -> withoutMargin(Arrays.stream(numbers).max().orElseThrow());
            case MIN -> withoutMargin(Arrays.stream(numbers).min().orElseThrow());
            case VALUE -> onlyValue(file, numbers);
        };
    }

    private static Reading slope(LinearFit fit) {
        double margin = (fit.slopeHigh() - fit.slopeLow()) / 2;
        return new Reading(fit.slope(), OptionalDouble.of(margin), OptionalDouble.of(fit.rSquared()));
    }

    private static Reading intercept(LinearFit fit) {
        return new Reading(fit.intercept(), OptionalDouble.empty(), OptionalDouble.of(fit.rSquared()));
    }

    /** The mean; its margin is by Student's t distribution, and absent for a single value. */
    private static Reading mean(double[] numbers) {
        SummaryStatistics statistics = new SummaryStatistics();
        Arrays.stream(numbers).forEach(statistics::addValue);
        if (numbers.length == 1) {
            return withoutMargin(statistics.getMean());
        }
        double quantile = new TDistribution(numbers.length - 1).inverseCumulativeProbability(CONFIDENCE_UPPER_QUANTILE);
        double margin = quantile * statistics.getStandardDeviation() / Math.sqrt(numbers.length);
        return new Reading(statistics.getMean(), OptionalDouble.of(margin), OptionalDouble.empty());
    }

    private Reading onlyValue(CapacityCsv file, double[] numbers) {
        if (numbers.length != 1) {
            throw new IllegalArgumentException(
                    file.name() + ": " + numbers.length + " rows with " + conditions + ", expected one");
        }
        return withoutMargin(numbers[0]);
    }

    private static Reading withoutMargin(double value) {
        return new Reading(value, OptionalDouble.empty(), OptionalDouble.empty());
    }
}
