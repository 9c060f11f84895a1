package dockshed.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One GET over HTTP/1.1 on a connection of its own. */
public final class HttpFetch {
    /** What came of it; exactly one of these is called, unless the fetch is cancelled first. */
    public interface Listener {
        void onResponse(HttpStyleMessage answer);

        /** {@code ran}: the request may have reached the server. */
        void onFailure(boolean ran, String why);
    }

    private final Listener listener;
    private Channel channel;
    private boolean finished;
    private boolean written;

    private HttpFetch(Listener listener) {
        this.listener = listener;
    }

    public static HttpFetch get(
            Net net,
            InetSocketAddress to,
            String path,
            Map<String, String> headers,
            int connectMillis,
            int limit,
            Listener listener) {
        HttpFetch f = new HttpFetch(listener);
        StringBuilder head = new StringBuilder("GET ")
                .append(path)
                .append(" HTTP/1.1\r\nHost: ")
                .append(to.getHostString())
                .append(':')
                .append(to.getPort())
                .append("\r\nConnection: close\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] request = head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
        ChannelFuture coming = net.connect(to, connectMillis, () -> f.new Handler(limit));
        f.channel = coming.channel();
        net.whenDone(coming, done -> {
            if (!done.isSuccess()) {
                f.fail(false, "not connected: " + done.cause().getMessage());
            } else if (!f.finished) {
                f.channel.writeAndFlush(Net.toByteBuf(request)).addListener(w -> f.written |= w.isSuccess());
            }
        });
        return f;
    }

    /** Ends it without a word. */
    public void cancel() {
        finished = true;
        channel.close();
    }

    private void fail(boolean ran, String why) {
        if (!finished) {
            cancel();
            listener.onFailure(ran, why);
        }
    }

    private final class Handler extends ByteHandler {
        private final HttpStyleMessageDecoder decoder;

        Handler(int limit) {
            decoder = new HttpStyleMessageDecoder(limit);
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (finished) {
                return;
            }
            decoder.add(bytes, 0, bytes.length);
            try {
                HttpStyleMessage m = decoder.next();
                while (m != null && m.status() >= 100 && m.status() < 200) {
                    m = decoder.next(); // interim answers
                }
                if (m != null && (!m.startLine().startsWith("HTTP/1.") || m.status() < 0)) {
                    throw new HttpStyleMessage.MalformedMessageException("no HTTP answer");
                }
                if (m != null) {
                    cancel();
                    listener.onResponse(m);
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                fail(true, e.getMessage());
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            fail(written, "connection closed before the whole answer");
        }
    }
}
