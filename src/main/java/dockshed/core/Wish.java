package dockshed.core;

import dockshed.Director;

/**
 * What a front asks of the broker for a viewer. {@code name} is the session's name outside; {@code description}
 * passes through to the server unread. Times are microseconds.
 */
public record Wish(
        String name,
        String className,
        String viewer,
        String title,
        long patience,
        long length,
        int home,
        int copies,
        int top,
        boolean retry,
        boolean moved,
        boolean back,
        String description) {

    Director.Request request(String id) {
        return new Director.Request(
                id, className, viewer, title, patience, length, home, copies, top, retry, moved, back);
    }
}
