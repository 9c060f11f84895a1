package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;

/**
 * Prints all computed rows of the capacity page and its faults. With {@code --write}, first writes the computed cells and
 * figures to the page and sorts its ranking.
 */
public final class CapacityPageWriter {
    static final Path PAGE = Path.of("docs/CAPACITY.md");
    static final Path MEASUREMENTS = Path.of("docs/capacity");
    private static final String WRITE = "--write";

    private CapacityPageWriter() {}

    /** Runs in the project's directory; the only option is {@code --write}. */
    public static void main(String[] arguments) throws IOException {
        String text = Files.readString(PAGE);
        CapacityPage page = CapacityPage.parse(text);
        CapacityModel model = new CapacityModel(page, MEASUREMENTS);
        print(page, model);
        if (List.of(arguments).contains(WRITE)) {
            Files.writeString(PAGE, rewritten(page, model));
        }
        CapacityPageCheck.faultsOf(Files.readString(PAGE), Path.of("."), MEASUREMENTS)
                .forEach(System.out::println);
    }

    private static void print(CapacityPage page, CapacityModel model) {
        CapacityCells cells = new CapacityCells(model);
        for (CapacityRow row : page.rows().values()) {
            Map<String, CapacityCells.Cell> computed = cells.of(row);
            if (!computed.isEmpty()) {
                StringBuilder line = new StringBuilder(row.id());
                computed.forEach((column, cell) ->
                        line.append("  ").append(column).append('=').append(cell.text()));
                System.out.println(line);
            }
        }
    }

    /** The page's text with the computed cells and figures replaced, and the ranking sorted. */
    static String rewritten(CapacityPage page, CapacityModel model) {
        String[] lines = ProseFigure.FORM
                .matcher(page.prose())
                .replaceAll(found -> Matcher.quoteReplacement(figure(page, model, found)))
                .split("\n", -1);
        for (int line = 0; line < lines.length; line++) {
            if (page.proseLines().get(line).isEmpty()) {
                lines[line] = page.lines().get(line);
            }
        }
        for (PageTable table : page.tables()) {
            writeRows(table, page, model, lines);
        }
        return CapacityPage.join(lines);
    }

    /** Replaces the lines of a table's rows; sorts those of the ranking and numbers them from 1. */
    private static void writeRows(PageTable table, CapacityPage page, CapacityModel model, String[] lines) {
        List<PageRow> rows = new ArrayList<>(table.rows());
        boolean ranking = table.has(CapacityRows.RANK);
        if (ranking) {
            rows.sort(Comparator.comparingDouble((PageRow ranked) -> -shortfall(ranked, page, model)));
        }
        int first = table.rows().isEmpty() ? 0 : table.rows().get(0).line() - 1;
        for (int row = 0; row < rows.size(); row++) {
            String rank = ranking ? Integer.toString(row + 1) : "";
            lines[first + row] = line(table, rows.get(row), rank, page, model);
        }
    }

    private static double shortfall(PageRow row, CapacityPage page, CapacityModel model) {
        return model.shortfallOf((CapacityRow.Ranked) page.rows().get(row.code(CapacityRows.ID)));
    }

    private static String figure(CapacityPage page, CapacityModel model, MatchResult found) {
        CapacityRow row = page.rows().get(found.group(3));
        if (row == null) {
            return found.group();
        }
        OptionalDouble value = model.resolve(row).value();
        String text = value.isPresent() ? Figure.format(value.getAsDouble()) : Figure.NOT_MEASURED;
        boolean agrees = value.isPresent() && Figure.agrees(found.group(1), value.getAsDouble());
        return (agrees ? found.group(1) : text) + found.group(2) + found.group(3) + found.group(4);
    }

    private static String line(PageTable table, PageRow row, String rank, CapacityPage page, CapacityModel model) {
        Map<String, CapacityCells.Cell> computed =
                new CapacityCells(model).of(page.rows().get(row.code(CapacityRows.ID)));
        List<String> cells = new ArrayList<>();
        for (String column : table.columns()) {
            CapacityCells.Cell cell = computed.get(column);
            if (column.equals(CapacityRows.RANK)) {
                cells.add(rank);
                continue;
            }
            cells.add(cell == null || cell.agrees(row.text(column)) ? row.text(column) : cell.text());
        }
        return "| " + String.join(" | ", cells) + " |";
    }
}
