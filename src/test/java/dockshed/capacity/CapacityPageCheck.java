package dockshed.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/** Checks the capacity page against its files of measurements; each disagreement is a fault that names the row. */
final class CapacityPageCheck {
    private final CapacityPage page;
    private final Path root;
    private final CapacityModel model;
    private final CapacityCells cells;
    private final List<String> faults = new ArrayList<>();

    private CapacityPageCheck(CapacityPage page, Path root, Path measurements) {
        this.page = page;
        this.root = root;
        this.model = new CapacityModel(page, measurements);
        this.cells = new CapacityCells(model);
    }

    /**
     * Checks a page.
     *
     * @param text the page's Markdown
     * @param root the directory that the file names of constants are relative to
     * @param measurements the directory of the files of measurements
     * @return the faults, one text each; empty if the page agrees
     */
    static List<String> faultsOf(String text, Path root, Path measurements) {
        try {
            return new CapacityPageCheck(CapacityPage.parse(text), root, measurements).run();
        } catch (PageFaultException unreadable) {
            return List.of(unreadable.getMessage());
        }
    }

    private List<String> run() {
        for (PageTable table : page.tables()) {
            for (PageRow row : table.rows()) {
                collect(() -> checkCells(table, row));
            }
        }
        page.rows(CapacityRow.Measured.class).forEach(row -> collect(() -> checkCommand(row)));
        page.rows(CapacityRow.Constant.class).forEach(row -> collect(() -> checkConstant(row)));
        collect(this::checkRanking);
        for (ProseFigure figure : ProseFigure.in(page.prose())) {
            collect(() -> checkProse(figure));
        }
        faults.addAll(ProseFigure.faultsOfBareFigures(page.prose()));
        return faults;
    }

    /** Runs one check and keeps the fault that it throws, so that the other checks still run. */
    private void collect(Runnable check) {
        try {
            check.run();
        } catch (PageFaultException fault) {
            faults.add(fault.getMessage());
        }
    }

    private void checkCells(PageTable table, PageRow written) {
        CapacityRow row = page.rows().get(written.code(CapacityRows.ID));
        model.resolve(row);
        for (Map.Entry<String, CapacityCells.Cell> cell : cells.of(row).entrySet()) {
            String column = cell.getKey();
            if (!table.has(column)) {
                throw PageFaultException.of(row, "the table has no column \"" + column + "\"");
            }
            if (!cell.getValue().agrees(written.text(column))) {
                faults.add(PageFaultException.describe(
                        row,
                        column + ": the page says \"" + written.text(column) + "\", computed is \""
                                + cell.getValue().text() + "\""));
            }
        }
    }

    private void checkCommand(CapacityRow.Measured row) {
        if (Files.exists(model.fileOf(row))) {
            String actual = model.read(row).command();
            if (!actual.contains(row.command())) {
                throw PageFaultException.of(
                        row, row.file() + " was made by \"" + actual + "\", not by \"" + row.command() + "\"");
            }
        }
    }

    private void checkConstant(CapacityRow.Constant row) {
        Path file = root.resolve(row.file());
        if (!Files.exists(file) || !contentOf(file).contains(row.literal())) {
            throw PageFaultException.of(row, row.file() + " does not hold \"" + row.literal() + "\"");
        }
    }

    private static String contentOf(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Checks the ranking's order: needs without mechanism, then by shortfall, largest first, then those not measured. */
    private void checkRanking() {
        double previous = Double.POSITIVE_INFINITY;
        int rank = 0;
        for (CapacityRow.Ranked row : page.rows(CapacityRow.Ranked.class)) {
            rank++;
            if (row.rank() != rank) {
                throw PageFaultException.of(row, "rank " + row.rank() + " stands at place " + rank);
            }
            double shortfall = model.shortfallOf(row);
            if (shortfall > previous) {
                throw PageFaultException.of(
                        row, "misses by " + Figure.format(shortfall) + ", more than the row before");
            }
            previous = shortfall;
        }
    }

    private void checkProse(ProseFigure figure) {
        CapacityRow row = page.rows().get(figure.id());
        if (row == null) {
            throw new PageFaultException("line " + figure.line() + ": no row has the id `" + figure.id() + "`");
        }
        OptionalDouble value = model.resolve(row).value();
        boolean agrees = value.isPresent()
                ? Figure.agrees(figure.text(), value.getAsDouble())
                : figure.text().equals(Figure.NOT_MEASURED);
        if (!agrees) {
            String computed = value.isPresent() ? Figure.format(value.getAsDouble()) : Figure.NOT_MEASURED;
            throw new PageFaultException("line " + figure.line() + ": the text says \"" + figure.text() + "\" for `"
                    + figure.id() + "`, computed is \"" + computed + "\"");
        }
    }
}
