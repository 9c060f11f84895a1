package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads the CPU time, resident memory and file descriptors of a process from {@code /proc}. */
public final class ProcessFigures {

    /** Unit of the CPU times in {@code /proc}: Linux fixes it to 100 ticks per second for user space. */
    static final double TICKS_PER_SECOND = 100;

    /** Indexes of utime and stime among the fields after the command's closing parenthesis, the state being 0. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    private final Path directory;

    /** Figures of the process with this id. */
    public ProcessFigures(long pid) {
        directory = Path.of("/proc", Long.toString(pid));
    }

    /** CPU time of all threads so far, user and system, in seconds. */
    public double processorSeconds() throws IOException {
        return processorSeconds(Files.readString(directory.resolve("stat")));
    }

    /** Resident memory now, in kB. */
    public long residentKb() throws IOException {
        return kilobytes(Files.readAllLines(directory.resolve("status")), "VmRSS");
    }

    /** The peak of the resident memory so far, in kB. */
    public long peakResidentKb() throws IOException {
        return kilobytes(Files.readAllLines(directory.resolve("status")), "VmHWM");
    }

    /** Number of open file descriptors. */
    public long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(directory.resolve("fd"))) {
            return open.count();
        }
    }

    /**
     * The CPU time in the text of {@code /proc/PID/stat}, in seconds; the command in it may contain spaces and parentheses.
     *
     * @throws IllegalArgumentException if the text is cut off
     */
    static double processorSeconds(String stat) {
        int commandEnd = stat.lastIndexOf(')');
        String[] fields = stat.substring(commandEnd + 1).trim().split(" ");
        if (commandEnd < 0 || fields.length <= SYSTEM_TICKS_FIELD) {
            throw new IllegalArgumentException("expected the whole text of /proc/PID/stat, got: " + stat);
        }
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return ticks / TICKS_PER_SECOND;
    }

    /**
     * The number in a line such as {@code VmRSS:   1234 kB}.
     *
     * @throws IllegalArgumentException if no line has the key
     */
    static long kilobytes(List<String> status, String key) {
        for (String line : status) {
            if (line.startsWith(key + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IllegalArgumentException("/proc/PID/status has no " + key);
    }
}
