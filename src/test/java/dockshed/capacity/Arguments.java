package dockshed.capacity;

import java.util.List;

/**
 * Options of a measurement's command.
 *
 * @param quick small sizes, nothing written
 * @param append the rows are added to those of earlier runs
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
