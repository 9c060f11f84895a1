package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a benchmark that loses the rows of earlier runs, gives two runs the same number, overwrites the file in a
 * quick run, or ignores a mistyped option.
 */
class ResultsTest {

    private static final List<String> COLUMNS = List.of("run", "size", "cost");

    @TempDir
    Path directory;

    private Results results(String... options) throws IOException {
        return new Results(directory, "x.csv", "sh bench/x.sh", Arguments.of(options), COLUMNS);
    }

    private CapacityCsv written() throws IOException {
        return CapacityCsv.read(directory.resolve("x.csv"));
    }

    @Test
    void aRunReplacesTheFileAndAnAppendedOneIsTheNextRun() throws IOException {
        Results first = results();
        first.add(10, 1.5);
        first.write();
        Results second = results("--append");
        second.add(20, 2.5);
        second.write();
        assertEquals(List.of("1", "2"), written().column("run"));
        assertEquals(List.of("1.5", "2.5"), written().column("cost"));
        Results replacing = results();
        replacing.add(30, 3.5);
        replacing.write();
        assertEquals(List.of("1"), written().column("run"));
        assertEquals(List.of("30"), written().column("size"));
    }

    @Test
    void aQuickRunWritesNothing() throws IOException {
        Results quick = results("--quick");
        quick.add(10, 1.5);
        quick.write();
        assertFalse(Files.exists(directory.resolve("x.csv")));
    }

    @Test
    void rowsAreNotAddedToAFileWithOtherColumns() throws IOException {
        Files.write(directory.resolve("x.csv"), List.of("# c", "run,other", "1,2"));
        assertThrows(IllegalArgumentException.class, () -> results("--append"));
    }

    @Test
    void anUnknownOptionIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Arguments.of("--fast"));
    }
}
