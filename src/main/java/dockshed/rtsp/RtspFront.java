package dockshed.rtsp;

import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.ServerAdapter;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.InputBudget;
import dockshed.net.InputLimits;
import dockshed.net.MessageHandler;
import dockshed.net.Net;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Front for viewers that speak the platform's RTSP. Translates their messages into calls of the broker, and the
 * broker's answers and notices back; it takes no decisions of its own. Runs on the event loop's thread only.
 */
public final class RtspFront implements Front {
    /** Longest message in bytes, headers and body together. */
    static final int MAX_MESSAGE_BYTES = 16 * 1024;
    /** Time within which a message must be complete, from its first byte; for the first message, from the connect. */
    static final long MESSAGE_TIMEOUT_US = 2_000_000;

    /** Interval between checks for connections that have exceeded a time limit. */
    private static final long SWEEP_INTERVAL_US = 250_000;
    /** A connection used within this time is not closed to make room: its viewer may be about to send a request. */
    private static final long RECENT_USE_US = 500_000;
    /**
     * Time from choosing a connection to close until closing it, so that bytes that have already arrived are read.
     */
    static final long CLOSE_DELAY_US = 60_000;
    /**
     * Time for which input is still read and discarded after the last answer: closing while the viewer sends would
     * reset the connection, and the viewer could lose the answer.
     */
    static final long LINGER_TIMEOUT_US = 5_000_000;

    /** Set-ups wait no longer than this until all that their connection brings is read. */
    static final long MAX_PENDING_US = 100_000;

    /** Most bytes that are read and discarded on one connection after its last answer. */
    private static final long MAX_DISCARDED_BYTES = 128L << 20;
    /** Faulty but readable messages on one connection before it is closed. */
    static final int MAX_FAULTY_MESSAGES = 16;
    /** Open set-ups on one connection: ten times what the busiest day brings on one connection within a deadline. */
    static final int MAX_OPEN_SET_UPS = 512;

    private static final Logger LOG = LoggerFactory.getLogger(RtspFront.class);
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Headers of a request that a reply repeats, by their names in lower case. */
    private static final Set<String> REPEATED_HEADERS = Set.of("cseq", "session");

    private final Broker broker;
    private final ServerAdapter servers;
    private final Clock clock;
    private final TimerQueue timers;
    private final int maxConnections;
    private final InputLimits inputLimits;
    private final Map<Long, Connection> connectionsByHandle = new HashMap<>();
    private final Set<Connection> openConnections = new LinkedHashSet<>(); // includes those that are ending
    /** Used only to round Retry-After, where predictable numbers do no harm, so any seed will do. */
    private final SplittableRandom random = new SplittableRandom(1);
    /** Whether the last new connection was turned away, so that a run of refusals is logged once. */
    private boolean atCapacity;

    /**
     * Starts the periodic check for expired connections.
     *
     * @param maxConnections number of viewers' connections from which older ones are closed to make room; viewers get a
     *     third of the file descriptors, the rest is left for other connections
     * @param inputLimits of what viewers send
     */
    public RtspFront(
            Broker broker,
            ServerAdapter servers,
            Clock clock,
            TimerQueue timers,
            int maxConnections,
            InputLimits inputLimits) {
        this.maxConnections = maxConnections;
        this.inputLimits = inputLimits;
        this.broker = broker;
        this.servers = servers;
        this.clock = clock;
        this.timers = timers;
        timers.schedule(clock.now() + SWEEP_INTERVAL_US, this::sweep);
    }

    /** Returns the handler for a newly accepted connection. */
    public ByteHandler accept() {
        return new Connection();
    }

    /** Closes connections that have sent nothing, an incomplete message, or not closed their side for too long. */
    private void sweep(long dueAt) {
        long now = clock.now();
        timers.schedule(now + SWEEP_INTERVAL_US, this::sweep);
        for (Connection connection : List.copyOf(openConnections)) {
            if (connection.ending) {
                if (connection.outputClosed && now - connection.pendingSinceUs > LINGER_TIMEOUT_US) {
                    connection.channel.close();
                }
            } else if (connection.pendingSinceUs >= 0 && now - connection.pendingSinceUs > MESSAGE_TIMEOUT_US) {
                if (connection.decoder.hasPartialMessage()) {
                    connection.rejectMalformed("message not complete within the time limit");
                } else {
                    connection.closeUnused("no request sent within the time limit");
                }
            }
        }
    }

