package dockshed.net;

import io.netty.channel.ChannelHandlerContext;

/**
 * Handles the messages that arrive on a connection, a few in each turn of the event loop ({@link MessageTurns}): a peer
 * that sends many small ones at full speed does not keep the loop from the other connections. While messages are left,
 * nothing is read.
 */
public abstract class MessageHandler extends ByteHandler {
    private final MessageTurns turns;
    private boolean messagesLeft;
    private int handledInRead; // messages handled since the event loop began to read from the connection

    protected MessageHandler(MessageTurns turns) {
        this.turns = turns;
    }

    /** Adds received bytes to those that are not decoded yet. */
    protected abstract void append(byte[] bytes);

    /** Whether there are received bytes that are not handled. */
    protected abstract boolean hasInput();

    /** Handles the next complete message; false if there is none, or if none is to be handled any more. */
    protected abstract boolean handleNext();

    /** The messages that were complete are handled, or are left to a later turn of the event loop. */
    protected void onTurnEnded() {}

    /** All that was read is handled; {@code ended}: the peer has closed its output. */
    protected void onInputHandled(boolean ended) {}

    @Override
    protected final void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
        append(bytes);
        if (!messagesLeft) {
            messagesLeft = turns.handleReceived(ctx.channel().eventLoop(), new Backlog(ctx));
            setReadingPaused(ctx.channel(), ReadPause.MESSAGES_LEFT, messagesLeft);
        }
    }

    /** Handles all complete messages at once, as the connection has ended and nothing follows them. */
    protected final void handleRemaining() {
        boolean more = true;
        while (more) {
            more = handleNext();
        }
    }

    @Override
    protected final void onReadComplete(ChannelHandlerContext ctx, boolean ended) {
        handledInRead = 0;
        if (!messagesLeft) {
            onInputHandled(ended);
        }
    }

    /** The messages that this connection has received. */
    private final class Backlog implements MessageTurns.Source {
        private final ChannelHandlerContext ctx;

        Backlog(ChannelHandlerContext ctx) {
            this.ctx = ctx;
        }

        @Override
        public boolean handle(int most) {
            boolean more = true;
            try {
                for (int i = 0; i < most && more; i++) {
                    more = handleNext();
                    handledInRead += more ? 1 : 0;
                }
                onTurnEnded();
            } catch (RuntimeException e) {
                more = false;
                ctx.pipeline().fireExceptionCaught(e);
            }
            return more && hasInput();
        }

        @Override
        public int handledInRead() {
            return handledInRead;
        }

        @Override
        public boolean isClosed() {
            return !ctx.channel().isActive();
        }

        @Override
        public void backlogHandled() {
            messagesLeft = false;
            handledInRead = 0;
            setReadingPaused(ctx.channel(), ReadPause.MESSAGES_LEFT, false);
            onInputHandled(false);
        }
    }
}
