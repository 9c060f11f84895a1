package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The command with which the platform starts a broker, from the deploy file, and its variants for benchmarks.
 *
 * @param words the command, program first
 */
public record RunLine(List<String> words) {

    private static final String KEY = "run = \"";
    private static final String EXEC = "exec ";

    /** Copies the words. */
    public RunLine {
        words = List.copyOf(words);
    }

    /**
     * Reads the {@code run} key of a deploy file.
     *
     * @throws IllegalArgumentException if there is none; the message names the file
     */
    public static RunLine read(Path file) throws IOException {
        return parse(file.toString(), Files.readAllLines(file));
    }

    /**
     * Finds the {@code run} key among the lines of a deploy file.
     *
     * @throws IllegalArgumentException if there is none; the message names the file
     */
    public static RunLine parse(String file, List<String> lines) {
        for (int line = 0; line < lines.size(); line++) {
            if (lines.get(line).startsWith(KEY)) {
                return new RunLine(commandOf(file, line + 1, lines.get(line)));
            }
        }
        throw new IllegalArgumentException(file + ": key 'run' is missing");
    }

    /**
     * The command with another value for an option such as {@code -Xmx}.
     *
     * @throws IllegalArgumentException if the command does not have the option
     */
    public RunLine with(String option, String value) {
        List<String> changed = new ArrayList<>();
        for (String word : words) {
            changed.add(word.startsWith(option) ? option + value : word);
        }
        if (changed.equals(words) && !words.contains(option + value)) {
            throw new IllegalArgumentException("run line has no option " + option);
        }
        return new RunLine(changed);
    }

    /** The command with one more JVM option. */
    public RunLine plusOption(String option) {
        List<String> longer = new ArrayList<>(words);
        longer.add(1, option);
        return new RunLine(longer);
    }

    /** The command bound to one core by {@code taskset}. */
    public RunLine onCore(int core) {
        List<String> bound = new ArrayList<>(List.of("taskset", "-c", Integer.toString(core)));
        bound.addAll(words);
        return new RunLine(bound);
    }

    /** The command with more arguments for the program. */
    public RunLine plus(String... arguments) {
        List<String> longer = new ArrayList<>(words);
        longer.addAll(List.of(arguments));
        return new RunLine(longer);
    }

    private static List<String> commandOf(String file, int line, String text) {
        int end = text.indexOf('"', KEY.length());
        if (end < 0) {
            throw new IllegalArgumentException(file + ", line " + line + ": key 'run' has no closing quote");
        }
        String command = text.substring(KEY.length(), end);
        return List.of(command.substring(command.startsWith(EXEC) ? EXEC.length() : 0)
                .trim()
                .split(" +"));
    }
}
