package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.fleet.ControlFigures;
import dockshed.fleet.ControlScenario;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/**
 * The rows and series of the control benchmark. Guards against cells that shift against their columns, a missing delay that
 * is written as a number, and a series with too few sizes for a fit.
 */
class ControlCapacityTest {
    private static final int MIN_SIZES = 4;

    @Test
    void aRowHasACellForEachColumnAndMarksDelaysThatWereNotReached() {
        ControlScenario scenario = ControlCapacity.series(11).get(0).scenarios().get(0);
        ControlFigures figures = new ControlFigures(
                1,
                2,
                3,
                4,
                5,
                0.5,
                0.25,
                8,
                9,
                10,
                11,
                12,
                0,
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(1.25),
                OptionalDouble.empty(),
                0.5,
                OptionalDouble.of(7),
                0);
        Object[] cells = ControlCapacity.cells("brokers", scenario, figures);
        assertEquals(ControlCapacity.COLUMNS.size() - 1, cells.length, "all columns except the run");
        assertEquals("0.250000", cells[ControlCapacity.COLUMNS.indexOf("node_share") - 1]);
        assertEquals("1.25", cells[ControlCapacity.COLUMNS.indexOf("report_99_median_s") - 1]);
        assertEquals(ControlCapacity.NONE, cells[ControlCapacity.COLUMNS.indexOf("report_99_most_s") - 1]);
    }

    @Test
    void eachSeriesHasFourSizesOrMore() {
        for (ControlCapacity.Series series : ControlCapacity.series(11)) {
            assertTrue(series.scenarios().size() >= MIN_SIZES, series.name());
        }
        for (ControlCapacity.Series series : ControlCapacity.quickSeries(11)) {
            assertTrue(series.scenarios().size() >= MIN_SIZES, series.name());
        }
    }
}