    /**
     * Closes a connection, now or after {@link #CLOSE_DELAY_US}, to make room for a new one. Connections with an
     * answer outstanding are spared. Of the others, one that never sent a request goes first, then one that only waits
     * to be closed, then one that never sent a set-up, then any; within each of these groups, the least recently used.
     *
     * @return false if no connection can be closed, or if the open connections exceed the limit by more than an eighth
     */
    private boolean makeRoom() {
        Connection evicted = null;
        long now = clock.now();
        for (Connection candidate : openConnections) {
            boolean recentlyUsed = now - candidate.lastUsedUs < RECENT_USE_US;
            boolean owesAnswer = !candidate.openSetUps.isEmpty()
                    || Net.hasUnwrittenBytes(candidate.channel) && now - candidate.lastUsedUs < LINGER_TIMEOUT_US;
            if (!candidate.closeScheduled
                    && !owesAnswer
                    && !(recentlyUsed && candidate.evictionRank() > 0)
                    && (evicted == null
                            || candidate.evictionRank() < evicted.evictionRank()
                            || candidate.evictionRank() == evicted.evictionRank()
                                    && candidate.lastUsedUs < evicted.lastUsedUs)) {
                evicted = candidate;
            }
        }
        if (evicted == null || openConnections.size() > maxConnections + maxConnections / 8) {
            return false;
        }
        Connection chosen = evicted;
        if (chosen.sentRequest && !chosen.ending) {
            // A set-up may have arrived without having been read yet: close only after all received bytes are read.
            chosen.closeScheduled = true;
            long lastUsed = chosen.lastUsedUs;
            timers.schedule(now + CLOSE_DELAY_US, dueAt -> {
                chosen.closeScheduled = false;
                if (chosen.lastUsedUs == lastUsed
                        && chosen.openSetUps.isEmpty()
                        && !chosen.decoder.hasPartialMessage()
                        && !chosen.ending) {
                    chosen.closeUnused("closed to make room for a new connection");
                }
            });
        } else {
            chosen.closeUnused("closed to make room for a new connection");
        }
        return true;
    }

    /** A parsed set-up with the headers of its message that a reply repeats. */
    private record PendingSetUp(SessionRequest request, HttpStyleMessage message) {}

    /** A viewer's connection. */
    private final class Connection extends MessageHandler {
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_MESSAGE_BYTES);
        private final InputBudget.Account memory = inputLimits.memory().open(this::dropMessage);
        private final SetUpReservations reservations = new SetUpReservations(memory);
        private final Set<String> openSetUps = new HashSet<>(); // names of sessions requested and not answered
        /**
         * Set-ups read but not yet passed to the broker, by session name. They wait until all received bytes have been
         * read, because a TEARDOWN or the end of the connection may follow them.
         */
        private final Map<String, PendingSetUp> pendingSetUps = new LinkedHashMap<>();

        private Channel channel;
        private long handle; // under which the broker knows the connection
        private boolean ending; // no further input is accepted
        private boolean sentRequest; // the viewer has sent a complete message
        private boolean sentSetUp; // the viewer has sent a valid set-up
        private boolean closeScheduled; // chosen to make room, closed after CLOSE_DELAY_US unless it is used until then
        private boolean outputClosed; // all outstanding answers are written; our output is closed or is about to be
        private long pendingSinceUs; // start of waiting for a first message, a message's rest, or the close; else -1
        private long lastUsedUs;
        private long discardedBytes;
        private int faultyMessages;
        private long setUpsPendingSinceUs; // while there are pending set-ups

        Connection() {
            super(inputLimits.turns());
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            pendingSinceUs = clock.now();
            lastUsedUs = pendingSinceUs;
            if (openConnections.size() >= maxConnections && !makeRoom()) {
                if (!atCapacity) {
                    LOG.warn("viewer's connection refused at the connection limit: open={}", openConnections.size());
                }
                atCapacity = true;
                ending = true;
                ctx.close();
                return;
            }
            atCapacity = false;
            openConnections.add(this);
            handle = broker.connected(pendingSinceUs, RtspFront.this, h -> connectionsByHandle.put(h, this));
        }

