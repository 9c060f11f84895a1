package dockshed.scale;

import dockshed.net.ByteHandler;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Viewers with one connection each to one broker. A viewer requests a session, repeats the request so that its connection
 * is not closed as idle, and reconnects when the connection is closed, until {@link #stop}.
 */
final class ViewerConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long RECONNECT_DELAY_MILLIS = 500;
    private static final long REQUEST_INTERVAL_MILLIS = 10_000;
    private static final int MAX_ANSWER_BYTES = 1 << 16;

    private final Net net;
    private final InetSocketAddress broker;
    private final int owner;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * Opens the connections one millisecond apart.
     *
     * @param owner the broker's number, part of the sessions' names
     */
    ViewerConnections(Net net, InetSocketAddress broker, int owner, int count) {
        this.net = net;
        this.broker = broker;
        this.owner = owner;
        for (int number = 0; number < count; number++) {
            int viewer = number;
            net.loop().schedule(() -> connect(viewer), number, TimeUnit.MILLISECONDS);
        }
    }

    private void connect(int viewer) {
        if (!stopped) {
            net.connect(broker, CONNECT_TIMEOUT_MILLIS, () -> new Viewer(viewer))
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            reconnectLater(viewer);
                        }
                    });
        }
    }

    private void reconnectLater(int viewer) {
        if (!stopped) {
            net.loop().schedule(() -> connect(viewer), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The broker has ended: viewers do not reconnect. */
    void stop() {
        stopped = true;
    }

    /** Connections that are open. */
    int open() {
        return open.get();
    }

    /** Answers received on all connections. */
    int answers() {
        return answers.get();
    }

    private final class Viewer extends ByteHandler {
        private final int viewer;
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_ANSWER_BYTES);
        private int requestsSent;

        Viewer(int viewer) {
            this.viewer = viewer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.incrementAndGet();
            requestSession(ctx);
        }

        private void requestSession(ChannelHandlerContext ctx) {
            if (stopped || !ctx.channel().isActive()) {
                ctx.close();
                return;
            }
            String session = String.format("%08x%08x", owner + 1, viewer);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("CSeq", Integer.toString(++requestsSent));
            headers.put("Session", session);
            headers.put("Priority-Class", "refresher");
            headers.put("Expires-Ms", "3000");
            headers.put("P-Trunk-Info", "home:0;copies:3;top:2;viewer:" + session);
            byte[] request = HttpStyleMessage.encode(
                    "SETUP rtsp://media/lesson RTSP/1.0", headers, "v=0\r\n".getBytes(StandardCharsets.UTF_8));
            ctx.writeAndFlush(Net.toByteBuf(request));
            ctx.channel()
                    .eventLoop()
                    .schedule(() -> requestSession(ctx), REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            decoder.add(bytes, 0, bytes.length);
            try {
                while (decoder.next() != null) {
                    answers.incrementAndGet();
                }
            } catch (HttpStyleMessage.MalformedMessageException malformed) {
                throw new IllegalStateException(malformed);
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            open.decrementAndGet();
            reconnectLater(viewer);
        }
    }
}
