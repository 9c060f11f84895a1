package dockshed.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One HTTP/1.1 GET request on a connection of its own. */
public final class HttpFetch {
    /** Receives the result: exactly one of these is called, unless the request is cancelled first. */
    public interface Listener {
        /** A complete response, whatever its status. */
        void onResponse(HttpStyleMessage response);

        /** There is no usable response; {@code maybeProcessed}: the request may have reached the server. */
        void onFailure(boolean maybeProcessed, String why);
    }

    private final Listener listener;
    private final InputBudget.Account memory;
    private Channel channel;
    private boolean finished;
    private boolean written;

    private HttpFetch(Listener listener, InputBudget budget) {
        this.listener = listener;
        memory = budget.open(() -> fail(true, "too many responses are incomplete"));
    }

    /**
     * Sends the request.
     *
     * @param headers       in addition to Host and Connection
     * @param connectMillis limit for connecting; the caller limits the rest by {@link #cancel}
     * @param maxBytes      size of the largest response accepted
     */
    public static HttpFetch get(
            Net net,
            InetSocketAddress to,
            String path,
            Map<String, String> headers,
            int connectMillis,
            int maxBytes,
            Listener listener) {
        HttpFetch fetch = new HttpFetch(listener, net.inputLimits().memory());
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
        ChannelFuture connecting = net.connect(to, connectMillis, () -> fetch.new Handler(maxBytes));
        fetch.channel = connecting.channel();
        net.whenDone(connecting, done -> {
            if (!done.isSuccess()) {
                fetch.fail(false, "not connected: " + done.cause().getMessage());
            } else if (!fetch.finished) {
                fetch.channel
                        .writeAndFlush(Net.toByteBuf(request))
                        .addListener(write -> fetch.written |= write.isSuccess());
            }
        });
        return fetch;
    }

    /** Closes the connection without calling the listener. */
    public void cancel() {
        finished = true;
        memory.close();
        channel.close();
    }

    /** Cancels and reports a failure, unless the request is finished. */
    private void fail(boolean maybeProcessed, String why) {
        if (!finished) {
            cancel();
            listener.onFailure(maybeProcessed, why);
        }
    }

    private final class Handler extends ByteHandler {
        private final HttpStyleMessageDecoder decoder;

        Handler(int maxBytes) {
            decoder = new HttpStyleMessageDecoder(maxBytes);
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (finished) {
                return;
            }
            decoder.add(bytes, 0, bytes.length);
            try {
                HttpStyleMessage message = decoder.next();
                while (message != null && message.status() >= 100 && message.status() < 200) {
                    message = decoder.next(); // interim responses
                }
                if (message != null && (!message.startLine().startsWith("HTTP/1.") || message.status() < 0)) {
                    throw new HttpStyleMessage.MalformedMessageException(
                            "expected an HTTP/1.x response with a status code");
                }
                if (message != null) {
                    cancel();
                    listener.onResponse(message);
                } else {
                    memory.setIncomplete(decoder.incompleteBytes());
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                fail(true, e.getMessage());
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            fail(written, "connection closed before the response was complete");
        }
    }
}
