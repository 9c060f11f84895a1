package dockshed.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one event loop and the sockets on it. */
public final class Net {
    /** Bytes that may wait on a connection before its reader is seen as slow, and may be left for it to catch up. */
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

    /** Times that one connection is read before the others have their turn: Netty's own figure. */
    private static final int MAX_READS_PER_TURN = 16;

    /** Milliseconds after which a connection that could not be accepted is tried again. */
    private static final int ACCEPT_RETRY_DELAY_MS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(Net.class);

    private final NioEventLoopGroup group;
    private final Set<Channel> openChannels = new HashSet<>(); // connections, of the loop's thread

    /** The broker's. */
    public Net() {
        group = new NioEventLoopGroup(1);
    }

    /** Another part's, on a thread of that name. */
    public Net(String name) {
        group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
    }

    public EventLoop loop() {
        return group.next();
    }

    /** Runs something on the loop and waits for it. */
    public <T> T callOnLoop(Callable<T> what) {
        try {
            return loop().submit(what).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Does what follows from a connection's coming up or failing, on the loop's thread even if no socket was opened. */
    public void whenDone(ChannelFuture coming, Consumer<Future<? super Void>> what) {
        coming.addListener(done -> {
            if (loop().inEventLoop()) {
                what.accept(done);
            } else {
                loop().execute(() -> what.accept(done));
            }
        });
    }

    public ChannelFuture listen(InetSocketAddress at, Supplier<ChannelHandler> handler) {
        return listen(at, handler, () -> {}, false);
    }

    /**
     * {@code full} is run where a connection could not be accepted, for want of a descriptor: it may let one go.
     * {@code halfClosed}: a peer that has ended its output can still be answered, see {@link ByteHandler#onInputEnded}; a
     * connection is then read until nothing is left, so that an end that has come already is known of what came before it.
     */
    public ChannelFuture listen(
            InetSocketAddress at, Supplier<ChannelHandler> handler, Runnable full, boolean halfClosed) {
        ServerBootstrap b = new ServerBootstrap()
                .group(group, group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptErrorHandler(full))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true) // a phone that vanished lets its descriptor go
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
                .childHandler(initializer(handler));
        if (halfClosed) {
            b.childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childOption(
                            ChannelOption.RCVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator()
                                    .respectMaybeMoreData(false)
                                    .maxMessagesPerRead(MAX_READS_PER_TURN));
        }
        return b.bind(at);
    }

    /** Whether the last read of a connection came to the end of what its peer says. */
    static boolean inputEnded(Channel ch) {
        return ch.unsafe().recvBufAllocHandle().lastBytesRead() < 0;
    }

    /** Netty would accept nobody for a second after a failure; viewers would wait for as long. */
    static final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
        private final Runnable onDescriptorShortage;

        AcceptErrorHandler(Runnable full) {
            this.onDescriptorShortage = full;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!ctx.channel().config().isAutoRead()) {
                return;
            }
            LOG.warn("connection not accepted: why={}", cause.toString());
            ctx.channel().config().setAutoRead(false);
            onDescriptorShortage.run();
            ctx.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                ctx.channel().config().setAutoRead(true);
                            },
                            ACCEPT_RETRY_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    public ChannelFuture connect(InetSocketAddress to, int timeoutMillis, Supplier<ChannelHandler> handler) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
                .handler(initializer(handler))
                .connect(to);
    }

    public ChannelFuture bindDatagrams(InetSocketAddress at, ChannelHandler handler) {
        return new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(9000))
                .handler(handler)
                .bind(at);
    }

    /** Connections that are open, those accepted and those begun here; on the loop's thread. */
    public int connectionCount() {
        return openChannels.size();
    }

    /** Whether something written to a connection has not been handed to the system yet. */
    public boolean hasUnwrittenBytes() {
        return openChannels.stream().anyMatch(Net::hasUnwrittenBytes);
    }

    /** The same of one connection. */
    public static boolean hasUnwrittenBytes(Channel ch) {
        ChannelOutboundBuffer out = ch.unsafe().outboundBuffer();
        return out != null && !out.isEmpty();
    }

    private ChannelInitializer<Channel> initializer(Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                openChannels.add(ch);
                ch.closeFuture().addListener(closed -> openChannels.remove(ch));
                ch.pipeline().addLast(handler.get());
            }
        };
    }

    public static byte[] toBytes(ByteBuf buf) {
        byte[] out = new byte[buf.readableBytes()];
        buf.readBytes(out);
        return out;
    }

    public static ByteBuf toByteBuf(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }

    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
