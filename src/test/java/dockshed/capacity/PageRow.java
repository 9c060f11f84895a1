package dockshed.capacity;

import java.util.Map;

/**
 * One row of a Markdown table.
 *
 * @param line the row's line on the page, from 1
 * @param cells the trimmed text of each cell by its column's name
 */
record PageRow(int line, Map<String, String> cells) {
    private static final String CODE = "`";

    PageRow {
        cells = Map.copyOf(cells);
    }

    /** A cell's text; empty if the table has no such column. */
    String text(String column) {
        return cells.getOrDefault(column, "");
    }

    /** A cell's text without backticks. */
    String code(String column) {
        return text(column).replace(CODE, "").strip();
    }
}
