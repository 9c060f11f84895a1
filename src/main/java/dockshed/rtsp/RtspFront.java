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

/** Viewers that speak the platform's RTSP. Turns their messages into the broker's calls and back; owns no rule. */
public final class RtspFront implements Front {
    static final int MAX_MESSAGE_BYTES = 16 * 1024;
    /** A message must be whole so soon after its beginning, the first so soon after its connection came up. */
    static final long MESSAGE_TIMEOUT_US = 2_000_000;

    private static final long SWEEP_INTERVAL_US = 250_000;
    /** A connection just used is not closed to make room: its viewer may be about to ask again. */
    private static final long RECENT_USE_US = 500_000;
    /** Between the choice of a connection to be closed and its end: bytes that had come by then have been read. */
    static final long CLOSE_DELAY_US = 60_000;
    /** What was answered for good is read on for so long, and so many bytes, lest the answer be lost. */
    static final long LINGER_TIMEOUT_US = 5_000_000;

    private static final long MAX_DISCARDED_BYTES = 128L << 20;
    /** Messages at fault on one connection before it is ended. */
    static final int MAX_FAULTY_MESSAGES = 16;
    /** Set-ups open on one connection: ten times what the busiest day brings on one within a deadline. */
    static final int MAX_OPEN_SET_UPS = 512;

    private static final Logger LOG = LoggerFactory.getLogger(RtspFront.class);
    private static final byte[] EMPTY_BODY = new byte[0];

    private final Broker broker;
    private final ServerAdapter servers;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final int maxConnections;
    private final Map<Long, Connection> connectionsByHandle = new HashMap<>();
    private final Set<Connection> openConnections = new LinkedHashSet<>(); // those that are ending, too
    private final SplittableRandom random = new SplittableRandom(1); // of the rounding only: no secret, any seed does
    private boolean atCapacity;

    /** Viewers keep to a third of the descriptors; {@code mostConnections} leaves room for what is no viewer's. */
    public RtspFront(Broker broker, ServerAdapter servers, Clock clock, TimerQueue deadlines, int mostConnections) {
        this.maxConnections = mostConnections;
        this.broker = broker;
        this.servers = servers;
        this.clock = clock;
        this.deadlines = deadlines;
        deadlines.schedule(clock.now() + SWEEP_INTERVAL_US, this::sweep);
    }

    /** The handler of a new connection. */
    public ByteHandler accept() {
        return new Connection();
    }

    /** Ends what has been silent, stuck in a message, or closing for too long. */
    private void sweep(long due) {
        long now = clock.now();
        deadlines.schedule(now + SWEEP_INTERVAL_US, this::sweep);
        for (Connection c : List.copyOf(openConnections)) {
            if (c.ending) {
                if (c.outputClosed && now - c.pendingSinceUs > LINGER_TIMEOUT_US) {
                    c.channel.close();
                }
            } else if (c.pendingSinceUs >= 0 && now - c.pendingSinceUs > MESSAGE_TIMEOUT_US) {
                if (c.decoder.hasPartialMessage()) {
                    c.rejectMalformed("message not finished");
                } else {
                    c.closeUnused("nothing asked");
                }
            }
        }
    }

    /**
     * Makes room for a new connection: of those that owe nothing, one that never asked goes first, then one that only
     * waits to be closed, then one that has never brought a set-up, then any; the longest unused of its sort.
     */
    private boolean makeRoom() {
        Connection worst = null;
        long now = clock.now();
        for (Connection c : openConnections) {
            boolean fresh = now - c.lastUsedUs < RECENT_USE_US;
            boolean owed = !c.openSetUps.isEmpty()
                    || Net.hasUnwrittenBytes(c.channel) && now - c.lastUsedUs < LINGER_TIMEOUT_US;
            if (!c.closeScheduled
                    && !owed
                    && !(fresh && c.evictionRank() > 0)
                    && (worst == null
                            || c.evictionRank() < worst.evictionRank()
                            || c.evictionRank() == worst.evictionRank() && c.lastUsedUs < worst.lastUsedUs)) {
                worst = c;
            }
        }
        if (worst == null || openConnections.size() > maxConnections + maxConnections / 8) {
            return false;
        }
        Connection chosen = worst;
        if (chosen.sentRequest && !chosen.ending) {
            // A set-up may have come that is not read yet: it is closed only once all that had come has been.
            chosen.closeScheduled = true;
            long unused = chosen.lastUsedUs;
            deadlines.schedule(now + CLOSE_DELAY_US, t -> {
                chosen.closeScheduled = false;
                if (chosen.lastUsedUs == unused
                        && chosen.openSetUps.isEmpty()
                        && !chosen.decoder.hasPartialMessage()
                        && !chosen.ending) {
                    chosen.closeUnused("room is needed");
                }
            });
        } else {
            chosen.closeUnused("room is needed");
        }
        return true;
    }

