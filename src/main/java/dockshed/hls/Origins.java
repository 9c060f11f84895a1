package dockshed.hls;

import dockshed.Director.LoadReport;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.ServerAdapter;
import dockshed.load.LoadTeller;
import dockshed.load.OrcaReport;
import dockshed.net.Clock;
import dockshed.net.Headed;
import dockshed.net.HttpFetch;
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
public final class Origins implements ServerAdapter {
    static final int PLAYLIST_LIMIT = 1 << 20;
    private static final Logger LOG = LoggerFactory.getLogger(Origins.class);

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final int connectMillis;
    private final LoadTeller loads;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, HttpFetch> out = new HashMap<>();

    public Origins(Broker broker, Net net, Clock clock, int connectMillis, LoadTeller loads) {
        this.loads = loads;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.connectMillis = connectMillis;
    }

    public void addresses(Map<String, InetSocketAddress> listed) {
        addresses.clear();
        addresses.putAll(listed);
    }

    static String path(String title) {
        return "/lessons/" + URLEncoder.encode(title, StandardCharsets.UTF_8).replace("+", "%20") + "/master.m3u8";
    }

    URI base(String server, String path) {
        InetSocketAddress at = addresses.get(server);
        return at == null ? null : URI.create("http://" + at.getHostString() + ":" + at.getPort() + path);
    }

    @Override
    public void setUp(String server, SetUp s) {
        InetSocketAddress at = addresses.get(server);
        if (at == null) {
            broker.ended(clock.now(), server, s.name(), Outcome.MOOT, LoadReport.NONE);
            return;
        }
        Map<String, String> headers = Map.of(
                "Priority-Class", s.className(), "Session", s.name(), "Rung", Integer.toString(s.highestRendition()));
        out.put(
                s.name(),
                HttpFetch.get(
                        net, at, path(s.title()), headers, connectMillis, PLAYLIST_LIMIT, new HttpFetch.Listener() {
                            @Override
                            public void answered(Headed answer) {
                                out.remove(s.name());
                                try {
                                    if (answer.status() != 200) {
                                        throw new Playlists.Unfit("status " + answer.status());
                                    }
                                    Playlists.Multivariant list = Playlists.Multivariant.read(answer.text());
                                    if (!list.has(s.lowestRendition(), s.highestRendition())) {
                                        throw new Playlists.Unfit("no variant from rung " + s.lowestRendition() + " to "
                                                + s.highestRendition());
                                    }
                                    loads.header(clock.now(), server, answer.header(OrcaReport.HEADER));
                                    broker.setUpAnswered(clock.now(), server, s.name(), answer.text());
                                    if (broker.isActive(s.name())) { // its front may have ended it at once
                                        loads.stands(
                                                clock.now(), server, s.name(), s.className(), s.highestRendition());
                                    }
                                } catch (Playlists.Unfit e) {
                                    LOG.warn(
                                            "playlist of no use: server={} title={} why={}",
                                            server,
                                            s.title(),
                                            e.getMessage());
                                    broker.ended(clock.now(), server, s.name(), Outcome.ERROR, LoadReport.NONE);
                                }
                            }

                            @Override
                            public void broken(boolean ran, String why) {
                                out.remove(s.name());
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
        HttpFetch f = out.remove(name);
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
        loads.rate(clock.now(), name, rung);
    }

    @Override
    public void sessionEnded(String server, String name) {
        loads.over(clock.now(), name);
    }

    /** There is no connection to keep: each fetch has its own. */
    @Override
    public void setHasActiveSessions(String server, boolean sessions) {}

    /** Fetches a media playlist for a session that stands. */
    HttpFetch media(String server, String path, HttpFetch.Listener listener) {
        HttpFetch.Listener heard = new HttpFetch.Listener() {
            @Override
            public void answered(Headed answer) {
                loads.header(clock.now(), server, answer.header(OrcaReport.HEADER));
                listener.answered(answer);
            }

            @Override
            public void broken(boolean ran, String why) {
                listener.broken(ran, why);
            }
        };
        return HttpFetch.get(net, addresses.get(server), path, Map.of(), connectMillis, PLAYLIST_LIMIT, heard);
    }
}
