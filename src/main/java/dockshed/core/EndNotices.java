package dockshed.core;

import dockshed.Director.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * The connections from viewers, and the notices on them of sessions that have ended. A notice goes on the session's own
 * connection if that is open, else on another that viewers use, else on the next one that brings a set-up.
 *
 * <p>No I/O; times and durations are in microseconds.
 */
final class EndNotices {
    /** Time for which a notice that no connection could carry is kept for the next connection. */
    static final long VALIDITY_US = 8_000_000;
    /** An unconfirmed notice is sent again if its connection closes within this time: it may not have arrived. */
    static final long RESEND_WINDOW_US = 300_000;

    /** The end of a session, of which its viewer has yet to be notified; discarded at {@code validUntil}. */
    private record EndNotice(Front front, String name, Outcome outcome, long validUntil) {}

    /** A notice that was written to a connection and has not been confirmed. */
    private record SentNotice(EndNotice notice, long sentAt) {}

    /** A connection from viewers. */
    private static final class Connection {
        final Front front;
        final ArrayDeque<SentNotice> sentNotices = new ArrayDeque<>();
        long lastSetUpAt = -1; // time of the last set-up received on it; -1: none yet
        boolean knownRead; // it carried a session or confirmed a notice, so a viewer reads from it

        Connection(Front front) {
            this.front = front;
        }
    }

    private final SlotTable<Connection> connections = new SlotTable<>();
    private final ArrayDeque<EndNotice> waiting = new ArrayDeque<>(); // for the next connection that brings a set-up

    /** Adds a connection; {@code onHandle} gets its handle. */
    long opened(Front front, LongConsumer onHandle) {
        long handle = connections.add(new Connection(front));
        onHandle.accept(handle);
        return handle;
    }

    /** Removes a connection; returns what sends its notices again that may not have arrived, or null if it is unknown. */
    LongConsumer closed(long handle) {
        Connection closed = connections.remove(handle);
        if (closed == null) {
            return null;
        }
        return now -> {
            for (SentNotice sent : closed.sentNotices) {
                if (now - sent.sentAt() < RESEND_WINDOW_US) {
                    send(now, sent.notice(), 0);
                }
            }
        };
    }

    /**
     * Records a set-up on a connection; {@code knownRead}: a viewer is known to read from it. Returns whether it can
     * carry notices that wait.
     */
    boolean setUpReceived(long now, long handle, boolean knownRead) {
        Connection connection = connections.get(handle);
        if (connection == null) {
            return false;
        }
        connection.lastSetUpAt = now;
        connection.knownRead |= knownRead;
        return !waiting.isEmpty();
    }

    /** The connection carries a session, so a viewer reads from it. */
    void sessionStarted(long handle) {
        Connection connection = connections.get(handle);
        if (connection != null) {
            connection.knownRead = true;
        }
    }

    /** The viewer has confirmed the notice of the session {@code name}. */
    void confirmed(long handle, String name) {
        Connection connection = connections.get(handle);
        if (connection != null) {
            connection.knownRead |=
                    connection.sentNotices.removeIf(sent -> sent.notice().name().equals(name));
        }
    }

    /** Sends the notices that wait for a connection and are still valid. */
    void sendWaiting(long now) {
        List<EndNotice> due = new ArrayList<>(waiting);
        waiting.clear();
        for (EndNotice notice : due) {
            if (notice.validUntil() > now) {
                send(now, notice, 0);
            }
        }
    }

    /** Notifies the viewer of the end of a session, whose own connection has the handle {@code own}; 0: it has none. */
    void notifyEnd(long now, Front front, String name, Outcome outcome, long own) {
        send(now, new EndNotice(front, name, outcome, now + VALIDITY_US), own);
    }

    private void send(long now, EndNotice notice, long own) {
        if (!notice.front().needsConnection()) {
            notice.front().sessionEnded(0, notice.name(), notice.outcome());
            return;
        }
        long handle = findConnection(notice.front(), own);
        if (handle == 0) {
            waiting.add(notice);
            return;
        }
        Connection connection = connections.get(handle);
        while (!connection.sentNotices.isEmpty()
                && now - connection.sentNotices.peekFirst().sentAt() > RESEND_WINDOW_US) {
            connection.sentNotices.removeFirst();
        }
        connection.sentNotices.add(new SentNotice(notice, now));
        notice.front().sessionEnded(handle, notice.name(), notice.outcome());
    }

    /**
     * The connection {@code own} if it is still open, else that with the latest set-up, preferring those known to be
     * read; 0 if there is none. A connection that never brought a set-up is not used: it may be held open by a
     * program that does not read from it.
     */
    long findConnection(Front front, long own) {
        if (connections.get(own) != null) {
            return own;
        }
        long[] found = {0};
        Connection[] best = {null};
        connections.forEachWithHandle((handle, connection) -> {
            if (connection.front == front
                    && connection.lastSetUpAt >= 0
                    && (best[0] == null
                            || (connection.knownRead == best[0].knownRead
                                    ? connection.lastSetUpAt >= best[0].lastSetUpAt
                                    : connection.knownRead))) {
                found[0] = handle;
                best[0] = connection;
            }
        });
        return found[0];
    }
}
