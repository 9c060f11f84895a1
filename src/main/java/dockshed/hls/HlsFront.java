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
import dockshed.net.InputLimits;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Front for viewers that fetch HLS playlists. The GET of a lesson's multivariant playlist asks the broker for a
 * session; the response is the edge server's playlist rewritten for that session, and all later fetches use addresses
 * that belong to the session. Admission, attempts and drains are the broker's; this class keeps only what a session
 * was given. Runs on the event loop's thread only.
 */
public final class HlsFront implements Front {
    /** Ended sessions remembered, so that fetches for them get 410 instead of 404. */
    private static final int MAX_ENDED_SESSIONS = 1000;

    private static final String LESSONS_PATH = "/lessons/";
    private static final String SESSIONS_PATH = "/sessions/";
    private static final String MASTER_PLAYLIST_SUFFIX = "/master.m3u8";
    private static final Logger LOG = LoggerFactory.getLogger(HlsFront.class);

    private final Broker broker;
    private final HlsEdgeServers edgeServers;
    private final Clock clock;
    private final TimerQueue timers;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final LessonRequestParser requestParser;
    private final long idleTimeoutUs;
    private final int maxConnections;
    private final InputLimits inputLimits;
    private final Random random;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Session> sessionsByViewer = new HashMap<>(); // by Session.viewerKey
    private final LinkedHashMap<String, Boolean> endedSessions = new LinkedHashMap<>(); // names, oldest first
    private int connections;

    /**
     * Creates the front; {@link #accept} supplies the handlers for its connections.
     *
     * @param idleTimeoutUs microseconds from the end of the last fetched playlist's playing time until the session is
     *     ended if there was no other fetch
     * @param maxConnections open connections above which new ones are closed
     * @param inputLimits of what players send
     * @param seed for the names of sessions
     */
    public HlsFront(
            Broker broker,
            HlsEdgeServers edgeServers,
            Clock clock,
            TimerQueue timers,
            Settings settings,
            long idleTimeoutUs,
            int maxConnections,
            InputLimits inputLimits,
            long seed) {
        this.broker = broker;
        this.edgeServers = edgeServers;
        this.clock = clock;
        this.timers = timers;
        this.idleTimeoutUs = idleTimeoutUs;
        this.maxConnections = maxConnections;
        this.inputLimits = inputLimits;
        settings.classes().forEach(sessionClass -> classes.put(sessionClass.name(), sessionClass));
        requestParser = new LessonRequestParser(classes, settings.ladder().cells());
        random = new Random(seed);
    }

    /** A viewer's session, from its request until it has ended. */
    private static final class Session {
        final String name;
        final String viewerKey; // see viewerKey(SessionRequest)
        final URI playlistPath;
        final List<Exchange> pendingExchanges = new ArrayList<>(); // requests that wait for the session
        final Map<Integer, String> cachedMediaPlaylists = new HashMap<>(); // as last sent, by number
        String server;
        MultivariantPlaylist multivariant; // null until the set-up is answered
        URI baseUri;
        int lowestRendition;
        int grantedRendition;
        long activeUntilUs; // when it counts as idle unless there is another fetch

        Session(String name, String viewerKey, URI playlistPath) {
            this.name = name;
            this.viewerKey = viewerKey;
            this.playlistPath = playlistPath;
        }
    }

    // ---- Connections.

    /** Returns the handler for a newly accepted connection. */
    public ByteHandler accept() {
        return new HlsConnection(new ConnectionEvents(), clock, timers, inputLimits);
    }

    /** What connections report. */
    private final class ConnectionEvents implements HlsConnection.RequestHandler {
        @Override
        public boolean opened(HlsConnection connection) {
            boolean accepted = ++connections <= maxConnections;
            if (!accepted) {
                LOG.warn("HLS connection refused at the connection limit: open={}", connections);
            }
            return accepted;
        }

        @Override
        public void handle(Exchange exchange, HlsRequest request) {
            handleRequest(exchange, request);
        }

        @Override
        public void refuse(Exchange exchange) {
            exchange.answerRefused(broker.maxRetryAfter());
        }

        @Override
        public void closed(HlsConnection connection) {
            connections--;
            cancelAbandoned(connection);
        }
    }

    // ---- Requests.

