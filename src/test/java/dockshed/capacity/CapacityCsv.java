package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * A CSV file of measurements: a first line of {@code # } and the command that wrote the file, a header of column names,
 * and rows of cells. There is no quoting: a cell contains neither commas nor line ends, and is not blank.
 *
 * @param name the file's name, used in error messages
 * @param command the command that wrote the file
 * @param columns the column names, all different
 * @param rows the rows, each with one cell for each column
 */
public record CapacityCsv(String name, String command, List<String> columns, List<Row> rows) {

    /**
     * One row.
     *
     * @param line the row's line in the file, from 1
     * @param cells the cells, one for each column
     */
    public record Row(int line, List<String> cells) {
        /** Copies the cells. */
        public Row {
            cells = List.copyOf(cells);
        }
    }

    /** Guards against reading a file that is not a table of measurements. */
    public static final int MAX_ROWS = 10_000;

    private static final String COMMENT = "# ";
    private static final String SEPARATOR = ",";
    private static final int LINES_BEFORE_ROWS = 2;

    /**
     * Checks the table and copies its lists.
     *
     * @throws IllegalArgumentException if the table is malformed; the message names file and line
     */
    public CapacityCsv {
        requireCommand(name, command);
        requireColumns(name, columns);
        if (rows.size() > MAX_ROWS) {
            throw new IllegalArgumentException(name + ": expected at most " + MAX_ROWS + " rows, got " + rows.size());
        }
        for (Row row : rows) {
            requireRow(name, columns, row);
        }
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
    }

    /** Makes a table that is not yet written to a file; the rows get the lines that they will have there. */
    public static CapacityCsv of(String name, String command, List<String> columns, List<List<String>> cells) {
        return new CapacityCsv(name, command, columns, numbered(cells));
    }

    /**
     * Reads a file.
     *
     * @throws IllegalArgumentException if the file is malformed; the message names file and line
     */
    public static CapacityCsv read(Path file) throws IOException {
        return parse(file.toString(), Files.readAllLines(file));
    }

    /**
     * Reads the lines of a file.
     *
     * @throws IllegalArgumentException if the lines are malformed; the message names file and line
     */
    public static CapacityCsv parse(String name, List<String> lines) {
        if (lines.isEmpty() || !lines.get(0).startsWith(COMMENT)) {
            throw malformed(name, 1, "expected \"# \" and the command that wrote the file");
        }
        if (lines.size() < LINES_BEFORE_ROWS) {
            throw malformed(name, LINES_BEFORE_ROWS, "expected a header of column names");
        }
        List<List<String>> rows = new ArrayList<>();
        for (String line : lines.subList(LINES_BEFORE_ROWS, lines.size())) {
            rows.add(cellsOf(line));
        }
        return of(name, lines.get(0).substring(COMMENT.length()), cellsOf(lines.get(1)), rows);
    }

    /** Writes the table, replacing the file if it exists; creates its directory if needed. */
    public void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(COMMENT + command);
        lines.add(String.join(SEPARATOR, columns));
        for (Row row : rows) {
            lines.add(String.join(SEPARATOR, row.cells()));
        }
        if (file.getParent() != null) {
            Files.createDirectories(file.getParent());
        }
        Files.write(file, lines);
    }

    /**
     * The cells of a column as text.
     *
     * @throws IllegalArgumentException if there is no such column
     */
    public List<String> column(String column) {
        int index = indexOf(column);
        return rows.stream().map(row -> row.cells().get(index)).toList();
    }

    /**
     * The cells of a column as numbers.
     *
     * @throws IllegalArgumentException if there is no such column or a cell is not a finite number; the
     *     message names file and line
     */
    public double[] numbers(String column) {
        int index = indexOf(column);
        double[] numbers = new double[rows.size()];
        for (int row = 0; row < numbers.length; row++) {
            numbers[row] = numberOf(rows.get(row), column, index);
        }
        return numbers;
    }

    /** A table of the rows whose cell in the column equals the value; they keep their line numbers. */
    public CapacityCsv where(String column, String value) {
        int index = indexOf(column);
        List<Row> kept = rows.stream()
                .filter(row -> row.cells().get(index).equals(value))
                .toList();
        return new CapacityCsv(name, command, columns, kept);
    }

    /** A table of the rows whose cell in the column differs from the value; they keep their line numbers. */
    public CapacityCsv whereNot(String column, String value) {
        int index = indexOf(column);
        List<Row> kept = rows.stream()
                .filter(row -> !row.cells().get(index).equals(value))
                .toList();
        return new CapacityCsv(name, command, columns, kept);
    }

    /** Fits a line to two columns of numbers. */
    public LinearFit fit(String xColumn, String yColumn) {
        return LinearFit.of(numbers(xColumn), numbers(yColumn));
    }

    private int indexOf(String column) {
        int index = columns.indexOf(column);
        if (index < 0) {
            throw malformed(name, LINES_BEFORE_ROWS, "no column \"" + column + "\" among " + columns);
        }
        return index;
    }

    private double numberOf(Row row, String column, int index) {
        String cell = row.cells().get(index);
        double number;
        try {
            number = Double.parseDouble(cell);
        } catch (NumberFormatException notANumber) {
            number = Double.NaN;
        }
        if (!Double.isFinite(number)) {
            throw malformed(name, row.line(), column + ": expected a number, got \"" + cell + "\"");
        }
        return number;
    }

    private static void requireCommand(String name, String command) {
        if (command.isBlank() || hasLineEnd(command)) {
            throw malformed(name, 1, "expected the command that wrote the file, on one line");
        }
    }

    private static void requireColumns(String name, List<String> columns) {
        if (new LinkedHashSet<>(columns).size() != columns.size()) {
            throw malformed(name, LINES_BEFORE_ROWS, "expected different column names, got " + columns);
        }
        for (String column : columns) {
            requireCell(name, LINES_BEFORE_ROWS, column);
        }
    }

    private static void requireRow(String name, List<String> columns, Row row) {
        if (row.cells().size() != columns.size()) {
            throw malformed(
                    name,
                    row.line(),
                    "expected " + columns.size() + " cells, got " + row.cells().size());
        }
        for (String cell : row.cells()) {
            requireCell(name, row.line(), cell);
        }
    }

    /** Numbers the rows by the lines that they will have in the file. */
    private static List<Row> numbered(List<List<String>> cells) {
        List<Row> rows = new ArrayList<>();
        for (List<String> row : cells) {
            rows.add(new Row(LINES_BEFORE_ROWS + rows.size() + 1, row));
        }
        return rows;
    }

    private static void requireCell(String name, int line, String cell) {
        if (cell.isBlank()) {
            throw malformed(name, line, "a cell is empty");
        }
        if (cell.contains(SEPARATOR) || hasLineEnd(cell)) {
            throw malformed(name, line, "expected a cell without comma and line end, got \"" + cell + "\"");
        }
    }

    private static boolean hasLineEnd(String text) {
        return text.indexOf('\n') >= 0 || text.indexOf('\r') >= 0;
    }

    private static List<String> cellsOf(String line) {
        return List.of(line.split(SEPARATOR, -1));
    }

    private static IllegalArgumentException malformed(String name, int line, String message) {
        return new IllegalArgumentException(name + ", line " + line + ": " + message);
    }
}
