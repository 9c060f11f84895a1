package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a misread text of the kernel: a command with parentheses that shifts the fields of {@code stat}, or a text
 * that is cut off, as when the process ends while it is read.
 */
class ProcessFiguresTest {

    private static final String STAT =
            "4711 (a b) c) S 1 4711 4711 0 -1 4194304 99 0 0 0 250 125 7 8 20 0 12 0 1 2 3 18446744073709551615";

    @Test
    void cpuTimeIsUserAndSystemTicksAfterACommandWithParentheses() {
        assertEquals(3.75, ProcessFigures.processorSeconds(STAT), 1e-9);
    }

    @Test
    void aTruncatedTextIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> ProcessFigures.processorSeconds(""));
        assertThrows(IllegalArgumentException.class, () -> ProcessFigures.processorSeconds("4711 (java) S 1 4711"));
    }

    @Test
    void memoryIsFoundByItsKey() {
        List<String> status = List.of("Name:\tjava", "VmHWM:\t   90000 kB", "VmRSS:\t   65432 kB");
        assertEquals(65_432, ProcessFigures.kilobytes(status, "VmRSS"));
        assertEquals(90_000, ProcessFigures.kilobytes(status, "VmHWM"));
        assertThrows(IllegalArgumentException.class, () -> ProcessFigures.kilobytes(status, "VmSwap"));
    }
}