        /** Order in which connections are closed to make room; the lowest goes first. */
        private int evictionRank() {
            return ending ? 1 : !sentRequest ? 0 : !sentSetUp ? 2 : 3;
        }

        @Override
        protected boolean discardsInput(int count) {
            if (ending) {
                discardedBytes += count;
            }
            if (ending && discardedBytes > MAX_DISCARDED_BYTES) {
                if (outputClosed) {
                    channel.close();
                } else {
                    setReadingPaused(
                            channel,
                            ReadPause.DISCARD_LIMIT,
                            true); // reading resumes once the outstanding answers are written
                }
            }
            return ending;
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
            if (ending) {
                return false;
            }
            try {
                HttpStyleMessage message = decoder.next();
                if (message == null) {
                    awaitRest();
                    return false;
                }
                handleRead(message);
                if (!pendingSetUps.isEmpty() && lastUsedUs - setUpsPendingSinceUs > MAX_PENDING_US) {
                    submitPending();
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                rejectMalformed(e.getMessage());
            }
            return !ending;
        }

        /** Handles a message; one whose handling throws is answered with an error, and the connection closed. */
        private void handleRead(HttpStyleMessage message) throws HttpStyleMessage.MalformedMessageException {
            sentRequest = true;
            pendingSinceUs = -1;
            memory.setIncomplete(0); // what follows is another message
            try {
                lastUsedUs = clock.now();
                handleMessage(this, message);
            } catch (RuntimeException e) {
                LOG.error("internal error while handling a viewer's message: remote={}", channel.remoteAddress(), e);
                if (!isResponse(message)) {
                    reply(channel, 500, "Internal Server Error", message);
                }
                closeAfterAnswers();
            }
        }

        /** Limits time and memory of a message of which only a part has arrived. */
        private void awaitRest() {
            if (sentRequest && pendingSinceUs < 0 && decoder.hasPartialMessage()) {
                pendingSinceUs = clock.now();
            }
            memory.setIncomplete(decoder.incompleteBytes());
        }

        @Override
        protected void onInputHandled(boolean ended) {
            if (ended) {
                refusePending();
            } else {
                submitPending();
            }
        }

        /** Passes the set-ups read so far to the broker. */
        private void submitPending() {
            while (!pendingSetUps.isEmpty()) {
                PendingSetUp next = pendingSetUps.values().iterator().next();
                pendingSetUps.remove(next.request().name());
                requestSession(this, next);
            }
        }

        /**
         * Refuses the set-ups read so far without an attempt, since the viewer has closed its output. It may still
         * read, so each of them is answered.
         */
        private void refusePending() {
            pendingSetUps.keySet().forEach(this::refuse);
            pendingSetUps.clear();
        }

        /** A set-up is answered or taken back. */
        private void setUpClosed(String name) {
            openSetUps.remove(name);
            reservations.release(name);
        }

        /** Refuses a set-up that was not passed to the broker. */
        private void refuse(String name) {
            refused(handle, name, broker.maxRetryAfter());
        }

        /**
         * The viewer has closed its output. A half-close cannot be distinguished from a full close, so no further
         * attempt is made for it, and its open set-ups are answered at once, before our side is closed.
         */
        @Override
        protected void onInputEnded(ChannelHandlerContext ctx) {
            LOG.debug("viewer closed its output: remote={} open={}", channel.remoteAddress(), openSetUps);
            broker.halfClosed(clock.now(), handle);
            detach();
            outputClosed = true;
            openConnections.add(this); // until the answers have been read, or the linger timeout ends
            pendingSinceUs = clock.now();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /**
         * Cancels at once instead of in {@link #onClosed}: no attempt may be sent for a viewer that has disconnected,
         * not even one that is to be written in this iteration of the event loop.
         */
        @Override
        protected void onConnectionBroken() {
            detach();
        }

        /**
         * Answers a readable message with 400. A correct viewer does not keep sending faulty messages, so the
         * connection is closed after {@link #MAX_FAULTY_MESSAGES}.
         */
        private void rejectSetUp(String why, HttpStyleMessage message) {
            LOG.warn("set-up rejected: remote={} why={}", channel.remoteAddress(), why);
            reply(channel, 400, "Bad Request", message);
            if (++faultyMessages >= MAX_FAULTY_MESSAGES) {
                closeAfterAnswers();
            }
        }

        /** Answers with 400 and closes: the rest of the input cannot be split into messages any more. */
        private void rejectMalformed(String why) {
            LOG.warn("viewer's message malformed: remote={} why={}", channel.remoteAddress(), why);
            reply(channel, 400, "Bad Request", null);
            closeAfterAnswers();
        }

        /** There is no memory for the rest of a message: refuses it, and closes as the input after it is unreadable. */
        private void dropMessage() {
            LOG.warn("viewer's message dropped, too many are incomplete: remote={}", channel.remoteAddress());
            reply(channel, 503, "Service Unavailable", null);
            closeAfterAnswers();
        }

        /** Closes a connection on which no set-up is open; what is still unwritten is sent first. */
        private void closeUnused(String why) {
            LOG.debug("closing viewer's connection: remote={} why={}", channel.remoteAddress(), why);
            if (!ending && Net.hasUnwrittenBytes(channel)) { // a close would discard bytes that are not sent yet
                closeAfterAnswers();
                return;
            }
            detach();
            channel.close();
        }

        /**
         * Accepts no more input, and closes our output once the open set-ups are answered. They arrived complete,
         * whatever was wrong with a later message; each is answered by its client deadline.
         */
        private void closeAfterAnswers() {
            if (ending) {
                return;
            }
            submitPending(); // these arrived complete before whatever ends the connection
            if (ending) {
                return;
            }
            stopInput();
            pendingSinceUs = clock.now();
            resumeReading(channel);
            if (!openSetUps.isEmpty()) {
                LOG.info(
                        "viewer's connection closes once its open set-ups are answered: remote={} open={}",
                        channel.remoteAddress(),
                        openSetUps.size());
            }
            closeOutputOnceAnswered();
        }

        /**
         * Closes our output if no answer is outstanding any more, and keeps reading for a while: closing while the
         * viewer still sends resets the connection, and the viewer may lose the answer before it has read it.
         */
        private void closeOutputOnceAnswered() {
            if (!ending || outputClosed || !openSetUps.isEmpty()) {
                return;
            }
            detach();
            outputClosed = true;
            openConnections.add(this);
            pendingSinceUs = clock.now();
            resumeReading(channel);
            // Waits for the writes before it, as shutting down the output discards whatever is still queued.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
                if (channel instanceof DuplexChannel duplex) {
                    duplex.shutdownOutput();
                } else {
                    channel.close();
                }
            });
        }

