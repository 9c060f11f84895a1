package dockshed.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.commonmark.ext.gfm.tables.TableBlock;
import org.commonmark.ext.gfm.tables.TablesExtension;
import org.commonmark.node.AbstractVisitor;
import org.commonmark.node.CustomBlock;
import org.commonmark.node.FencedCodeBlock;
import org.commonmark.node.Heading;
import org.commonmark.node.IndentedCodeBlock;
import org.commonmark.node.Node;
import org.commonmark.node.SourceSpan;
import org.commonmark.parser.IncludeSourceSpans;
import org.commonmark.parser.Parser;

/**
 * The parsed capacity page: its lines, the table rows that have ids, and the prose.
 *
 * @param lines the page's lines
 * @param tables the tables whose rows have ids
 * @param rows the rows of these tables by id, in the page's order
 * @param proseLines the page's lines, with those in such tables, code blocks and headings replaced by empty ones
 */
record CapacityPage(
        List<String> lines, List<PageTable> tables, Map<String, CapacityRow> rows, List<String> proseLines) {

    /**
     * Parses the page's Markdown.
     *
     * @throws PageFaultException if a row with an id is malformed or its id is used twice
     */
    static CapacityPage parse(String text) {
        List<String> lines = List.of(text.split("\n", -1));
        String[] prose = lines.toArray(String[]::new);
        List<PageTable> tables = new ArrayList<>();
        parser().parse(text).accept(new AbstractVisitor() {
            @Override
            public void visit(CustomBlock block) {
                if (block instanceof TableBlock) {
                    int first = firstLine(block);
                    PageTable table = PageTable.parse(
                            first + 1,
                            lines.subList(first, first + block.getSourceSpans().size()));
                    if (CapacityRows.hasIds(table)) {
                        tables.add(table);
                        blank(prose, block);
                    }
                }
            }

            @Override
            public void visit(FencedCodeBlock block) {
                blank(prose, block);
            }

            @Override
            public void visit(IndentedCodeBlock block) {
                blank(prose, block);
            }

            @Override
            public void visit(Heading heading) {
                blank(prose, heading);
            }
        });
        return new CapacityPage(lines, tables, rowsOf(tables), List.of(prose));
    }

    private static Parser parser() {
        return Parser.builder()
                .extensions(List.of(TablesExtension.create()))
                .includeSourceSpans(IncludeSourceSpans.BLOCKS)
                .build();
    }

    private static Map<String, CapacityRow> rowsOf(List<PageTable> tables) {
        Map<String, CapacityRow> rows = new LinkedHashMap<>();
        for (PageTable table : tables) {
            for (CapacityRow row : CapacityRows.of(table)) {
                CapacityRow other = rows.putIfAbsent(row.id(), row);
                if (other != null) {
                    throw PageFaultException.of(row, "the id is there already, on line " + other.line());
                }
            }
        }
        return rows;
    }

    private static int firstLine(Node block) {
        return block.getSourceSpans().get(0).getLineIndex();
    }

    private static void blank(String[] lines, Node block) {
        for (SourceSpan span : block.getSourceSpans()) {
            lines[span.getLineIndex()] = "";
        }
    }

    /** The rows of one kind, in the page's order. */
    <T extends CapacityRow> List<T> rows(Class<T> kind) {
        return rows.values().stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The prose as one text, with the page's line numbers. */
    String prose() {
        return String.join("\n", proseLines);
    }

    /** Joins a changed copy of the page's lines to its text. */
    static String join(String[] lines) {
        return String.join("\n", Arrays.asList(lines));
    }
}
