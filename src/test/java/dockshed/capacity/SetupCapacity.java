package dockshed.capacity;

import dockshed.capacity.SetupFixture.BatchCost;
import dockshed.capacity.SetupFixture.Size;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * Measures the cost of a set-up in the decision module, by number of edge servers, lessons and playing sessions. Writes the
 * raw figures and prints lines fitted to each series. Run by {@code bench/setup.sh}.
 */
public final class SetupCapacity {
    static final List<String> COLUMNS = List.of(
            "run",
            "series",
            "servers",
            "lessons",
            "sessions",
            "uplink_told",
            "setup_ns",
            "setup_ns_p25",
            "setup_ns_p75",
            "request_ns",
            "play_ns",
            "end_ns",
            "sweep_us",
            "allocated_bytes",
            "heap_bytes",
            "refused_share",
            "basis");

    /**
     * How much is measured.
     *
     * @param warmUpBatches batches before each measurement
     * @param batches measured batches
     * @param sizes the most sizes of each series, the smallest first
     */
    record Extent(int warmUpBatches, int batches, int sizes) {
        static final Extent FULL = new Extent(6, 15, Integer.MAX_VALUE);
        static final Extent QUICK = new Extent(2, 5, 4);
    }

    private static final int[] SERVERS = {36, 128, 512, 1024, 2048, 4096};
    private static final int[] LESSONS = {10, 100, 1000, 10_000, 58_000};
    private static final int[] SESSIONS = {400, 2000, 10_000, 20_000, 41_000};
    private static final int USUAL_SERVERS = 128;
    private static final int SERVERS_FOR_SESSIONS = 1024;
    private static final int USUAL_LESSONS = 1000;
    private static final int USUAL_SESSIONS = 400;

    private SetupCapacity() {}

    /** Runs the benchmark. Arguments: {@code [--quick] [--append]}. */
    public static void main(String[] args) throws IOException {
        Arguments arguments = Arguments.of(args);
        Extent extent = arguments.quick() ? Extent.QUICK : Extent.FULL;
        Results results = new Results("setup.csv", "sh bench/setup.sh", arguments, COLUMNS);
        results.header();
        measure(extent, results);
        results.write();
        CapacityCsv table = results.table();
        printFit(table, "servers", "servers", "setup_ns");
        printFit(table, "servers", "servers", "request_ns");
        printFit(table, "servers", "servers", "sweep_us");
        printFit(table, "servers", "servers", "allocated_bytes");
        printFit(table, "servers", "servers", "heap_bytes");
        printFit(table, "servers_uplink_told", "servers", "setup_ns");
        printFit(table, "lessons", "lessons", "setup_ns");
        printFit(table, "lessons", "lessons", "heap_bytes");
        printFit(table, "sessions", "sessions", "setup_ns");
        printFit(table, "sessions", "sessions", "sweep_us");
        printFit(table, "sessions", "sessions", "heap_bytes");
    }

    private static void measure(Extent extent, Results results) {
        ThreadCost cost = new ThreadCost();
        measure("warm_up", new Size(USUAL_SERVERS, USUAL_LESSONS, USUAL_SESSIONS, false), extent, cost);
        for (int servers : smallest(SERVERS, extent)) {
            results.add(measure("servers", new Size(servers, USUAL_LESSONS, USUAL_SESSIONS, false), extent, cost));
        }
        for (int servers : smallest(SERVERS, extent)) {
            Size size = new Size(servers, USUAL_LESSONS, USUAL_SESSIONS, true);
            results.add(measure("servers_uplink_told", size, extent, cost));
        }
        for (int lessons : smallest(LESSONS, extent)) {
            results.add(measure("lessons", new Size(USUAL_SERVERS, lessons, USUAL_SESSIONS, false), extent, cost));
        }
        for (int sessions : smallest(SESSIONS, extent)) {
            results.add(
                    measure("sessions", new Size(SERVERS_FOR_SESSIONS, USUAL_LESSONS, sessions, false), extent, cost));
        }
    }

    private static int[] smallest(int[] sizes, Extent extent) {
        return Arrays.copyOf(sizes, Math.min(sizes.length, extent.sizes()));
    }

    /**
     * Measures one size with a decision module of its own, after a warm-up.
     *
     * @return the cells of the row in the order of {@link #COLUMNS} but without the run: medians over the batches
     * @throws IllegalStateException if not as many sessions play as the size says
     */
    static Object[] measure(String series, Size size, Extent extent, ThreadCost cost) {
        long heapBefore = ThreadCost.usedHeap();
        SetupFixture fixture = new SetupFixture(size, cost);
        for (int batch = 0; batch < extent.warmUpBatches(); batch++) {
            fixture.batch();
        }
        fixture.drainSweepMicros();
        List<BatchCost> batches = new ArrayList<>();
        for (int batch = 0; batch < extent.batches(); batch++) {
            batches.add(fixture.batch());
        }
        List<Double> sweeps = fixture.drainSweepMicros();
        long heap = ThreadCost.usedHeap() - heapBefore;
        if (fixture.playing() != size.sessions()) {
            throw new IllegalStateException(fixture.playing() + " sessions play, expected " + size.sessions());
        }
        return new Object[] {
            series,
            size.servers(),
            size.lessons(),
            size.sessions(),
            size.uplinkReported(),
            oneDecimal(median(batches, BatchCost::setupNanos)),
            oneDecimal(percentile(batches, BatchCost::setupNanos, 25)),
            oneDecimal(percentile(batches, BatchCost::setupNanos, 75)),
            oneDecimal(median(batches, BatchCost::requestNanos)),
            oneDecimal(median(batches, BatchCost::playNanos)),
            oneDecimal(median(batches, BatchCost::endNanos)),
            oneDecimal(median(sweeps, micros -> micros)),
            oneDecimal(median(batches, BatchCost::allocatedBytes)),
            oneDecimal(heap),
            String.format(Locale.ROOT, "%.4f", fixture.refusedShare()),
            "measured"
        };
    }

    private static void printFit(CapacityCsv table, String series, String xColumn, String column) {
        System.out.println("fit " + column + " by " + series + ": "
                + table.where("series", series).fit(xColumn, column));
    }

    private static <T> double median(List<T> values, ToDoubleFunction<T> of) {
        return percentile(values, of, 50);
    }

    private static <T> double percentile(List<T> values, ToDoubleFunction<T> of, double percent) {
        return new Percentile().evaluate(values.stream().mapToDouble(of).toArray(), percent);
    }

    private static String oneDecimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
