package dockshed.core;

import dockshed.Director;

/**
 * A viewer's request for a session. Durations are in microseconds.
 *
 * @param name             name of the session, as known to viewer and server
 * @param className        name of the session's class
 * @param viewer           id of the viewer
 * @param title            the title to be played
 * @param clientDeadline   time within which the viewer needs its answer
 * @param expectedDuration estimated duration of the session; 0: unknown
 * @param homeCell         the first of the consecutive cells that hold the title
 * @param copies           number of those cells
 * @param highestRendition index of the highest rendition that the viewer can play
 * @param retry            whether the viewer repeats an earlier request
 * @param afterMove        whether the session was taken off its server and is requested again
 * @param returning        whether the viewer says that it has requested this session before
 * @param description      the viewer's description of the session, passed to the server unread
 */
public record SessionRequest(
        String name,
        String className,
        String viewer,
        String title,
        long clientDeadline,
        long expectedDuration,
        int homeCell,
        int copies,
        int highestRendition,
        boolean retry,
        boolean afterMove,
        boolean returning,
        String description) {
    /** Longest id of a viewer: it is kept in tables. */
    public static final int MAX_VIEWER_LENGTH = 256;
    /** Longest title. */
    public static final int MAX_TITLE_LENGTH = 256;

    /** This request as it is kept once it is answered: no further attempt needs the description. */
    SessionRequest withoutDescription() {
        return new SessionRequest(
                name,
                className,
                viewer,
                title,
                clientDeadline,
                expectedDuration,
                homeCell,
                copies,
                highestRendition,
                retry,
                afterMove,
                returning,
                "");
    }

    /** This request as the decision module is given it, under the broker's id of it. */
    Director.Request toDirectorRequest(String id) {
        return new Director.Request(
                id,
                className,
                viewer,
                title,
                clientDeadline,
                expectedDuration,
                homeCell,
                copies,
                highestRendition,
                retry,
                afterMove,
                returning);
    }
}
