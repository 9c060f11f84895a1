package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards the encoding of scope summaries: precision, age, truncated items and implausible loads. */
class ScopeSummaryTest {
    private static final long NOW = 100_000_000;

    private static ScopeSummary summary(int present, double perStep, int proposal) {
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        Arrays.fill(demand, perStep);
        return new ScopeSummary(7, 123_456_789, NOW - 150_000, present, new LoadFigures(demand, 5, 6, proposal));
    }

    @Property(seed = "20261202", tries = 500)
    void whatIsWrittenIsReadWithinAThousandthOfTheHighestRate(
            @ForAll @IntRange(min = 1, max = 96) int present,
            @ForAll @Size(32) double[] unit,
            @ForAll @DoubleRange(min = 0, max = 300_000) double highest) {
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        for (int step = 0; step < demand.length; step++) {
            demand[step] = highest * Math.abs(Math.sin(unit[step])); // maps any double to a part of the highest
            demand[step] = Double.isNaN(demand[step]) ? 0 : demand[step];
        }
        ScopeSummary written = new ScopeSummary(
                300, 1_790_000_000_000L, NOW, present, new LoadFigures(demand, highest, highest / 3, 4096));
        Envelope.Item item = written.write(NOW);
        assertTrue(item.size() + Envelope.HEADER_BYTES <= Envelope.MAX_BYTES);
        ScopeSummary read = ScopeSummary.read(item, NOW);
        assertNotNull(read);
        assertEquals(300, read.maker());
        assertEquals(1_790_000_000_000L, read.version());
        assertEquals(present, read.present());
        assertEquals(4096, read.load().proposal());
        double error = Math.max(0.05, highest / 1000);
        assertArrayEquals(demand, read.load().demand(), error);
        assertEquals(highest, read.load().accepted(), error);
        assertEquals(highest / 3, read.load().rejected(), error);
    }

    @Test
    void theAgeIsTransmittedAndNeverDecreases() {
        ScopeSummary once = ScopeSummary.read(summary(3, 1, 0).write(NOW), NOW + 40_000_000);
        assertEquals(NOW + 40_000_000 - 150_000, once.madeAt());
        ScopeSummary twice = ScopeSummary.read(once.write(NOW + 41_000_000), NOW);
        assertEquals(1_150_000, NOW - twice.madeAt());
    }

    @Test
    void truncatedAndImpossibleItemsAreNotReadAndLongerOnesAre() {
        Envelope.Item item = summary(3, 2, 160).write(NOW);
        for (int length = 0; length < item.body().length; length++) {
            assertNull(ScopeSummary.read(new Envelope.Item(item.kind(), Arrays.copyOf(item.body(), length)), NOW));
        }
        byte[] longer = Arrays.copyOf(item.body(), item.body().length + 9);
        assertEquals(
                160,
                ScopeSummary.read(new Envelope.Item(item.kind(), longer), NOW)
                        .load()
                        .proposal());
        byte[] exponent = item.body().clone();
        exponent[13] = 60;
        assertNull(ScopeSummary.read(new Envelope.Item(item.kind(), exponent), NOW));
    }

    @Test
    void loadsThatNoScopeOfThatSizeCanHaveAreImplausible() {
        assertTrue(summary(73, 73 * LoadFigures.MAX_RATE, 0).isPlausible(73));
        assertFalse(summary(73, 74 * LoadFigures.MAX_RATE, 0).isPlausible(73), "demand");
        assertFalse(summary(74, 1, 0).isPlausible(73), "brokers");
        assertFalse(summary(0, 1, 0).isPlausible(73), "its maker at least is present");
        assertFalse(summary(5, 1, SheddingThreshold.MAX_PRIORITY + 1).isPlausible(73), "proposal");
    }
}
