package dockshed.config;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import com.google.gson.ToNumberPolicy;
import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.names.Listing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * All that the program is told from outside: environment and configuration file, checked, with defaults put in. A
 * complaint is an {@link Fields.Malformed} that names the key at fault. Times are microseconds.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress names,
        List<Notice> known,
        Settings settings,
        long idleClose,
        List<String> reportFields) {
    private static final Gson GSON = new GsonBuilder()
            .setObjectToNumberStrategy(ToNumberPolicy.LONG_OR_DOUBLE)
            .create();
    private static final int DEFAULT_SOCKETS = 1024;
    private static final long DEFAULT_IDLE = 30_000_000;
    /** Descriptors that are neither viewers' nor lines: standard streams, jar, archive, poll, listeners, datagrams. */
    static final int OWN = 32;

    /** An event of the list that was known before the start. */
    public record Notice(long number, boolean complete, List<Listing> members) {}

    /** Whether brokers may talk to one another: allowed by the settings, with an address for each and one to listen on. */
    public boolean fleet() {
        return settings.limits().peers()
                && peerListen != null
                && peers.size() > 1
                && settings.brokerNumber() < peers.size();
    }

    /** Viewers hold a third of the descriptors at most; a little more is let in before one is turned away. */
    public int viewers() {
        return sockets * 3 / 8;
    }

    /** What is left for lines to edge servers; an eighth more viewers than those may be on their way out. */
    public int lines() {
        return Math.max(4, sockets - OWN - viewers() * 9 / 8);
    }

    /** Reads what the environment names. */
    public static Config load(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isBlank()) {
            throw new Fields.Malformed("environment: EDGE_CONFIG is missing");
        }
        return read(object(Path.of(file), "config"), environment);
    }

    /** The JSON object that a file holds. */
    static Fields object(Path file, String owner) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Fields.Malformed(owner + ": cannot read " + file + ": " + e.getMessage());
        }
        return parse(text, owner);
    }

    static Fields parse(String text, String owner) {
        try {
            return new Fields(owner, GSON.fromJson(text, Object.class));
        } catch (JsonParseException e) {
            throw new Fields.Malformed(owner + ": not JSON: " + e.getMessage());
        }
    }

    static Config read(Fields c, Map<String, String> environment) {
        Fields settings = c.object("settings");
        Fields limits = settings.object("limits");
        List<InetSocketAddress> peers = new ArrayList<>();
        if (c.has("peers")) {
            for (String peer : c.texts("peers")) {
                peers.add(address(peer, c.owner() + ": member 'peers'"));
            }
        }
        Settings read;
        try {
            read = SettingsReader.read(settings);
        } catch (IllegalArgumentException e) {
            throw new Fields.Malformed(settings.owner() + ": " + e.getMessage());
        }
        return new Config(
                environment.getOrDefault("EDGE_NAME", c.text("name", "dockshed")),
                environment.containsKey("EDGE_LISTEN")
                        ? address(environment.get("EDGE_LISTEN"), "environment: EDGE_LISTEN")
                        : address(c, "listen"),
                seed(c),
                sockets(c),
                c.has("peer_listen") ? address(c, "peer_listen") : null,
                peers,
                c.has("peers_all") ? address(c, "peers_all") : null,
                c.has("names") ? address(c, "names") : null,
                known(c),
                read,
                limits.micros("idle_close", DEFAULT_IDLE),
                settings.has("report") ? settings.object("report").texts("fields") : List.of());
    }

    private static long seed(Fields c) {
        String seed = c.text("seed");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new Fields.Malformed(c.owner() + ": member 'seed' is not hex");
        }
    }

    private static int sockets(Fields c) {
        int sockets = c.has("limits") ? c.object("limits").integer("sockets", DEFAULT_SOCKETS) : DEFAULT_SOCKETS;
        if (sockets < 64) {
            throw new Fields.Malformed(c.owner() + ".limits: member 'sockets' is under 64");
        }
        return sockets;
    }

    static InetSocketAddress address(Fields c, String key) {
        return address(c.text(key), c.owner() + ": member '" + key + "'");
    }

    static InetSocketAddress address(String text, String what) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+]?")) {
                throw new IllegalArgumentException("no address");
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw new Fields.Malformed(what + " is not address:port: " + text);
        }
    }

    private static List<Notice> known(Fields c) {
        List<Notice> out = new ArrayList<>();
        if (!c.has("known")) {
            return out;
        }
        Fields known = c.object("known");
        for (Object each : known.list("notices")) {
            Fields notice = new Fields(known.owner() + ".notices", each);
            Fields pool = notice.object("pool");
            List<Listing> members = new ArrayList<>();
            for (Object m : pool.list("members")) {
                members.add(listing(new Fields(pool.owner() + ".members", m)));
            }
            out.add(new Notice(notice.integer("rev", 0), pool.flag("complete"), members));
        }
        return out;
    }

    /** What the list's first event counts as: it may be stale. */
    public static ListScope scope(Notice notice, boolean first) {
        return first ? ListScope.DISK : notice.complete() ? ListScope.SNAPSHOT : ListScope.CHANGES;
    }

    static Listing listing(Fields m) {
        State state =
                switch (m.text("phase", "active")) {
                    case "active" -> State.UP;
                    case "leaving" -> State.DRAINING;
                    case "left" -> State.GONE;
                    default ->
                        throw new Fields.Malformed(m.owner() + ": member 'phase' is unknown: " + m.text("phase"));
                };
        return new Listing(
                new Server(
                        m.text("id"),
                        m.text("locality", ""),
                        m.text("flavor", ""),
                        m.integer("cell", 0),
                        state,
                        m.number("size", 1),
                        m.micros("up_since_ms", 0)),
                address(m, "host_port"));
    }
}
