package dockshed.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.commonmark.node.AbstractVisitor;
import org.commonmark.node.FencedCodeBlock;
import org.commonmark.parser.IncludeSourceSpans;
import org.commonmark.parser.Parser;
import org.junit.jupiter.api.Test;

/**
 * The fenced examples of the documentation: operators' files are read by the program's own parser, and the fields of
 * log lines have to exist in the source of the class named.
 */
class DocExamplesTest {
    private record Example(Path page, int line, String kind, String text) {
        @Override
        public String toString() {
            return page + ":" + line;
        }
    }

    private static List<Example> examples() throws IOException {
        List<Example> out = new ArrayList<>();
        List<Path> pages = new ArrayList<>(List.of(Path.of("README.md")));
        for (String dir : List.of("docs/ops", "docs/design")) {
            try (Stream<Path> files = Files.list(Path.of(dir))) {
                files.sorted().forEach(pages::add);
            }
        }
        Parser parser =
                Parser.builder().includeSourceSpans(IncludeSourceSpans.BLOCKS).build();
        for (Path page : pages) {
            parser.parse(Files.readString(page)).accept(new AbstractVisitor() {
                @Override
                public void visit(FencedCodeBlock b) {
                    out.add(new Example(
                            page, b.getSourceSpans().get(0).getLineIndex() + 1, b.getInfo(), b.getLiteral()));
                }
            });
        }
        return out;
    }

    @Test
    void everyFencedExampleIsOfAKindThatIsChecked() throws IOException {
        for (Example example : examples()) {
            assertTrue(
                    Set.of("conf", "log").contains(example.kind()),
                    example + ": nothing checks a block of kind '" + example.kind() + "'");
        }
    }

    @Test
    void everyOperatorsFileIsReadWithoutErrors() throws IOException {
        int seen = 0;
        for (Example example : examples()) {
            if (example.kind().equals("conf")) {
                // Read with the line numbers of the page, so that an error names its place there.
                OperatorConfig.read(
                        ConfFile.read(example.page().toString(), "\n".repeat(example.line()) + example.text()));
                seen++;
            }
        }
        assertTrue(seen >= 2);
    }

    @Test
    void everyFieldOfALogLineIsWrittenByTheNamedClass() throws IOException {
        Pattern line = Pattern.compile("(?:INFO|WARN|ERROR|DEBUG) (\\w+) - (.*)");
        Pattern field = Pattern.compile("(\\w+)=");
        List<String> missing = new ArrayList<>();
        for (Example example : examples()) {
            if (!example.kind().equals("log")) {
                continue;
            }
            for (String text : example.text().strip().split("\n")) {
                Matcher logLine = line.matcher(text);
                assertTrue(logLine.matches(), example + ": no log line: " + text);
                String source = source(logLine.group(1));
                Matcher fieldMatcher = field.matcher(logLine.group(2));
                while (fieldMatcher.find()) {
                    if (!source.contains("\"" + fieldMatcher.group(1) + "\"")
                            && !source.contains(fieldMatcher.group(1) + "={}")) {
                        missing.add(example + ": " + logLine.group(1) + " writes no " + fieldMatcher.group(1));
                    }
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    private static String source(String name) throws IOException {
        try (Stream<Path> all = Files.walk(Path.of("src/main/java"))) {
            Path file = all.filter(p -> p.endsWith(name + ".java")).findFirst().orElseThrow();
            return Files.readString(file);
        }
    }

    @Test
    void theTableOfDirectivesHasTheDefaults() throws IOException {
        OperatorConfig deployed = OperatorConfig.load("deploy/dockshed.conf");
        assertEquals(dockshed.fleet.FleetSettings.DEFAULTS, deployed.fleet());
        String page = Files.readString(Path.of("docs/ops/fleet.md"));
        Matcher row = Pattern.compile("\\| `(\\w+)` \\| [^|]+ \\| ([^| ]+) \\|").matcher(page);
        StringBuilder conf = new StringBuilder("fleet {\n");
        int rows = 0;
        while (row.find()) {
            conf.append(row.group(1)).append(' ').append(row.group(2)).append('\n');
            rows++;
        }
        assertEquals(7, rows, "directives in the table");
        assertEquals(
                dockshed.fleet.FleetSettings.DEFAULTS,
                OperatorConfig.read(ConfFile.read("docs/ops/fleet.md", conf + "}\n"))
                        .fleet());
    }
}
