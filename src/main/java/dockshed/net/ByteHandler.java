package dockshed.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection's events: bytes, the end, and whether the peer keeps up with what is written to it. */
public abstract class ByteHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ByteHandler.class);

    /** Whether the connection was broken off rather than closed. */
    private boolean brokenOff;

    protected abstract void onBytes(ChannelHandlerContext ctx, byte[] bytes);

    /** Whether what still comes is only to be let past, unread. */
    protected boolean discardsInput(int count) {
        return false;
    }

    protected abstract void onClosed(ChannelHandlerContext ctx, boolean reset);

    /** All that had come has been given to {@link #onBytes}; {@code ended}: nothing more will come. */
    protected void onReadComplete(ChannelHandlerContext ctx, boolean ended) {}

    /** The peer has ended its output, and may have closed the connection; by default it is closed here, too. */
    protected void onInputEnded(ChannelHandlerContext ctx) {
        ctx.close();
    }

    /** The connection has just been found broken off; {@link #onClosed} follows, after what else is waiting to be done. */
    protected void onConnectionBroken() {}

    /** What follows an internal error while the connection itself is whole. */
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

    /** Comes only where {@link Net} was asked to leave a connection open whose peer has ended its output. */
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

    /** A peer that does not read what it is sent is not read from either, until it has caught up. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            brokenOff = true;
            onConnectionBroken();
            ctx.close();
        } else {
            LOG.error(
                    "connection ends after an internal error: remote={}",
                    ctx.channel().remoteAddress(),
                    cause);
            onInternalError(ctx);
        }
    }
}
