package dockshed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts table rows that have ids to {@link CapacityRow}s; a table's columns determine the kind of its rows. */
final class CapacityRows {
    static final String ID = "id";
    static final String VALUE = "value";
    static final String MARGIN = "±";
    static final String R_SQUARED = "r²";
    static final String RANK = "rank";
    static final String REMAINS = "remains";
    static final String BASIS = "basis";
    /** The content of an empty cell. */
    static final String EMPTY = "-";

    private static final Pattern ID_FORM = Pattern.compile("[a-z][a-z0-9_]*");
    /** The source of a constant: the file, and the text in it that sets the constant. */
    private static final Pattern SOURCE = Pattern.compile("`([^`]+)`: `([^`]+)`");

    private CapacityRows() {}

    /** Whether the rows of the table have ids. */
    static boolean hasIds(PageTable table) {
        return table.has(ID);
    }

    /**
     * The rows of a table that has ids.
     *
     * @throws PageFaultException if a row is malformed
     */
    static List<CapacityRow> of(PageTable table) {
        List<CapacityRow> rows = new ArrayList<>();
        for (PageRow row : table.rows()) {
            requireId(row);
            rows.add(typed(table, row));
        }
        return rows;
    }

    private static CapacityRow typed(PageTable table, PageRow row) {
        if (table.has("target")) {
            return new CapacityRow.Target(row.code(ID), row.line(), row.text("target"));
        }
        if (table.has("constant")) {
            return constant(row);
        }
        if (table.has("guess")) {
            requireFilled(row, "reason");
            return new CapacityRow.Guess(row.code(ID), row.line(), row.text("guess"), row.text("reason"));
        }
        if (table.has("measure")) {
            return measured(row);
        }
        if (table.has(RANK)) {
            return ranked(row);
        }
        if (table.has("formula")) {
            return derived(row);
        }
        throw fault(row, "the table has none of the columns target, constant, guess, measure, formula");
    }

    private static CapacityRow constant(PageRow row) {
        requireFilled(row, "source");
        Matcher source = SOURCE.matcher(row.text("source"));
        if (!source.matches()) {
            throw fault(row, "expected a source of the form `file`: `text`, got " + row.text("source"));
        }
        return new CapacityRow.Constant(
                row.code(ID), row.line(), row.text("constant"), source.group(1), source.group(2));
    }

    private static CapacityRow measured(PageRow row) {
        requireFilled(row, "file");
        requireFilled(row, "command");
        requireFilled(row, "unit");
        return new CapacityRow.Measured(
                row.code(ID),
                row.line(),
                measureOf(row),
                row.code("file"),
                row.text(VALUE),
                row.text(MARGIN),
                row.text(R_SQUARED),
                row.code("command"));
    }

    private static Measure measureOf(PageRow row) {
        try {
            return Measure.parse(row.code("measure"));
        } catch (IllegalArgumentException malformed) {
            throw fault(row, malformed.getMessage());
        }
    }

    private static CapacityRow derived(PageRow row) {
        requireFilled(row, "formula");
        requireFilled(row, "unit");
        String budget = row.code("budget");
        return new CapacityRow.Derived(
                row.code(ID),
                row.line(),
                row.code("formula"),
                row.text(VALUE),
                row.text(MARGIN),
                isEmpty(budget) ? Optional.empty() : Optional.of(budget),
                row.text(REMAINS),
                row.text(BASIS));
    }

    private static CapacityRow ranked(PageRow row) {
        requireFilled(row, "formula");
        if (!row.text(RANK).matches("[1-9]\\d?")) {
            throw fault(row, "expected a rank, got \"" + row.text(RANK) + "\"");
        }
        return new CapacityRow.Ranked(
                row.code(ID),
                row.line(),
                Integer.parseInt(row.text(RANK)),
                row.code("formula"),
                row.text(VALUE),
                row.text(BASIS));
    }

    private static void requireId(PageRow row) {
        if (!ID_FORM.matcher(row.code(ID)).matches()) {
            throw new PageFaultException("line " + row.line() + ": \"" + row.text(ID) + "\" is no id");
        }
    }

    private static void requireFilled(PageRow row, String column) {
        if (isEmpty(row.code(column))) {
            throw fault(row, "no " + column);
        }
    }

    private static boolean isEmpty(String cell) {
        return cell.isEmpty() || cell.equals(EMPTY);
    }

    private static PageFaultException fault(PageRow row, String message) {
        return new PageFaultException("line " + row.line() + ", row `" + row.code(ID) + "`: " + message);
    }
}
