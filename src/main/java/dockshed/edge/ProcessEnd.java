package dockshed.edge;

/**
 * Tells whether the process that a server's sessions were on has ended although its address answers again. A process that
 * dies resets its connections, and refuses new ones until another process listens there. Either alone proves nothing:
 * connections are reset under live processes, and a live one may refuse a connection. Both in a row show that whatever
 * comes up next is another process, which may be another server's.
 *
 * <p>Does no I/O. Times are in microseconds.
 */
final class ProcessEnd {
    /**
     * How long the process that came up is not used for set-ups unless the list tells of it before. By then the list
     * would have told of it, even after an outage of the name server.
     */
    static final long UNKNOWN_PROCESS_HOLD_US = 4_500_000;

    private boolean allReset;
    private boolean refused; // after all connections were reset
    private long holdUntil = Long.MIN_VALUE;

    /** The last connection that was open has been reset. */
    void allConnectionsReset() {
        allReset = true;
    }

    /** A connection was closed in order: the process lives. */
    void connectionClosedInOrder() {
        allReset = false;
    }

    /** A connection was refused while no other was open. */
    void connectionRefused() {
        refused |= allReset;
    }

    /** A connection has come up. Returns whether it leads to another process than the connections before it. */
    boolean connectionOpened(long now) {
        boolean anotherProcess = refused;
        if (anotherProcess) {
            holdUntil = now + UNKNOWN_PROCESS_HOLD_US;
        }
        allReset = false;
        refused = false;
        return anotherProcess;
    }

    /** The list has told of the server's start or address: the process is known again. */
    void listed() {
        allReset = false;
        refused = false;
        holdUntil = Long.MIN_VALUE;
    }

    /** Whether it is unknown which server's process listens at the address. */
    boolean isProcessUnknown(long now) {
        return now < holdUntil;
    }
}
