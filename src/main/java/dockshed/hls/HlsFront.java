package dockshed.hls;

import dockshed.Director.Effect;
import dockshed.Director.Outcome;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.hls.Playlists.MultivariantPlaylist;
import dockshed.hls.Playlists.UnusablePlaylistException;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.HttpFetch;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Viewers that fetch HLS playlists. The GET of a lesson's multivariant playlist asks the broker for a session; its
 * answer is the box's playlist rewritten for that session, and every later fetch goes by the session's own addresses.
 * Admission, attempts and drains are the broker's; what is kept here is the text a session has been given.
 */
public final class HlsFront implements Front {
    static final int MAX_REQUEST_BYTES = 16 * 1024;
    /** A connection with nothing in hand is closed after this. */
    static final long IDLE_CONNECTION_TIMEOUT_US = 30_000_000;
    /** Requests of one connection that may wait for the one in hand. */
    private static final int MAX_PIPELINED_REQUESTS = 32;

    private static final int MAX_ENDED_SESSIONS = 1000;
    private static final String LESSONS_PATH = "/lessons/";
    private static final String SESSIONS_PATH = "/sessions/";
    private static final String MASTER_PLAYLIST_SUFFIX = "/master.m3u8";
    private static final String PLAYLIST_CONTENT_TYPE = "application/vnd.apple.mpegurl";
    private static final Logger LOG = LoggerFactory.getLogger(HlsFront.class);

    private final Broker broker;
    private final HlsEdgeServers origins;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final int cells;
    private final long idleTimeoutUs;
    private final int maxConnections;
    private final Random random;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Session> sessionsByViewer = new HashMap<>();
    private final LinkedHashMap<String, Boolean> endedSessions = new LinkedHashMap<>(); // the latest, to say 410
    private int connections;

    /** {@code idle}: microseconds after the playing time of what was fetched, without a fetch, that end a session. */
    public HlsFront(
            Broker broker,
            HlsEdgeServers origins,
            Clock clock,
            TimerQueue deadlines,
            Settings settings,
            long idle,
            int mostConnections,
            long seed) {
        this.broker = broker;
        this.origins = origins;
        this.clock = clock;
        this.deadlines = deadlines;
        this.idleTimeoutUs = idle;
        this.maxConnections = mostConnections;
        settings.classes().forEach(c -> classes.put(c.name(), c));
        cells = settings.ladder().cells();
        random = new Random(seed);
    }

    /** A viewer's session, from its request on. */
    private static final class Session {
        final String name;
        final String viewerKey;
        final URI playlistPath;
        final List<Exchange> pendingExchanges = new ArrayList<>();
        final Map<Integer, String> cachedMediaPlaylists = new HashMap<>(); // media playlists as last given
        String server;
        MultivariantPlaylist multivariant; // null: not answered yet
        URI baseUri;
        int lowestRendition;
        int grantedRendition;
        long activeUntilUs; // until when it is not idle

        Session(String name, String viewerKey, URI path) {
            this.name = name;
            this.viewerKey = viewerKey;
            this.playlistPath = path;
        }
    }

    // ---- Connections.

    public ByteHandler accept() {
        return new Connection();
    }

    /** One request and the connection that owes its answer. */
    private final class Exchange {
        private final Connection connection;
        private final boolean closeAfter;

        Exchange(Connection connection, boolean last) {
            this.connection = connection;
            this.closeAfter = last;
        }

        void answer(int code, String phrase, String type, String body, Map<String, String> more) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Content-Type", type);
            headers.put("Cache-Control", "no-store");
            headers.putAll(more);
            if (closeAfter) {
                headers.put("Connection", "close");
            }
            connection.write(
                    HttpStyleMessage.encode(
                            "HTTP/1.1 " + code + " " + phrase, headers, body.getBytes(StandardCharsets.UTF_8)),
                    closeAfter);
        }

        void answerPlaylist(String text) {
            answer(200, "OK", PLAYLIST_CONTENT_TYPE, text, Map.of());
        }

