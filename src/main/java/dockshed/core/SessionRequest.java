package dockshed.core;

import dockshed.Director;

/**
 * What a front asks of the broker for a viewer. {@code name} is the session's name outside; {@code description}
 * passes through to the server unread. Times are microseconds.
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
        boolean afterRefusal,
        String description) {

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
                afterRefusal);
    }
}
