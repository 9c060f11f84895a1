package dockshed.hls;

import dockshed.core.TimerQueue;
import dockshed.net.Clock;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.InputBudget;
import dockshed.net.InputLimits;
import dockshed.net.MessageHandler;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A player's connection; its requests are answered one after the other. Those that wait count against the memory that
 * all connections share; one for which there is none left is refused in its turn.
 */
final class HlsConnection extends MessageHandler {
    /** Longest request in bytes, headers and body together. */
    static final int MAX_REQUEST_BYTES = 16 * 1024;
    /** A connection without a request in progress is closed after this time. */
    static final long IDLE_TIMEOUT_US = 30_000_000;
    /** Time within which a request must be complete, from its first byte. */
    static final long REQUEST_TIMEOUT_US = 2_000_000;
    /** Requests of one connection that may wait while an earlier one is answered. */
    private static final int MAX_PIPELINED_REQUESTS = 32;

    private static final Logger LOG = LoggerFactory.getLogger(HlsFront.class);

    /** Handles the requests of connections. */
    interface RequestHandler {
        /** The connection is open; false if it is one too many and has to be closed. */
        boolean opened(HlsConnection connection);

        /** Answers a request, now or later. */
        void handle(Exchange exchange, HlsRequest request);

        /** Refuses a request for which there is no memory to wait. */
        void refuse(Exchange exchange);

        /** The connection is closed; its unanswered requests need no response any more. */
        void closed(HlsConnection connection);
    }

    /** What becomes of a request in its turn. */
    private enum Verdict {
        HANDLE,
        REFUSE,
        TIMED_OUT,
        MALFORMED,
        FAILED
    }

    /** A request that waits for its turn; {@code bytes} of memory are reserved for it. */
    private record Waiting(Verdict verdict, HlsRequest request, long bytes) {
        private static final HlsRequest NONE = new HlsRequest("", "", "", false);

        /** Stands for input that is not a whole request; it is answered after the requests before it. */
        static Waiting unreadable(Verdict verdict) {
            return new Waiting(verdict, NONE, 0);
        }

        static Waiting refused(boolean lastOnConnection) {
            return new Waiting(Verdict.REFUSE, new HlsRequest("", "", "", lastOnConnection), 0);
        }
    }

