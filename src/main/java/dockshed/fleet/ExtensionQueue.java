package dockshed.fleet;

import java.util.ArrayDeque;

/**
 * Bodies of a {@link GossipExtension} that wait, in order, for the extension's byte allowance; when the queue is full,
 * further ones are dropped.
 */
final class ExtensionQueue {
    /** Maximum number of waiting bodies: about five seconds' worth of the extension's part of the byte budget. */
    static final int MAX_QUEUED_BODIES = 64;

    /** A body and the broker to which it is sent. */
    record Message(int to, byte[] body) {}

    private final ArrayDeque<Message> queued = new ArrayDeque<>();
    /** Bodies dropped since the start. */
    long dropped;

    /** Queues a body; returns false if it is too long or the queue is full. */
    boolean offer(int to, byte[] body) {
        if (body.length > GossipExtension.MAX_BODY_BYTES || queued.size() >= MAX_QUEUED_BODIES) {
            dropped++;
            return false;
        }
        queued.add(new Message(to, body));
        return true;
    }

    /** The next message, which stays in the queue; null if there is none. */
    Message peek() {
        return queued.peek();
    }

    /** Removes the message that {@link #peek} returned. */
    void remove() {
        queued.remove();
    }
}
