package dockshed.hls;

import dockshed.Director.Effect;
import dockshed.Director.Outcome;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.hls.Playlists.Multivariant;
import dockshed.hls.Playlists.Unfit;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.Headed;
import dockshed.net.HeadedDecoder;
import dockshed.net.HttpFetch;
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
    static final int REQUEST_LIMIT = 16 * 1024;
    /** A connection with nothing in hand is closed after this. */
    static final long IDLE_CONNECTION = 30_000_000;
    /** Requests of one connection that may wait for the one in hand. */
    private static final int PIPELINE = 32;

    private static final int REMEMBERED = 1000;
    private static final String LESSONS = "/lessons/";
    private static final String SESSIONS = "/sessions/";
    private static final String MASTER = "/master.m3u8";
    private static final String PLAYLIST = "application/vnd.apple.mpegurl";
    private static final Logger LOG = LoggerFactory.getLogger(HlsFront.class);

    private final Broker broker;
    private final Origins origins;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final int cells;
    private final long idle;
    private final int mostConnections;
    private final Random random;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Session> byViewer = new HashMap<>();
    private final LinkedHashMap<String, Boolean> ended = new LinkedHashMap<>(); // the latest, to say 410
    private int connections;

    /** {@code idle}: microseconds after the playing time of what was fetched, without a fetch, that end a session. */
    public HlsFront(
            Broker broker,
            Origins origins,
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
        this.idle = idle;
        this.mostConnections = mostConnections;
        settings.classes().forEach(c -> classes.put(c.name(), c));
        cells = settings.ladder().cells();
        random = new Random(seed);
    }

    /** A viewer's session, from its request on. */
    private static final class Session {
        final String name;
        final String viewerKey;
        final URI path;
        final List<Exchange> waiting = new ArrayList<>();
        final Map<Integer, String> held = new HashMap<>(); // media playlists as last given
        String server;
        Multivariant list; // null: not answered yet
        URI base;
        int floor;
        int rung;
        long lively; // until when it is not idle

        Session(String name, String viewerKey, URI path) {
            this.name = name;
            this.viewerKey = viewerKey;
            this.path = path;
        }
    }

    // ---- Connections.

    public ByteHandler accept() {
        return new Connection();
    }

    /** One request and the connection that owes its answer. */
    private final class Exchange {
        private final Connection connection;
        private final boolean last;

        Exchange(Connection connection, boolean last) {
            this.connection = connection;
            this.last = last;
        }

        void answer(int code, String phrase, String type, String body, Map<String, String> more) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Content-Type", type);
            headers.put("Cache-Control", "no-store");
            headers.putAll(more);
            if (last) {
                headers.put("Connection", "close");
            }
            connection.write(
                    Headed.encode("HTTP/1.1 " + code + " " + phrase, headers, body.getBytes(StandardCharsets.UTF_8)),
                    last);
        }

        void playlist(String text) {
            answer(200, "OK", PLAYLIST, text, Map.of());
        }

        void error(int code, String phrase) {
            answer(code, phrase, "text/plain", phrase + "\n", Map.of());
        }
    }

    private final class Connection extends ByteHandler {
        private final HeadedDecoder decoder = new HeadedDecoder(REQUEST_LIMIT);
        private final ArrayDeque<Headed> queue = new ArrayDeque<>();
        private Channel channel;
        private boolean answering;
        private boolean closing;
        private long usedAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            usedAt = clock.now();
            lookIdle();
            if (++connections > mostConnections) {
                LOG.warn("HLS connection turned away: open={}", connections);
                ctx.close();
            }
        }

        @Override
        protected void bytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (closing) {
                return;
            }
            decoder.add(bytes, 0, bytes.length);
            try {
                for (Headed m = decoder.next(); m != null; m = decoder.next()) {
                    queue.add(m);
                    if (queue.size() > PIPELINE) {
                        throw new Headed.Malformed("too many requests at once");
                    }
                }
            } catch (Headed.Malformed e) {
                LOG.warn("HLS request malformed: remote={} why={}", channel.remoteAddress(), e.getMessage());
                closing = true;
                queue.add(new Headed("", Map.of(), new byte[0])); // answered in its turn
            }
            next();
        }

        private void lookIdle() {
            deadlines.schedule(usedAt + IDLE_CONNECTION, t -> {
                if (!closing && !answering && clock.now() - usedAt >= IDLE_CONNECTION) {
                    channel.close();
                } else if (!closing) {
                    usedAt = answering ? clock.now() : usedAt;
                    lookIdle();
                }
            });
        }

        private void next() {
            Headed m = answering ? null : queue.poll();
            if (m == null) {
                return;
            }
            answering = true;
            usedAt = clock.now();
            boolean last = "close".equalsIgnoreCase(m.header("connection"))
                    || m.word(2).equals("HTTP/1.0")
                    || closing && queue.isEmpty();
            request(new Exchange(this, last), m);
        }

        private void write(byte[] bytes, boolean last) {
            answering = false;
            usedAt = clock.now();
            var done = channel.writeAndFlush(Net.buf(bytes));
            if (last) {
                done.addListener(ChannelFutureListener.CLOSE);
                closing = true;
                queue.clear();
            } else {
                channel.eventLoop().execute(this::next);
            }
        }

        @Override
        protected void closed(ChannelHandlerContext ctx, boolean reset) {
            connections--;
            queue.clear();
            closing = true;
            abandoned(this);
        }
    }

    // ---- Requests.

    /**
     * Sessions that nobody waits for any more, as this connection has closed, are not asked for any further. A paid one goes
     * on: a player that comes back finds it, instead of paying again.
     */
    private void abandoned(Connection gone) {
        for (Session s : List.copyOf(sessions.values())) {
            if (s.list == null
                    && s.waiting.removeIf(x -> x.connection == gone)
                    && s.waiting.isEmpty()
                    && cls(s).effect() == Effect.SAFE) {
                forget(s);
                broker.cancel(clock.now(), s.name);
            }
        }
    }

    private void request(Exchange x, Headed m) {
        try {
            URI target = new URI(m.word(1));
            String path = target.getRawPath();
            if (path == null || !path.startsWith("/") || !m.word(2).startsWith("HTTP/1.")) {
                throw new IllegalArgumentException("no HTTP request");
            }
            if (!m.word(0).equals("GET") && !m.word(0).equals("DELETE")) {
                x.answer(405, "Method Not Allowed", "text/plain", "", Map.of("Allow", "GET, DELETE"));
            } else if (path.startsWith(LESSONS)
                    && path.endsWith(MASTER)
                    && m.word(0).equals("GET")) {
                lesson(x, target, path.substring(LESSONS.length(), path.length() - MASTER.length()));
            } else if (path.startsWith(SESSIONS)) {
                session(x, m.word(0).equals("DELETE"), path.substring(SESSIONS.length()));
            } else {
                x.error(404, "Not Found");
            }
        } catch (java.net.URISyntaxException | IllegalArgumentException e) {
            LOG.info("HLS request refused: why={}", e.getMessage());
            x.error(400, "Bad Request");
        }
    }

    /** A viewer wants a lesson; one who has it, or waits for it, is given the same session again. */
    private void lesson(Exchange x, URI target, String rawTitle) {
        String title = URLDecoder.decode(rawTitle.replace("+", "%2B"), StandardCharsets.UTF_8);
        Map<String, String> query = query(target.getRawQuery());
        String viewer = query.getOrDefault("viewer", "");
        SessionClass cls = classes.get(query.getOrDefault("class", ""));
        if (title.isEmpty() || viewer.isEmpty() || cls == null) {
            throw new IllegalArgumentException("title, viewer or class is missing or unknown");
        }
        String key = cls.name() + '\n' + title + '\n' + viewer;
        Session held = byViewer.get(key);
        if (held != null && held.list != null) {
            master(x, held);
            return;
        }
        if (held != null) {
            held.waiting.add(x);
            return;
        }
        long patience = Math.min(cls.deadline(), micros(query, "expires_ms", cls.deadline()));
        if (patience <= 0) {
            throw new IllegalArgumentException("expires_ms is not above 0");
        }
        String name;
        do {
            name = String.format("%016x", random.nextLong());
        } while (sessions.containsKey(name));
        Session s = new Session(name, key, URI.create(Origins.path(title)));
        s.waiting.add(x);
        sessions.put(name, s);
        byViewer.put(key, s);
        SessionRequest wish = new SessionRequest(
                name,
                cls.name(),
                viewer,
                title,
                patience,
                micros(query, "expected_ms", 0),
                (int) whole(query, "home", 0),
                (int) whole(query, "copies", cells),
                (int) whole(query, "top", cls.top()),
                "1".equals(query.get("repeat")),
                false,
                "1".equals(query.get("again")),
                "");
        if (!broker.request(clock.now(), 0, this, origins, wish)) {
            forget(s);
            x.error(400, "Bad Request");
        }
    }

    private static Map<String, String> query(String raw) {
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

    private static long whole(Map<String, String> query, String key, long absent) {
        String value = query.get(key);
        if (value == null) {
            return absent;
        }
        if (!value.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(key + " is no whole number");
        }
        return Long.parseLong(value);
    }

    private static long micros(Map<String, String> query, String key, long absent) {
        return query.containsKey(key) ? whole(query, key, 0) * 1000 : absent;
    }

    /** {@code ID/master.m3u8}, {@code ID/N.m3u8}, or with DELETE {@code ID}. */
    private void session(Exchange x, boolean delete, String rest) {
        String[] parts = rest.split("/", 2);
        Session s = sessions.get(parts[0]);
        if (s == null || s.list == null) {
            x.error(ended.containsKey(parts[0]) ? 410 : 404, ended.containsKey(parts[0]) ? "Gone" : "Not Found");
        } else if (delete) {
            broker.cancel(clock.now(), s.name);
            end(s);
            x.answer(204, "No Content", "text/plain", "", Map.of());
        } else if (parts.length == 2 && parts[1].equals("master.m3u8")) {
            master(x, s);
        } else if (parts.length == 2 && parts[1].matches("[0-9]{1,6}\\.m3u8")) {
            media(x, s, Integer.parseInt(parts[1].substring(0, parts[1].indexOf('.'))));
        } else {
            x.error(404, "Not Found");
        }
    }

    /** The session's multivariant playlist from what is held: no fetch, and never another set-up. */
    private void master(Exchange x, Session s) {
        try {
            live(s, 0);
            x.playlist(s.list.rewritten(s.floor, s.rung, s.base, number -> address(s, number)));
        } catch (Unfit e) {
            LOG.warn("playlist cannot be rewritten: session={} why={}", s.name, e.getMessage());
            x.error(502, "Bad Gateway");
        }
    }

    private static String address(Session s, int number) {
        return SESSIONS + s.name + "/" + number + ".m3u8";
    }

    /** A media playlist: of the variant asked for, or of the best that the rung now granted allows under it. */
    private void media(Exchange x, Session s, int asked) {
        int number = asked < s.list.media().size() ? s.list.instead(asked, s.floor, s.rung) : -1;
        if (number < 0) {
            x.error(404, "Not Found");
            return;
        }
        if (!broker.acceptsSetUp(clock.now(), s.server)) {
            String text = s.held.get(number);
            if (text != null) {
                live(s, Playlists.playtime(text));
                x.playlist(text);
            } else {
                LOG.info("fetch for a draining box ended: session={} server={}", s.name, s.server);
                broker.cancel(clock.now(), s.name);
                end(s);
                x.error(410, "Gone");
            }
            return;
        }
        URI uri;
        try {
            uri = s.base.resolve(s.list.media().get(number).uri());
            if (!s.base.getAuthority().equals(uri.getAuthority()) || !"http".equals(uri.getScheme())) {
                throw new Unfit("media playlist on another server");
            }
        } catch (IllegalArgumentException | Unfit e) {
            LOG.warn("media playlist of no use: session={} why={}", s.name, e.getMessage());
            x.error(502, "Bad Gateway");
            return;
        }
        String path = uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        fetch(x, s, number, uri, path);
    }

    private void fetch(Exchange x, Session s, int number, URI uri, String path) {
        TimerQueue.Timer[] late = {null};
        HttpFetch f = origins.media(s.server, path, new HttpFetch.Listener() {
            @Override
            public void answered(Headed answer) {
                deadlines.cancel(late[0]);
                try {
                    if (answer.status() != 200) {
                        throw new Unfit("status " + answer.status());
                    }
                    String text = Playlists.media(answer.text(), uri);
                    s.held.put(number, text);
                    live(s, Playlists.playtime(text));
                    x.playlist(text);
                } catch (Unfit e) {
                    LOG.warn("media playlist of no use: session={} why={}", s.name, e.getMessage());
                    x.error(502, "Bad Gateway");
                }
            }

            @Override
            public void broken(boolean ran, String why) {
                deadlines.cancel(late[0]);
                LOG.info("media playlist not fetched: session={} why={}", s.name, why);
                x.error(502, "Bad Gateway");
            }
        });
        long patience = cls(s).deadline();
        late[0] = deadlines.schedule(clock.now() + patience, t -> {
            f.cancel();
            x.error(504, "Gateway Timeout");
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
        s.floor = granted.lowestRendition();
        s.rung = granted.highestRendition();
        s.base = origins.base(granted.server(), s.path.toString());
        try {
            if (s.base == null) {
                throw new Unfit("its box has left the list meanwhile");
            }
            s.list = Multivariant.read(granted.description());
        } catch (Unfit e) {
            LOG.warn("session cannot be given: session={} why={}", name, e.getMessage());
            forget(s);
            broker.cancel(clock.now(), name);
            take(s).forEach(x -> x.error(502, "Bad Gateway"));
            return;
        }
        live(s, 0);
        watch(s);
        take(s).forEach(x -> master(x, s));
    }

    @Override
    public void refused(long connection, String name, long comeBack) {
        Map<String, String> more =
                comeBack > 0 ? Map.of("Retry-After", Long.toString((comeBack + 999_999) / 1_000_000)) : Map.of();
        unserved(name).forEach(x -> x.answer(503, "Service Unavailable", "text/plain", "refused\n", more));
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        unserved(name).forEach(x -> x.error(late ? 504 : 502, late ? "Gateway Timeout" : "Bad Gateway"));
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
            s.rung = rung;
        }
    }

    private List<Exchange> unserved(String name) {
        Session s = sessions.get(name);
        if (s == null) {
            return List.of();
        }
        forget(s);
        return take(s);
    }

    private static List<Exchange> take(Session s) {
        List<Exchange> all = List.copyOf(s.waiting);
        s.waiting.clear();
        return all;
    }

    // ---- A session's time.

    private void live(Session s, long playtime) {
        s.lively = Math.max(s.lively, clock.now() + playtime + idle);
    }

    /** Ends the session once nobody has fetched for as long as what was fetched can play, and a while more. */
    private void watch(Session s) {
        deadlines.schedule(s.lively, t -> {
            if (sessions.get(s.name) != s) {
                return;
            }
            if (clock.now() < s.lively) {
                watch(s);
                return;
            }
            LOG.info("session idle, ended: session={}", s.name);
            broker.sessionCompleted(clock.now(), s.name);
            end(s);
        });
    }

    private SessionClass cls(Session s) {
        return classes.get(s.viewerKey.substring(0, s.viewerKey.indexOf('\n')));
    }

    private void forget(Session s) {
        sessions.remove(s.name);
        byViewer.remove(s.viewerKey, s);
    }

    private void end(Session s) {
        forget(s);
        ended.put(s.name, true);
        if (ended.size() > REMEMBERED) {
            ended.remove(ended.keySet().iterator().next());
        }
    }
}
