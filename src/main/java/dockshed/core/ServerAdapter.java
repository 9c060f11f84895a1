package dockshed.core;

/**
 * The adapter for the servers of one protocol. The result of a call is reported to the broker, at once or later.
 * {@code server} is the id of a server, {@code name} the name of a session.
 */
public interface ServerAdapter {
    /**
     * A set-up that is sent to a server.
     *
     * @param name             name of the session
     * @param answerTimeout    microseconds within which the answer has to arrive
     * @param lowestRendition  index of the lowest rendition that the session may be given
     * @param highestRendition index of the highest one
     * @param description      the viewer's description of the session, passed on unread
     */
    record SetUp(
            String name,
            String className,
            String title,
            long answerTimeout,
            int lowestRendition,
            int highestRendition,
            String description) {}

    /** Sends a set-up to a server. */
    void setUp(String server, SetUp setUp);

    /** Cancels a set-up that has not been answered. */
    void cancelSetUp(String server, String name);

    /** Ends an active session at its server. */
    void release(String server, String name);

    /** Sets the rendition of an active session. */
    void setRendition(String server, String name, int rendition);

    /** A session that was set up through another process has been taken over; its end may have been received before. */
    default void sessionAdopted(String server, String name) {}

    /** An active session has ended, for whichever reason. */
    default void sessionEnded(String server, String name) {}

    /** Whether the server has active sessions of this adapter, for which it may send messages at any time. */
    void setHasActiveSessions(String server, boolean hasActiveSessions);
}
