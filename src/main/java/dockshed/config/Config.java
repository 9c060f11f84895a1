package dockshed.config;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import com.google.gson.ToNumberPolicy;
import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.names.ListedServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * All that the program is told from outside: environment and configuration file, checked, with defaults put in. A
 * complaint is an {@link JsonFields.InvalidInputException} that names the key at fault. Times are microseconds.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        long seed,
        int maxSockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress allPeersAddress,
        InetSocketAddress nameServer,
        List<ServerListNotice> knownServers,
        Settings settings,
        long idleTimeout,
        List<String> reportFields) {
    private static final Gson GSON = new GsonBuilder()
            .setObjectToNumberStrategy(ToNumberPolicy.LONG_OR_DOUBLE)
            .create();
    private static final int DEFAULT_SOCKETS = 1024;
    private static final long DEFAULT_IDLE_TIMEOUT_US = 30_000_000;
    /** Descriptors that are neither viewers' nor lines: standard streams, jar, archive, poll, listeners, datagrams. */
    static final int RESERVED_DESCRIPTORS = 32;

    /** An event of the list that was known before the start. */
    public record ServerListNotice(long number, boolean complete, List<ListedServer> servers) {}

    /** Whether brokers may talk to one another: allowed by the settings, with an address for each and one to listen on. */
    public boolean fleetPossible() {
        return settings.limits().peers()
                && peerListen != null
                && peers.size() > 1
                && settings.brokerNumber() < peers.size();
    }

    /** Viewers hold a third of the descriptors at most; a little more is let in before one is turned away. */
    public int maxViewers() {
        return maxSockets * 3 / 8;
    }

    /** What is left for lines to edge servers; an eighth more viewers than those may be on their way out. */
    public int maxEdgeConnections() {
        return Math.max(4, maxSockets - RESERVED_DESCRIPTORS - maxViewers() * 9 / 8);
    }

    /** Reads what the environment names. */
    public static Config load(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isBlank()) {
            throw new JsonFields.InvalidInputException("environment: EDGE_CONFIG is missing");
        }
        return read(readObject(Path.of(file), "config"), environment);
    }

    /** The JSON object that a file holds. */
    static JsonFields readObject(Path file, String owner) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(owner + ": cannot read " + file + ": " + e.getMessage());
        }
        return parse(text, owner);
    }

    static JsonFields parse(String text, String owner) {
        try {
            return new JsonFields(owner, GSON.fromJson(text, Object.class));
        } catch (JsonParseException e) {
            throw new JsonFields.InvalidInputException(owner + ": not JSON: " + e.getMessage());
        }
    }

    static Config read(JsonFields c, Map<String, String> environment) {
        JsonFields settings = c.object("settings");
        JsonFields limits = settings.object("limits");
        List<InetSocketAddress> peers = new ArrayList<>();
        if (c.has("peers")) {
            for (String peer : c.texts("peers")) {
                peers.add(parseAddress(peer, c.path() + ": member 'peers'"));
            }
        }
        Settings read;
        try {
            read = SettingsReader.read(settings);
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidInputException(settings.path() + ": " + e.getMessage());
        }
        return new Config(
                environment.getOrDefault("EDGE_NAME", c.text("name", "dockshed")),
                environment.containsKey("EDGE_LISTEN")
                        ? parseAddress(environment.get("EDGE_LISTEN"), "environment: EDGE_LISTEN")
                        : parseAddress(c, "listen"),
                seed(c),
                maxSockets(c),
                c.has("peer_listen") ? parseAddress(c, "peer_listen") : null,
                peers,
                c.has("peers_all") ? parseAddress(c, "peers_all") : null,
                c.has("names") ? parseAddress(c, "names") : null,
                knownServers(c),
                read,
                limits.millisAsMicros("idle_close", DEFAULT_IDLE_TIMEOUT_US),
                settings.has("report") ? settings.object("report").texts("fields") : List.of());
    }

    private static long seed(JsonFields c) {
        String seed = c.text("seed");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new JsonFields.InvalidInputException(c.path() + ": member 'seed' is not hex");
        }
    }

    private static int maxSockets(JsonFields c) {
        int sockets = c.has("limits") ? c.object("limits").integer("sockets", DEFAULT_SOCKETS) : DEFAULT_SOCKETS;
        if (sockets < 64) {
            throw new JsonFields.InvalidInputException(c.path() + ".limits: member 'sockets' is under 64");
        }
        return sockets;
    }

    static InetSocketAddress parseAddress(JsonFields c, String key) {
        return parseAddress(c.text(key), c.path() + ": member '" + key + "'");
    }

    static InetSocketAddress parseAddress(String text, String what) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+]?")) {
                throw new IllegalArgumentException("no address");
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidInputException(what + " is not address:port: " + text);
        }
    }

    private static List<ServerListNotice> knownServers(JsonFields c) {
        List<ServerListNotice> out = new ArrayList<>();
        if (!c.has("known")) {
            return out;
        }
        JsonFields known = c.object("known");
        for (Object each : known.list("notices")) {
            JsonFields notice = new JsonFields(known.path() + ".notices", each);
            JsonFields pool = notice.object("pool");
            List<ListedServer> members = new ArrayList<>();
            for (Object m : pool.list("members")) {
                members.add(listedServer(new JsonFields(pool.path() + ".members", m)));
            }
            out.add(new ServerListNotice(notice.integer("rev", 0), pool.flag("complete"), members));
        }
        return out;
    }

    /** What the list's first event counts as: it may be stale. */
    public static ListScope scope(ServerListNotice notice, boolean first) {
        return first ? ListScope.DISK : notice.complete() ? ListScope.SNAPSHOT : ListScope.CHANGES;
    }

    static ListedServer listedServer(JsonFields m) {
        State state =
                switch (m.text("phase", "active")) {
                    case "active" -> State.UP;
                    case "leaving" -> State.DRAINING;
                    case "left" -> State.GONE;
                    default ->
                        throw new JsonFields.InvalidInputException(
                                m.path() + ": member 'phase' is unknown: " + m.text("phase"));
                };
        return new ListedServer(
                new Server(
                        m.text("id"),
                        m.text("locality", ""),
                        m.text("flavor", ""),
                        m.integer("cell", 0),
                        state,
                        m.number("size", 1),
                        m.millisAsMicros("up_since_ms", 0)),
                parseAddress(m, "host_port"));
    }
}
