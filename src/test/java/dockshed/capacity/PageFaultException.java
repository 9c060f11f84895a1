package dockshed.capacity;

/** A part of the capacity page that cannot be read or computed, or is wrong; the message names its line and row. */
class PageFaultException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    PageFaultException(String message) {
        super(message);
    }

    /** A fault of one row. */
    static PageFaultException of(CapacityRow row, String message) {
        return new PageFaultException(describe(row, message));
    }

    /** The text of a fault of one row: its line, its id, what is wrong. */
    static String describe(CapacityRow row, String message) {
        return "line " + row.line() + ", row `" + row.id() + "`: " + message;
    }
}
