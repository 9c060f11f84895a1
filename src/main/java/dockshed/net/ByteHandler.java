package dockshed.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.util.EnumSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the events of one connection: received bytes, its end, and back-pressure from a peer that reads slowly. All
 * methods are called on the event loop.
 */
public abstract class ByteHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ByteHandler.class);

    /** Why nothing is read from a connection. */
    protected enum ReadPause {
        /** The peer does not read what it is sent. */
        PEER_DOES_NOT_READ,
        /** Messages that were received are still to be handled. */
        MESSAGES_LEFT,
        /** The limit of what is read and discarded is reached. */
        DISCARD_LIMIT
    }

    private final Set<ReadPause> readPauses = EnumSet.noneOf(ReadPause.class);
    /** Whether the connection failed with an I/O error, such as a reset, rather than being closed. */
    private boolean brokenOff;

    /** Bytes were received. */
    protected abstract void onBytes(ChannelHandlerContext ctx, byte[] bytes);

    /** Whether the {@code byteCount} bytes just received, and not yet passed on, are to be discarded. */
    protected boolean discardsInput(int byteCount) {
        return false;
    }

    /** The connection is closed; {@code reset}: by an I/O error rather than in order. */
    protected abstract void onClosed(ChannelHandlerContext ctx, boolean reset);

    /** All bytes received so far were passed to {@link #onBytes}; {@code ended}: the peer has closed its output. */
    protected void onReadComplete(ChannelHandlerContext ctx, boolean ended) {}

    /** The peer has closed its output, or the whole connection; by default the connection is closed here, too. */
    protected void onInputEnded(ChannelHandlerContext ctx) {
        ctx.close();
    }

    /** The connection has failed with an I/O error; {@link #onClosed} follows later, after tasks already queued. */
    protected void onConnectionBroken() {}

    /** An internal error occurred while the connection itself is intact; by default it is closed. */
    protected void onInternalError(ChannelHandlerContext ctx) {
        ctx.close();
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf buf = (ByteBuf) msg;
        try {
            if (!discardsInput(buf.readableBytes())) {
                onBytes(ctx, Net.toBytes(buf));
            }
        } finally {
            buf.release();
        }
    }

    @Override
    public final void channelReadComplete(ChannelHandlerContext ctx) {
        onReadComplete(ctx, Net.inputEnded(ctx.channel()));
    }

    /** Fired only where {@link Net} was asked to keep a connection open after the peer has closed its output. */
    @Override
    public final void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            onInputEnded(ctx);
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        onClosed(ctx, brokenOff);
    }

    /** While a peer does not read what it is sent, nothing is read from it either. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        setReadingPaused(
                ctx.channel(), ReadPause.PEER_DOES_NOT_READ, !ctx.channel().isWritable());
    }

    /** Adds or removes a reason not to read; the connection is read while there is none. */
    protected final void setReadingPaused(Channel channel, ReadPause reason, boolean paused) {
        boolean changed = paused ? readPauses.add(reason) : readPauses.remove(reason);
        if (changed) {
            channel.config().setAutoRead(readPauses.isEmpty());
        }
    }

    /** Reads on, whatever the reasons not to read. */
    protected final void resumeReading(Channel channel) {
        readPauses.clear();
        channel.config().setAutoRead(true);
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            brokenOff = true;
            onConnectionBroken();
            ctx.close();
        } else {
            LOG.error(
                    "connection closed after an internal error: remote={}",
                    ctx.channel().remoteAddress(),
                    cause);
            onInternalError(ctx);
        }
    }
}
