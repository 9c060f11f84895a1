package dockshed.topology;

/** Zones that do not assign every broker to exactly one of them. */
public final class InvalidZonesException extends Exception {
    private static final long serialVersionUID = 1;

    private final int index;
    private final String expected;
    private final String got;

    /** Names the zone by its index, and what was expected and found. */
    InvalidZonesException(int index, String expected, String got) {
        super("zone " + index + ": expected " + expected + ", got " + got);
        this.index = index;
        this.expected = expected;
        this.got = got;
    }

    /** Index of the invalid zone in the list that was given. */
    public int index() {
        return index;
    }

    /** What was expected of that zone. */
    public String expected() {
        return expected;
    }

    /** What the zone has instead. */
    public String got() {
        return got;
    }
}
