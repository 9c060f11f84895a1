package dockshed.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/**
 * Handles the messages that arrive on a connection, a few in each turn of the event loop ({@link MessageTurns}): a peer
 * that sends many small ones at full speed does not keep the loop from the other connections. While messages are left,
 * nothing is read.
 */
public abstract class MessageHandler extends ByteHandler {
    private final MessageTurns turns;
    private boolean messagesLeft;
    private boolean inputCheckScheduled;
    private int readPasses; // times that the event loop has read from the connection
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

    /** All that had arrived is read and handled; {@code ended}: the peer has closed its output. */
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
        readPasses++;
        if (messagesLeft) {
            return;
        }
        if (ended || Net.isInputRead(ctx.channel())) {
            onInputHandled(ended);
        } else {
            checkForMoreInput(ctx);
        }
    }

    /**
     * More may have arrived than was read, such as the end of the connection: all is handled only if the event loop
     * finds nothing to read in its next turn.
     */
    private void checkForMoreInput(ChannelHandlerContext ctx) {
        if (inputCheckScheduled) {
            return;
        }
        inputCheckScheduled = true;
        int passesBefore = readPasses;
        Channel channel = ctx.channel();
        Net.inNextTurn(channel.eventLoop(), () -> {
            inputCheckScheduled = false;
            if (messagesLeft || !channel.isActive()) {
                return;
            }
            if (readPasses == passesBefore) {
                onInputHandled(false);
            } else if (!Net.isInputRead(channel)) {
                checkForMoreInput(ctx);
            }
        });
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
            checkForMoreInput(ctx);
        }
    }
}
