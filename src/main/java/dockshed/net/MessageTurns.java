package dockshed.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Shares the turns of an event loop among the connections that have received more messages than one turn may handle.
 * They take their turns one after the other. Meanwhile a connection without such a backlog still gets at least one
 * message handled at once.
 *
 * <p>Not thread-safe: for the connections of one event loop.
 */
public final class MessageTurns {
    /** Messages of one connection that are handled in a turn. */
    static final int MAX_PER_CONNECTION = 32;
    /** Messages that are handled in a turn while there is a backlog. */
    static final int MAX_PER_TURN = 128;

    /** A connection whose messages are handled in turns. */
    interface Source {
        /** Handles up to that many messages; returns whether there may be more. */
        boolean handle(int most);

        /** Messages handled since the event loop began to read from the connection. */
        int handledInRead();

        /** The connection is closed: what it has left is not handled. */
        boolean isClosed();

        /** All its messages are handled. */
        void backlogHandled();
    }

    private final ArrayDeque<Source> backlog = new ArrayDeque<>();
    private int handledInTurn; // counted while there is a backlog
    private boolean turnScheduled;

    /** Handles messages that a connection has just received; returns whether some are left, which get their turn later. */
    boolean handleReceived(EventLoop loop, Source source) {
        int most = Math.max(1, Math.min(MAX_PER_CONNECTION, MAX_PER_TURN - handledInTurn)) - source.handledInRead();
        if (most > 0 && !handle(source, most)) {
            return false;
        }
        backlog.add(source);
        scheduleTurn(loop);
        return true;
    }

    private boolean handle(Source source, int most) {
        int before = source.handledInRead();
        boolean more = source.handle(most);
        handledInTurn += turnScheduled ? source.handledInRead() - before : 0;
        return more;
    }

    private void scheduleTurn(EventLoop loop) {
        if (!turnScheduled) {
            turnScheduled = true;
            Net.inNextTurn(loop, () -> runTurn(loop));
        }
    }

    /** Gives each connection of the backlog an equal part of the turn, as far as it goes. */
    private void runTurn(EventLoop loop) {
        handledInTurn = 0;
        int waiting = backlog.size();
        int most = Math.max(1, Math.min(MAX_PER_CONNECTION, MAX_PER_TURN / Math.max(1, waiting)));
        for (int i = 0; i < waiting && handledInTurn < MAX_PER_TURN; i++) {
            Source source = backlog.poll();
            if (source.isClosed()) {
                continue;
            }
            if (handle(source, most)) {
                backlog.add(source);
            } else {
                source.backlogHandled();
            }
        }
        turnScheduled = false;
        if (backlog.isEmpty()) {
            handledInTurn = 0;
        } else {
            scheduleTurn(loop);
        }
    }
}
