package dockshed.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser of the operator's file. Each line holds a directive and its values; {@code section {} to {@code }} encloses a
 * section; {@code #} starts a comment. Values with spaces are written in double quotes, in which a backslash quotes the
 * next character.
 *
 * <p>Values are read by key, type and range. Errors are collected and thrown together by {@link #throwIfErrors}, each
 * with file, line, key, what was expected and what was found. The getters then return the default.
 */
final class ConfFile {
    /** A larger file is not one that an operator wrote. */
    static final int MAX_FILE_BYTES = 1 << 20;
    /** Nesting of sections within sections. */
    static final int MAX_SECTION_DEPTH = 8;

    private static final int MAX_ERRORS = 100;
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?)([a-z/%]*)");
    private static final Map<String, Double> MICROS_BY_UNIT =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "m", 60e6, "h", 3600e6);

    /** A directive with its values, or a section; {@code section} is null for a directive. */
    private record Entry(int line, List<String> values, Section section) {}

    /** One line of a directive that may be repeated. */
    record DirectiveLine(int number, List<String> values) {}

    /**
     * The directives of a section, or those of the file outside of any section. Each is read by its key; a key that was
     * never read is an error, see {@link #rejectUnknown}.
     */
    final class Section {
        private final String name;
        private final int line;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        /** Second and further occurrences of a directive. */
        private final Map<String, List<Entry>> repeatedEntries = new LinkedHashMap<>();

        private final List<String> knownKeys = new ArrayList<>();
        /** Keys used in the file under their name of an earlier version; their error is recorded already. */
        private final Set<String> renamedKeys = new HashSet<>();

        private Section(String name, int line) {
            this.name = name;
            this.line = line;
        }

        boolean has(String key) {
            return entries.containsKey(key);
        }

        /** All lines of a directive that may be repeated, in file order. */
        List<DirectiveLine> lines(String key, String expected) {
            knownKeys.add(key);
            List<Entry> all = new ArrayList<>();
            if (entries.containsKey(key)) {
                all.add(entries.get(key));
                all.addAll(repeatedEntries.getOrDefault(key, List.of()));
            }
            List<DirectiveLine> out = new ArrayList<>();
            for (Entry entry : all) {
                if (entry.section() != null) {
                    reportError(entry.line(), key, expected, "a section");
                } else {
                    out.add(new DirectiveLine(entry.line(), entry.values()));
                }
            }
            return out;
        }

        /** Records an error in one line of a repeated directive. */
        void reportErrorAt(DirectiveLine directiveLine, String key, String expected, String got) {
            reportError(directiveLine.number(), key, expected, got);
        }

        /** Records an error for each repetition of a directive. */
        private void rejectRepeats(String key) {
            for (Entry repeat : repeatedEntries.getOrDefault(key, List.of())) {
                reportError(
                        repeat.line(),
                        key,
                        "it only once, first given in line " + entries.get(key).line(),
                        "it again");
            }
        }

        /** The section of this name, or an empty one. */
        Section section(String key) {
            knownKeys.add(key);
            rejectRepeats(key);
            Entry entry = entries.get(key);
            if (entry != null && entry.section() == null) {
                reportError(entry.line(), key, "a section: '" + key + " {'", String.join(" ", entry.values()));
            }
            return entry != null && entry.section() != null ? entry.section() : new Section(key, line);
        }

        /** The only value of a directive; null if the directive is absent or has an error. */
        private String value(String key, String expected) {
            knownKeys.add(key);
            rejectRepeats(key);
            Entry entry = entries.get(key);
            if (entry == null) {
                return null;
            }
            if (entry.section() != null || entry.values().size() != 1) {
                reportError(
                        entry.line(),
                        key,
                        expected,
                        entry.section() != null
                                ? "a section"
                                : entry.values().isEmpty() ? "nothing" : String.join(" ", entry.values()));
                return null;
            }
            return entry.values().get(0);
        }

        /** A number with one of the given units, in the unit with factor 1. */
        private double quantity(
                String key, double defaultValue, double min, double max, Map<String, Double> units, String expected) {
            String text = value(key, expected);
            if (text == null) {
                return defaultValue;
            }
            Matcher matcher = QUANTITY.matcher(text);
            Double unit = matcher.matches() ? units.get(matcher.group(2)) : null;
            double read = unit == null ? Double.NaN : Double.parseDouble(matcher.group(1)) * unit;
            if (!(read >= min && read <= max)) {
                reportError(entries.get(key).line(), key, expected, text);
                return defaultValue;
            }
            return read;
        }

        /** A duration in microseconds. */
        long duration(String key, long defaultValue, long min, long max) {
            return Math.round(quantity(
                    key,
                    defaultValue,
                    min,
                    max,
                    MICROS_BY_UNIT,
                    "a time from " + formatTime(min) + " to " + formatTime(max)));
        }

        /** A share as a fraction of 1, written in percent. */
        double share(String key, double defaultValue, double min, double max) {
            return quantity(
                    key,
                    defaultValue,
                    min,
                    max,
                    Map.of("%", 0.01),
                    String.format(Locale.ROOT, "a share from %.0f%% to %.0f%%", min * 100, max * 100));
        }

        /** A rate per second, written per second or per minute. */
        double perSecond(String key, double defaultValue, double min, double max) {
            return quantity(
                    key,
                    defaultValue,
                    min,
                    max,
                    Map.of("/s", 1.0, "/m", 1 / 60.0),
                    String.format(Locale.ROOT, "a rate from %s/s to %s/s", formatNumber(min), formatNumber(max)));
        }

        /** A number without a unit. */
        double decimal(String key, double defaultValue, double min, double max) {
            return quantity(
                    key,
                    defaultValue,
                    min,
                    max,
                    Map.of("", 1.0),
                    "a number from " + formatNumber(min) + " to " + formatNumber(max));
        }

        /** A whole number. */
        int integer(String key, int defaultValue, int min, int max) {
            double read =
                    quantity(key, defaultValue, min, max, Map.of("", 1.0), "a whole number from " + min + " to " + max);
            if (read != Math.rint(read)) {
                reportError(entries.get(key).line(), key, "a whole number", formatNumber(read));
                return defaultValue;
            }
            return (int) read;
        }

        /** A whole number that may be larger than an {@code int}. */
        long longInteger(String key, long defaultValue, long min, long max) {
            String expected = "a whole number from " + min + " to " + max;
            String text = value(key, expected);
            if (text == null) {
                return defaultValue;
            }
            long read = text.matches("[0-9]{1,18}") ? Long.parseLong(text) : -1;
            if (read < min || read > max) {
                reportError(entries.get(key).line(), key, expected, text);
                return defaultValue;
            }
            return read;
        }

        /** Several whole numbers on one line; empty if the directive is absent. */
        List<Integer> integers(String key, int min, int max, String expected) {
            knownKeys.add(key);
            Entry entry = entries.get(key);
            List<Integer> out = new ArrayList<>();
            if (entry == null) {
                return out;
            }
            for (String text : entry.values()) {
                int read = text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : -1;
                if (read < min || read > max) {
                    reportError(entry.line(), key, expected, text);
                    return List.of();
                }
                out.add(read);
            }
            return out;
        }

        /** The only value of a directive as text; null if the directive is absent. */
        String text(String key, String expected) {
            return value(key, expected);
        }

        /** A numeric address and port; null if the directive is absent. */
        InetSocketAddress address(String key) {
            String expected = "an address and a port: '127.0.0.1:53'";
            String text = value(key, expected);
            if (text == null) {
                return null;
            }
            try {
                return Config.parseAddress(text, key);
            } catch (JsonFields.InvalidInputException e) {
                reportError(entries.get(key).line(), key, expected, text);
                return null;
            }
        }

        /** Whether a directive is the first one of the section. */
        boolean isFirst(String key) {
            return !entries.isEmpty() && entries.keySet().iterator().next().equals(key);
        }

        /** The line number of a directive, or of the section if the directive is absent. */
        int lineOf(String key) {
            return has(key) ? entries.get(key).line() : line;
        }

        /** A value of yes or no. */
        boolean flag(String key, boolean defaultValue) {
            String text = value(key, "yes or no");
            if (text != null && !text.equals("yes") && !text.equals("no")) {
                reportError(entries.get(key).line(), key, "yes or no", text);
            }
            return text == null ? defaultValue : text.equals("yes");
        }

        /** An enum constant, written in lower case. */
        <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) {
            List<String> allowed = Arrays.stream(type.getEnumConstants())
                    .map(e -> e.name().toLowerCase(Locale.ROOT))
                    .toList();
            String text = value(key, "one of " + String.join(", ", allowed));
            if (text == null) {
                return defaultValue;
            }
            if (!allowed.contains(text)) {
                reportError(entries.get(key).line(), key, "one of " + String.join(", ", allowed), text);
                return defaultValue;
            }
            return type.getEnumConstants()[allowed.indexOf(text)];
        }

        /** Records an error in a value that is valid by itself but not together with others, or is missing. */
        void rejectCombination(String key, String expected) {
            Entry entry = entries.get(key);
            reportError(
                    entry == null ? line : entry.line(),
                    key,
                    expected,
                    entry == null ? "its default" : String.join(" ", entry.values()));
        }

        /** Records an error with the new name for each directive used under its name of an earlier version. */
        void rejectRenamed(Map<String, String> newNames) {
            entries.forEach((key, entry) -> {
                if (newNames.containsKey(key)) {
                    renamedKeys.add(key);
                    addError(file + ":" + entry.line() + ": " + key + ": was renamed to " + newNames.get(key));
                }
            });
        }

        /** Records an error for each directive that was not read; to be called last. */
        void rejectUnknown() {
            entries.forEach((key, entry) -> {
                if (!knownKeys.contains(key) && !renamedKeys.contains(key)) {
                    rejectRepeats(key);
                    reportError(
                            entry.line(),
                            key,
                            "one of " + String.join(", ", knownKeys) + (name.isEmpty() ? "" : " in section " + name),
                            "an unknown directive");
                }
            });
        }
    }

    private final String file;
    private final List<String> errors = new ArrayList<>();
    private final Section root = new Section("", 1);

    private ConfFile(String file) {
        this.file = file;
    }

    /**
     * Reads and parses a file.
     *
     * @throws JsonFields.InvalidInputException if it cannot be read, is too large or is not UTF-8
     */
    static ConfFile load(Path path) {
        ConfFile conf = new ConfFile(path.toString());
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new JsonFields.InvalidInputException(path + ": longer than " + MAX_FILE_BYTES + " bytes");
            }
            conf.parse(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(java.nio.ByteBuffer.wrap(Files.readAllBytes(path)))
                    .toString());
        } catch (CharacterCodingException e) {
            throw new JsonFields.InvalidInputException(path + ": not UTF-8, perhaps truncated");
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(path + ": cannot be read: " + e.getMessage());
        }
        return conf;
    }

    /** Parses a text; {@code name} stands for the file in error messages. */
    static ConfFile read(String name, String text) {
        ConfFile conf = new ConfFile(name);
        conf.parse(text);
        return conf;
    }

    Section root() {
        return root;
    }

    private void reportError(int line, String key, String expected, String got) {
        addError(file + ":" + line + ": " + key + ": expected " + expected + ", got " + got);
    }

    private void addError(String fault) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(fault);
        }
    }

    /** Ends the reading: throws an exception with all errors, one per line, if there are any. */
    void throwIfErrors() {
        if (!errors.isEmpty()) {
            throw new JsonFields.InvalidInputException(String.join("\n", errors));
        }
    }

    private void parse(String text) {
        List<Section> open = new ArrayList<>(List.of(root));
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            int line = i + 1;
            List<String> words = splitWords(lines[i], line);
            if (words == null || words.isEmpty()) {
                continue;
            }
            Section in = open.get(open.size() - 1);
            String key = words.get(0);
            if (key.equals("}")) {
                if (words.size() > 1 || open.size() == 1) {
                    reportError(line, "}", open.size() == 1 ? "an open section" : "nothing after it", lines[i].strip());
                }
                if (open.size() > 1) {
                    open.remove(open.size() - 1);
                }
                continue;
            }
            boolean section = words.get(words.size() - 1).equals("{");
            Section inner = section ? new Section(key, line) : null;
            if (section && (words.size() != 2 || open.size() > MAX_SECTION_DEPTH)) {
                reportError(
                        line,
                        key,
                        words.size() != 2 ? "a name and a brace" : "at most " + MAX_SECTION_DEPTH + " nested sections",
                        lines[i].strip());
            }
            Entry read = new Entry(line, words.subList(1, words.size()), inner);
            if (in.entries.putIfAbsent(key, read) != null) {
                in.repeatedEntries.computeIfAbsent(key, k -> new ArrayList<>()).add(read);
            }
            if (section) {
                open.add(inner);
            }
        }
        if (open.size() > 1) {
            Section last = open.get(open.size() - 1);
            reportError(last.line, last.name, "a closing brace", "the end of the file");
        }
    }

    /** Splits a line into words; returns null after recording an error. */
    private List<String> splitWords(String text, int line) {
        List<String> out = new ArrayList<>();
        StringBuilder word = null;
        boolean quoted = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted && c == '\\' && i + 1 < text.length()) {
                word.append(text.charAt(++i));
            } else if (c == '"') {
                word = word == null ? new StringBuilder() : word;
                quoted = !quoted;
            } else if (!quoted && c == '#') {
                break;
            } else if (!quoted && Character.isWhitespace(c)) {
                if (word != null) {
                    out.add(word.toString());
                    word = null;
                }
            } else {
                word = word == null ? new StringBuilder() : word;
                word.append(c);
            }
        }
        if (quoted) {
            reportError(line, out.isEmpty() ? word.toString() : out.get(0), "a closing quote", "the end of the line");
            return null;
        }
        if (word != null) {
            out.add(word.toString());
        }
        return out;
    }

    private static String formatTime(long micros) {
        return micros % 1_000_000 == 0
                ? micros / 1_000_000 + "s"
                : micros % 1000 == 0 ? micros / 1000 + "ms" : micros + "us";
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
