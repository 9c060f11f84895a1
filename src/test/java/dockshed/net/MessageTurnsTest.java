package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Turns of connections with more messages than one turn of the event loop may handle. */
class MessageTurnsTest {
    private final MessageTurns turns = new MessageTurns();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLoop loop = channel.eventLoop();
    private final List<StubSource> handledInOrder = new ArrayList<>();

    /** A connection with a number of messages that it has received. */
    private final class StubSource implements MessageTurns.Source {
        int messages;
        int handled;
        boolean closed;
        boolean backlogDone;

        StubSource(int messages) {
            this.messages = messages;
        }

        @Override
        public boolean handle(int most) {
            int now = Math.min(most, messages);
            messages -= now;
            handled += now;
            handledInOrder.add(this);
            return messages > 0;
        }

        @Override
        public int handledInRead() {
            return handled;
        }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void backlogHandled() {
            backlogDone = true;
        }
    }

    /** Runs turns until all that is left is handled; returns how many messages the turn with the most handled. */
    private int runTurns(List<StubSource> sources) {
        int most = 0;
        for (int turn = 0; turn < 10_000; turn++) {
            int before = sources.stream().mapToInt(source -> source.handled).sum();
            channel.runPendingTasks();
            int after = sources.stream().mapToInt(source -> source.handled).sum();
            most = Math.max(most, after - before);
        }
        return most;
    }

    @Test
    void fewMessagesAreHandledAtOnce() {
        StubSource usual = new StubSource(MessageTurns.MAX_PER_CONNECTION);
        assertFalse(turns.handleReceived(loop, usual));
        assertEquals(MessageTurns.MAX_PER_CONNECTION, usual.handled);
        assertFalse(usual.backlogDone);
    }

    @Test
    void aBacklogIsHandledInTurnsOfBoundedSizeAndShared() {
        List<StubSource> busy = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            busy.add(new StubSource(100));
            assertTrue(turns.handleReceived(loop, busy.get(i)));
        }
        // While there is a backlog, a connection with one message still gets it handled at once.
        StubSource usual = new StubSource(1);
        assertFalse(turns.handleReceived(loop, usual));
        assertEquals(1, usual.handled);
        int most = runTurns(busy);
        assertTrue(most <= 2 * MessageTurns.MAX_PER_TURN, "in one turn: " + most);
        assertTrue(busy.stream().allMatch(source -> source.messages == 0 && source.backlogDone));
    }

    @Test
    void whatAClosedConnectionHasLeftIsNotHandled() {
        StubSource closed = new StubSource(1000);
        assertTrue(turns.handleReceived(loop, closed));
        closed.closed = true;
        runTurns(List.of(closed));
        assertEquals(MessageTurns.MAX_PER_CONNECTION, closed.handled);
        assertFalse(closed.backlogDone);
    }
}