    /** A set-up as it came. */
    private record PendingSetUp(SessionRequest request, HttpStyleMessage message) {}

    private final class Connection extends ByteHandler {
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_MESSAGE_BYTES);
        private final Set<String> openSetUps = new HashSet<>(); // open ones
        /** Read, but not taken before all that has come is read: its viewer may have left behind it. */
        private final Map<String, PendingSetUp> pendingSetUps = new LinkedHashMap<>();

        private Channel channel;
        private long handle;
        private boolean ending;
        private boolean sentRequest;
        private boolean sentSetUp;
        private boolean closeScheduled;
        private boolean outputClosed; // all answers owed are written: our output is ended, or is about to be
        private long pendingSinceUs; // the beginning of a first message, of a part of one, of the ending; else -1
        private long lastUsedUs;
        private long discardedBytes;
        private int faultyMessages;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            pendingSinceUs = clock.now();
            lastUsedUs = pendingSinceUs;
            if (openConnections.size() >= maxConnections && !makeRoom()) {
                if (!atCapacity) {
                    LOG.warn("viewer's connection turned away: open={}", openConnections.size());
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

        /** What goes first where room is needed. */
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
                    channel.config().setAutoRead(false); // answers are owed: it is read on once they are written
                }
            }
            return ending;
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            boolean begun = decoder.hasPartialMessage();
            decoder.add(bytes, 0, bytes.length);
            try {
                boolean whole = false;
                for (HttpStyleMessage m = decoder.next(); m != null; m = decoder.next()) {
                    whole = true;
                    sentRequest = true;
                    lastUsedUs = clock.now();
                    handleMessage(this, m);
                    if (ending) {
                        return;
                    }
                }
                if (!decoder.hasPartialMessage()) {
                    pendingSinceUs = sentRequest ? -1 : pendingSinceUs;
                } else if (sentRequest && (whole || !begun)) {
                    pendingSinceUs = clock.now();
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                rejectMalformed(e.getMessage());
            }
        }

        @Override
        protected void onReadComplete(ChannelHandlerContext ctx, boolean ended) {
            if (ended) {
                refusePending();
            } else {
                submitPending();
            }
        }

        /** Asks the broker for what has been read. */
        private void submitPending() {
            while (!pendingSetUps.isEmpty()) {
                PendingSetUp next = pendingSetUps.values().iterator().next();
                pendingSetUps.remove(next.request().name());
                request(this, next);
            }
        }

        /** The viewer has ended its output behind them: they are answered, as it may still read, and not tried. */
        private void refusePending() {
            pendingSetUps.keySet().forEach(name -> refused(handle, name, broker.maxRetryAfter()));
            pendingSetUps.clear();
        }

