package dockshed.core;

/** The servers behind one adapter. What comes of a call is reported to the broker, at once or later. */
public interface ServerAdapter {
    /**
     * A set-up as it goes out; {@code left}: microseconds for which its answer is waited for; from {@code floor} to
     * {@code rung}: the rungs that the session may be given.
     */
    record SetUp(
            String name,
            String className,
            String title,
            long answerTimeout,
            int lowestRendition,
            int highestRendition,
            String description) {}

    void setUp(String server, SetUp setUp);

    /** Gives up a set-up that is out. */
    void cancelSetUp(String server, String name);

    /** Ends a session that stands. */
    void release(String server, String name);

    void setRendition(String server, String name, int rung);

    /** A session that stood is over, however it ended. */
    default void sessionEnded(String server, String name) {}

    /** Whether sessions stand at the server, of which news may come at any time. */
    void setHasActiveSessions(String server, boolean sessions);
}
