package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a benchmark that starts the broker with another command than the platform's: a misread deploy file, or a
 * variant that changes more than it should.
 */
class RunLineTest {

    private static final RunLine LINE =
            RunLine.parse("x.toml", List.of("build = \"b\"", "run = \"exec java -Xmx64m -jar x.jar serve\"   # why"));

    @Test
    void theRunKeyIsReadWithoutItsShellWord() {
        assertEquals(List.of("java", "-Xmx64m", "-jar", "x.jar", "serve"), LINE.words());
    }

    @Test
    void variantsChangeOnlyWhatTheyName() {
        assertEquals(
                List.of("java", "-Xmx1g", "-jar", "x.jar", "serve"),
                LINE.with("-Xmx", "1g").words());
        assertEquals(
                List.of("taskset", "-c", "3", "java", "-Xmx64m", "-jar", "x.jar", "serve"),
                LINE.onCore(3).words());
        assertEquals(
                List.of("java", "-Xmx64m", "-jar", "x.jar", "serve", "--hls", "f"),
                LINE.plus("--hls", "f").words());
        assertEquals(
                List.of("java", "-Da=b", "-Xmx64m", "-jar", "x.jar", "serve"),
                LINE.plusOption("-Da=b").words());
    }

    @Test
    void errorsNameWhatIsMissing() {
        assertThrows(IllegalArgumentException.class, () -> LINE.with("-Xss", "1m"));
        IllegalArgumentException missing =
                assertThrows(IllegalArgumentException.class, () -> RunLine.parse("x.toml", List.of("build = \"b\"")));
        assertEquals("x.toml: key 'run' is missing", missing.getMessage());
        IllegalArgumentException open = assertThrows(
                IllegalArgumentException.class, () -> RunLine.parse("x.toml", List.of("", "run = \"exec java")));
        assertEquals("x.toml, line 2: key 'run' has no closing quote", open.getMessage());
    }

    /** The deploy file has the options that the benchmarks replace. */
    @Test
    void theDeployFileHasTheOptionsThatBenchmarksReplace() throws IOException {
        RunLine line = MeasuredBroker.runLine();
        assertEquals("java", line.words().get(0));
        assertTrue(line.words().contains("-Xmx1g"));
        assertEquals(
                RunLine.read(Path.of("deploy/balancer.toml")).words().size(),
                line.words().size());
    }
}
