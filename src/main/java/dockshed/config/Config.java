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
 * The broker's configuration from the environment and the JSON configuration file, checked and with defaults filled in.
 * Errors are thrown as {@link JsonFields.InvalidInputException} with the key concerned.
 *
 * @param name            of this broker in its log
 * @param listen          where the RTSP front listens
 * @param seed            of the random number generators
 * @param maxSockets      descriptors that the process may use
 * @param peerListen      where datagrams of other brokers are received; null if the file has none
 * @param peers           the addresses of all brokers, in the order of their numbers
 * @param allPeersAddress an address that reaches all brokers at once; null if the file has none
 * @param nameServer      the address of the name server; null: the list of edge servers does not change
 * @param knownServers    the lists of edge servers known before the start, the oldest first
 * @param settings        of the decision module
 * @param idleTimeout     microseconds after which edge servers close an idle connection
 * @param reportFields    names of the values in a load report
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
    /**
     * Descriptors that are used neither for viewers nor for edge servers: standard streams, jar, class archive, poll,
     * listening sockets, datagram sockets.
     */
    static final int RESERVED_DESCRIPTORS = 32;

    /**
     * A change of the list of edge servers from before the start.
     *
     * @param number   the list's serial number
     * @param complete whether {@code servers} are all servers rather than those that changed
     */
    public record ServerListNotice(long number, boolean complete, List<ListedServer> servers) {}

    /**
     * Whether the brokers can exchange datagrams: the settings allow it, and the file has an address for each of them
     * and one to listen on.
     */
    public boolean fleetPossible() {
        return settings.limits().peers()
                && peerListen != null
                && peers.size() > 1
                && settings.brokerNumber() < peers.size();
    }

    /**
     * The number of viewer connections: a third of the descriptors, and an eighth of that to accept before refusing.
     */
    public int maxViewers() {
        return maxSockets * 3 / 8;
    }

    /**
     * The descriptors left for connections to edge servers; another eighth of the viewers may just be disconnecting.
     */
    public int maxEdgeConnections() {
        return Math.max(4, maxSockets - RESERVED_DESCRIPTORS - maxViewers() * 9 / 8);
    }

    /**
     * Reads the file that the environment variable EDGE_CONFIG names; EDGE_NAME and EDGE_LISTEN override its members.
     *
     * @throws JsonFields.InvalidInputException if the variable is missing or the file is invalid
     */
    public static Config load(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isBlank()) {
            throw new JsonFields.InvalidInputException("environment: EDGE_CONFIG is missing");
        }
        return read(readObject(Path.of(file), "config"), environment);
    }

    /** Reads a file that contains one JSON object; {@code path} is the object's name in error messages. */
    static JsonFields readObject(Path file, String path) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(path + ": cannot read " + file + ": " + e.getMessage());
        }
        return parse(text, path);
    }

    /** Parses a text that is one JSON object; {@code path} is the object's name in error messages. */
    static JsonFields parse(String text, String path) {
        try {
            return new JsonFields(path, GSON.fromJson(text, Object.class));
        } catch (JsonParseException e) {
            throw new JsonFields.InvalidInputException(path + ": not JSON: " + e.getMessage());
        }
    }

    /** Reads and checks the configuration file's object. */
    static Config read(JsonFields config, Map<String, String> environment) {
        JsonFields settings = config.object("settings");
        JsonFields limits = settings.object("limits");
        List<InetSocketAddress> peers = new ArrayList<>();
        if (config.has("peers")) {
            for (String peer : config.texts("peers")) {
                peers.add(parseAddress(peer, config.path() + ": member 'peers'"));
            }
        }
        Settings read;
        try {
            read = SettingsReader.read(settings);
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidInputException(settings.path() + ": " + e.getMessage());
        }
        return new Config(
                environment.getOrDefault("EDGE_NAME", config.text("name", "dockshed")),
                environment.containsKey("EDGE_LISTEN")
                        ? parseAddress(environment.get("EDGE_LISTEN"), "environment: EDGE_LISTEN")
                        : parseAddress(config, "listen"),
                seed(config),
                maxSockets(config),
                config.has("peer_listen") ? parseAddress(config, "peer_listen") : null,
                peers,
                config.has("peers_all") ? parseAddress(config, "peers_all") : null,
                config.has("names") ? parseAddress(config, "names") : null,
                knownServers(config),
                read,
                limits.millisAsMicros("idle_close", DEFAULT_IDLE_TIMEOUT_US),
                settings.has("report") ? settings.object("report").texts("fields") : List.of());
    }

    private static long seed(JsonFields config) {
        String seed = config.text("seed");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new JsonFields.InvalidInputException(config.path() + ": member 'seed' is not hex");
        }
    }

    private static int maxSockets(JsonFields config) {
        int sockets =
                config.has("limits") ? config.object("limits").integer("sockets", DEFAULT_SOCKETS) : DEFAULT_SOCKETS;
        if (sockets < 64) {
            throw new JsonFields.InvalidInputException(config.path() + ".limits: member 'sockets' is under 64");
        }
        return sockets;
    }

    /** Reads a member that is an address in the form {@code address:port}. */
    static InetSocketAddress parseAddress(JsonFields config, String key) {
        return parseAddress(config.text(key), config.path() + ": member '" + key + "'");
    }

    /** Parses {@code address:port} with a numeric address; {@code path} names the value in error messages. */
    static InetSocketAddress parseAddress(String text, String path) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+]?")) {
                throw new IllegalArgumentException("not a numeric address");
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidInputException(path + " is not address:port: " + text);
        }
    }

    private static List<ServerListNotice> knownServers(JsonFields config) {
        List<ServerListNotice> notices = new ArrayList<>();
        if (!config.has("known")) {
            return notices;
        }
        JsonFields known = config.object("known");
        for (Object element : known.list("notices")) {
            JsonFields notice = new JsonFields(known.path() + ".notices", element);
            JsonFields pool = notice.object("pool");
            List<ListedServer> members = new ArrayList<>();
            for (Object member : pool.list("members")) {
                members.add(listedServer(new JsonFields(pool.path() + ".members", member)));
            }
            notices.add(new ServerListNotice(notice.integer("rev", 0), pool.flag("complete"), members));
        }
        return notices;
    }

    /** The scope of a list known before the start; the first one may be outdated. */
    public static ListScope scope(ServerListNotice notice, boolean first) {
        return first ? ListScope.DISK : notice.complete() ? ListScope.SNAPSHOT : ListScope.CHANGES;
    }

    /** Reads an edge server from a member of a list. */
    static ListedServer listedServer(JsonFields member) {
        State state =
                switch (member.text("phase", "active")) {
                    case "active" -> State.UP;
                    case "leaving" -> State.DRAINING;
                    case "left" -> State.GONE;
                    default ->
                        throw new JsonFields.InvalidInputException(
                                member.path() + ": member 'phase' is unknown: " + member.text("phase"));
                };
        return new ListedServer(
                new Server(
                        member.text("id"),
                        member.text("locality", ""),
                        member.text("flavor", ""),
                        member.integer("cell", 0),
                        state,
                        member.number("size", 1),
                        member.millisAsMicros("up_since_ms", 0)),
                parseAddress(member, "host_port"));
    }
}