        /**
         * The viewer says no more; whether it has left or still reads cannot be told apart. Nothing is tried for it any
         * more, and what is open has its answer at once, before our end of the connection goes.
         */
        @Override
        protected void onInputEnded(ChannelHandlerContext ctx) {
            LOG.debug("viewer says no more: remote={} open={}", channel.remoteAddress(), openSetUps);
            broker.halfClosed(clock.now(), handle);
            detach();
            outputClosed = true;
            openConnections.add(this); // until what is written has been read, or for as long as it may linger
            pendingSinceUs = clock.now();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** Told at once: nothing must go out for a viewer that has left, not even what is to be written in this turn. */
        @Override
        protected void onConnectionBroken() {
            detach();
        }

        /** Counts what was wrong in a message that could be read: a viewer's program does not go on like that. */
        private void rejectSetUp(String why, HttpStyleMessage m) {
            LOG.warn("set-up refused: remote={} why={}", channel.remoteAddress(), why);
            reply(channel, 400, "Bad Request", m);
            if (++faultyMessages >= MAX_FAULTY_MESSAGES) {
                closeAfterAnswers();
            }
        }

        /** The last answer on a connection that can't be read on. */
        private void rejectMalformed(String why) {
            LOG.warn("viewer's message malformed: remote={} why={}", channel.remoteAddress(), why);
            reply(channel, 400, "Bad Request", null);
            closeAfterAnswers();
        }

        private void closeUnused(String why) {
            LOG.debug("viewer's connection closed: remote={} why={}", channel.remoteAddress(), why);
            if (!ending
                    && Net.hasUnwrittenBytes(
                            channel)) { // a close would throw away what the viewer has not made room for yet
                closeAfterAnswers();
                return;
            }
            detach();
            channel.close();
        }

        /**
         * Takes nothing more, and writes no more once what is open here has its answers: whatever was wrong with a later
         * message, they were taken whole. Each has one by its deadline.
         */
        private void closeAfterAnswers() {
            if (ending) {
                return;
            }
            submitPending(); // they came whole before whatever ends this connection
            if (ending) {
                return;
            }
            ending = true;
            pendingSinceUs = clock.now();
            channel.config().setAutoRead(true);
            if (!openSetUps.isEmpty()) {
                LOG.info(
                        "viewer's connection ends after its answers: remote={} open={}",
                        channel.remoteAddress(),
                        openSetUps.size());
            }
            closeOutputOnceAnswered();
        }

        /**
         * Ends our output and reads on for a while: to close under a sender resets the connection, and the answer may be
         * lost to that before it is read.
         */
        private void closeOutputOnceAnswered() {
            if (!ending || outputClosed || !openSetUps.isEmpty()) {
                return;
            }
            detach();
            outputClosed = true;
            openConnections.add(this);
            pendingSinceUs = clock.now();
            channel.config().setAutoRead(true);
            // After what is written already: the end of our output throws away what still waits for the viewer.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
                if (channel instanceof DuplexChannel duplex) {
                    duplex.shutdownOutput();
                } else {
                    channel.close();
                }
            });
        }

        /** Whoever waited here for an answer has it or has left. */
        private void detach() {
            ending = true;
            openConnections.remove(this);
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

        /** An error of our own in one message costs that message, not what others on the connection wait for. */
        @Override
        protected void onInternalError(ChannelHandlerContext ctx) {
            closeAfterAnswers();
        }
    }

    private void handleMessage(Connection c, HttpStyleMessage m) throws HttpStyleMessage.MalformedMessageException {
        Channel ch = c.channel;
        if (m.startLine().startsWith("RTSP/")) {
            if ("2".equals(m.header("cseq"))) {
                broker.endConfirmed(c.handle, m.header("session", ""));
            }
            return;
        }
        if (!m.startLinePart(2).equals("RTSP/1.0") || !m.startLinePart(1).startsWith("rtsp://")) {
            throw new HttpStyleMessage.MalformedMessageException("first line is no RTSP request");
        }
        switch (m.startLinePart(0)) {
            case "SETUP" -> handleSetUp(c, m);
            case "TEARDOWN" -> {
                LOG.debug("torn down by its viewer: session={} reason={}", m.header("session"), m.header("reason"));
                String name = m.header("session", "");
                broker.trace().add(clock.now(), name, "torn-down", m.header("reason"));
                if (c.pendingSetUps.remove(name) == null) {
                    broker.cancel(clock.now(), name);
                }
                reply(ch, 200, "OK", m);
            }
            case "OPTIONS" -> reply(ch, 200, "OK", m);
            case "ANNOUNCE", "REDIRECT", "SET_PARAMETER" -> {} // want no answer
            default -> reply(ch, 501, "Not Implemented", m);
        }
    }

    private void handleSetUp(Connection c, HttpStyleMessage m) {
        SetUpMessage f;
        try {
            f = SetUpMessage.parse(m);
        } catch (IllegalArgumentException e) {
            c.rejectSetUp(e.getMessage(), m);
            return;
        }
        SessionRequest wish = f.request();
        boolean untaken = c.pendingSetUps.remove(wish.name()) != null;
        if (untaken
                || c.openSetUps.contains(wish.name())) { // no telling any more which of the two an answer would be for
            LOG.warn(
                    "viewer's message malformed: remote={} why=two set-ups under one session",
                    c.channel.remoteAddress());
            if (!untaken) {
                broker.cancel(clock.now(), wish.name());
            }
            answer(c, wish.name(), 400, "Bad Request", EMPTY_BODY, Map.of());
            c.closeAfterAnswers();
            return;
        }
        if (c.openSetUps.size() + c.pendingSetUps.size() >= MAX_OPEN_SET_UPS) {
            answer(c, wish.name(), 503, "Service Unavailable", EMPTY_BODY, Map.of());
            return;
        }
        c.sentSetUp = true;
        if (f.playingServer() != null) {
            if (!broker.adoptSession(clock.now(), c.handle, this, servers, wish, f.playingServer())) {
                c.rejectSetUp("plays nowhere that is known", m);
            }
            return;
        }
        c.pendingSetUps.put(wish.name(), new PendingSetUp(wish, m));
    }

    private void request(Connection c, PendingSetUp asked) {
        SessionRequest wish = asked.request();
        c.openSetUps.add(wish.name());
        broker.trace().add(clock.now(), wish.name(), "taken", wish.className());
        LOG.debug("set-up taken: session={} remote={}", wish.name(), c.channel.remoteAddress());
        if (!broker.request(clock.now(), c.handle, this, servers, wish)) {
            c.openSetUps.remove(wish.name());
            c.rejectSetUp("session held already, class unknown, or a figure out of range", asked.message());
        }
    }

    // ---- From the broker.

    @Override
    public void served(long connection, String name, Grant granted) {
        answer(connection, name, 200, "OK", granted.description().getBytes(StandardCharsets.UTF_8), Map.of());
    }

    @Override
    public void refused(long connection, String name, long comeBack) {
        if (comeBack <= 0) {
            answer(connection, name, 453, "Not Enough Bandwidth", EMPTY_BODY, Map.of());
            return;
        }
        // Players that know nothing of P-Back-Off know these two (RFC 2326, 11.3.14 and 12.31).
        Map<String, String> when = new LinkedHashMap<>();
        when.put("P-Back-Off", Long.toString(comeBack / 1000));
        long seconds = retryAfterSeconds(comeBack, broker.maxRetryAfter(), random);
        if (seconds > 0) {
            when.put("Retry-After", Long.toString(seconds));
        }
        answer(connection, name, 503, "Service Unavailable", EMPTY_BODY, when);
    }

    /** Up or down by chance, so that the mean and the spread of many survive; 0 where less than a second may be told. */
    static long retryAfterSeconds(long micros, long longest, SplittableRandom random) {
        long up = random.nextLong(1_000_000) < micros % 1_000_000 ? 1 : 0;
        return Math.min(Math.max(1, micros / 1_000_000 + up), longest / 1_000_000);
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        answer(
                connection,
                name,
                late ? 504 : 500,
                late ? "Gateway Time-out" : "Internal Server Error",
                EMPTY_BODY,
                Map.of());
    }

    /** A connection that only waited for this answer to end has none to wait for. */
    @Override
    public void setUpCancelled(long connection, String name) {
        Connection c = connectionsByHandle.get(connection);
        if (c != null) {
            c.openSetUps.remove(name);
            c.closeOutputOnceAnswered();
        }
    }

    @Override
    public void sessionEnded(long connection, String name, Outcome outcome) {
        request(connection, "TEARDOWN", name, "cause=" + (outcome == Outcome.OK ? 16 : 41));
    }

    @Override
    public void moved(long connection, String name) {
        request(connection, "REDIRECT", name, null);
    }

    private void answer(long connection, String name, int code, String phrase, byte[] body, Map<String, String> more) {
        Connection c = connectionsByHandle.get(connection);
        LOG.debug("set-up answered: session={} code={} connection={}", name, code, c == null ? "gone" : "up");
        if (c != null) {
            answer(c, name, code, phrase, body, more);
        } else if (code == 200) {
            broker.answerUndelivered(clock.now(), name);
        }
    }

    private void answer(Connection c, String name, int code, String phrase, byte[] body, Map<String, String> more) {
        c.openSetUps.remove(name);
        c.lastUsedUs = clock.now();
        broker.trace().add(c.lastUsedUs, name, "answered", phrase);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", "1");
        headers.put("Session", name);
        headers.putAll(more);
        c.channel
                .writeAndFlush(Net.toByteBuf(HttpStyleMessage.encode("RTSP/1.0 " + code + " " + phrase, headers, body)))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        broker.trace().logFailure(name, "answer not written");
                        if (code == 200) {
                            broker.answerUndelivered(clock.now(), name);
                        }
                    }
                });
        c.closeOutputOnceAnswered();
    }

    private void request(long connection, String method, String name, String reason) {
        Connection c = connectionsByHandle.get(connection);
        if (c == null) {
            return;
        }
        LOG.debug("told: method={} session={} reason={}", method, name, reason);
        c.lastUsedUs = clock.now();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("CSeq", method.equals("TEARDOWN") ? "2" : "4");
        headers.put("Session", name);
        if (reason != null) {
            headers.put("Reason", reason);
        }
        c.channel.writeAndFlush(Net.toByteBuf(
                HttpStyleMessage.encode(method + " rtsp://media/" + name + " RTSP/1.0", headers, EMPTY_BODY)));
    }

    /** Answers a request of the viewer's at once, with its own CSeq and session. */
    private static void reply(Channel ch, int code, String phrase, HttpStyleMessage to) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (to != null) {
            for (String name : List.of("CSeq", "Session")) {
                String value = to.header(name.toLowerCase(Locale.ROOT));
                if (value != null) {
                    headers.put(name, value);
                }
            }
        }
        ch.writeAndFlush(
                Net.toByteBuf(HttpStyleMessage.encode("RTSP/1.0 " + code + " " + phrase, headers, EMPTY_BODY)));
    }
}
