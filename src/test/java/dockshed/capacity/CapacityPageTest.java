package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The capacity page agrees with its targets and measurements. Guards against a page that was edited by hand, or not updated
 * after a new measurement, a changed target or a changed constant; on a small page, each kind of disagreement is a fault.
 */
class CapacityPageTest {
    /** The target size set by the operators; to change it is to change the load that the design has to carry. */
    private static final Map<String, String> OPERATORS_TARGETS = Map.ofEntries(
            Map.entry("brokers", "510"),
            Map.entry("connections", "21,000,000"),
            Map.entry("shards", "58,000"),
            Map.entry("largest_topic", "440,000"),
            Map.entry("deliveries", "16,000,000"),
            Map.entry("delivery_time", "200"),
            Map.entry("regions", "2"),
            Map.entry("zones", "7"),
            Map.entry("changes", "460"),
            Map.entry("change_time", "17"),
            Map.entry("control_processor", "2.8"),
            Map.entry("control_memory", "32"),
            Map.entry("control_network", "28"),
            Map.entry("control_machines", "8"),
            Map.entry("restarts", "62"),
            Map.entry("failed_machines", "2"),
            Map.entry("zone_reconnects", "3,000,000"),
            Map.entry("cut_time", "1"),
            Map.entry("own_zone_age", "2"),
            Map.entry("other_zone_age", "5"));

    private static final String SMALL_PAGE = """
            # A small page

            | id | target | unit | what |
            | --- | --- | --- | --- |
            | brokers | 510 | brokers | the fleet |
            | connections | 21,000,000 | connections | of viewers |
            | memory | 160 | MB | a broker's heap |

            | id | constant | unit | what | source |
            | --- | --- | --- | --- | --- |
            | bound | 24 | entries | of one owner | `Bounds.java`: `MOST = 24` |

            | id | guess | unit | reason |
            | --- | --- | --- | --- |
            | rack | 20 | brokers | a usual rack |

            | id | what | measure | file | value | ± | r² | unit | command |
            | --- | --- | --- | --- | --- | --- | --- | --- | --- |
            | heap | one more connection | `slope of heap by open where state=idle` | `heap.csv` | 3,000 | 0 | 1.00 | bytes | `sh bench/heap.sh` |
            | pace | deliveries | `mean of pace` | `pace.csv` | not measured | - | - | a second | `sh bench/pace.sh` |

            | id | what | formula | value | ± | unit | budget | remains | basis |
            | --- | --- | --- | --- | --- | --- | --- | --- | --- |
            | each | connections of a broker | `connections / brokers` | 41,200 | - | connections | - | - | worked out |
            | all_heap | their heap | `each * heap / 1e6` | 124 | 0 | MB | memory | 1.3 | worked out |
            | rack_heap | of a rack | `rack * all_heap` | 2,470 | 0 | MB | - | - | on a guess |
            | most_pace | deliveries of all | `pace * brokers` | not measured | - | a second | - | - | worked out |

            | rank | id | mechanism | formula | value | basis |
            | --- | --- | --- | --- | --- | --- |
            | 1 | none_yet | configuration | `none` | no mechanism | - |
            | 2 | heap_miss | heap | `all_heap / memory` | 0.772 | worked out |
            | 3 | pace_miss | pace | `1 / pace` | not measured | worked out |

            A broker holds 41,200 connections (`each`) in 124 MB (`all_heap`); its pace is not measured (`pace`).
            """;

    @TempDir
    private Path directory;

    @BeforeEach
    void writeTheSmallPagesSources() throws IOException {
        Files.writeString(directory.resolve("Bounds.java"), "static final int MOST = 24;\n");
        writeHeap(
                "# sh bench/heap.sh", "state,open,heap", "idle,1000,3000500", "idle,2000,6000500", "idle,3000,9000500");
    }

    @Test
    void thePageAgreesWithItsTargetsAndMeasurements() throws IOException {
        List<String> faults = CapacityPageCheck.faultsOf(
                Files.readString(CapacityPageWriter.PAGE), Path.of("."), CapacityPageWriter.MEASUREMENTS);
        assertEquals("", String.join("\n", faults));
    }

    @Test
    void thePagesTargetsAreThoseOfTheOperators() throws IOException {
        CapacityPage page = CapacityPage.parse(Files.readString(CapacityPageWriter.PAGE));
        Map<String, String> targets = new LinkedHashMap<>();
        page.rows(CapacityRow.Target.class).forEach(target -> targets.put(target.id(), target.value()));
        assertEquals(OPERATORS_TARGETS, targets);
    }

    @Test
    void aPageThatAgreesHasNoFault() {
        assertEquals("", faultsOf(SMALL_PAGE));
    }

