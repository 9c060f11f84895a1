package dockshed.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Computes the cells of the page's rows. */
final class CapacityCells {
    /** The basis of a figure computed from targets, constants and measurements only. */
    static final String WORKED_OUT = "worked out";
    /** The basis of a figure whose computation includes a guess. */
    static final String ON_A_GUESS = "on a guess";

    /**
     * One computed cell.
     *
     * @param text the text that {@link CapacityPageWriter} writes
     * @param number the number that the text represents; empty if the page must have exactly this text
     */
    record Cell(String text, OptionalDouble number) {
        /** Whether the text on the page represents the same number, or is the same text. */
        boolean agrees(String written) {
            return number.isPresent() ? Figure.agrees(written, number.getAsDouble()) : written.equals(text);
        }
    }

    private final CapacityModel model;

    CapacityCells(CapacityModel model) {
        this.model = model;
    }

    /** The computed cells of a row, by column; none for targets, constants and guesses. */
    Map<String, Cell> of(CapacityRow row) {
        Map<String, Cell> cells = new LinkedHashMap<>();
        if (row instanceof CapacityRow.Measured) {
            addMeasured(cells, model.resolve(row));
        } else if (row instanceof CapacityRow.Derived derived) {
            addDerived(cells, derived);
        } else if (row instanceof CapacityRow.Ranked ranked) {
            addRanked(cells, ranked);
        }
        return cells;
    }

    private static void addMeasured(Map<String, Cell> cells, Resolved resolved) {
        cells.put(CapacityRows.VALUE, value(resolved));
        cells.put(CapacityRows.MARGIN, twoDigits(resolved.margin()));
        cells.put(CapacityRows.R_SQUARED, figure(resolved.rSquared(), CapacityRows.EMPTY));
    }

    private void addDerived(Map<String, Cell> cells, CapacityRow.Derived row) {
        Resolved resolved = model.resolve(row);
        cells.put(CapacityRows.VALUE, value(resolved));
        cells.put(CapacityRows.MARGIN, twoDigits(resolved.margin()));
        cells.put(CapacityRows.REMAINS, remains(row, resolved));
        cells.put(CapacityRows.BASIS, basis(resolved.onGuess() || budgetIsOnGuess(row)));
    }

    private boolean budgetIsOnGuess(CapacityRow.Derived row) {
        return row.budget().map(budget -> model.evaluate(row, budget).onGuess()).orElse(false);
    }

    private void addRanked(Map<String, Cell> cells, CapacityRow.Ranked row) {
        Resolved resolved = model.resolve(row);
        if (row.hasMechanism()) {
            cells.put(CapacityRows.VALUE, value(resolved));
            cells.put(CapacityRows.BASIS, basis(resolved.onGuess()));
        } else {
            cells.put(CapacityRows.VALUE, text("no mechanism"));
            cells.put(CapacityRows.BASIS, text(CapacityRows.EMPTY));
        }
    }

    /** The budget divided by the value: above 1 the budget is kept, below 1 it is exceeded. */
    private Cell remains(CapacityRow.Derived row, Resolved resolved) {
        if (row.budget().isEmpty()) {
            return text(CapacityRows.EMPTY);
        }
        Resolved budget = model.evaluate(row, row.budget().orElseThrow());
        if (!budget.isMeasured() || !resolved.isMeasured()) {
            return text(Figure.NOT_MEASURED);
        }
        return twoDigits(OptionalDouble.of(
                budget.value().getAsDouble() / resolved.value().getAsDouble()));
    }

    private static Cell basis(boolean onGuess) {
        return text(onGuess ? ON_A_GUESS : WORKED_OUT);
    }

    private static Cell value(Resolved resolved) {
        return figure(resolved.value(), Figure.NOT_MEASURED);
    }

    private static Cell figure(OptionalDouble number, String otherwise) {
        return number.isPresent() ? new Cell(Figure.format(number.getAsDouble()), number) : text(otherwise);
    }

    private static Cell twoDigits(OptionalDouble number) {
        return number.isPresent()
                ? new Cell(Figure.formatBriefly(number.getAsDouble()), number)
                : text(CapacityRows.EMPTY);
    }

    private static Cell text(String text) {
        return new Cell(text, OptionalDouble.empty());
    }
}
