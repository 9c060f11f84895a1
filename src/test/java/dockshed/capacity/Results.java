package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Collects the rows of a benchmark's CSV file, with {@code --append} those of earlier runs too; column one is the run. */
final class Results {

    private static final Path DIRECTORY = Path.of("docs/capacity");

    private final String name;
    private final String command;
    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();
    private final int run;
    private final boolean writes;

    /** Results in {@code docs/capacity}. */
    Results(String name, String command, Arguments arguments, List<String> columns) throws IOException {
        this(DIRECTORY, name, command, arguments, columns);
    }

    /**
     * Reads the rows of earlier runs if they are kept.
     *
     * @throws IllegalArgumentException if the file is malformed or has other columns
     */
    Results(Path directory, String name, String command, Arguments arguments, List<String> columns) throws IOException {
        this.name = directory.resolve(name).toString();
        this.command = command;
        this.columns = columns;
        writes = !arguments.quick();
        if (arguments.append() && Files.exists(Path.of(this.name))) {
            addEarlierRuns(CapacityCsv.read(Path.of(this.name)));
        }
        run = lastRun() + 1;
    }

    private void addEarlierRuns(CapacityCsv earlier) {
        if (!earlier.columns().equals(columns)) {
            throw new IllegalArgumentException(name + ", line 2: expected the columns " + columns);
        }
        earlier.rows().forEach(row -> rows.add(row.cells()));
    }

    private int lastRun() {
        int last = 0;
        for (List<String> row : rows) {
            last = Math.max(last, Integer.parseInt(row.get(0)));
        }
        return last;
    }

    /** The number of this run, from 1. */
    int run() {
        return run;
    }

    /** Adds a row of this run and prints it. */
    void add(Object... cells) {
        List<String> row = new ArrayList<>();
        row.add(Integer.toString(run));
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        System.out.println(String.join(",", row));
    }

    /** Prints the file's name and the column names. */
    void header() {
        System.out.println(name + ": " + String.join(",", columns));
    }

    /** All rows so far, those of earlier runs included. */
    CapacityCsv table() {
        return CapacityCsv.of(name, command, columns, rows);
    }

    /** Writes the file; nothing in a quick run. */
    void write() throws IOException {
        if (writes) {
            table().write(Path.of(name));
        }
    }
}
