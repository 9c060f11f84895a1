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
 * The operator's file: a directive and its values on a line, {@code section {} to {@code }}, comments from {@code #},
 * values with spaces in double quotes, in which a backslash keeps the next character. All faults of a file are told at
 * once, each with file, line, key, what was expected and what stood there.
 */
final class ConfFile {
    /** No operator writes a longer file by hand; one that long is some other file. */
    static final int MAX_FILE_BYTES = 1 << 20;
    /** Sections in sections. */
    static final int MAX_SECTION_DEPTH = 8;

    private static final int MAX_FAULTS = 100;
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?)([a-z/%]*)");
    private static final Map<String, Double> MICROS_BY_UNIT =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "m", 60e6, "h", 3600e6);

    /** A directive with what follows it, or a section. */
    private record Entry(int line, List<String> values, Section section) {}

    /** One line of a directive that may stand several times. */
    record DirectiveLine(int number, List<String> values) {}

    /** The directives between two braces, or of the whole file; each is asked for by name, and what is left is a fault. */
    final class Section {
        private final String name;
        private final int line;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Map<String, List<Entry>> repeatedEntries = new LinkedHashMap<>(); // further lines of a directive
        private final List<String> knownKeys = new ArrayList<>();
        /** Keys that stand in the file under a name of an earlier version; their fault is recorded. */
        private final Set<String> renamedKeys = new HashSet<>();

        private Section(String name, int line) {
            this.name = name;
            this.line = line;
        }

        boolean has(String key) {
            return entries.containsKey(key);
        }

        /** All lines of a directive that may stand several times, in their order. */
        List<DirectiveLine> lines(String key, String expected) {
            knownKeys.add(key);
            List<Entry> all = new ArrayList<>();
            if (entries.containsKey(key)) {
                all.add(entries.get(key));
                all.addAll(repeatedEntries.getOrDefault(key, List.of()));
            }
            List<DirectiveLine> out = new ArrayList<>();
            for (Entry e : all) {
                if (e.section() != null) {
                    fault(e.line(), key, expected, "a section");
                } else {
                    out.add(new DirectiveLine(e.line(), e.values()));
                }
            }
            return out;
        }

        /** A fault of one of a directive's lines. */
        void faultAt(DirectiveLine of, String key, String expected, String got) {
            fault(of.number(), key, expected, got);
        }

        private void rejectRepeats(String key) {
            for (Entry again : repeatedEntries.getOrDefault(key, List.of())) {
                fault(
                        again.line(),
                        key,
                        "it once, and it stands in line " + entries.get(key).line(),
                        "it again");
            }
        }

        /** The section of that name, or an empty one. */
        Section section(String key) {
            knownKeys.add(key);
            rejectRepeats(key);
            Entry e = entries.get(key);
            if (e != null && e.section() == null) {
                fault(e.line(), key, "a section: '" + key + " {'", String.join(" ", e.values()));
            }
            return e != null && e.section() != null ? e.section() : new Section(key, line);
        }

        private String value(String key, String expected) {
            knownKeys.add(key);
            rejectRepeats(key);
            Entry e = entries.get(key);
            if (e == null) {
                return null;
            }
            if (e.section() != null || e.values().size() != 1) {
                fault(
                        e.line(),
                        key,
                        expected,
                        e.section() != null
                                ? "a section"
                                : e.values().isEmpty() ? "nothing" : String.join(" ", e.values()));
                return null;
            }
            return e.values().get(0);
        }

        private double quantity(
                String key, double absent, double least, double most, Map<String, Double> units, String expected) {
            String text = value(key, expected);
            if (text == null) {
                return absent;
            }
            Matcher m = QUANTITY.matcher(text);
            Double unit = m.matches() ? units.get(m.group(2)) : null;
            double read = unit == null ? Double.NaN : Double.parseDouble(m.group(1)) * unit;
            if (!(read >= least && read <= most)) {
                fault(entries.get(key).line(), key, expected, text);
                return absent;
            }
            return read;
        }

        /** Microseconds. */
        long duration(String key, long absent, long least, long most) {
            return Math.round(quantity(
                    key,
                    absent,
                    least,
                    most,
                    MICROS_BY_UNIT,
                    "a time from " + formatTime(least) + " to " + formatTime(most)));
        }

        /** A share of 1, written in percent. */
        double share(String key, double absent, double least, double most) {
            return quantity(
                    key,
                    absent,
                    least,
                    most,
                    Map.of("%", 0.01),
                    String.format(Locale.ROOT, "a share from %.0f%% to %.0f%%", least * 100, most * 100));
        }

        double perSecond(String key, double absent, double least, double most) {
            return quantity(
                    key,
                    absent,
                    least,
                    most,
                    Map.of("/s", 1.0, "/m", 1 / 60.0),
                    String.format(Locale.ROOT, "a rate from %s/s to %s/s", formatNumber(least), formatNumber(most)));
        }

        double decimal(String key, double absent, double least, double most) {
            return quantity(
                    key,
                    absent,
                    least,
                    most,
                    Map.of("", 1.0),
                    "a number from " + formatNumber(least) + " to " + formatNumber(most));
        }

        int integer(String key, int absent, int least, int most) {
            double read =
                    quantity(key, absent, least, most, Map.of("", 1.0), "a whole number from " + least + " to " + most);
            if (read != Math.rint(read)) {
                fault(entries.get(key).line(), key, "a whole number", formatNumber(read));
                return absent;
            }
            return (int) read;
        }

        /** A whole number that may be larger than an {@code int}. */
        long longInteger(String key, long absent, long least, long most) {
            String expected = "a whole number from " + least + " to " + most;
            String text = value(key, expected);
            if (text == null) {
                return absent;
            }
            long read = text.matches("[0-9]{1,18}") ? Long.parseLong(text) : -1;
            if (read < least || read > most) {
                fault(entries.get(key).line(), key, expected, text);
                return absent;
            }
            return read;
        }

        /** Several whole numbers on one line; empty where the directive does not stand. */
        List<Integer> integers(String key, int least, int most, String expected) {
            knownKeys.add(key);
            Entry e = entries.get(key);
            List<Integer> out = new ArrayList<>();
            if (e == null) {
                return out;
            }
            for (String text : e.values()) {
                int read = text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : -1;
                if (read < least || read > most) {
                    fault(e.line(), key, expected, text);
                    return List.of();
                }
                out.add(read);
            }
            return out;
        }

        /** One value as it stands; null where the directive does not. */
        String text(String key, String expected) {
            return value(key, expected);
        }

        /** An address and port in figures; null where the directive does not stand. */
        InetSocketAddress address(String key) {
            String expected = "an address and a port: '127.0.0.1:53'";
            String text = value(key, expected);
            if (text == null) {
                return null;
            }
            try {
                return Config.parseAddress(text, key);
            } catch (JsonFields.InvalidInputException e) {
                fault(entries.get(key).line(), key, expected, text);
                return null;
            }
        }

        /** Whether a directive stands before all others. */
        boolean isFirst(String key) {
            return !entries.isEmpty() && entries.keySet().iterator().next().equals(key);
        }

        /** The line of a directive, or of the section where it does not stand. */
        int line(String key) {
            return has(key) ? entries.get(key).line() : line;
        }

        boolean flag(String key, boolean absent) {
            String text = value(key, "yes or no");
            if (text != null && !text.equals("yes") && !text.equals("no")) {
                fault(entries.get(key).line(), key, "yes or no", text);
            }
            return text == null ? absent : text.equals("yes");
        }

        <E extends Enum<E>> E enumValue(String key, E absent, Class<E> of) {
            List<String> words = Arrays.stream(of.getEnumConstants())
                    .map(e -> e.name().toLowerCase(Locale.ROOT))
                    .toList();
            String text = value(key, "one of " + String.join(", ", words));
            if (text == null) {
                return absent;
            }
            if (!words.contains(text)) {
                fault(entries.get(key).line(), key, "one of " + String.join(", ", words), text);
                return absent;
            }
            return of.getEnumConstants()[words.indexOf(text)];
        }

        /** A fault that figures have only together. */
        void rejectCombination(String key, String expected) {
            Entry e = entries.get(key);
            fault(e == null ? line : e.line(), key, expected, e == null ? "its default" : String.join(" ", e.values()));
        }

        /** Directives of earlier versions, by their old names: one that stands here is a fault that names the new one. */
        void rejectRenamed(Map<String, String> newNames) {
            entries.forEach((key, e) -> {
                if (newNames.containsKey(key)) {
                    renamedKeys.add(key);
                    addFault(file + ":" + e.line() + ": " + key + ": was renamed to " + newNames.get(key));
                }
            });
        }

        /** Whatever was not asked for by now is no directive of this section. */
        void rejectUnknown() {
            entries.forEach((key, e) -> {
                if (!knownKeys.contains(key) && !renamedKeys.contains(key)) {
                    rejectRepeats(key);
                    fault(
                            e.line(),
                            key,
                            "one of " + String.join(", ", knownKeys) + (name.isEmpty() ? "" : " in section " + name),
                            "an unknown directive");
                }
            });
        }
    }

    private final String file;
    private final List<String> faults = new ArrayList<>();
    private final Section root = new Section("", 1);

    private ConfFile(String file) {
        this.file = file;
    }

    static ConfFile load(Path path) {
        ConfFile f = new ConfFile(path.toString());
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new JsonFields.InvalidInputException(path + ": longer than " + MAX_FILE_BYTES + " bytes");
            }
            f.parse(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(java.nio.ByteBuffer.wrap(Files.readAllBytes(path)))
                    .toString());
        } catch (CharacterCodingException e) {
            throw new JsonFields.InvalidInputException(path + ": not UTF-8, perhaps cut off");
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(path + ": cannot be read: " + e.getMessage());
        }
        return f;
    }

    static ConfFile read(String name, String text) {
        ConfFile f = new ConfFile(name);
        f.parse(text);
        return f;
    }

    Section root() {
        return root;
    }

    private void fault(int line, String key, String expected, String got) {
        addFault(file + ":" + line + ": " + key + ": expected " + expected + ", got " + got);
    }

    private void addFault(String fault) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(fault);
        }
    }

    /** Ends the reading: throws with all faults, a line each, where there are any. */
    void check() {
        if (!faults.isEmpty()) {
            throw new JsonFields.InvalidInputException(String.join("\n", faults));
        }
    }

    private void parse(String text) {
        List<Section> open = new ArrayList<>(List.of(root));
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            int line = i + 1;
            List<String> words = words(lines[i], line);
            if (words == null || words.isEmpty()) {
                continue;
            }
            Section in = open.get(open.size() - 1);
            String key = words.get(0);
            if (key.equals("}")) {
                if (words.size() > 1 || open.size() == 1) {
                    fault(line, "}", open.size() == 1 ? "an open section" : "nothing behind it", lines[i].strip());
                }
                if (open.size() > 1) {
                    open.remove(open.size() - 1);
                }
                continue;
            }
            boolean section = words.get(words.size() - 1).equals("{");
            Section inner = section ? new Section(key, line) : null;
            if (section && (words.size() != 2 || open.size() > MAX_SECTION_DEPTH)) {
                fault(
                        line,
                        key,
                        words.size() != 2
                                ? "a name and a brace"
                                : "at most " + MAX_SECTION_DEPTH + " sections in sections",
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
            fault(last.line, last.name, "a closing brace", "the end of the file");
        }
    }

    /** The words of a line; null after a fault. */
    private List<String> words(String text, int line) {
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
            fault(line, out.isEmpty() ? word.toString() : out.get(0), "a closing quote", "the end of the line");
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

    private static String formatNumber(double d) {
        return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
    }
}
