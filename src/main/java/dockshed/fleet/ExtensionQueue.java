package dockshed.fleet;

import java.util.ArrayDeque;

/** Bodies of a {@link GossipExtension} that wait for the byte budget, in their order; beyond the bound they are dropped. */
final class ExtensionQueue {
    /** Bodies that wait at most: some five seconds' worth of the part of the budget that is left to them. */
    static final int MAX_QUEUED_BODIES = 64;

    /** A body and the broker that it is for. */
    record Message(int to, byte[] body) {}

    private final ArrayDeque<Message> queued = new ArrayDeque<>();
    /** Bodies that found the queue full, since the start. */
    long dropped;

    /** Queues a body; false if it is too long or the queue is full. */
    boolean offer(int to, byte[] body) {
        if (body.length > GossipExtension.MAX_BODY_BYTES || queued.size() >= MAX_QUEUED_BODIES) {
            dropped++;
            return false;
        }
        queued.add(new Message(to, body));
        return true;
    }

    /** The next message, which stays; null: there is none. */
    Message peek() {
        return queued.peek();
    }

    void remove() {
        queued.remove();
    }
}
