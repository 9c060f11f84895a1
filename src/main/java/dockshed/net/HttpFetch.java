package dockshed.net;

import dockshed.core.TimerQueue;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One HTTP/1.1 GET request on a connection of its own. Whatever ends it, it releases its connection, its memory and its
 * timer before the listener is called.
 */
public final class HttpFetch {
    /** Why there is no usable response. */
    public enum Failure {
        /** The request never reached the server. */
        NOT_SENT,
        /** The server may have handled the request. */
        MAYBE_PROCESSED,
        /** The time for the response is over; the server may have handled the request. */
        TIMED_OUT
    }

    /** Receives the result, unless the request is cancelled first. */
    public interface Listener {
        /** A complete response, whatever its status. If this throws, {@link #onFailure} is called for it. */
        void onResponse(HttpStyleMessage response);

        /** There is no usable response, or handling it failed. Called once at most, and last. */
        void onFailure(Failure failure, String why);
    }

    private static final Logger LOG = LoggerFactory.getLogger(HttpFetch.class);

    private final Listener listener;
    private final InputBudget.Account memory;
    private Channel channel;
    private TimerQueue timers; // null: the time is not limited
    private TimerQueue.Timer timeout;
    private boolean finished;
    private boolean written;

    private HttpFetch(Listener listener, InputBudget budget) {
        this.listener = listener;
        memory = budget.open(() -> fail(Failure.MAYBE_PROCESSED, "too many responses are incomplete"));
    }

    /**
     * Sends the request.
     *
     * @param headers       in addition to Host and Connection
     * @param connectMillis limit for connecting; the caller limits the rest by {@link #timeOutAt} or {@link #cancel}
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
                fetch.fail(Failure.NOT_SENT, "not connected: " + done.cause().getMessage());
            } else if (!fetch.finished) {
                fetch.channel
                        .writeAndFlush(Net.toByteBuf(request))
                        .addListener(write -> fetch.written |= write.isSuccess());
            }
        });
        return fetch;
    }

    /** Ends the request at that time if it has not ended before. */
    public void timeOutAt(TimerQueue timerQueue, long at) {
        if (finished) {
            return;
        }
        timers = timerQueue;
        timeout = timerQueue.schedule(at, dueAt -> fail(Failure.TIMED_OUT, "no response in time"));
    }

    /** Whether the request has ended: the listener is not called any more. */
    public boolean isFinished() {
        return finished;
    }

    /** Ends the request without calling the listener. */
    public void cancel() {
        finished = true;
        memory.close();
        if (timers != null) {
            timers.cancel(timeout);
        }
        channel.close();
    }

    /** Ends the request and reports a failure, unless it has ended. */
    private void fail(Failure failure, String why) {
        if (!finished) {
            cancel();
            listener.onFailure(failure, why);
        }
    }

    /** Ends the request with its response. Whoever waits for the result hears of it also if handling it fails. */
    private void succeed(HttpStyleMessage response) {
        cancel();
        try {
            listener.onResponse(response);
        } catch (RuntimeException e) {
            LOG.error("internal error while handling a response; its request counts as failed", e);
            listener.onFailure(Failure.MAYBE_PROCESSED, "internal error while handling the response");
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
                    succeed(message);
                } else {
                    memory.setIncomplete(decoder.incompleteBytes());
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                fail(Failure.MAYBE_PROCESSED, e.getMessage());
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            fail(
                    written ? Failure.MAYBE_PROCESSED : Failure.NOT_SENT,
                    "connection closed before the response was complete");
        }
    }
}
