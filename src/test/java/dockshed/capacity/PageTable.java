package dockshed.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * One Markdown table of the page. Cells contain no vertical bars.
 *
 * @param columns the names of the columns
 * @param rows the rows under the header
 */
record PageTable(List<String> columns, List<PageRow> rows) {
    private static final Pattern BAR = Pattern.compile("\\|");
    private static final int HEADER_LINES = 2;

    PageTable {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
    }

    /**
     * Reads the lines of a table: header, delimiter and rows.
     *
     * @param firstLine the header's line on the page, from 1
     * @throws PageFaultException if a row has more or fewer cells than the header
     */
    static PageTable parse(int firstLine, List<String> lines) {
        List<String> columns = cellsOf(lines.get(0));
        List<PageRow> rows = new ArrayList<>();
        for (int line = HEADER_LINES; line < lines.size(); line++) {
            rows.add(rowOf(firstLine + line, columns, cellsOf(lines.get(line))));
        }
        return new PageTable(columns, rows);
    }

    /** Whether the table has the column. */
    boolean has(String column) {
        return columns.contains(column);
    }

    /** The cells of a table's line, without white space around them. */
    static List<String> cellsOf(String line) {
        String inner = line.strip();
        inner = inner.startsWith("|") ? inner.substring(1) : inner;
        inner = inner.endsWith("|") ? inner.substring(0, inner.length() - 1) : inner;
        return BAR.splitAsStream(inner + " ").map(String::strip).toList();
    }

    private static PageRow rowOf(int line, List<String> columns, List<String> cells) {
        if (cells.size() != columns.size()) {
            throw new PageFaultException(
                    "line " + line + ": expected " + columns.size() + " cells, got " + cells.size());
        }
        Map<String, String> byColumn = new LinkedHashMap<>();
        for (int column = 0; column < cells.size(); column++) {
            byColumn.put(columns.get(column), cells.get(column));
        }
        return new PageRow(line, byColumn);
    }
}
