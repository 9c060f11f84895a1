package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * CSV files of measurements. Guards against files that do not read back as written, and against malformed files, such as
 * hand-edited ones, that are accepted or whose error names no file and line.
 */
class CapacityCsvTest {

    private static final List<String> GOOD = List.of("# sh bench/x.sh", "kind,size,cost", "a,1,10", "a,2,20", "a,3,30");

    @Test
    void aWrittenFileReadsBackTheSame(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("capacity").resolve("x.csv");
        CapacityCsv.parse("x.csv", GOOD).write(file);
        CapacityCsv read = CapacityCsv.read(file);
        assertEquals("sh bench/x.sh", read.command());
        assertEquals(List.of("kind", "size", "cost"), read.columns());
        assertEquals(List.of("a", "a", "a"), read.column("kind"));
        assertArrayEquals(new double[] {10, 20, 30}, read.numbers("cost"));
    }

    @Test
    void aColumnIsFittedOverTheRowsOfOneKind() {
        List<String> lines = List.of("# c", "kind,size,cost", "a,1,10", "b,1,99", "a,2,20", "a,3,30");
        LinearFit fit = CapacityCsv.parse("x.csv", lines).where("kind", "a").fit("size", "cost");
        assertEquals(10, fit.slope(), 1e-9);
        assertEquals(3, fit.points());
    }

    @Test
    void errorsOfMalformedFilesNameFileAndLine() {
        assertRefused("x.csv, line 1: ", List.of());
        assertRefused("x.csv, line 1: ", List.of("kind,size", "a,1"));
        assertRefused("x.csv, line 1: ", List.of("#  ", "kind,size", "a,1"));
        assertRefused("x.csv, line 2: ", List.of("# c"));
        assertRefused("x.csv, line 2: ", List.of("# c", "size,size", "1,1"));
        assertRefused("x.csv, line 2: ", List.of("# c", "size,,cost"));
        assertRefused("x.csv, line 4: ", List.of("# c", "kind,size", "a,1", "a,1,2"));
        assertRefused("x.csv, line 4: ", List.of("# c", "kind,size", "a,1", "a"));
        assertRefused("x.csv, line 3: ", List.of("# c", "kind,size", "a,"));
        assertRefused("x.csv, line 4: ", List.of("# c", "kind,size", "a,1", ""));
    }

    @Test
    void theErrorOfACellThatIsNoNumberNamesLineAndColumn() {
        CapacityCsv table = CapacityCsv.parse("x.csv", List.of("# c", "kind,size", "a,1", "a,many", "a,NaN"));
        IllegalArgumentException refusal = assertThrows(IllegalArgumentException.class, () -> table.numbers("size"));
        assertEquals("x.csv, line 4: size: expected a number, got \"many\"", refusal.getMessage());
        IllegalArgumentException filtered = assertThrows(
                IllegalArgumentException.class, () -> table.where("size", "NaN").numbers("size"));
        assertEquals("x.csv, line 5: size: expected a number, got \"NaN\"", filtered.getMessage());
        IllegalArgumentException missing = assertThrows(IllegalArgumentException.class, () -> table.numbers("cost"));
        assertEquals("x.csv, line 2: no column \"cost\" among [kind, size]", missing.getMessage());
    }

    @Test
    void aCellThatWouldBreakTheFileIsRefused() {
        List<String> columns = List.of("size");
        assertThrows(
                IllegalArgumentException.class, () -> CapacityCsv.of("x.csv", "c", columns, List.of(List.of("1,2"))));
        assertThrows(
                IllegalArgumentException.class, () -> CapacityCsv.of("x.csv", "c\nd", columns, List.of(List.of("1"))));
    }

    private static void assertRefused(String start, List<String> lines) {
        String message = assertThrows(IllegalArgumentException.class, () -> CapacityCsv.parse("x.csv", lines))
                .getMessage();
        assertEquals(start, message.substring(0, Math.min(start.length(), message.length())));
    }
}
