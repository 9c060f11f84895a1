package dockshed.core;

import dockshed.Director.Outcome;

/** Where viewers come from. {@code connection} is the handle under which the front reported it. */
public interface Front {
    /** The session stands. {@code floor} to {@code rung} are the rungs that this viewer may be given. */
    void served(long connection, String name, Grant granted);

    /** Turned away; {@code comeBack}: microseconds to stay away, 0 for no advice. */
    void refused(long connection, String name, long comeBack);

    /** Ended with an error; {@code late}: because the viewer's time is up. */
    void failed(long connection, String name, boolean late);

    /** A request is over without an answer, as its viewer gave it up, on whichever connection. */
    default void requestCancelled(long connection, String name) {}

    /** A session that stood is over: OK, or RESET. */
    void sessionEnded(long connection, String name, Outcome outcome);

    /** A session that stood ends and is to be asked for again. */
    void moved(long connection, String name);

    /** The rung of a session that stands has been set. */
    default void renditionChanged(String name, int rung) {}

    /** Whether the end of a session can be told only on a connection; one that polls hears of it when it asks. */
    default boolean needsConnection() {
        return true;
    }

    /** Microseconds, of which whole multiples can be told as the time to stay away. */
    default long retryAfterUnit() {
        return 1000;
    }

    /** What a viewer is given. */
    record Grant(String server, String description, int lowestRendition, int highestRendition) {}
}
