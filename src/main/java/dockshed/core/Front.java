package dockshed.core;

import dockshed.Director.Outcome;

/**
 * The adapter for a protocol that viewers use: passes their requests to the broker and the broker's answers to them.
 * {@code connection} is a handle from {@link Broker#connected} (0: none, see {@link #needsConnection}), {@code name} is
 * the name of a session.
 */
public interface Front {
    /** A request has been answered: its session is active. */
    void served(long connection, String name, Grant grant);

    /** A request has been refused; {@code retryAfter}: microseconds to wait before the next one, 0 for no advice. */
    void refused(long connection, String name, long retryAfter);

    /** A request has failed; {@code late}: because its client deadline was reached. */
    void failed(long connection, String name, boolean late);

    /** A request has been cancelled by its viewer, on whichever connection, and gets no answer. */
    default void setUpCancelled(long connection, String name) {}

    /** An active session has ended, with the outcome OK or RESET. */
    void sessionEnded(long connection, String name, Outcome outcome);

    /** An active session is taken off its server; its viewer is to request it again. */
    void moved(long connection, String name);

    /** The rendition of an active session has been set. */
    default void renditionChanged(String name, int rendition) {}

    /** Whether viewers can be notified of an end only on a connection; those that poll learn of it when they ask. */
    default boolean needsConnection() {
        return true;
    }

    /** Microseconds; a retry-after time can be given to viewers only in whole multiples of it. */
    default long retryAfterUnit() {
        return 1000;
    }

    /**
     * What a viewer is given.
     *
     * @param server            id of the server that the session plays from
     * @param description       the server's answer: a session description or a playlist
     * @param lowestRendition   index of the lowest rendition that the viewer may be given
     * @param highestRendition  index of the highest one
     */
    record Grant(String server, String description, int lowestRendition, int highestRendition) {}
}
