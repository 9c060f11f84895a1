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
 * The lesson boxes as HLS servers. An attempt is the fetch of a title's multivariant playlist; whatever is no usable
 * playlist may have been a set-up all the same, and only a connection that never came up proves that nothing ran.
 */
public final class HlsEdgeServers implements ServerAdapter {
    static final int MAX_PLAYLIST_BYTES = 1 << 20;
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.hls.Origins");

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final int connectTimeoutMs;
    private final LoadReporter loads;
    private final Map<String, InetSocketAddress> setAddresses = new HashMap<>();
    private final Map<String, HttpFetch> setUpFetches = new HashMap<>();

    public HlsEdgeServers(Broker broker, Net net, Clock clock, int connectMillis, LoadReporter loads) {
        this.loads = loads;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.connectTimeoutMs = connectMillis;
    }

    public void setAddresses(Map<String, InetSocketAddress> listed) {
        setAddresses.clear();
        setAddresses.putAll(listed);
    }

    static String multivariantPlaylistPath(String title) {
        return "/lessons/" + URLEncoder.encode(title, StandardCharsets.UTF_8).replace("+", "%20") + "/master.m3u8";
    }

    URI serverUri(String server, String path) {
        InetSocketAddress at = setAddresses.get(server);
        return at == null ? null : URI.create("http://" + at.getHostString() + ":" + at.getPort() + path);
    }

    @Override
    public void setUp(String server, SetUp s) {
        InetSocketAddress at = setAddresses.get(server);
        if (at == null) {
            broker.ended(clock.now(), server, s.name(), Outcome.MOOT, LoadReport.NONE);
            return;
        }
        Map<String, String> headers = Map.of(
                "Priority-Class", s.className(), "Session", s.name(), "Rung", Integer.toString(s.highestRendition()));
        setUpFetches.put(
                s.name(),
                HttpFetch.get(
                        net,
                        at,
                        multivariantPlaylistPath(s.title()),
                        headers,
                        connectTimeoutMs,
                        MAX_PLAYLIST_BYTES,
                        new HttpFetch.Listener() {
                            @Override
                            public void onResponse(HttpStyleMessage answer) {
                                setUpFetches.remove(s.name());
                                try {
                                    if (answer.status() != 200) {
                                        throw new Playlists.UnusablePlaylistException("status " + answer.status());
                                    }
                                    Playlists.MultivariantPlaylist list =
                                            Playlists.MultivariantPlaylist.parse(answer.bodyText());
                                    if (!list.hasVariant(s.lowestRendition(), s.highestRendition())) {
                                        throw new Playlists.UnusablePlaylistException("no variant from rung "
                                                + s.lowestRendition() + " to " + s.highestRendition());
                                    }
                                    loads.loadHeaderReceived(clock.now(), server, answer.header(OrcaReport.HEADER));
                                    broker.setUpAnswered(clock.now(), server, s.name(), answer.bodyText());
                                    if (broker.isActive(s.name())) { // its front may have ended it at once
                                        loads.sessionStarted(
                                                clock.now(), server, s.name(), s.className(), s.highestRendition());
                                    }
                                } catch (Playlists.UnusablePlaylistException e) {
                                    LOG.warn(
                                            "playlist of no use: server={} title={} why={}",
                                            server,
                                            s.title(),
                                            e.getMessage());
                                    broker.ended(clock.now(), server, s.name(), Outcome.ERROR, LoadReport.NONE);
                                }
                            }

                            @Override
                            public void onFailure(boolean ran, String why) {
                                setUpFetches.remove(s.name());
                                LOG.info("playlist not fetched: server={} title={} why={}", server, s.title(), why);
                                broker.ended(
                                        clock.now(),
                                        server,
                                        s.name(),
                                        ran ? Outcome.RESET : Outcome.CONNECT_FAILED,
                                        LoadReport.NONE);
                            }
                        }));
    }

    @Override
    public void cancelSetUp(String server, String name) {
        HttpFetch f = setUpFetches.remove(name);
        if (f != null) {
            f.cancel();
        }
    }

    /** Boxes hold nothing for an HLS session that could be let go: what counts is that nobody fetches any more. */
    @Override
    public void release(String server, String name) {}

    /** The rung takes hold in the front, with the session's next fetch. */
    @Override
    public void setRendition(String server, String name, int rung) {
        loads.renditionChanged(clock.now(), name, rung);
    }

    @Override
    public void sessionEnded(String server, String name) {
        loads.sessionEnded(clock.now(), name);
    }

    /** There is no connection to keep: each fetch has its own. */
    @Override
    public void setHasActiveSessions(String server, boolean sessions) {}

    /** Fetches a media playlist for a session that stands. */
    HttpFetch fetchMediaPlaylist(String server, String path, HttpFetch.Listener listener) {
        HttpFetch.Listener heard = new HttpFetch.Listener() {
            @Override
            public void onResponse(HttpStyleMessage answer) {
                loads.loadHeaderReceived(clock.now(), server, answer.header(OrcaReport.HEADER));
                listener.onResponse(answer);
            }

            @Override
            public void onFailure(boolean ran, String why) {
                listener.onFailure(ran, why);
            }
        };
        return HttpFetch.get(
                net, setAddresses.get(server), path, Map.of(), connectTimeoutMs, MAX_PLAYLIST_BYTES, heard);
    }
}