        /** Accepts no further input, and drops what has arrived of a message. */
        private void stopInput() {
            ending = true;
            decoder.clear();
            memory.setIncomplete(0);
        }

        /** Removes the connection and cancels its open set-ups: its viewer has its answers or has disconnected. */
        private void detach() {
            stopInput();
            openConnections.remove(this);
            reservations.releaseAll();
            if (connectionsByHandle.remove(handle, this)) {
                openSetUps.clear();
                broker.disconnected(clock.now(), handle);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (!ending) {
                super.channelWritabilityChanged(ctx);
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            LOG.debug(
                    "viewer's connection ended: remote={} reset={} open={}",
                    ctx.channel().remoteAddress(),
                    reset,
                    openSetUps);
            detach();
        }

        /** An internal error loses the message that caused it, but not the answers to other open set-ups. */
        @Override
        protected void onInternalError(ChannelHandlerContext ctx) {
            closeAfterAnswers();
        }
    }

    private static boolean isResponse(HttpStyleMessage message) {
        return message.startLine().startsWith("RTSP/");
    }

    private void handleMessage(Connection connection, HttpStyleMessage message)
            throws HttpStyleMessage.MalformedMessageException {
        Channel channel = connection.channel;
        if (isResponse(message)) {
            if ("2".equals(message.header("cseq"))) { // answers a TEARDOWN of ours, see sendRequest
                broker.endConfirmed(connection.handle, message.header("session", ""));
            }
            return;
        }
        if (!message.startLinePart(2).equals("RTSP/1.0")
                || !message.startLinePart(1).startsWith("rtsp://")) {
            throw new HttpStyleMessage.MalformedMessageException(
                    "first line is not of the form METHOD rtsp://ADDRESS RTSP/1.0");
        }
        switch (message.startLinePart(0)) {
            case "SETUP" -> handleSetUp(connection, message);
            case "TEARDOWN" -> {
                LOG.debug(
                        "viewer sent TEARDOWN: session={} reason={}",
                        message.header("session"),
                        message.header("reason"));
                String session = message.header("session", "");
                broker.trace().add(clock.now(), session, "torn-down", message.header("reason"));
                if (connection.pendingSetUps.remove(session) == null) {
                    broker.cancel(clock.now(), session);
                } else {
                    connection.reservations.release(session);
                }
                reply(channel, 200, "OK", message);
            }
            case "OPTIONS" -> reply(channel, 200, "OK", message);
            case "ANNOUNCE", "REDIRECT", "SET_PARAMETER" -> {} // need no answer
            default -> reply(channel, 501, "Not Implemented", message);
        }
    }

    private void handleSetUp(Connection connection, HttpStyleMessage message) {
        SetUpMessage setUp;
        try {
            setUp = SetUpMessage.parse(message);
        } catch (IllegalArgumentException e) {
            connection.rejectSetUp(e.getMessage(), message);
            return;
        }
        SessionRequest request = setUp.request();
        boolean stillPending = connection.pendingSetUps.remove(request.name()) != null;
        // Rejects a second set-up for the same session, as an answer could belong to either of the two.
        if (stillPending || connection.openSetUps.contains(request.name())) {
            LOG.warn(
                    "viewer's message malformed: remote={} why=second set-up for a session whose first is unanswered",
                    connection.channel.remoteAddress());
            if (!stillPending) {
                broker.cancel(clock.now(), request.name());
            }
            answer(connection, request.name(), 400, "Bad Request", EMPTY_BODY, Map.of());
            connection.closeAfterAnswers();
            return;
        }
        connection.sentSetUp = true;
        if (setUp.playingServer() != null) {
            if (!broker.adoptSession(clock.now(), connection.handle, this, servers, request, setUp.playingServer())) {
                connection.rejectSetUp(
                        "edge server in field at or Priority-Class is unknown, or a number is out of range", message);
            }
            return;
        }
        if (connection.openSetUps.size() + connection.pendingSetUps.size() >= MAX_OPEN_SET_UPS
                || !connection.reservations.reserve(request.name(), message)) {
            connection.refuse(request.name());
            return;
        }
        if (connection.pendingSetUps.isEmpty()) {
            connection.setUpsPendingSinceUs = connection.lastUsedUs;
        }
        connection.pendingSetUps.put(request.name(), new PendingSetUp(request, message.onlyHeaders(REPEATED_HEADERS)));
    }

    private void requestSession(Connection connection, PendingSetUp setUp) {
        SessionRequest request = setUp.request();
        connection.openSetUps.add(request.name());
        broker.trace().add(clock.now(), request.name(), "taken", request.className());
        LOG.debug("set-up accepted: session={} remote={}", request.name(), connection.channel.remoteAddress());
        if (!broker.request(clock.now(), connection.handle, this, servers, request)) {
            connection.setUpClosed(request.name());
            connection.rejectSetUp(
                    "session is in use already, Priority-Class is unknown, or a number is out of range",
                    setUp.message());
        }
    }

    // ---- Calls from the broker.

    @Override
    public void served(long connection, String name, Grant granted) {
        answer(connection, name, 200, "OK", granted.description().getBytes(StandardCharsets.UTF_8), Map.of());
    }

    @Override
    public void refused(long connection, String name, long retryAfter) {
        if (retryAfter <= 0) {
            answer(connection, name, 453, "Not Enough Bandwidth", EMPTY_BODY, Map.of());
            return;
        }
        // Status 503 and Retry-After serve players that do not know P-Back-Off (RFC 2326, 11.3.14 and 12.31).
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("P-Back-Off", Long.toString(retryAfter / 1000));
        long seconds = retryAfterSeconds(retryAfter, broker.maxRetryAfter(), random);
        if (seconds > 0) {
            headers.put("Retry-After", Long.toString(seconds));
        }
        answer(connection, name, 503, "Service Unavailable", EMPTY_BODY, headers);
    }

    /**
     * Rounds microseconds to whole seconds, up or down at random, so that the mean and the spread over many refusals
     * are preserved. Returns at least 1, but 0 if the settings' maximum, {@code maxMicros}, is under a second.
     */
    static long retryAfterSeconds(long micros, long maxMicros, SplittableRandom random) {
        long carry = random.nextLong(1_000_000) < micros % 1_000_000 ? 1 : 0;
        return Math.min(Math.max(1, micros / 1_000_000 + carry), maxMicros / 1_000_000);
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        Connection open = connectionsByHandle.get(connection);
        if (open != null && !open.openSetUps.contains(name)) {
            return; // answered, though what was to follow the answer failed
        }
        answer(
                connection,
                name,
                late ? 504 : 500,
                late ? "Gateway Time-out" : "Internal Server Error",
                EMPTY_BODY,
                Map.of());
    }

    /** Closes a connection that was kept open only for the answer to the cancelled request. */
    @Override
    public void setUpCancelled(long connection, String name) {
        Connection c = connectionsByHandle.get(connection);
        if (c != null) {
            c.setUpClosed(name);
            c.closeOutputOnceAnswered();
        }
    }

    @Override
    public void sessionEnded(long connection, String name, Outcome outcome) {
        sendRequest(connection, "TEARDOWN", name, "cause=" + (outcome == Outcome.OK ? 16 : 41));
    }

    @Override
    public void moved(long connection, String name) {
        sendRequest(connection, "REDIRECT", name, null);
    }

    /** Answers a set-up; if its connection has gone, a session just granted is ended, as its viewer can't use it. */
    private void answer(
            long handle, String name, int code, String phrase, byte[] body, Map<String, String> extraHeaders) {
        Connection connection = connectionsByHandle.get(handle);
        LOG.debug("set-up answered: session={} code={} connection={}", name, code, connection == null ? "gone" : "up");
        if (connection != null) {
            answer(connection, name, code, phrase, body, extraHeaders);
        } else if (code == 200) {
            broker.answerUndelivered(clock.now(), name);
        }
    }

    private void answer(
            Connection connection,
            String name,
            int code,
            String phrase,
            byte[] body,
            Map<String, String> extraHeaders) {
        connection.lastUsedUs = clock.now();
        broker.trace().add(connection.lastUsedUs, name, "answered", phrase);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", "1");
        headers.put("Session", name);
        headers.putAll(extraHeaders);
        byte[] response = HttpStyleMessage.encode("RTSP/1.0 " + code + " " + phrase, headers, body);
        connection.setUpClosed(name);
        connection.channel.writeAndFlush(Net.toByteBuf(response)).addListener(done -> {
            if (!done.isSuccess()) {
                broker.trace().logFailure(name, "answer could not be written to the viewer's connection");
                if (code == 200) {
                    broker.answerUndelivered(clock.now(), name);
                }
            }
        });
        connection.closeOutputOnceAnswered();
    }

    /** Sends a request about a session to its viewer; does nothing if the connection has gone. */
    private void sendRequest(long handle, String method, String name, String reason) {
        Connection connection = connectionsByHandle.get(handle);
        if (connection == null) {
            return;
        }
        LOG.debug("request sent to viewer: method={} session={} reason={}", method, name, reason);
        connection.lastUsedUs = clock.now();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", method.equals("TEARDOWN") ? "2" : "4");
        headers.put("Session", name);
        if (reason != null) {
            headers.put("Reason", reason);
        }
        connection.channel.writeAndFlush(Net.toByteBuf(
                HttpStyleMessage.encode(method + " rtsp://media/" + name + " RTSP/1.0", headers, EMPTY_BODY)));
    }

    /** Answers the request {@code to} with its own CSeq and Session headers; null if the request is unreadable. */
    private static void reply(Channel channel, int code, String phrase, HttpStyleMessage to) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (to != null) {
            for (String name : List.of("CSeq", "Session")) {
                String value = to.header(name.toLowerCase(Locale.ROOT));
                if (value != null) {
                    headers.put(name, value);
                }
            }
        }
        channel.writeAndFlush(
                Net.toByteBuf(HttpStyleMessage.encode("RTSP/1.0 " + code + " " + phrase, headers, EMPTY_BODY)));
    }
}