    @Test
    void aChangedFigureIsAFaultOfItsRow() {
        assertFault("row `each`: value: the page says \"41,300\", computed is \"41,200\"", "| 41,200 |", "| 41,300 |");
        assertFault("row `heap`: value: the page says \"3,100\"", "| 3,000 |", "| 3,100 |");
        assertFault("row `all_heap`: remains: the page says \"1.4\"", "| 1.3 |", "| 1.4 |");
        assertFault("row `heap`: r²: the page says \"0.99\"", "| 1.00 |", "| 0.99 |");
        assertFault("row `heap`: ±: the page says \"-\"", "| 3,000 | 0 |", "| 3,000 | - |");
        assertFault("row `rack_heap`: basis: the page says \"worked out\"", "| on a guess |", "| worked out |");
        assertFault("row `each`: value: the page says \"41,234\"", "| 41,200 |", "| 41,234 |");
    }

    @Test
    void aChangedTargetIsAFaultOfTheRowsThatNeedIt() {
        assertFault("row `each`: value: the page says \"41,200\", computed is \"40,400\"", "| 510 |", "| 520 |");
    }

    @Test
    void aChangedMeasurementIsAFaultOfTheRowsThatNeedIt() throws IOException {
        writeHeap(
                "# sh bench/heap.sh", "state,open,heap", "idle,1000,3300500", "idle,2000,6600500", "idle,3000,9900500");
        String faults = faultsOf(SMALL_PAGE);
        assertTrue(faults.contains("row `heap`: value: the page says \"3,000\", computed is \"3,300\""), faults);
        assertTrue(faults.contains("row `all_heap`: value: the page says \"124\", computed is \"136\""), faults);
    }

    @Test
    void aFigureWrittenWithFewerDigitsAgrees() {
        assertEquals("", faultsOf(SMALL_PAGE.replace("| 41,200 |", "| 41,000 |")));
    }

    @Test
    void aMissingColumnOrRowOfAFileIsAFaultOfItsRow() throws IOException {
        assertFault("row `heap`: ", "slope of heap by open", "slope of stack by open");
        assertFault("no column \"stack\"", "slope of heap by open", "slope of stack by open");
        assertFault("row `heap`: ", "where state=idle", "where state=busy");
        writeHeap("# sh bench/heap.sh", "open,heap", "1000,3000500", "2000,6000500", "3000,9000500");
        assertTrue(faultsOf(SMALL_PAGE).contains("row `heap`: "), faultsOf(SMALL_PAGE));
    }

    @Test
    void aFileOfAnotherCommandIsAFaultOfItsRow() throws IOException {
        writeHeap("# sh bench/other.sh", "state,open,heap", "idle,1,3500", "idle,2,6500", "idle,3,9500");
        assertTrue(faultsOf(SMALL_PAGE).contains("row `heap`: heap.csv was made by \"sh bench/other.sh\""));
    }

    @Test
    void anUnknownIdIsAFaultOfTheRowThatNamesIt() {
        assertFault("row `each`: the formula names `routers`", "connections / brokers", "connections / routers");
        assertFault("row `all_heap`: the formula names `disk`", "| MB | memory |", "| MB | disk |");
        assertFault("no row has the id `every`", "(`each`)", "(`every`)");
    }

    @Test
    void aRowWithoutSourceIsAFault() {
        assertFault("row `heap`: no command", "| `sh bench/heap.sh` |", "| - |");
        assertFault("row `heap`: no file", "| `heap.csv` |", "| |");
        assertFault("row `each`: no formula", "| `connections / brokers` |", "| |");
        assertFault("row `rack`: no reason", "| a usual rack |", "| |");
        assertFault("row `bound`: no source", "| `Bounds.java`: `MOST = 24` |", "| |");
        assertFault("row `bound`: Bounds.java does not hold \"MOST = 32\"", "MOST = 24", "MOST = 32");
    }

    @Test
    void notMeasuredIsRightOnlyWhileTheFileIsAbsent() throws IOException {
        assertFault("row `all_heap`: value: the page says \"not measured\"", "| 124 |", "| not measured |");
        assertFault(
                "row `pace`: value: the page says \"90\", computed is \"not measured\"",
                "| not measured | - |",
                "| 90 | - |");
        assertFault("row `pace`: value: the page says \"unknown\"", "| not measured | - |", "| unknown | - |");
        Files.write(directory.resolve("pace.csv"), List.of("# sh bench/pace.sh", "pace", "90", "90"));
        assertTrue(faultsOf(SMALL_PAGE)
                .contains("row `pace`: value: the page says \"not measured\", computed is \"90.0\""));
    }

