package dockshed.config;

import dockshed.Director;
import dockshed.Director.Settings;
import dockshed.names.ListedServer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration file of the HLS front, which is enabled by it.
 *
 * @param listen      where the front listens
 * @param servers     the edge servers known at the start
 * @param eureka      the registry to poll; null: only {@code servers} are used
 * @param idleTimeout microseconds without a request, after the playing time of what was fetched, that end a session
 */
public record HlsConfig(InetSocketAddress listen, List<ListedServer> servers, Eureka eureka, long idleTimeout) {
    private static final long DEFAULT_IDLE_TIMEOUT_US = 20_000_000;
    private static final long DEFAULT_POLL_INTERVAL_US = 5_000_000;

    /**
     * The Eureka registry.
     *
     * @param app          the application name that the edge servers are registered under
     * @param pollInterval in microseconds
     */
    public record Eureka(InetSocketAddress address, String path, String app, long pollInterval) {}

    /** Reads and checks a file. */
    public static HlsConfig load(String file) {
        return read(Config.readObject(Path.of(file), "hls"));
    }

    /** Reads and checks the file's object. */
    static HlsConfig read(JsonFields fields) {
        List<ListedServer> servers = new ArrayList<>();
        if (fields.has("servers")) {
            for (Object element : fields.list("servers")) {
                servers.add(Config.listedServer(new JsonFields(fields.path() + ".servers", element)));
            }
        }
        Eureka eureka = null;
        if (fields.has("eureka")) {
            JsonFields eurekaFields = fields.object("eureka");
            eureka = new Eureka(
                    Config.parseAddress(eurekaFields, "at"),
                    eurekaFields.text("path", "/eureka"),
                    eurekaFields.text("app"),
                    period(eurekaFields, "poll_ms", DEFAULT_POLL_INTERVAL_US));
        }
        if (eureka == null && servers.isEmpty()) {
            throw new JsonFields.InvalidInputException(
                    fields.path() + ": expected member 'servers' or 'eureka', got neither");
        }
        return new HlsConfig(
                Config.parseAddress(fields, "listen"),
                servers,
                eureka,
                period(fields, "idle_ms", DEFAULT_IDLE_TIMEOUT_US));
    }

    /** Warnings about values that are allowed but rarely intended, one line each. */
    public List<String> warnings(Settings settings) {
        List<String> warnings = new ArrayList<>();
        List<String> kinds =
                settings.kinds().stream().map(Director.ServerKind::name).toList();
        for (ListedServer listed : servers) {
            if (!kinds.contains(listed.server().kind())) {
                warnings.add("server " + listed.server().id() + " has flavor '"
                        + listed.server().kind() + "', the settings only have " + kinds
                        + ": it counts as the smallest of these");
            }
        }
        double link = settings.ladder().weightKb();
        if (settings.ladder().uplinkKb() < link) {
            warnings.add("family_info.uplink_kb " + settings.ladder().uplinkKb()
                    + " is less than one server's link, weight_kb " + link
                    + ": a rack cannot carry more; 0 means no uplink limit");
        }
        return warnings;
    }

    /** A member in milliseconds, of at least 100, as microseconds. */
    private static long period(JsonFields fields, String key, long defaultValue) {
        long micros = fields.millisAsMicros(key, defaultValue);
        if (micros < 100_000) {
            throw new JsonFields.InvalidInputException(fields.path() + ": member '" + key + "' is under 100");
        }
        return micros;
    }
}
