package dockshed.capacity;

import dockshed.fleet.ControlDurations;
import dockshed.fleet.ControlFigures;
import dockshed.fleet.ControlMeasurement;
import dockshed.fleet.ControlMechanism;
import dockshed.fleet.ControlScenario;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Measures the cost of control traffic and the delay of what it carries, by number of brokers, share of lost datagrams,
 * changes per minute and entries per broker. Writes the raw figures and prints lines fitted to each series. Run by {@code
 * bench/control.sh}.
 */
public final class ControlCapacity {
    static final List<String> COLUMNS = List.of(
            "run",
            "series",
            "mechanism",
            "brokers",
            "loss",
            "changes_per_minute",
            "entries_per_owner",
            "entries_held",
            "sent_bytes_s",
            "sent_bytes_s_most",
            "received_bytes_s",
            "received_bytes_s_most",
            "datagrams_s",
            "core_share",
            "network_share",
            "node_share",
            "allocated_bytes_s",
            "heap_bytes",
            "figure_age_mean_s",
            "figure_age_p99_s",
            "figures_missing",
            "other_zones_age_mean_s",
            "other_zones_age_p99_s",
            "report_99_median_s",
            "report_99_most_s",
            "reports_reached",
            "failure_known_s",
            "false_deaths",
            "basis");

    /** The cell of a delay that did not end within its time limit, or of a figure that was not measured. */
    static final String NONE = "none";

    private static final double USUAL_LOSS_SHARE = 0.01;
    /** The target rate of 460 changes a day. */
    private static final double USUAL_CHANGES_PER_MINUTE = 460.0 / (24 * 60);

    /** Size of a fleet that is simulated first, so that the JIT compiler has compiled the code. */
    private static final int WARM_UP_BROKERS = 25;

    private static final long FIRST_SEED = 11;

    private ControlCapacity() {}

    /**
     * A series of scenarios that differ in one size.
     *
     * @param name the series in the file and on the command line
     * @param xColumn the column of the size
     * @param scenarios the scenarios, smallest first
     */
    record Series(String name, String xColumn, List<ControlScenario> scenarios) {}

    /** Runs the benchmark. Arguments: {@code [--quick] [--append] [SERIES[:BROKERS]]...}; without a series, runs all. */
    public static void main(String[] args) throws IOException {
        List<String> words = new ArrayList<>(Arrays.asList(args));
        List<String> wanted =
                words.stream().filter(word -> !word.startsWith("--")).toList();
        words.removeAll(wanted);
        Arguments arguments = Arguments.of(words.toArray(String[]::new));
        Results results = new Results("control.csv", "sh bench/control.sh", arguments, COLUMNS);
        results.header();
        long seed = FIRST_SEED + results.run() - 1;
        List<Series> all = arguments.quick() ? quickSeries(seed) : series(seed);
        ControlDurations durations = arguments.quick() ? ControlDurations.QUICK : ControlDurations.FULL;
        ControlMeasurement.of(scenario(WARM_UP_BROKERS, USUAL_LOSS_SHARE, 1, 0, seed), durations);
        for (Series series : all) {
            for (ControlScenario scenario : series.scenarios()) {
                if (isWanted(series.name(), scenario.brokers(), wanted)) {
                    ControlFigures figures = ControlMeasurement.of(scenario, durations);
                    results.add(cells(series.name(), scenario, figures));
                    results.write();
                }
            }
        }
        all.forEach(series -> printFits(results.table(), series));
    }

    private static boolean isWanted(String series, int brokers, List<String> wanted) {
        return wanted.isEmpty() || wanted.contains(series) || wanted.contains(series + ":" + brokers);
    }

    /** The series of a full run. */
    static List<Series> series(long seed) {
        List<Series> all = new ArrayList<>();
        all.add(byBrokers(seed, 5, 25, 100, 255, 510, 1020));
        all.add(zoned(seed, 35, 100, 255, 510, 1020));
        for (int brokers : new int[] {100, 255, 510}) {
            all.add(byLoss(seed, brokers, 0, 0.01, 0.05, 0.2));
            all.add(byChanges(seed, brokers, 1, 30, 300, 3_000, 30_000));
        }
        all.add(byEntries(seed, 100, 0, 6, 12, 18, 22));
        all.add(byEntries(seed, 255, 0, 6, 12, 22));
        return all;
    }