    @Test
    void aDelayThatWasNotReachedIsWrittenAsNotReached() throws IOException {
        Files.write(directory.resolve("pace.csv"), List.of("# sh bench/pace.sh", "pace", "90", "none"));
        CapacityPage page = CapacityPage.parse(SMALL_PAGE);
        String rewritten = CapacityPageWriter.rewritten(page, new CapacityModel(page, directory));
        assertEquals("", faultsOf(rewritten));
        assertTrue(rewritten.contains("its pace is not reached (`pace`)"), rewritten);
        assertTrue(rewritten.contains("| 2 | pace_miss | pace | `1 / pace` | not reached |"), rewritten);
        String faults = faultsOf(SMALL_PAGE);
        assertTrue(faults.contains("row `pace`: value: the page says \"not measured\", computed is \"not reached\""));
    }

    @Test
    void aFormulaThatNeedsItselfIsAFault() {
        assertFault("needs its own result", "connections / brokers", "all_heap / brokers");
    }

    @Test
    void anUnreadableFormulaOrMeasureIsAFaultOfItsRow() {
        assertFault("row `each`: no formula: ", "connections / brokers", "connections / (brokers");
        assertFault("row `heap`: no measure: ", "slope of heap by open", "steepness of heap by open");
        assertFault("row `heap`: \"by\" belongs to a slope", "slope of heap by open", "slope of heap");
    }

    @Test
    void anIdThatIsUsedTwiceIsAFault() {
        assertFault("row `each`: the id is there already", "| rack_heap |", "| each |");
    }

    @Test
    void aRankingOutOfOrderIsAFault() {
        assertFault("row `heap_miss`: rank 3 stands at place 2", "| 2 | heap_miss |", "| 3 | heap_miss |");
        String small = "| 2 | small | x | `1 / memory` | 0.00625 | worked out |\n| 3 | heap_miss |";
        assertFault("row `heap_miss`: misses by 0.772, more than the row before", "| 2 | heap_miss |", small);
    }

    @Test
    void aBudgetThatIsAGuessMakesTheRowsBasisAGuess() {
        assertFault(
                "row `each`: basis: the page says \"worked out\", computed is \"on a guess\"",
                "| connections | - | - | worked out |",
                "| connections | rack | 0.00049 | worked out |");
    }

    @Test
    void aFigureInTheProseIsCheckedAgainstItsRow() {
        assertFault("the text says \"41,300\" for `each`, computed is \"41,200\"", "holds 41,200", "holds 41,300");
        assertFault("the figure 125 is followed by no id", "in 124 MB (`all_heap`)", "in 125 MB");
    }

    @Test
    void marginsArePropagatedThroughFormulas() throws IOException {
        Files.write(directory.resolve("pace.csv"), List.of("# sh bench/pace.sh", "pace", "90", "110"));
        CapacityPage page = CapacityPage.parse(SMALL_PAGE);
        CapacityModel model = new CapacityModel(page, directory);
        // The two values are 20 apart: their standard error is 10, and 12.706 is the 97.5% quantile of Student's t
        // distribution with one degree of freedom.
        assertEquals(127.06, model.resolve(page.rows().get("pace")).margin().orElseThrow(), 0.01);
        assertEquals(
                510 * 127.06,
                model.resolve(page.rows().get("most_pace")).margin().orElseThrow(),
                5);
    }

    @Test
    void thePageIsRewrittenFromOtherMeasurements() throws IOException {
        writeHeap(
                "# sh bench/heap.sh", "state,open,heap", "idle,1000,3300500", "idle,2000,6600500", "idle,3000,9900500");
        Files.write(directory.resolve("pace.csv"), List.of("# sh bench/pace.sh", "pace", "90", "110"));
        CapacityPage page = CapacityPage.parse(SMALL_PAGE);
        String rewritten = CapacityPageWriter.rewritten(page, new CapacityModel(page, directory));
        assertEquals("", faultsOf(rewritten));
        assertTrue(rewritten.contains("41,200 connections (`each`) in 136 MB (`all_heap`)"), rewritten);
    }

    private void writeHeap(String... lines) throws IOException {
        Files.write(directory.resolve("heap.csv"), List.of(lines));
    }

    private String faultsOf(String page) {
        return String.join("\n", CapacityPageCheck.faultsOf(page, directory, directory));
    }

    private void assertFault(String expected, String part, String replacement) {
        assertTrue(SMALL_PAGE.contains(part), part);
        String faults = faultsOf(SMALL_PAGE.replace(part, replacement));
        assertTrue(faults.contains(expected), "expected: " + expected + "\ngot: " + faults);
    }
}