        void answerError(int code, String phrase) {
            answer(code, phrase, "text/plain", phrase + "\n", Map.of());
        }
    }

    private final class Connection extends ByteHandler {
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_REQUEST_BYTES);
        private final ArrayDeque<HttpStyleMessage> requestQueue = new ArrayDeque<>();
        private Channel channel;
        private boolean answering;
        private boolean closing;
        private long lastUsedUs;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            lastUsedUs = clock.now();
            scheduleIdleCheck();
            if (++connections > maxConnections) {
                LOG.warn("HLS connection turned away: open={}", connections);
                ctx.close();
            }
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (closing) {
                return;
            }
            decoder.add(bytes, 0, bytes.length);
            try {
                for (HttpStyleMessage m = decoder.next(); m != null; m = decoder.next()) {
                    requestQueue.add(m);
                    if (requestQueue.size() > MAX_PIPELINED_REQUESTS) {
                        throw new HttpStyleMessage.MalformedMessageException("too many requests at once");
                    }
                }
            } catch (HttpStyleMessage.MalformedMessageException e) {
                LOG.warn("HLS request malformed: remote={} why={}", channel.remoteAddress(), e.getMessage());
                closing = true;
                requestQueue.add(new HttpStyleMessage("", Map.of(), new byte[0])); // answered in its turn
            }
            processNext();
        }

        private void scheduleIdleCheck() {
            deadlines.schedule(lastUsedUs + IDLE_CONNECTION_TIMEOUT_US, t -> {
                if (!closing && !answering && clock.now() - lastUsedUs >= IDLE_CONNECTION_TIMEOUT_US) {
                    channel.close();
                } else if (!closing) {
                    lastUsedUs = answering ? clock.now() : lastUsedUs;
                    scheduleIdleCheck();
                }
            });
        }

        private void processNext() {
            HttpStyleMessage m = answering ? null : requestQueue.poll();
            if (m == null) {
                return;
            }
            answering = true;
            lastUsedUs = clock.now();
            boolean last = "close".equalsIgnoreCase(m.header("connection"))
                    || m.startLinePart(2).equals("HTTP/1.0")
                    || closing && requestQueue.isEmpty();
            handleRequest(new Exchange(this, last), m);
        }

        private void write(byte[] bytes, boolean last) {
            answering = false;
            lastUsedUs = clock.now();
            var done = channel.writeAndFlush(Net.toByteBuf(bytes));
            if (last) {
                done.addListener(ChannelFutureListener.CLOSE);
                closing = true;
                requestQueue.clear();
            } else {
                channel.eventLoop().execute(this::processNext);
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            connections--;
            requestQueue.clear();
            closing = true;
            cancelAbandoned(this);
        }
    }

    // ---- Requests.

    /**
     * Sessions that nobody waits for any more, as this connection has closed, are not asked for any further. A paid one goes
     * on: a player that comes back finds it, instead of paying again.
     */
    private void cancelAbandoned(Connection gone) {
        for (Session s : List.copyOf(sessions.values())) {
            if (s.multivariant == null
                    && s.pendingExchanges.removeIf(x -> x.connection == gone)
                    && s.pendingExchanges.isEmpty()
                    && classOf(s).effect() == Effect.SAFE) {
                forget(s);
                broker.cancel(clock.now(), s.name);
            }
        }
    }

    private void handleRequest(Exchange x, HttpStyleMessage m) {
        try {
            URI target = new URI(m.startLinePart(1));
            String path = target.getRawPath();
            if (path == null || !path.startsWith("/") || !m.startLinePart(2).startsWith("HTTP/1.")) {
                throw new IllegalArgumentException("no HTTP request");
            }
            if (!m.startLinePart(0).equals("GET") && !m.startLinePart(0).equals("DELETE")) {
                x.answer(405, "Method Not Allowed", "text/plain", "", Map.of("Allow", "GET, DELETE"));
            } else if (path.startsWith(LESSONS_PATH)
                    && path.endsWith(MASTER_PLAYLIST_SUFFIX)
                    && m.startLinePart(0).equals("GET")) {
                handleLessonRequest(
                        x,
                        target,
                        path.substring(LESSONS_PATH.length(), path.length() - MASTER_PLAYLIST_SUFFIX.length()));
            } else if (path.startsWith(SESSIONS_PATH)) {
                handleSessionRequest(x, m.startLinePart(0).equals("DELETE"), path.substring(SESSIONS_PATH.length()));
            } else {
                x.answerError(404, "Not Found");
            }
        } catch (java.net.URISyntaxException | IllegalArgumentException e) {
            LOG.info("HLS request refused: why={}", e.getMessage());
            x.answerError(400, "Bad Request");
        }
    }

    /** A viewer wants a lesson; one who has it, or waits for it, is given the same session again. */
    private void handleLessonRequest(Exchange x, URI target, String rawTitle) {
        String title = URLDecoder.decode(rawTitle.replace("+", "%2B"), StandardCharsets.UTF_8);
        Map<String, String> query = parseQuery(target.getRawQuery());
        String viewer = query.getOrDefault("viewer", "");
        SessionClass cls = classes.get(query.getOrDefault("class", ""));
        if (title.isEmpty() || viewer.isEmpty() || cls == null) {
            throw new IllegalArgumentException("title, viewer or class is missing or unknown");
        }
        String key = cls.name() + '\n' + title + '\n' + viewer;
        Session held = sessionsByViewer.get(key);
        if (held != null && held.multivariant != null) {
            answerMultivariantPlaylist(x, held);
            return;
        }
        if (held != null) {
            held.pendingExchanges.add(x);
            return;
        }
        long patience = Math.min(cls.deadline(), microsFromMillis(query, "expires_ms", cls.deadline()));
        if (patience <= 0) {
            throw new IllegalArgumentException("expires_ms is not above 0");
        }
        String name;
        do {
            name = String.format("%016x", random.nextLong());
        } while (sessions.containsKey(name));
        Session s = new Session(name, key, URI.create(HlsEdgeServers.multivariantPlaylistPath(title)));
        s.pendingExchanges.add(x);
        sessions.put(name, s);
        sessionsByViewer.put(key, s);
        SessionRequest wish = new SessionRequest(
                name,
                cls.name(),
                viewer,
                title,
                patience,
                microsFromMillis(query, "expected_ms", 0),
                (int) wholeNumber(query, "home", 0),
                (int) wholeNumber(query, "copies", cells),
                (int) wholeNumber(query, "top", cls.top()),
                "1".equals(query.get("repeat")),
                false,
                "1".equals(query.get("again")),
                "");
        if (!broker.request(clock.now(), 0, this, origins, wish)) {
            forget(s);
            x.answerError(400, "Bad Request");
        }
    }

    private static Map<String, String> parseQuery(String raw) {
        Map<String, String> out = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                out.put(
                        URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return out;
    }

    private static long wholeNumber(Map<String, String> query, String key, long absent) {
        String value = query.get(key);
        if (value == null) {
            return absent;
        }
        if (!value.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(key + " is no whole number");
        }
        return Long.parseLong(value);
    }

    private static long microsFromMillis(Map<String, String> query, String key, long absent) {
        return query.containsKey(key) ? wholeNumber(query, key, 0) * 1000 : absent;
    }

    /** {@code ID/master.m3u8}, {@code ID/N.m3u8}, or with DELETE {@code ID}. */
    private void handleSessionRequest(Exchange x, boolean delete, String rest) {
        String[] parts = rest.split("/", 2);
        Session s = sessions.get(parts[0]);
        if (s == null || s.multivariant == null) {
            x.answerError(
                    endedSessions.containsKey(parts[0]) ? 410 : 404,
                    endedSessions.containsKey(parts[0]) ? "Gone" : "Not Found");
        } else if (delete) {
            broker.cancel(clock.now(), s.name);
            end(s);
            x.answer(204, "No Content", "text/plain", "", Map.of());
        } else if (parts.length == 2 && parts[1].equals("master.m3u8")) {
            answerMultivariantPlaylist(x, s);
        } else if (parts.length == 2 && parts[1].matches("[0-9]{1,6}\\.m3u8")) {
            answerMediaPlaylist(x, s, Integer.parseInt(parts[1].substring(0, parts[1].indexOf('.'))));
        } else {
            x.answerError(404, "Not Found");
        }
    }

    /** The session's multivariant playlist from what is held: no fetch, and never another set-up. */
    private void answerMultivariantPlaylist(Exchange x, Session s) {
        try {
            extendActivity(s, 0);
            x.answerPlaylist(s.multivariant.rewrite(
                    s.lowestRendition, s.grantedRendition, s.baseUri, number -> mediaPlaylistPath(s, number)));
        } catch (UnusablePlaylistException e) {
            LOG.warn("playlist cannot be rewritten: session={} why={}", s.name, e.getMessage());
            x.answerError(502, "Bad Gateway");
        }
    }

    private static String mediaPlaylistPath(Session s, int number) {
        return SESSIONS_PATH + s.name + "/" + number + ".m3u8";
    }

    /** A media playlist: of the variant asked for, or of the best that the rung now granted allows under it. */
    private void answerMediaPlaylist(Exchange x, Session s, int asked) {
        int number = asked < s.multivariant.mediaPlaylists().size()
                ? s.multivariant.substitute(asked, s.lowestRendition, s.grantedRendition)
                : -1;
        if (number < 0) {
            x.answerError(404, "Not Found");
            return;
        }
        if (!broker.acceptsSetUp(clock.now(), s.server)) {
            String text = s.cachedMediaPlaylists.get(number);
            if (text != null) {
                extendActivity(s, Playlists.playDurationUs(text));
                x.answerPlaylist(text);
            } else {
                LOG.info("fetch for a draining box ended: session={} server={}", s.name, s.server);
                broker.cancel(clock.now(), s.name);
                end(s);
                x.answerError(410, "Gone");
            }
            return;
        }
        URI uri;
        try {
            uri = s.baseUri.resolve(s.multivariant.mediaPlaylists().get(number).uri());
            if (!s.baseUri.getAuthority().equals(uri.getAuthority()) || !"http".equals(uri.getScheme())) {
                throw new UnusablePlaylistException("media playlist on another server");
            }
        } catch (IllegalArgumentException | UnusablePlaylistException e) {
            LOG.warn("media playlist of no use: session={} why={}", s.name, e.getMessage());
            x.answerError(502, "Bad Gateway");
            return;
        }
        String path = uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        fetchMediaPlaylist(x, s, number, uri, path);
    }

    private void fetchMediaPlaylist(Exchange x, Session s, int number, URI uri, String path) {
        TimerQueue.Timer[] late = {null};
        HttpFetch f = origins.fetchMediaPlaylist(s.server, path, new HttpFetch.Listener() {
            @Override
            public void onResponse(HttpStyleMessage answer) {
                deadlines.cancel(late[0]);
                try {
                    if (answer.status() != 200) {
                        throw new UnusablePlaylistException("status " + answer.status());
                    }
                    String text = Playlists.rewriteMediaPlaylist(answer.bodyText(), uri);
                    s.cachedMediaPlaylists.put(number, text);
                    extendActivity(s, Playlists.playDurationUs(text));
                    x.answerPlaylist(text);
                } catch (UnusablePlaylistException e) {
                    LOG.warn("media playlist of no use: session={} why={}", s.name, e.getMessage());
                    x.answerError(502, "Bad Gateway");
                }
            }

            @Override
            public void onFailure(boolean ran, String why) {
                deadlines.cancel(late[0]);
                LOG.info("media playlist not fetched: session={} why={}", s.name, why);
                x.answerError(502, "Bad Gateway");
            }
        });
        long patience = classOf(s).deadline();
        late[0] = deadlines.schedule(clock.now() + patience, t -> {
            f.cancel();
            x.answerError(504, "Gateway Timeout");
        });
    }

    // ---- From the broker.

    @Override
    public boolean needsConnection() {
        return false;
    }

    /** Retry-After counts whole seconds (RFC 9110, 10.2.3). */
    @Override
    public long retryAfterUnit() {
        return 1_000_000;
    }

    @Override
    public void served(long connection, String name, Grant granted) {
        Session s = sessions.get(name);
        if (s == null) {
            return;
        }
        s.server = granted.server();
        s.lowestRendition = granted.lowestRendition();
        s.grantedRendition = granted.highestRendition();
        s.baseUri = origins.serverUri(granted.server(), s.playlistPath.toString());
        try {
            if (s.baseUri == null) {
                throw new UnusablePlaylistException("its box has left the list meanwhile");
            }
            s.multivariant = MultivariantPlaylist.parse(granted.description());
        } catch (UnusablePlaylistException e) {
            LOG.warn("session cannot be given: session={} why={}", name, e.getMessage());
            forget(s);
            broker.cancel(clock.now(), name);
            takePendingExchanges(s).forEach(x -> x.answerError(502, "Bad Gateway"));
            return;
        }
        extendActivity(s, 0);
        scheduleIdleCheck(s);
        takePendingExchanges(s).forEach(x -> answerMultivariantPlaylist(x, s));
    }

    @Override
    public void refused(long connection, String name, long comeBack) {
        Map<String, String> more =
                comeBack > 0 ? Map.of("Retry-After", Long.toString((comeBack + 999_999) / 1_000_000)) : Map.of();
        forgetUnserved(name).forEach(x -> x.answer(503, "Service Unavailable", "text/plain", "refused\n", more));
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        forgetUnserved(name).forEach(x -> x.answerError(late ? 504 : 502, late ? "Gateway Timeout" : "Bad Gateway"));
    }

    @Override
    public void sessionEnded(long connection, String name, Outcome outcome) {
        Session s = sessions.get(name);
        if (s != null) {
            end(s);
        }
    }

    /** The player finds its session gone at the next fetch, and asks for the lesson anew. */
    @Override
    public void moved(long connection, String name) {
        sessionEnded(connection, name, Outcome.CANCELLED);
    }

    @Override
    public void renditionChanged(String name, int rung) {
        Session s = sessions.get(name);
        if (s != null) {
            s.grantedRendition = rung;
        }
    }

    private List<Exchange> forgetUnserved(String name) {
        Session s = sessions.get(name);
        if (s == null) {
            return List.of();
        }
        forget(s);
        return takePendingExchanges(s);
    }

    private static List<Exchange> takePendingExchanges(Session s) {
        List<Exchange> all = List.copyOf(s.pendingExchanges);
        s.pendingExchanges.clear();
        return all;
    }

    // ---- A session's time.

    private void extendActivity(Session s, long playtime) {
        s.activeUntilUs = Math.max(s.activeUntilUs, clock.now() + playtime + idleTimeoutUs);
    }

    /** Ends the session once nobody has fetched for as long as what was fetched can play, and a while more. */
    private void scheduleIdleCheck(Session s) {
        deadlines.schedule(s.activeUntilUs, t -> {
            if (sessions.get(s.name) != s) {
                return;
            }
            if (clock.now() < s.activeUntilUs) {
                scheduleIdleCheck(s);
                return;
            }
            LOG.info("session idle, ended: session={}", s.name);
            broker.sessionCompleted(clock.now(), s.name);
            end(s);
        });
    }

    private SessionClass classOf(Session s) {
        return classes.get(s.viewerKey.substring(0, s.viewerKey.indexOf('\n')));
    }

    private void forget(Session s) {
        sessions.remove(s.name);
        sessionsByViewer.remove(s.viewerKey, s);
    }

    private void end(Session s) {
        forget(s);
        endedSessions.put(s.name, true);
        if (endedSessions.size() > MAX_ENDED_SESSIONS) {
            endedSessions.remove(endedSessions.keySet().iterator().next());
        }
    }
}
