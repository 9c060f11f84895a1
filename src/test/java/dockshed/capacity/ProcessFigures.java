package dockshed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** What the kernel says of a process under {@code /proc}: processor time, resident memory, descriptors. */
public final class ProcessFigures {

    /** Ticks in a second of the processor times under {@code /proc}: fixed by Linux for user space. */
    static final double TICKS_PER_SECOND = 100;

    /** Places of utime and stime after the command's closing parenthesis, whose next field is the state. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    private final Path folder;

    /** Figures of the process with this id. */
    public ProcessFigures(long pid) {
        folder = Path.of("/proc", Long.toString(pid));
    }

    /** Processor time of all threads so far, user and system, in seconds. */
    public double processorSeconds() throws IOException {
        return processorSeconds(Files.readString(folder.resolve("stat")));
    }

    /** Resident memory now, in kB. */
    public long residentKb() throws IOException {
        return kilobytes(Files.readAllLines(folder.resolve("status")), "VmRSS");
    }

    /** The most resident memory so far, in kB. */
    public long peakResidentKb() throws IOException {
        return kilobytes(Files.readAllLines(folder.resolve("status")), "VmHWM");
    }

    /** Open descriptors. */
    public long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(folder.resolve("fd"))) {
            return open.count();
        }
    }

    /** Reads the text of {@code /proc/PID/stat}; the command in it may hold spaces and parentheses. */
    static double processorSeconds(String stat) {
        int commandEnd = stat.lastIndexOf(')');
        String[] fields = stat.substring(commandEnd + 1).trim().split(" ");
        if (commandEnd < 0 || fields.length <= SYSTEM_TICKS_FIELD) {
            throw new IllegalArgumentException("not the text of /proc/PID/stat: " + stat);
        }
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return ticks / TICKS_PER_SECOND;
    }

    /** Reads a line such as {@code VmRSS:   1234 kB}. */
    static long kilobytes(List<String> status, String key) {
        for (String line : status) {
            if (line.startsWith(key + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IllegalArgumentException("/proc/PID/status has no " + key);
    }
}
