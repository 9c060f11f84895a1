package dockshed.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * One Markdown table of the page. A cell holds no vertical bar.
 *
 * @param columns the names of the columns
 * @param rows the rows under the header
 */
record PageTable(List<String> columns, List<PageRow> rows) {
    private static final Pattern BAR = Pattern.compile("\\|");
    private static final int LINES_OF_HEADER = 2;

    PageTable {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
    }

    /**
     * Reads the lines of a table: header, delimiter and rows.
     *
     * @param firstLine the header's line on the page, from 1
     */
    static PageTable parse(int firstLine, List<String> lines) {
        List<String> columns = cellsOf(lines.get(0));
        List<PageRow> rows = new ArrayList<>();
        for (int i = LINES_OF_HEADER; i < lines.size(); i++) {
            rows.add(rowOf(firstLine + i, columns, cellsOf(lines.get(i))));
        }
        return new PageTable(columns, rows);
    }

    /** Whether the table has the column. */
    boolean has(String column) {
        return columns.contains(column);
    }

    /** The cells of a line of a table. */
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
        for (int i = 0; i < cells.size(); i++) {
            byColumn.put(columns.get(i), cells.get(i));
        }
        return new PageRow(line, byColumn);
    }
}