    /**
     * Cancels the requests for sessions that only the closed connection was waiting for. A request whose class is not
     * safe to repeat, such as a paid one, goes on, so that a player that comes back finds its session instead of paying
     * again.
     */
    private void cancelAbandoned(HlsConnection closed) {
        for (Session session : List.copyOf(sessions.values())) {
            if (session.multivariant == null
                    && session.pendingExchanges.removeIf(exchange -> exchange.connection() == closed)
                    && session.pendingExchanges.isEmpty()
                    && classOf(session).effect() == Effect.SAFE) {
                forget(session);
                broker.cancel(clock.now(), session.name);
            }
        }
    }

    private void handleRequest(Exchange exchange, HlsRequest request) {
        try {
            URI target = new URI(request.target());
            String path = target.getRawPath();
            if (path == null || !path.startsWith("/") || !request.version().startsWith("HTTP/1.")) {
                throw new IllegalArgumentException("not an HTTP request: expected METHOD /PATH HTTP/1.x");
            }
            boolean get = request.method().equals("GET");
            boolean delete = request.method().equals("DELETE");
            if (!get && !delete) {
                exchange.answer(405, "Method Not Allowed", "text/plain", "", Map.of("Allow", "GET, DELETE"));
            } else if (path.startsWith(LESSONS_PATH) && path.endsWith(MASTER_PLAYLIST_SUFFIX) && get) {
                handleLessonRequest(exchange, target, rawTitle(path));
            } else if (path.startsWith(SESSIONS_PATH)) {
                handleSessionRequest(exchange, delete, path.substring(SESSIONS_PATH.length()));
            } else {
                exchange.answerError(404, "Not Found");
            }
        } catch (java.net.URISyntaxException | IllegalArgumentException e) {
            LOG.info("HLS request refused: why={}", e.getMessage());
            exchange.answerError(400, "Bad Request");
        }
    }

    /** The encoded title in the path of a lesson's multivariant playlist; empty where the path has none. */
    private static String rawTitle(String path) {
        int end = path.length() - MASTER_PLAYLIST_SUFFIX.length();
        return path.substring(Math.min(LESSONS_PATH.length(), end), end);
    }

    /**
     * Requests a session for a lesson. A viewer that already has one for this lesson and class, or waits for one,
     * gets the same session again.
     */
    private void handleLessonRequest(Exchange exchange, URI target, String rawTitle) {
        SessionRequest request = requestParser.parse(unusedName(), rawTitle, target.getRawQuery());
        String viewerKey = viewerKey(request);
        Session existing = sessionsByViewer.get(viewerKey);
        if (existing != null && existing.multivariant != null) {
            answerMultivariantPlaylist(exchange, existing);
            return;
        }
        if (existing != null) {
            existing.pendingExchanges.add(exchange);
            return;
        }
        Session session = new Session(
                request.name(), viewerKey, URI.create(HlsEdgeServers.multivariantPlaylistPath(request.title())));
        session.pendingExchanges.add(exchange);
        sessions.put(session.name, session);
        sessionsByViewer.put(session.viewerKey, session);
        if (!broker.request(clock.now(), 0, this, edgeServers, request)) {
            forget(session);
            exchange.answerError(400, "Bad Request");
        }
    }

    /** What identifies the session that a request is for: class, title and viewer, separated by line feeds. */
    private static String viewerKey(SessionRequest request) {
        return request.className() + '\n' + request.title() + '\n' + request.viewer();
    }

    private String unusedName() {
        String name;
        do {
            name = String.format("%016x", random.nextLong());
        } while (sessions.containsKey(name));
        return name;
    }

    /**
     * Handles a request for a session's address. {@code rest} is {@code ID/master.m3u8} or {@code ID/NUMBER.m3u8}; with
     * DELETE, which ends the session, what follows the ID is ignored.
     */
    private void handleSessionRequest(Exchange exchange, boolean delete, String rest) {
        String[] parts = rest.split("/", 2);
        Session session = sessions.get(parts[0]);
        if (session == null || session.multivariant == null) {
            exchange.answerError(
                    endedSessions.containsKey(parts[0]) ? 410 : 404,
                    endedSessions.containsKey(parts[0]) ? "Gone" : "Not Found");
        } else if (delete) {
            broker.cancel(clock.now(), session.name);
            end(session);
            exchange.answer(204, "No Content", "text/plain", "", Map.of());
        } else if (parts.length == 2 && parts[1].equals("master.m3u8")) {
            answerMultivariantPlaylist(exchange, session);
        } else if (parts.length == 2 && parts[1].matches("[0-9]{1,6}\\.m3u8")) {
            answerMediaPlaylist(exchange, session, Integer.parseInt(parts[1].substring(0, parts[1].indexOf('.'))));
        } else {
            exchange.answerError(404, "Not Found");
        }
    }

