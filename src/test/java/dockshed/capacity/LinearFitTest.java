package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against a wrong line or interval, by data whose fit is known, and against fits to unusable points. */
class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    void pointsOnALineGiveTheLineWithNoMargin() {
        LinearFit fit = LinearFit.of(new double[] {0, 1, 2, 3}, new double[] {5, 7, 9, 11});
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(5, fit.intercept(), TOLERANCE);
        assertEquals(1, fit.rSquared(), TOLERANCE);
        assertEquals(2, fit.slopeLow(), TOLERANCE);
        assertEquals(2, fit.slopeHigh(), TOLERANCE);
        assertEquals(4, fit.points());
        assertEquals(25, fit.at(10), TOLERANCE);
    }

    /** Anscombe's first quartet: slope 0.5001 with standard error 0.1179, t(0.975, 9) = 2.2622. */
    @Test
    void anscombesFirstSetGivesItsPublishedFit() {
        double[] x = {10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5};
        double[] y = {8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68};
        LinearFit fit = LinearFit.of(x, y);
        assertEquals(0.5001, fit.slope(), 0.00005);
        assertEquals(3.0001, fit.intercept(), 0.00005);
        assertEquals(0.6665, fit.rSquared(), 0.00005);
        assertEquals(0.5001 - 0.1179 * 2.2622, fit.slopeLow(), 0.0002);
        assertEquals(0.5001 + 0.1179 * 2.2622, fit.slopeHigh(), 0.0002);
    }

    @Test
    void aLevelLineHasSlopeZero() {
        LinearFit fit = LinearFit.of(new double[] {1, 2, 3, 4}, new double[] {7, 7, 7, 7});
        assertEquals(0, fit.slope(), TOLERANCE);
        assertEquals(7, fit.intercept(), TOLERANCE);
        assertEquals(1, fit.rSquared(), TOLERANCE);
    }

    @Test
    void unusablePointsAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {1, 2, 3}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {1, 2}, new double[] {1, 2}));
        assertThrows(
                IllegalArgumentException.class, () -> LinearFit.of(new double[] {4, 4, 4}, new double[] {1, 2, 3}));
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(new double[] {1, 2, 3}, new double[] {1, Double.NaN, 3}));
    }

    @Test
    void theTextOfAFitDoesNotDependOnTheLocale() {
        LinearFit fit = new LinearFit(1.5, 2, 0.25, 1, 2, 4);
        assertEquals(
                "slope=1.50000 slope_low=1.00000 slope_high=2.00000 intercept=2.00000 r2=0.25000 points=4",
                fit.toString());
    }
}
