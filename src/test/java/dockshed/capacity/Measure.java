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
 * How a figure is taken from a file of measurements, as the page writes it: {@code slope of heap_bytes by
 * connections where state=session}, or {@code intercept}, {@code mean}, {@code max}, {@code min}, {@code
 * value} (of the one row that is left).
 *
 * @param kind what is computed
 * @param column the column that it is computed of
 * @param by the column of sizes, for a slope or an intercept
 * @param conditions cells that a row must have, by column
 */
record Measure(Kind kind, String column, Optional<String> by, Map<String, String> conditions) {

    /** What is computed of the rows that are left. */
    enum Kind {
        SLOPE,
        INTERCEPT,
        MEAN,
        MAX,
        MIN,
        VALUE
    }

    /**
     * What was found.
     *
     * @param value the figure
     * @param margin half of its 95% interval, where there is one
     * @param rSquared of the line, for a slope or an intercept
     */
    record Reading(double value, OptionalDouble margin, OptionalDouble rSquared) {}

    private static final Pattern FORM = Pattern.compile(
            "(slope|intercept|mean|max|min|value) of (\\w+)(?: by (\\w+))?(?: where (\\w+=\\S+(?: and \\w+=\\S+)*))?");
    private static final double CONFIDENCE_UPPER_QUANTILE = 0.975;
    /** Cells of a delay that was not reached while it was waited for. */
    private static final Set<String> NOT_REACHED_CELLS = Set.of("inf", "none");

    /**
     * Reads the page's words.
     *
     * @throws IllegalArgumentException if they are not of the form above
     */
    static Measure parse(String words) {
        Matcher form = FORM.matcher(words);
        if (!form.matches()) {
            throw new IllegalArgumentException("no measure: \"" + words + "\"");
        }
        Kind kind = Kind.valueOf(form.group(1).toUpperCase(Locale.ROOT));
        boolean needsSizes = kind == Kind.SLOPE || kind == Kind.INTERCEPT;
        if (needsSizes != (form.group(3) != null)) {
            throw new IllegalArgumentException(
                    "\"by\" belongs to a slope and to an intercept, and to nothing else: \"" + words + "\"");
        }
        return new Measure(kind, form.group(2), Optional.ofNullable(form.group(3)), conditionsOf(form.group(4)));
    }

    private static Map<String, String> conditionsOf(String words) {
        Map<String, String> conditions = new LinkedHashMap<>();
        if (words != null) {
            for (String condition : words.split(" and ")) {
                String[] sides = condition.split("=", 2);
                conditions.put(sides[0], sides[1]);
            }
        }
        return conditions;
    }

    /**
     * Computes the figure; infinity where one of its cells says that a delay was not reached.
     *
     * @throws IllegalArgumentException if the file lacks a column, or no row fits the conditions
     */
    Reading of(CapacityCsv file) {
        CapacityCsv kept = file;
        for (Map.Entry<String, String> condition : conditions.entrySet()) {
            kept = kept.where(condition.getKey(), condition.getValue());
        }
        if (kept.column(column).stream().anyMatch(NOT_REACHED_CELLS::contains)) {
            return withoutMargin(Double.POSITIVE_INFINITY);
        }
        double[] numbers = kept.numbers(column);
        if (numbers.length == 0) {
            throw new IllegalArgumentException(file.name() + ": no row with " + conditions);
        }
        return switch (kind) {
            case SLOPE -> slope(kept.fit(by.orElseThrow(), column));
            case INTERCEPT -> intercept(kept.fit(by.orElseThrow(), column));
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
