package dockshed.scale;

import dockshed.capacity.CapacityCsv;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The scale run: plays the script on processes and sockets, and on the simulated network beside it, for each mechanism;
 * prints each scene's figures, how far both are apart, and the last line. Rows go to a file of the raw figures.
 */
public final class ScaleBench {
    private static final Path JAR = Path.of("target", "dockshed.jar");
    private static final Path CSV = Path.of("docs", "capacity", "scale.csv");
    /** Configurations and logs of the processes of the last run. */
    private static final Path LOGS = Path.of("target", "scale");

    private static final long SIMULATION_SEED = 11;
    /** Simulations beside one another. */
    private static final int PARALLEL_SIMULATIONS = 4;

    private final ScaleOptions options;
    private final List<SceneResult> rows = new ArrayList<>();

    private ScaleBench(ScaleOptions options) {
        this.options = options;
    }

    private synchronized void addResult(SceneResult result) {
        rows.add(result);
        System.out.println(result);
    }

    /** The socket run first, undisturbed; the simulation's groups of scenes then, beside one another. */
    private SummaryLine play(Mechanism mechanism) throws IOException {
        ScaleRun run = options.sockets()
                ? playOnSockets(mechanism)
                : new ScaleRun(mechanism, options.brokers(), 0, 0, 0, List.of());
        SimulationComparison comparison =
                SimulationComparison.of(run.results(), options.simulation() ? simulate(mechanism) : List.of());
        System.out.println(comparison);
        return SummaryLine.of(run, comparison.rSquared());
    }

    private List<SceneResult> simulate(Mechanism mechanism) {
        ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_SIMULATIONS, ScaleBench::daemon);
        List<CompletableFuture<List<SceneResult>>> groups = groups().stream()
                .map(group -> CompletableFuture.supplyAsync(() -> simulate(mechanism, group), threads))
                .toList();
        List<SceneResult> results =
                groups.stream().flatMap(group -> group.join().stream()).toList();
        threads.shutdown();
        return results;
    }

    /** Each simulation starts a fleet of its own; what it plays before a scene differs from the socket run's. */
    private List<List<SceneName>> groups() {
        List<List<SceneName>> groups = new ArrayList<>();
        for (int i = 0; i < PARALLEL_SIMULATIONS; i++) {
            groups.add(new ArrayList<>());
        }
        List<SceneName> scenes = options.scenes().stream()
                .filter(scene -> scene != SceneName.START)
                .toList();
        for (int i = 0; i < scenes.size(); i++) {
            groups.get(i % PARALLEL_SIMULATIONS).add(scenes.get(i));
        }
        groups.removeIf(List::isEmpty);
        return groups;
    }

    private static Thread daemon(Runnable what) {
        Thread thread = new Thread(what, "simulation");
        thread.setDaemon(true);
        return thread;
    }

    private ScaleRun playOnSockets(Mechanism mechanism) throws IOException {
        FleetLayout layout = new FleetLayout(options.brokers());
        Path directory = Files.createDirectories(LOGS);
        List<SceneResult> results = new ArrayList<>();
        try (ProcessFleet fleet = new ProcessFleet(
                layout, mechanism, options.real(), options.perProcess(), JAR.toAbsolutePath(), directory)) {
            SceneScript script = new SceneScript(fleet, mechanism, SceneResult.SOCKETS, options.times(), result -> {
                results.add(result);
                addResult(result);
            });
            options.scenes().forEach(script::play);
            if (fleet.realBrokers() != null) {
                System.out.printf(
                        Locale.ROOT,
                        "real connections=%d answers=%d errors=%d%n",
                        fleet.realBrokers().connections(),
                        fleet.realBrokers().answers(),
                        fleet.realBrokers().errors());
            }
            return new ScaleRun(
                    mechanism, layout.brokers(), fleet.realCount(), fleet.hollowCount(), fleet.processes(), results);
        }
    }

    private List<SceneResult> simulate(Mechanism mechanism, List<SceneName> scenes) {
        List<SceneResult> results = new ArrayList<>();
        try (SimulatedFleet fleet =
                new SimulatedFleet(new FleetLayout(options.brokers()), mechanism, SIMULATION_SEED)) {
            SceneScript script = new SceneScript(fleet, mechanism, SceneResult.SIMULATED, options.times(), result -> {
                results.add(result);
                addResult(result);
            });
            script.play(SceneName.START);
            scenes.forEach(script::play);
        }
        return results;
    }

    private void write(String command) throws IOException {
        List<String> columns = List.of(SceneResult.csvHeader().split(","));
        List<List<String>> cells =
                rows.stream().map(row -> List.of(row.csvRow().split(",", -1))).toList();
        CapacityCsv.of(CSV.toString(), command, columns, cells).write(CSV);
    }

    public static void main(String[] args) throws IOException {
        ScaleOptions options = ScaleOptions.parse(args);
        ScaleBench bench = new ScaleBench(options);
        List<SummaryLine> lines = new ArrayList<>();
        for (Mechanism mechanism : options.mechanisms()) {
            lines.add(bench.play(mechanism));
        }
        if (!options.quick()) {
            bench.write(("sh bench/scale.sh " + String.join(" ", args)).trim());
        }
        lines.forEach(System.out::println);
        System.exit(0);
    }
}