    /** Answers with the session's multivariant playlist, rewritten from memory without a fetch or another set-up. */
    private void answerMultivariantPlaylist(Exchange exchange, Session session) {
        try {
            extendActivity(session, 0);
            exchange.answerPlaylist(session.multivariant.rewrite(
                    session.lowestRendition,
                    session.grantedRendition,
                    session.baseUri,
                    number -> mediaPlaylistPath(session, number)));
        } catch (UnusablePlaylistException e) {
            LOG.warn("multivariant playlist cannot be rewritten: session={} why={}", session.name, e.getMessage());
            exchange.answerError(502, "Bad Gateway");
        }
    }

    private static String mediaPlaylistPath(Session session, int number) {
        return SESSIONS_PATH + session.name + "/" + number + ".m3u8";
    }

    /**
     * Answers with a media playlist: the requested one, or the best lower one within the rendition now granted. While
     * the edge server drains, only a copy from memory is served; without one the session ends.
     */
    private void answerMediaPlaylist(Exchange exchange, Session session, int requested) {
        int number = requested < session.multivariant.mediaPlaylists().size()
                ? session.multivariant.substitute(requested, session.lowestRendition, session.grantedRendition)
                : -1;
        if (number < 0) {
            exchange.answerError(404, "Not Found");
            return;
        }
        if (!broker.acceptsSetUp(clock.now(), session.server)) {
            String text = session.cachedMediaPlaylists.get(number);
            if (text != null) {
                extendActivity(session, Playlists.playDurationUs(text));
                exchange.answerPlaylist(text);
            } else {
                LOG.info(
                        "session ended, edge server drains and playlist is not cached: session={} server={}",
                        session.name,
                        session.server);
                broker.cancel(clock.now(), session.name);
                end(session);
                exchange.answerError(410, "Gone");
            }
            return;
        }
        URI uri;
        try {
            uri = session.baseUri.resolve(
                    session.multivariant.mediaPlaylists().get(number).uri());
            if (!session.baseUri.getAuthority().equals(uri.getAuthority()) || !"http".equals(uri.getScheme())) {
                throw new UnusablePlaylistException("media playlist is not on the edge server that holds the session");
            }
        } catch (IllegalArgumentException | UnusablePlaylistException e) {
            LOG.warn("media playlist unusable: session={} why={}", session.name, e.getMessage());
            exchange.answerError(502, "Bad Gateway");
            return;
        }
        String path = uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        fetchMediaPlaylist(exchange, session, number, uri, path);
    }

    /** Fetches a media playlist from the session's edge server; answers 504 after the deadline of its class. */
    private void fetchMediaPlaylist(Exchange exchange, Session session, int number, URI uri, String path) {
        HttpFetch fetch = edgeServers.fetchMediaPlaylist(session.server, path, new HttpFetch.Listener() {
            @Override
            public void onResponse(HttpStyleMessage response) {
                try {
                    if (response.status() != 200) {
                        throw new UnusablePlaylistException("HTTP status " + response.status());
                    }
                    String text = Playlists.rewriteMediaPlaylist(response.bodyText(), uri);
                    session.cachedMediaPlaylists.put(number, text);
                    extendActivity(session, Playlists.playDurationUs(text));
                    exchange.answerPlaylist(text);
                } catch (UnusablePlaylistException e) {
                    LOG.warn("media playlist unusable: session={} why={}", session.name, e.getMessage());
                    exchange.answerError(502, "Bad Gateway");
                }
            }

            @Override
            public void onFailure(HttpFetch.Failure failure, String why) {
                LOG.info("media playlist not fetched: session={} why={}", session.name, why);
                boolean late = failure == HttpFetch.Failure.TIMED_OUT;
                exchange.answerError(late ? 504 : 502, late ? "Gateway Timeout" : "Bad Gateway");
            }
        });
        fetch.timeOutAt(timers, clock.now() + classOf(session).deadline());
    }

