package dockshed.hls;

import dockshed.Director.LoadReport;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.ServerAdapter;
import dockshed.load.LoadReporter;
import dockshed.load.OrcaReport;
import dockshed.net.Clock;
import dockshed.net.HttpFetch;
import dockshed.net.HttpStyleMessage;
import dockshed.net.Net;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adapter for edge servers that serve HLS over HTTP. An attempt is the fetch of a title's multivariant playlist. An
 * answer without a usable playlist may have set the session up all the same; only a connection that was never
 * established proves that the attempt did not run.
 */
public final class HlsEdgeServers implements ServerAdapter {
    /** Longest response with a playlist that is accepted, in bytes. */
    static final int MAX_PLAYLIST_BYTES = 1 << 20;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.hls.Origins");

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final int connectTimeoutMs;
    private final LoadReporter loadReporter;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, HttpFetch> setUpFetches = new HashMap<>(); // by session name, until answered or cancelled

    public HlsEdgeServers(Broker broker, Net net, Clock clock, int connectTimeoutMs, LoadReporter loadReporter) {
        this.loadReporter = loadReporter;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** Replaces the list of edge servers; set-ups for a server that is not on it are reported as not sent. */
    public void setAddresses(Map<String, InetSocketAddress> addressesById) {
        addresses.clear();
        addresses.putAll(addressesById);
    }

    /** The path of a title's multivariant playlist on every edge server. */
    static String multivariantPlaylistPath(String title) {
        return "/lessons/" + URLEncoder.encode(title, StandardCharsets.UTF_8).replace("+", "%20") + "/master.m3u8";
    }

    /** The URI of a path on a server, or null if the server is not on the list. */
    URI serverUri(String server, String path) {
        InetSocketAddress address = addresses.get(server);
        return address == null
                ? null
                : URI.create("http://" + address.getHostString() + ":" + address.getPort() + path);
    }

    @Override
    public void setUp(String server, SetUp setUp) {
        InetSocketAddress address = addresses.get(server);
        if (address == null) {
            broker.ended(clock.now(), server, setUp.name(), Outcome.MOOT, LoadReport.NONE);
            return;
        }
        Map<String, String> headers = Map.of(
                "Priority-Class",
                setUp.className(),
                "Session",
                setUp.name(),
                "Rung",
                Integer.toString(setUp.highestRendition()));
        HttpFetch fetch = HttpFetch.get(
                net,
                address,
                multivariantPlaylistPath(setUp.title()),
                headers,
                connectTimeoutMs,
                MAX_PLAYLIST_BYTES,
                new SetUpListener(server, setUp));
        if (!fetch.isFinished()) {
            setUpFetches.put(setUp.name(), fetch);
        }
    }

    /** Reports the result of a set-up to the broker. */
    private final class SetUpListener implements HttpFetch.Listener {
        private final String server;
        private final SetUp setUp;

        SetUpListener(String server, SetUp setUp) {
            this.server = server;
            this.setUp = setUp;
        }

        @Override
        public void onResponse(HttpStyleMessage response) {
            setUpFetches.remove(setUp.name());
            try {
                checkPlaylist(response);
            } catch (Playlists.UnusablePlaylistException e) {
                LOG.warn(
                        "multivariant playlist unusable: server={} title={} why={}",
                        server,
                        setUp.title(),
                        e.getMessage());
                broker.ended(clock.now(), server, setUp.name(), Outcome.ERROR, LoadReport.NONE);
                return;
            }
            loadReporter.loadHeaderReceived(clock.now(), server, response.header(OrcaReport.HEADER));
            broker.setUpAnswered(clock.now(), server, setUp.name(), response.bodyText());
            if (broker.isActive(setUp.name())) { // the front may have ended it at once
                loadReporter.sessionStarted(
                        clock.now(), server, setUp.name(), setUp.className(), setUp.highestRendition());
            }
        }

        /** Checks that the response is a playlist from which the session can be given something. */
        private void checkPlaylist(HttpStyleMessage response) throws Playlists.UnusablePlaylistException {
            if (response.status() != 200) {
                throw new Playlists.UnusablePlaylistException("HTTP status " + response.status());
            }
            Playlists.MultivariantPlaylist playlist = Playlists.MultivariantPlaylist.parse(response.bodyText());
            if (!playlist.hasVariant(setUp.lowestRendition(), setUp.highestRendition())) {
                throw new Playlists.UnusablePlaylistException(
                        "no variant from rendition " + setUp.lowestRendition() + " to " + setUp.highestRendition());
            }
        }

        @Override
        public void onFailure(HttpFetch.Failure failure, String why) {
            setUpFetches.remove(setUp.name());
            LOG.info("multivariant playlist not fetched: server={} title={} why={}", server, setUp.title(), why);
            Outcome outcome = failure == HttpFetch.Failure.NOT_SENT ? Outcome.CONNECT_FAILED : Outcome.RESET;
            broker.ended(clock.now(), server, setUp.name(), outcome, LoadReport.NONE);
        }
    }

    @Override
    public void cancelSetUp(String server, String name) {
        HttpFetch fetch = setUpFetches.remove(name);
        if (fetch != null) {
            fetch.cancel();
        }
    }

    /** Does nothing: an edge server holds no state of an HLS session, which is over once nobody fetches any more. */
    @Override
    public void release(String server, String name) {}

    /** Only updates the load estimate; the front applies the rendition at the session's next fetch. */
    @Override
    public void setRendition(String server, String name, int rendition) {
        loadReporter.renditionChanged(clock.now(), name, rendition);
    }

    @Override
    public void sessionEnded(String server, String name) {
        loadReporter.sessionEnded(clock.now(), name);
    }

    /** Does nothing: there is no connection to keep open, as each fetch has its own. */
    @Override
    public void setHasActiveSessions(String server, boolean sessions) {}

    /** Fetches a media playlist for an active session; the server must be on the list. */
    HttpFetch fetchMediaPlaylist(String server, String path, HttpFetch.Listener listener) {
        HttpFetch.Listener loadReportingListener = new HttpFetch.Listener() {
            @Override
            public void onResponse(HttpStyleMessage response) {
                loadReporter.loadHeaderReceived(clock.now(), server, response.header(OrcaReport.HEADER));
                listener.onResponse(response);
            }

            @Override
            public void onFailure(HttpFetch.Failure failure, String why) {
                listener.onFailure(failure, why);
            }
        };
        return HttpFetch.get(
                net,
                addresses.get(server),
                path,
                Map.of(),
                connectTimeoutMs,
                MAX_PLAYLIST_BYTES,
                loadReportingListener);
    }
}
