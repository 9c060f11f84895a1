package dockshed.edge;

/**
 * Decides when a further connection to one edge server is needed because a release may have been lost. A server sends
 * the release of a session on one of its connections, and again on the next connection that is opened. What it wrote on
 * a connection that then closed may never arrive, whoever closed it, and the connections that are still open do not
 * carry it again: only one that is opened afterwards does.
 *
 * <p>Does no I/O. Times are in microseconds.
 */
final class ReleaseRecovery {
    /** Shortest interval between two connections opened for lost releases. */
    static final long MIN_INTERVAL_US = 300_000;
    /** How often the interval doubles while connections do not come up: the server may be at its limit of connections. */
    private static final int MAX_DOUBLINGS = 4;

    private boolean needed;
    private int failures; // consecutive

    /** A connection that was up has ended: releases written on it may be lost. */
    void connectionClosed() {
        needed = true;
    }

    /** A connection is being opened, for whatever reason. Returns whether it is the one that was needed. */
    boolean connectionOpening() {
        boolean recovers = needed;
        needed = false;
        return recovers;
    }

    /** A connection has come up. */
    void connectionOpened() {
        failures = 0;
    }

    /** A connection has ended before it came up; {@code recovers} is what {@link #connectionOpening} returned for it. */
    void connectionFailed(boolean recovers) {
        if (recovers) {
            needed = true;
            failures++;
        }
    }

    /** The server has no active sessions any more, so no release is awaited. */
    void sessionsEnded() {
        needed = false;
        failures = 0;
    }

    /** Whether a release may have been lost and no connection has been opened since. */
    boolean isNeeded() {
        return needed;
    }

    /** Time from the last connection opened on behalf of the server's sessions to the next one for lost releases. */
    long interval() {
        return MIN_INTERVAL_US << Math.min(failures, MAX_DOUBLINGS);
    }
}
