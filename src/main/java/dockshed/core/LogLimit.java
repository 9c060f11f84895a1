package dockshed.core;

/** Limits the log lines of one kind in a second, as peers may cause any number of them. Times are in microseconds. */
final class LogLimit {
    private static final long SECOND_US = 1_000_000;

    private final int maxLinesPerSecond;
    private long second; // to which lines applies
    private int lines;

    LogLimit(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Counts a line; whether it may be logged. */
    boolean mayLog(long now) {
        if (now / SECOND_US != second) {
            second = now / SECOND_US;
            lines = 0;
        }
        return lines++ < maxLinesPerSecond;
    }
}
