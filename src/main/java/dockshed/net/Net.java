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
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
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

/** An event loop of a single thread, and the sockets on it. The broker has one, which owns all its state. */
public final class Net {
    /** Unwritten bytes of a connection below which its peer has caught up again, and above which it counts as slow. */
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

    /** Reads of one connection before the others get their turn; Netty's own default. */
    private static final int MAX_READS_PER_TURN = 16;

    /**
     * Most bytes of one read: many connections are read in one turn of the event loop, and what is read is in memory
     * until it is handled.
     */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;

    /** Pause of accepting after a connection could not be accepted. */
    private static final int ACCEPT_RETRY_DELAY_MS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(Net.class);

    private final InputLimits inputLimits =
            InputLimits.forHeap(Runtime.getRuntime().maxMemory());
    private final NioEventLoopGroup group;
    private final Set<Channel> openChannels = new HashSet<>(); // connections; only used on the event loop

    /** The event loop of the broker. */
    public Net() {
        group = new NioEventLoopGroup(1);
    }

    /** The event loop of another component, on a daemon thread of this name. */
    public Net(String name) {
        group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
    }

    public EventLoop loop() {
        return group.next();
    }

    /**
     * Runs a task on the event loop, waits for it and returns its result; not to be called on the event loop.
     *
     * @throws IllegalStateException if the task fails or the wait is interrupted
     */
    public <T> T callOnLoop(Callable<T> task) {
        try {
            return loop().submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Calls back once connecting has succeeded or failed; on the event loop, even where no socket could be opened. */
    public void whenDone(ChannelFuture connecting, Consumer<Future<? super Void>> task) {
        connecting.addListener(done -> {
            if (loop().inEventLoop()) {
                task.accept(done);
            } else {
                loop().execute(() -> task.accept(done));
            }
        });
    }

    /** Whether the last read of a connection has left nothing that had arrived. */
    static boolean isInputRead(Channel channel) {
        RecvByteBufAllocator.Handle reads = channel.unsafe().recvBufAllocHandle();
        return reads.lastBytesRead() <= 0 || reads.lastBytesRead() < reads.attemptedBytesRead();
    }

    /** Accepts connections at an address, each with a handler of its own. */
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler> handler) {
        return listen(address, handler, () -> {}, false);
    }

    /**
     * Accepts connections at an address.
     *
     * @param handler              creates the handler of each connection
     * @param onDescriptorShortage run when a connection could not be accepted for lack of descriptors: it may free one
     * @param allowHalfClosure     a peer that has closed its output can still be answered, see {@link
     *                             ByteHandler#onInputEnded}
     */
    public ChannelFuture listen(
            InetSocketAddress address,
            Supplier<ChannelHandler> handler,
            Runnable onDescriptorShortage,
            boolean allowHalfClosure) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group, group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptErrorHandler(onDescriptorShortage))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true) // frees the descriptor of a phone that vanished
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
                .childHandler(initializer(handler));
        return bootstrap
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, allowHalfClosure)
                // Read until nothing is left: a close that has arrived is known when the bytes before it are handled.
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, receiveAllocator().respectMaybeMoreData(false))
                .bind(address);
    }

    private static DefaultMaxMessagesRecvByteBufAllocator receiveAllocator() {
        DefaultMaxMessagesRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }

    /** What this loop's connections share for their input. */
    public InputLimits inputLimits() {
        return inputLimits;
    }

    /** Runs a task of the event loop once it has read from its connections again. */
    static void inNextTurn(EventLoop loop, Runnable task) {
        // A task that is due at once still belongs to this turn; one scheduled by it is run in the next.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }

    /** Whether the last read of a connection found that its peer has closed its output. */
    static boolean inputEnded(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() < 0;
    }

    /**
     * Handles failures to accept a connection. Netty itself stops accepting for a second after one, and viewers would
     * wait that long.
     */
    static final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
        private final Runnable onDescriptorShortage;

        AcceptErrorHandler(Runnable onDescriptorShortage) {
            this.onDescriptorShortage = onDescriptorShortage;
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

    /** Opens a connection. */
    public ChannelFuture connect(InetSocketAddress to, int timeoutMillis, Supplier<ChannelHandler> handler) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
                .option(ChannelOption.RCVBUF_ALLOCATOR, receiveAllocator())
                .handler(initializer(handler))
                .connect(to);
    }

    /** Opens a UDP socket for datagrams of up to 9000 bytes. */
    public ChannelFuture bindDatagrams(InetSocketAddress address, ChannelHandler handler) {
        return new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(9000))
                .handler(handler)
                .bind(address);
    }

    /** The number of open connections, accepted and outgoing; to be called on the event loop. */
    public int connectionCount() {
        return openChannels.size();
    }

    /** Whether any connection has bytes that the operating system has not taken yet. */
    public boolean hasUnwrittenBytes() {
        return openChannels.stream().anyMatch(Net::hasUnwrittenBytes);
    }

    /** Whether one connection has bytes that the operating system has not taken yet. */
    public static boolean hasUnwrittenBytes(Channel channel) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound != null && !outbound.isEmpty();
    }

    private ChannelInitializer<Channel> initializer(Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                openChannels.add(channel);
                channel.closeFuture().addListener(closed -> openChannels.remove(channel));
                channel.pipeline().addLast(handler.get());
            }
        };
    }

    /** Reads all remaining bytes of the buffer; does not release it. */
    public static byte[] toBytes(ByteBuf buf) {
        byte[] bytes = new byte[buf.readableBytes()];
        buf.readBytes(bytes);
        return bytes;
    }

    /** Wraps the bytes without copying them. */
    public static ByteBuf toByteBuf(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }

    /** Stops the event loop; returns before it has stopped. */
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