    private final RequestHandler requestHandler;
    private final Clock clock;
    private final TimerQueue timers;
    private final InputBudget.Account memory;
    private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_REQUEST_BYTES);
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean answering;
    private boolean closing;
    private long lastUsedUs;
    private TimerQueue.Timer requestTimeout; // null: no request is incomplete

    HlsConnection(RequestHandler requestHandler, Clock clock, TimerQueue timers, InputLimits limits) {
        super(limits.turns());
        this.requestHandler = requestHandler;
        this.clock = clock;
        this.timers = timers;
        memory = limits.memory().open(this::dropRequest);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastUsedUs = clock.now();
        scheduleIdleCheck();
        if (!requestHandler.opened(this)) {
            ctx.close();
        }
    }

    @Override
    protected boolean discardsInput(int byteCount) {
        return closing;
    }

    @Override
    protected void append(byte[] bytes) {
        decoder.add(bytes, 0, bytes.length);
    }

    @Override
    protected boolean hasInput() {
        return decoder.hasPartialMessage();
    }

    @Override
    protected boolean handleNext() {
        if (closing) {
            return false;
        }
        try {
            HttpStyleMessage message = decoder.next();
            if (message == null) {
                awaitRest();
                return false;
            }
            requestCompleted();
            enqueue(HlsRequest.of(message));
            if (waiting.size() > MAX_PIPELINED_REQUESTS) {
                throw new HttpStyleMessage.MalformedMessageException("too many pipelined requests");
            }
        } catch (HttpStyleMessage.MalformedMessageException e) {
            LOG.warn("HLS request malformed: remote={} why={}", channel.remoteAddress(), e.getMessage());
            endInput(Verdict.MALFORMED);
        }
        return !closing;
    }

    /** A request is handled only once all that has arrived is read: the end of the connection may follow it. */
    @Override
    protected void onInputHandled(boolean ended) {
        if (ended) {
            stop();
        }
        processNext();
    }

    private void requestCompleted() {
        timers.cancel(requestTimeout);
        requestTimeout = null;
        memory.setIncomplete(0); // what follows is another request
    }

    /** Limits time and memory of a request of which only a part has arrived. */
    private void awaitRest() {
        if (!decoder.hasPartialMessage()) {
            return;
        }
        if (requestTimeout == null) {
            requestTimeout = timers.schedule(clock.now() + REQUEST_TIMEOUT_US, dueAt -> {
                LOG.info("HLS request not complete within the time limit: remote={}", channel.remoteAddress());
                endInput(Verdict.TIMED_OUT);
                processNext();
            });
        }
        memory.setIncomplete(decoder.incompleteBytes());
    }

    /** There is no memory for the rest of a request. */
    private void dropRequest() {
        LOG.warn("HLS request dropped, too many are incomplete: remote={}", channel.remoteAddress());
        endInput(Verdict.REFUSE);
        processNext();
    }

    /** Takes no further input; the rest is answered after the requests before it, and the connection closed. */
    private void endInput(Verdict verdict) {
        closing = true;
        requestCompleted();
        decoder.clear();
        waiting.add(Waiting.unreadable(verdict));
    }

    private void enqueue(HlsRequest request) {
        long bytes = request.memoryBytes();
        waiting.add(
                memory.reserve(bytes)
                        ? new Waiting(Verdict.HANDLE, request, bytes)
                        : Waiting.refused(request.lastOnConnection()));
    }

    private void scheduleIdleCheck() {
        timers.schedule(lastUsedUs + IDLE_TIMEOUT_US, dueAt -> {
            if (!closing && !answering && clock.now() - lastUsedUs >= IDLE_TIMEOUT_US) {
                channel.close();
            } else if (!closing) {
                lastUsedUs = answering ? clock.now() : lastUsedUs;
                scheduleIdleCheck();
            }
        });
    }

    private void processNext() {
        // While the player does not read its responses, none is added to them.
        Waiting next = answering || !channel.isWritable() ? null : waiting.poll();
        if (next == null) {
            return;
        }
        memory.release(next.bytes());
        answering = true;
        lastUsedUs = clock.now();
        boolean closeAfter = next.request().lastOnConnection() || closing && waiting.isEmpty();
        Exchange exchange = new Exchange(this, closeAfter);
        switch (next.verdict()) {
            case HANDLE -> exchange.handle(() -> requestHandler.handle(exchange, next.request()));
            case REFUSE -> exchange.handle(() -> requestHandler.refuse(exchange));
            case TIMED_OUT -> exchange.answerError(408, "Request Timeout");
            case MALFORMED -> exchange.answerError(400, "Bad Request");
            case FAILED -> exchange.answerError(500, "Internal Server Error");
        }
    }

    /** Writes a response and goes on with the next request, or closes the connection. */
    void write(byte[] bytes, boolean closeAfter) {
        answering = false;
        lastUsedUs = clock.now();
        if (closeAfter) {
            stop();
        }
        var written = channel.writeAndFlush(Net.toByteBuf(bytes));
        if (closeAfter) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.eventLoop().execute(this::processNext);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        super.channelWritabilityChanged(ctx);
        processNext();
    }

    /** Takes no further requests, and drops those that wait. */
    private void stop() {
        closing = true;
        waiting.clear();
        decoder.clear();
        requestCompleted();
        memory.close();
    }

    /** Reading a request has failed: those before it are still answered. */
    @Override
    protected void onInternalError(ChannelHandlerContext ctx) {
        if (!closing) {
            endInput(Verdict.FAILED);
            processNext();
        }
    }

    @Override
    protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
        stop();
        requestHandler.closed(this);
    }
}
