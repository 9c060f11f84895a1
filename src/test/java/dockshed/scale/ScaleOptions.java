package dockshed.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The command line of the scale benchmark.
 *
 * @param quick      whether the short script is played and no file written
 * @param mechanisms the mechanisms, run one after another
 * @param brokers    number of brokers, real and hollow
 * @param real       number of real brokers, each a process of the built jar
 * @param perProcess largest number of hollow brokers in one process
 * @param sockets    whether the script is played on processes with sockets
 * @param simulation whether the script is played on the simulated network, the twin
 * @param scenes     the scenes to play, the start always among them
 */
record ScaleOptions(
        boolean quick,
        List<Mechanism> mechanisms,
        int brokers,
        int real,
        int perProcess,
        boolean sockets,
        boolean simulation,
        List<SceneName> scenes) {
    /** The size that the fleet is to reach. */
    private static final int DEFAULT_BROKERS = 510;

    private static final int DEFAULT_REAL_BROKERS = 8;
    private static final int DEFAULT_HOLLOW_PER_PROCESS = 72;
    private static final List<SceneName> QUICK_SCENES =
            List.of(SceneName.START, SceneName.STEADY, SceneName.CHANGES, SceneName.ZONE);

    static final String USAGE = "scale.sh [--quick] [--mechanism full_mesh|zoned|both] [--brokers N] [--real N]"
            + " [--per-process N] [--no-twin|--twin-only] [--scenes a,b,..]";

    /**
     * Reads the command line.
     *
     * @throws IllegalArgumentException for an unknown option or label, or a value that is missing or not a number
     */
    static ScaleOptions parse(String... arguments) {
        boolean quick = false;
        boolean sockets = true;
        boolean simulation = true;
        int brokers = DEFAULT_BROKERS;
        int real = DEFAULT_REAL_BROKERS;
        int perProcess = DEFAULT_HOLLOW_PER_PROCESS;
        List<Mechanism> mechanisms = List.of(Mechanism.values());
        List<SceneName> chosen = null;
        List<String> rest = new ArrayList<>(List.of(arguments));
        while (!rest.isEmpty()) {
            String option = rest.remove(0);
            switch (option) {
                case "--quick" -> quick = true;
                case "--no-twin" -> simulation = false;
                case "--twin-only" -> sockets = false;
                case "--brokers" -> brokers = number(option, rest);
                case "--real" -> real = number(option, rest);
                case "--per-process" -> perProcess = number(option, rest);
                case "--mechanism" -> mechanisms = mechanisms(value(option, rest));
                case "--scenes" -> chosen = scenes(value(option, rest));
                default -> throw new IllegalArgumentException("unknown option " + option + "; " + USAGE);
            }
        }
        List<SceneName> scenes = chosen != null ? chosen : quick ? QUICK_SCENES : SceneScript.allScenes();
        return new ScaleOptions(quick, mechanisms, brokers, real, perProcess, sockets, simulation, scenes);
    }

    private static String value(String option, List<String> rest) {
        if (rest.isEmpty()) {
            throw new IllegalArgumentException(option + " needs a value; " + USAGE);
        }
        return rest.remove(0);
    }

    private static int number(String option, List<String> rest) {
        return Integer.parseInt(value(option, rest));
    }

    private static List<Mechanism> mechanisms(String label) {
        return label.equals("both") ? List.of(Mechanism.values()) : List.of(Mechanism.of(label));
    }

    private static List<SceneName> scenes(String labels) {
        List<SceneName> scenes = new ArrayList<>(List.of(SceneName.START));
        Arrays.stream(labels.split(","))
                .map(label -> SceneName.valueOf(label.toUpperCase(java.util.Locale.ROOT)))
                .filter(scene -> scene != SceneName.START)
                .forEach(scenes::add);
        return scenes;
    }

    /** The time limits of the script. */
    ScriptTimes times() {
        return quick ? ScriptTimes.QUICK : ScriptTimes.FULL;
    }
}