    /** The series of a quick run, with smaller fleets. */
    static List<Series> quickSeries(long seed) {
        return List.of(
                byBrokers(seed, 5, 10, 20, 30),
                zoned(seed, 14, 21, 28, 35),
                byLoss(seed, 15, 0, 0.01, 0.05, 0.2),
                byChanges(seed, 15, 1, 30, 300, 3_000),
                byEntries(seed, 15, 0, 6, 12, 22));
    }

    private static Series byBrokers(long seed, int... sizes) {
        return new Series(
                "brokers",
                "brokers",
                Arrays.stream(sizes)
                        .mapToObj(brokers -> scenario(brokers, USUAL_LOSS_SHARE, 1, 0, seed))
                        .toList());
    }

    private static Series zoned(long seed, int... sizes) {
        return new Series(
                "zoned",
                "brokers",
                Arrays.stream(sizes)
                        .mapToObj(brokers -> new ControlScenario(
                                ControlMechanism.ZONED, brokers, USUAL_LOSS_SHARE, USUAL_CHANGES_PER_MINUTE, 0, seed))
                        .toList());
    }

    private static Series byLoss(long seed, int brokers, double... losses) {
        return new Series(
                "loss_at_" + brokers,
                "loss",
                Arrays.stream(losses)
                        .mapToObj(loss -> scenario(brokers, loss, 1, 0, seed))
                        .toList());
    }

    private static Series byChanges(long seed, int brokers, double... timesUsual) {
        return new Series(
                "changes_at_" + brokers,
                "changes_per_minute",
                Arrays.stream(timesUsual)
                        .mapToObj(times -> scenario(brokers, USUAL_LOSS_SHARE, times, 0, seed))
                        .toList());
    }

    private static Series byEntries(long seed, int brokers, int... entries) {
        return new Series(
                "entries_at_" + brokers,
                "entries_held",
                Arrays.stream(entries)
                        .mapToObj(count -> scenario(brokers, USUAL_LOSS_SHARE, 1, count, seed))
                        .toList());
    }

    private static ControlScenario scenario(int brokers, double loss, double timesUsual, int entries, long seed) {
        return new ControlScenario(
                ControlMechanism.FULL_MESH, brokers, loss, timesUsual * USUAL_CHANGES_PER_MINUTE, entries, seed);
    }

    /** The cells of a row, in the order of {@link #COLUMNS} but without the run. */
    static Object[] cells(String series, ControlScenario scenario, ControlFigures figures) {
        return new Object[] {
            series,
            scenario.mechanism().label(),
            scenario.brokers(),
            decimal(scenario.loss(), 2),
            decimal(scenario.changesPerMinute(), 2),
            scenario.entriesPerOwner(),
            decimal(figures.entriesHeld(), 1),
            decimal(figures.sentBytes(), 0),
            decimal(figures.sentBytesMost(), 0),
            decimal(figures.receivedBytes(), 0),
            decimal(figures.receivedBytesMost(), 0),
            decimal(figures.datagrams(), 2),
            decimal(figures.coreShare(), 6),
            decimal(figures.networkShare(), 6),
            decimal(figures.coreShare() - figures.networkShare(), 6),
            decimal(figures.allocatedBytes(), 0),
            decimal(figures.heapBytes(), 0),
            decimal(figures.figureAgeMean(), 2),
            decimal(figures.figureAgeP99(), 2),
            decimal(figures.figuresMissing(), 4),
            delay(figures.otherAgeMean()),
            delay(figures.otherAgeP99()),
            delay(figures.reportMedian()),
            delay(figures.reportMost()),
            decimal(figures.reportsReached(), 2),
            delay(figures.failureKnown()),
            figures.falseDeaths(),
            "measured"
        };
    }

    private static String delay(OptionalDouble seconds) {
        return seconds.isPresent() ? decimal(seconds.getAsDouble(), 2) : NONE;
    }

    private static String decimal(double value, int places) {
        return String.format(Locale.ROOT, "%." + places + "f", value);
    }

    private static void printFits(CapacityCsv table, Series series) {
        CapacityCsv rows = table.where("series", series.name());
        for (String column : List.of(
                "sent_bytes_s",
                "received_bytes_s",
                "node_share",
                "allocated_bytes_s",
                "heap_bytes",
                "figure_age_mean_s",
                "figure_age_p99_s",
                "report_99_median_s",
                "failure_known_s")) {
            CapacityCsv reached = rows.whereNot(column, NONE);
            if (reached.rows().size() >= LinearFit.MIN_POINTS) {
                System.out.println("fit " + column + " by " + series.xColumn() + " in " + series.name() + ": "
                        + reached.fit(series.xColumn(), column));
            }
        }
    }
}
