package dockshed.capacity;

import java.util.List;

/**
 * Command-line options of a capacity benchmark.
 *
 * @param quick whether to run small sizes only and write no file
 * @param append whether to keep the file's rows of earlier runs and add to them
 */
record Arguments(boolean quick, boolean append) {

    private static final List<String> KNOWN = List.of("--quick", "--append");

    /**
     * Reads the command line.
     *
     * @throws IllegalArgumentException for an unknown option
     */
    static Arguments of(String... words) {
        for (String word : words) {
            if (!KNOWN.contains(word)) {
                throw new IllegalArgumentException("unknown option " + word + ", expected " + KNOWN);
            }
        }
        List<String> given = List.of(words);
        return new Arguments(given.contains("--quick"), given.contains("--append"));
    }
}