    // ---- Calls from the broker.

    @Override
    public boolean needsConnection() {
        return false;
    }

    /** One second: Retry-After counts whole seconds (RFC 9110, 10.2.3). */
    @Override
    public long retryAfterUnit() {
        return 1_000_000;
    }

    @Override
    public void served(long connection, String name, Grant granted) {
        Session session = sessions.get(name);
        if (session == null) {
            return;
        }
        session.server = granted.server();
        session.lowestRendition = granted.lowestRendition();
        session.grantedRendition = granted.highestRendition();
        session.baseUri = edgeServers.serverUri(granted.server(), session.playlistPath.toString());
        try {
            if (session.baseUri == null) {
                throw new UnusablePlaylistException("its edge server has left the list during the set-up");
            }
            session.multivariant = MultivariantPlaylist.parse(granted.description());
        } catch (UnusablePlaylistException e) {
            LOG.warn("session granted but unusable: session={} why={}", name, e.getMessage());
            forget(session);
            broker.cancel(clock.now(), name);
            takePendingExchanges(session).forEach(exchange -> exchange.answerError(502, "Bad Gateway"));
            return;
        }
        extendActivity(session, 0);
        scheduleIdleCheck(session);
        takePendingExchanges(session)
                .forEach(exchange -> exchange.handle(() -> answerMultivariantPlaylist(exchange, session)));
    }

    @Override
    public void refused(long connection, String name, long retryAfter) {
        forgetUnserved(name).forEach(exchange -> exchange.answerRefused(retryAfter));
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        forgetUnserved(name)
                .forEach(exchange -> exchange.answerError(late ? 504 : 502, late ? "Gateway Timeout" : "Bad Gateway"));
    }

    @Override
    public void sessionEnded(long connection, String name, Outcome outcome) {
        Session session = sessions.get(name);
        if (session != null) {
            end(session);
        }
    }

    /** Ends the session: the player gets 410 at its next fetch, and requests the lesson again. */
    @Override
    public void moved(long connection, String name) {
        sessionEnded(connection, name, Outcome.CANCELLED);
    }

    @Override
    public void renditionChanged(String name, int rendition) {
        Session session = sessions.get(name);
        if (session != null) {
            session.grantedRendition = rendition;
        }
    }

    /** Forgets a session that is not granted; returns the requests that wait for it. */
    private List<Exchange> forgetUnserved(String name) {
        Session session = sessions.get(name);
        if (session == null) {
            return List.of();
        }
        forget(session);
        return takePendingExchanges(session);
    }

    private static List<Exchange> takePendingExchanges(Session session) {
        List<Exchange> exchanges = List.copyOf(session.pendingExchanges);
        session.pendingExchanges.clear();
        return exchanges;
    }

    // ---- Idle time and end of a session.

    /** Keeps a session active for a playing time in microseconds and the idle timeout after it. */
    private void extendActivity(Session session, long playDurationUs) {
        session.activeUntilUs = Math.max(session.activeUntilUs, clock.now() + playDurationUs + idleTimeoutUs);
    }

    /** Ends the session once nothing was fetched for as long as the last playlist plays, plus the idle timeout. */
    private void scheduleIdleCheck(Session session) {
        timers.schedule(session.activeUntilUs, dueAt -> {
            if (sessions.get(session.name) != session) {
                return;
            }
            if (clock.now() < session.activeUntilUs) {
                scheduleIdleCheck(session);
                return;
            }
            LOG.info("idle session ended: session={}", session.name);
            broker.sessionCompleted(clock.now(), session.name);
            end(session);
        });
    }

    private SessionClass classOf(Session session) {
        return classes.get(session.viewerKey.substring(0, session.viewerKey.indexOf('\n')));
    }

    /** Removes a session without a trace: later fetches for it get 404. */
    private void forget(Session session) {
        sessions.remove(session.name);
        sessionsByViewer.remove(session.viewerKey, session);
    }

    /** Removes a session; later fetches for it get 410 while it is remembered. */
    private void end(Session session) {
        forget(session);
        endedSessions.put(session.name, true);
        if (endedSessions.size() > MAX_ENDED_SESSIONS) {
            endedSessions.remove(endedSessions.keySet().iterator().next());
        }
    }
}
