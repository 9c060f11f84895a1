package dockshed.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** The page's notation of figures: two or three significant digits, with commas between thousands. */
final class Figure {
    /** Written for a figure whose file of measurements does not exist. */
    static final String NOT_MEASURED = "not measured";
    /** Written for a delay that did not end within its time limit; its value is infinity. */
    static final String NOT_REACHED = "not reached";
    /** Regular expression of a figure on the page. */
    static final String FORM = "-?\\d[\\d,]*(?:\\.\\d+)?";

    private static final Pattern PATTERN = Pattern.compile(FORM);
    private static final int MIN_SIGNIFICANT_DIGITS = 2;
    private static final int MAX_SIGNIFICANT_DIGITS = 3;
    private static final double MIN_GROUPED_VALUE = 1000;

    private Figure() {}

    /** The figure to three significant digits. */
    static String format(double value) {
        return format(value, MAX_SIGNIFICANT_DIGITS);
    }

    /** The figure to two significant digits, used for margins and factors. */
    static String formatBriefly(double value) {
        return format(value, MIN_SIGNIFICANT_DIGITS);
    }

    /**
     * The exact number in a cell of a target, a constant or a guess.
     *
     * @throws PageFaultException if the text is not a figure
     */
    static double exact(CapacityRow row, String text) {
        return parse(text).orElseThrow(() -> PageFaultException.of(row, "\"" + text + "\" is no number"));
    }

    /** Whether the text represents the value, exactly or rounded to two or three significant digits. */
    static boolean agrees(String text, double value) {
        if (Double.isInfinite(value)) {
            return text.equals(NOT_REACHED);
        }
        OptionalDouble written = parse(text);
        return written.isPresent()
                && (same(written.getAsDouble(), value)
                        || same(
                                written.getAsDouble(),
                                rounded(value, MIN_SIGNIFICANT_DIGITS).doubleValue())
                        || same(
                                written.getAsDouble(),
                                rounded(value, MAX_SIGNIFICANT_DIGITS).doubleValue()));
    }

    private static OptionalDouble parse(String text) {
        if (!PATTERN.matcher(text).matches()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Double.parseDouble(text.replace(",", "")));
    }

    private static String format(double value, int digits) {
        if (Double.isInfinite(value)) {
            return NOT_REACHED;
        }
        BigDecimal rounded = rounded(value, digits);
        if (rounded.abs().doubleValue() >= MIN_GROUPED_VALUE) {
            return new DecimalFormat("#,##0", DecimalFormatSymbols.getInstance(Locale.ROOT)).format(rounded);
        }
        return rounded.toPlainString();
    }

    private static BigDecimal rounded(double value, int digits) {
        return new BigDecimal(Double.toString(value)).round(new MathContext(digits, RoundingMode.HALF_UP));
    }

    private static boolean same(double one, double other) {
        return Math.abs(one - other) <= Math.ulp(Math.max(Math.abs(one), Math.abs(other)));
    }
}
