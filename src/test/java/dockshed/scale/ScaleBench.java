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
 * Runs the scale benchmark: for each mechanism, plays the script on processes with sockets and then on the simulated
 * network. Prints the figures of each scene, the comparison of the two and the {@link SummaryLine}s, and writes the figures
 * to a CSV file, unless the run is a quick one.
 */
public final class ScaleBench {
    private static final Path JAR = Path.of("target", "dockshed.jar");
    private static final Path CSV = Path.of("docs", "capacity", "scale.csv");
    /** Configurations and logs of the processes; each run replaces those of the one before. */
    private static final Path LOGS = Path.of("target", "scale");

    private static final long SIMULATION_SEED = 11;
    /** Simulations that run at the same time, one thread each. */
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

    /** Plays on sockets first, so that nothing else loads the machine, then runs the simulations in parallel. */
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

    /**
     * Assigns the scenes round robin to the simulations. Each simulation starts a fleet of its own, so a scene there follows
     * other scenes than on sockets.
     */
    private List<List<SceneName>> groups() {
        List<List<SceneName>> groups = new ArrayList<>();
        for (int group = 0; group < PARALLEL_SIMULATIONS; group++) {
            groups.add(new ArrayList<>());
        }
        List<SceneName> scenes = options.scenes().stream()
                .filter(scene -> scene != SceneName.START)
                .toList();
        for (int index = 0; index < scenes.size(); index++) {
            groups.get(index % PARALLEL_SIMULATIONS).add(scenes.get(index));
        }
        groups.removeIf(List::isEmpty);
        return groups;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "simulation");
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

    /**
     * Runs the benchmark in the project's directory.
     *
     * @throws IllegalArgumentException for an unknown option, see {@link ScaleOptions#USAGE}
     */
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
