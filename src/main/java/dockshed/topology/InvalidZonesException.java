package dockshed.topology;

/** Zones that do not put every broker into exactly one of them. */
public final class InvalidZonesException extends Exception {
    private static final long serialVersionUID = 1;

    private final int index;
    private final String expected;
    private final String got;

    InvalidZonesException(int index, String expected, String got) {
        super("zone " + index + ": expected " + expected + ", got " + got);
        this.index = index;
        this.expected = expected;
        this.got = got;
    }

    /** Which of the zones is at fault, by its place in the list that was given. */
    public int index() {
        return index;
    }

    public String expected() {
        return expected;
    }

    public String got() {
        return got;
    }
}
