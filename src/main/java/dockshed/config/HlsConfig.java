package dockshed.config;

import dockshed.Director;
import dockshed.Director.Settings;
import dockshed.names.ListedServer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The file that switches the HLS front on: where it listens, the servers known at the start, and Eureka, which may be
 * left out. Times are microseconds.
 */
public record HlsConfig(InetSocketAddress listen, List<ListedServer> servers, Eureka eureka, long idleTimeout) {
    private static final long DEFAULT_IDLE_TIMEOUT_US = 20_000_000;
    private static final long DEFAULT_POLL_INTERVAL_US = 5_000_000;

    /** The registry and the name under which the lesson boxes are registered there. */
    public record Eureka(InetSocketAddress address, String path, String app, long pollInterval) {}

    public static HlsConfig load(String file) {
        return read(Config.readObject(Path.of(file), "hls"));
    }

    static HlsConfig read(JsonFields c) {
        List<ListedServer> servers = new ArrayList<>();
        if (c.has("servers")) {
            for (Object each : c.list("servers")) {
                servers.add(Config.listedServer(new JsonFields(c.path() + ".servers", each)));
            }
        }
        Eureka eureka = null;
        if (c.has("eureka")) {
            JsonFields e = c.object("eureka");
            eureka = new Eureka(
                    Config.parseAddress(e, "at"),
                    e.text("path", "/eureka"),
                    e.text("app"),
                    period(e, "poll_ms", DEFAULT_POLL_INTERVAL_US));
        }
        if (eureka == null && servers.isEmpty()) {
            throw new JsonFields.InvalidInputException(
                    c.path() + ": neither member 'servers' nor member 'eureka' names a server");
        }
        return new HlsConfig(
                Config.parseAddress(c, "listen"), servers, eureka, period(c, "idle_ms", DEFAULT_IDLE_TIMEOUT_US));
    }

    /** What is allowed and yet seldom meant, a line each. */
    public List<String> warnings(Settings settings) {
        List<String> out = new ArrayList<>();
        List<String> kinds =
                settings.kinds().stream().map(Director.ServerKind::name).toList();
        for (ListedServer l : servers) {
            if (!kinds.contains(l.server().kind())) {
                out.add("server " + l.server().id() + " has flavor '"
                        + l.server().kind() + "', the settings know " + kinds + ": it is held for the least of these");
            }
        }
        double link = settings.ladder().weightKb();
        if (settings.ladder().uplinkKb() < link) {
            out.add("family_info.uplink_kb " + settings.ladder().uplinkKb()
                    + " is less than one server's link, weight_kb " + link
                    + ": a rack carries no more; 0 means no uplink");
        }
        return out;
    }

    private static long period(JsonFields c, String key, long absent) {
        long micros = c.millisAsMicros(key, absent);
        if (micros < 100_000) {
            throw new JsonFields.InvalidInputException(c.path() + ": member '" + key + "' is under 100");
        }
        return micros;
    }
}
