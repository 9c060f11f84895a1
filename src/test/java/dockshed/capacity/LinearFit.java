package dockshed.capacity;

import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * An ordinary least squares line through measured points.
 *
 * @param slope units of y for one more unit of x
 * @param intercept y where x is zero
 * @param rSquared share of the variance of y that the line explains, 0 to 1
 * @param slopeLow lower end of the slope's 95% confidence interval
 * @param slopeHigh upper end of the slope's 95% confidence interval
 * @param points number of points fitted
 */
public record LinearFit(
        double slope, double intercept, double rSquared, double slopeLow, double slopeHigh, int points) {

    /** Any two points lie on a line, so a confidence interval needs a third. */
    public static final int MIN_POINTS = 3;

    /** Of the 95% confidence interval. */
    private static final double SIGNIFICANCE_LEVEL = 0.05;

    /**
     * Fits a line to the points (x[i], y[i]).
     *
     * @throws IllegalArgumentException if the arrays differ in length, hold fewer than
     *     {@link #MIN_POINTS} points or a value that is not finite, or all x are the same
     */
    public static LinearFit of(double[] x, double[] y) {
        requirePoints(x, y);
        SimpleRegression regression = new SimpleRegression();
        for (int point = 0; point < x.length; point++) {
            regression.addData(x[point], y[point]);
        }
        double slope = regression.getSlope();
        if (Double.isNaN(slope)) {
            throw new IllegalArgumentException("all " + x.length + " values of x are the same: no slope");
        }
        double margin = marginOf(regression);
        return new LinearFit(
                slope, regression.getIntercept(), rSquaredOf(regression), slope - margin, slope + margin, x.length);
    }

    /** The line's value at x. */
    public double at(double x) {
        return intercept + slope * x;
    }

    /** The fit on one line: slope with its interval, intercept, r squared and number of points. */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "slope=%.6g slope_low=%.6g slope_high=%.6g intercept=%.6g r2=%.5f points=%d",
                slope,
                slopeLow,
                slopeHigh,
                intercept,
                rSquared,
                points);
    }

    private static void requirePoints(double[] x, double[] y) {
        if (x.length != y.length) {
            throw new IllegalArgumentException("x has " + x.length + " values, y has " + y.length);
        }
        if (x.length < MIN_POINTS) {
            throw new IllegalArgumentException("a fit needs " + MIN_POINTS + " points, got " + x.length);
        }
        for (int point = 0; point < x.length; point++) {
            if (!Double.isFinite(x[point]) || !Double.isFinite(y[point])) {
                throw new IllegalArgumentException("point " + point + " is not finite: " + x[point] + ", " + y[point]);
            }
        }
    }

    /** Half the width of the slope's confidence interval; zero if the points lie on the line exactly. */
    private static double marginOf(SimpleRegression regression) {
        double margin = regression.getSlopeConfidenceInterval(SIGNIFICANCE_LEVEL);
        return Double.isNaN(margin) ? 0 : margin;
    }

    /** R squared; 1 if all y are equal, as the level line explains all of their variance, which is zero. */
    private static double rSquaredOf(SimpleRegression regression) {
        return regression.getTotalSumSquares() == 0 ? 1 : regression.getRSquare();
    }
}
