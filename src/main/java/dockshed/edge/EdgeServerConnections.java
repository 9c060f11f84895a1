package dockshed.edge;

import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.ProbeCoordinator;
import dockshed.core.ServerAdapter;
import dockshed.core.TimerQueue;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The edge servers, over JSON lines. A few lines (connections) lead to a server, so that what spoils one seldom costs
 * more than the set-up that is out on it; one at least is kept while sessions stand there, since news of them comes on
 * any. The adapter finds out that a server's process is gone: new connections are refused again and again, or do not
 * come up. A line that breaks proves nothing: connections are reset under living processes too.
 */
public final class EdgeServerConnections implements ServerAdapter {
    static final int MAX_LINE_BYTES = 16 * 1024;
    /** A connection is not used for a set-up so shortly before the server may close it as idle, a quarter of that at most. */
    private static final long IDLE_CLOSE_MARGIN_US = 3_000_000;
    /** An id given up at a server does not go there again for so long: what comes of the first could not be told apart. */
    private static final long CANCELLED_ID_HOLD_US = 5_000_000;
    /** How often in a row a connection to a server with sessions must fail to come up, and the time between. */
    private static final int MAX_CONNECT_FAILURES = 2;

    private static final long RECONNECT_INTERVAL_US = 300_000;
    /** Lines to one server at most: set-ups out at the same time are fewer, and descriptors are scarce. */
    static final int MAX_CONNECTIONS_PER_SERVER = 4;
    /** A message that is not whole by then will not be; a set-up unanswered for so long on a mute line casts doubt. */
    private static final long STUCK_TIMEOUT_US = 200_000;

    private static final long CHECK_INTERVAL_US = 500_000;
    /** From so many servers with sessions on, all falling silent at once means that reports stay out, not that all died. */
    private static final int MIN_SERVERS_FOR_COMMON_SILENCE = 4;

    private static final int MAX_BACKLOG_ENTRIES = 1000;
    /** Lines a look that change hands where there are fewer than servers with sessions. */
    private static final int MAX_ROTATIONS_PER_CHECK = 4;
    /** No figure of a note or report is higher: a server runs fewer streams, and asks less of its link. */
    private static final double MAX_FIGURE = 100_000;

    /** The logger keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.edge.Edges");

    /** The figures of the settings that bear on the connections; times in microseconds, {@code lines} at most in all. */
    public record Options(
            long connectTimeout,
            long idleTimeout,
            long reportInterval,
            long reportDelay,
            List<String> reportFields,
            int maxConnections) {}

    /** A server and the lines to it, the longest in use first. */
    private final class ServerEntry {
        final String id;
        InetSocketAddress address;
        final List<Connection> connections = new ArrayList<>();
        boolean hasSessions;
        int connectFailures; // connections in a row that did not come up
        long lastReceivedAt; // when it last wrote
        long lastAttemptAt; // when a connection was last begun for its sessions' sake
        long suspectSince = -1; // since when it is not known whether its process is there; -1: it is
        final ArrayDeque<Message> queuedMessages = new ArrayDeque<>(); // releases for when a line is up again
        final LinkedHashMap<String, Long> cancelledAt = new LinkedHashMap<>(); // ids, the oldest first, BACKLOG at most

        ServerEntry(String id) {
            this.id = id;
        }
    }

    private static final class PendingSetUp {
        final byte[] bytes;
        boolean handedOver; // given to the connection, which may still hold it
        boolean written; // all of it has left
        long handedOverAt = Long.MAX_VALUE; // when it was handed over

        PendingSetUp(byte[] text) {
            this.bytes = text;
        }
    }

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Options options;
    private final ProbeCoordinator finder;
    private final Map<String, ServerEntry> servers = new HashMap<>();
    private final Set<Connection> connectionsToFlush = new LinkedHashSet<>(); // at the end of this turn of the loop
    private int maxConnectionsPerServer = 1;
    private int connectionCount; // lines to all servers, those not up yet too
    private boolean incompleteReportLogged; // told once
    private long lastNoteAt; // when a server last wrote a note
    private long lastConnectFailureAt = -TimerQueue.NEVER / 2; // when a server with sessions last did not come up
    private long lastSilenceProbeAt = -TimerQueue.NEVER / 2; // when one was last tried in the silence of all

    public EdgeServerConnections(Broker broker, Net net, Clock clock, TimerQueue deadlines, Options terms) {
        this(broker, net, clock, deadlines, terms, ProbeCoordinator.STANDALONE);
    }

    /** {@code finder}: says which broker finds out about a server that may be gone. */
    public EdgeServerConnections(
            Broker broker, Net net, Clock clock, TimerQueue deadlines, Options terms, ProbeCoordinator finder) {
        this.finder = finder;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.options = terms;
        deadlines.schedule(clock.now() + CHECK_INTERVAL_US, this::checkConnections);
    }

    /** Where the servers listen, as far as they are listed; the others are forgotten once nothing is left there. */
    public void updateAddresses(Map<String, InetSocketAddress> listed) {
        listed.forEach((id, at) -> {
            ServerEntry b = servers.computeIfAbsent(id, ServerEntry::new);
            if (!at.equals(b.address)) {
                b.address = at;
                close(b);
                if (b.hasSessions) {
                    connectIfNone(b);
                }
            }
        });
        for (ServerEntry b : new ArrayList<>(servers.values())) {
            if (!listed.containsKey(b.id)
                    && !b.hasSessions
                    && b.connections.stream().allMatch(l -> l.pending.isEmpty())) {
                close(b);
                servers.remove(b.id);
            }
        }
        maxConnectionsPerServer = Math.max(
                1, Math.min(MAX_CONNECTIONS_PER_SERVER, options.maxConnections() / 2 / Math.max(1, servers.size())));
    }

    /** The list tells that the process is gone: so are its sessions. */
    public void serverRemoved(String server) {
        ServerEntry b = servers.get(server);
        if (b != null) {
            close(b);
            clearSuspicion(b);
        }
        broker.serverLost(clock.now(), this, server, clock.now());
    }

    /** The list tells that the process was started anew: older sessions are over, older lines lead nowhere. */
    public void serverRestarted(String server, long since) {
        ServerEntry b = servers.get(server);
        if (b != null) {
            b.connectFailures = 0;
            for (Connection l : List.copyOf(b.connections)) {
                if (l.openedAt < since) {
                    close(l);
                }
            }
        }
        broker.serverLost(clock.now(), this, server, since);
        if (b != null && b.hasSessions) {
            connectIfNone(b);
        }
    }

    // ---- From the broker.

    @Override
    public void setUp(String server, SetUp s) {
        ServerEntry b = servers.get(server);
        if (b == null || b.address == null) {
            reportNotSent(server, s.name());
            return;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", s.className());
        fields.put("key", s.title());
        fields.put("left", Long.toString(Math.max(1, s.answerTimeout() / 1000)));
        fields.put("rung", Integer.toString(s.highestRendition()));
        byte[] text = new Message("setup", s.name(), fields, -1, s.description())
                .encode()
                .getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_LINE_BYTES) {
            LOG.warn("set-up held back: server={} bytes={} why=no server reads so long a line", server, text.length);
            reportNotSent(server, s.name());
            return;
        }
        b.cancelledAt.values().removeIf(at -> clock.now() - at > CANCELLED_ID_HOLD_US);
        if (b.cancelledAt.containsKey(s.name())) {
            broker.trace().add(clock.now(), s.name(), "held-back", server);
            LOG.info("set-up held back: server={} why=given up there just now: session={}", server, s.name());
            reportNotSent(server, s.name());
            return;
        }
        Connection line = selectConnection(b);
        if (line == null) { // no descriptor was to be had, which says nothing of the server
            LOG.warn("set-up held back: server={} why=no descriptor for a line: lines={}", server, connectionCount);
            reportNotSent(server, s.name());
            return;
        }
        if (line.pending.size() >= MAX_BACKLOG_ENTRIES || line.connected && Net.hasUnwrittenBytes(line.channel)) {
            broker.trace().add(clock.now(), s.name(), "held-back", server);
            LOG.warn("set-up held back: server={} open={} why=server does not read", server, line.pending.size());
            reportNotSent(server, s.name());
            return;
        }
        LOG.debug(
                "set-up out: session={} server={} left={} line={}",
                s.name(),
                server,
                s.answerTimeout(),
                line.connected ? "up" : "new");
        broker.trace().add(clock.now(), s.name(), line.connected ? "out" : "out-on-new-line", server);
        PendingSetUp p = new PendingSetUp(text);
        line.pending.put(s.name(), p);
        if (line.connected) {
            scheduleFlush(line);
        }
    }

    /** A set-up has come to nothing, and provably never left. */
    private void reportNotSent(String server, String name) {
        broker.ended(clock.now(), server, name, Outcome.MOOT, LoadReport.NONE);
    }

    /**
     * Set-ups leave at the end of the loop's turn, once all that had come has been read: a viewer's going, or the news of a
     * drain, that lay unread beside what caused them takes them back.
     */
    private void scheduleFlush(Connection line) {
        if (connectionsToFlush.isEmpty()) {
            net.loop().execute(() -> {
                List<Connection> now = List.copyOf(connectionsToFlush);
                connectionsToFlush.clear();
                now.forEach(Connection::writePending);
            });
        }
        connectionsToFlush.add(line);
    }

    @Override
    public void cancelSetUp(String server, String name) {
        LOG.debug("set-up given up: session={} server={}", name, server);
        ServerEntry b = servers.get(server);
        if (b == null) {
            return;
        }
        for (Connection l : List.copyOf(b.connections)) {
            PendingSetUp p = l.pending.remove(name);
            if (p != null) {
                broker.trace().add(clock.now(), name, "given-up", server);
            }
            if (p == null || !l.connected || !p.handedOver) {
                continue;
            }
            if (b.cancelledAt.size() >= MAX_BACKLOG_ENTRIES) {
                b.cancelledAt.remove(b.cancelledAt.keySet().iterator().next());
            }
            b.cancelledAt.put(name, clock.now());
            if (!p.written) { // it would still leave whenever the server reads again
                LOG.warn("line to edge server dropped: id={} why=does not read what was given up", b.id);
                close(l);
                keepConnected(b);
                continue;
            }
            // Told even where nothing else comes: an answer may cross with it, and its session would stand unheard of.
            l.send(new Message("release", name, Map.of(), 16, null));
            l.retired |= l.isStuck(p);
        }
    }

    @Override
    public void release(String server, String name) {
        ServerEntry b = servers.get(server);
        if (b == null) {
            return;
        }
        sendOrQueue(b, new Message("release", name, Map.of(), 31, null));
    }

    /** Sends at once, or once a line is up. */
    private void sendOrQueue(ServerEntry b, Message m) {
        Connection up = b.connections.stream()
                .filter(l -> l.connected && !l.isDead())
                .max(Comparator.comparing((Connection l) -> !l.unconfirmed))
                .orElse(null);
        if (up != null) {
            up.send(m);
        } else if (b.queuedMessages.size() < MAX_BACKLOG_ENTRIES) {
            b.queuedMessages.add(m);
            connectIfNone(b);
        }
    }

    @Override
    public void setRendition(String server, String name, int rung) {
        ServerEntry b = servers.get(server);
        if (b == null) {
            return;
        }
        sendOrQueue(b, new Message("rate", name, Map.of("rung", Integer.toString(rung)), -1, null));
    }

    @Override
    public void setHasActiveSessions(String server, boolean sessions) {
        ServerEntry b = servers.computeIfAbsent(server, ServerEntry::new);
        b.hasSessions = sessions;
        if (sessions) {
            b.lastReceivedAt = clock.now();
            connectIfNone(b);
        }
    }

    // ---- Lines.

    /** Lines to all servers, for tests. */
    public int countConnections() {
        return servers.values().stream().mapToInt(b -> b.connections.size()).sum();
    }

    /** The line for a set-up: a free one, the longest in use first, else a new one, else the least burdened. */
    private Connection selectConnection(ServerEntry b) {
        long now = clock.now();
        Connection best = null;
        for (Connection l : List.copyOf(b.connections)) {
            if (l.nearIdleClose(now)) {
                close(l);
            } else if (l.retired || l.unconfirmed || l.isDead()) {
                continue;
            } else if (best == null
                    || l.pending.size() < best.pending.size()
                    || l.connected && !best.connected && l.pending.size() == best.pending.size()) {
                best = l;
            }
        }
        if (best == null && b.connections.size() > maxConnectionsPerServer) {
            Connection newest = b.connections.get(b.connections.size() - 1); // none is above doubt
            best = newest.isDead() ? null : newest;
        }
        return best == null || !best.pending.isEmpty() && b.connections.size() < maxConnectionsPerServer
                ? openConnection(b)
                : best;
    }

    private Connection openConnection(ServerEntry b) {
        if (b.address == null || connectionCount >= options.maxConnections() && !closeLeastNeeded(false)) {
            return null;
        }
        Connection l = new Connection(b);
        b.connections.add(l);
        connectionCount++;
        l.connect();
        return l.ended ? null : l;
    }

    private void connectIfNone(ServerEntry b) {
        if (b.connections.isEmpty()
                && b.address != null
                && mayProbe(b)
                && (connectionCount < options.maxConnections() || closeLeastNeeded(true))) {
            b.lastAttemptAt = clock.now();
            openConnection(b);
        }
    }

    /** Accepting or connecting failed for want of descriptors: lets one go that is idle. */
    public void closeIdleConnection() {
        closeLeastNeeded(false);
    }

    /**
     * Ends the line that is missed least: the longest unused one of a server without sessions, then one of several,
     * then, unless {@code kept}, the only one of a server with sessions; none with a set-up out or not up yet.
     */
    private boolean closeLeastNeeded(boolean kept) {
        Connection least = null;
        for (ServerEntry b : servers.values()) {
            for (Connection l : b.connections) {
                if (l.connected
                        && l.pending.isEmpty()
                        && !(kept && l.closePriority() == 2)
                        && (least == null
                                || l.closePriority() < least.closePriority()
                                || l.closePriority() == least.closePriority() && l.lastUsedAt < least.lastUsedAt)) {
                    least = l;
                }
            }
        }
        if (least != null) {
            LOG.debug("line ended to make room: id={} lines={}", least.server.id, connectionCount);
            close(least);
        }
        return least != null;
    }

    /**
     * Where there are more servers with sessions than lines, those without one take turns: an end that could not be
     * sent comes on the next line that is opened.
     */
    private void rotateConnections() {
        if (connectionCount < options.maxConnections()) {
            return;
        }
        List<ServerEntry> without = servers.values().stream()
                .filter(b -> b.hasSessions && b.address != null && b.connections.isEmpty())
                .sorted(Comparator.comparingLong(b -> b.lastAttemptAt))
                .limit(MAX_ROTATIONS_PER_CHECK)
                .toList();
        for (ServerEntry b : without) {
            if (closeLeastNeeded(false)) {
                b.lastAttemptAt = clock.now();
                openConnection(b);
            }
        }
    }

    // ---- Whether a process is there.

    private void markSuspect(ServerEntry b) {
        if (b.suspectSince < 0) {
            b.suspectSince = clock.now();
            finder.suspicionChanged(b.id, true);
        }
    }

    private void clearSuspicion(ServerEntry b) {
        if (b.suspectSince >= 0) {
            b.suspectSince = -1;
            finder.suspicionChanged(b.id, false);
        }
    }

    /** Whether a line may be begun to find out; does what others' words say of it. */
    private boolean mayProbe(ServerEntry b) {
        if (b.suspectSince < 0) {
            return true;
        }
        switch (finder.decide(
                clock.now(),
                b.id,
                new ProbeCoordinator.Suspicion(b.suspectSince, b.lastReceivedAt, b.lastAttemptAt, b.connectFailures))) {
            case DOWN -> {
                LOG.info(
                        "edge server down as others found, too: id={} ms={}",
                        b.id,
                        (clock.now() - b.suspectSince) / 1000);
                serverLost(b);
                return false;
            }
            case WAIT -> {
                return false;
            }
            default -> {
                return true;
            }
        }
    }

    /** The process is gone: so are its sessions. */
    private void serverLost(ServerEntry b) {
        b.connectFailures = 0;
        close(b);
        clearSuspicion(b);
        broker.serverLost(clock.now(), this, b.id, clock.now());
    }

    /** One line is kept up where sessions stand; a server that ends each at once is not tried all the time. */
    private void keepConnected(ServerEntry b) {
        if (b.hasSessions && b.connections.isEmpty()) {
            if (clock.now() - b.lastAttemptAt >= RECONNECT_INTERVAL_US) {
                connectIfNone(b);
            } else {
                scheduleReconnect(b);
            }
        }
    }

    private void scheduleReconnect(ServerEntry b) {
        deadlines.schedule(clock.now() + RECONNECT_INTERVAL_US, t -> {
            if (b.hasSessions
                    && servers.get(b.id) == b
                    && b.address != null
                    && b.connections.stream().allMatch(l -> l.unconfirmed)) {
                if (mayProbe(b)) {
                    b.lastAttemptAt = clock.now();
                    openConnection(b);
                } else if (b.suspectSince >= 0) {
                    scheduleReconnect(b);
                }
            }
        });
    }

    private void close(ServerEntry b) {
        List.copyOf(b.connections).forEach(this::close);
    }

    /** Ends the line; what was out on it is over. */
    private void close(Connection l) {
        l.server.connections.remove(l);
        l.end(Outcome.RESET);
    }

    /** Every half second: lines that the server would soon close as idle are ended or renewed, those stuck dropped. */
    private void checkConnections(long due) {
        long now = clock.now();
        deadlines.schedule(now + CHECK_INTERVAL_US, this::checkConnections);
        for (ServerEntry b : List.copyOf(servers.values())) {
            for (Connection l : List.copyOf(b.connections)) {
                if (l.nearIdleClose(now) || l.retired && l.pending.isEmpty() && now - l.lastUsedAt > STUCK_TIMEOUT_US) {
                    close(l);
                } else if (l.decoder.hasPartialLine() && now - l.lastUsedAt > STUCK_TIMEOUT_US) {
                    LOG.warn("line to edge server dropped: id={} why=message not finished", b.id);
                    close(l);
                }
            }
            if (b.hasSessions) {
                connectIfNone(b);
            }
        }
        rotateConnections();
        probeSilentServers(now);
    }

    /**
     * A server that has sessions but said nothing for longer than its reports may take is tried with one more line.
     * Where no server reports any more, only one is tried at a time, until one does not come up: reports can stay out
     * everywhere, and every broker of a large fleet would shake hands with every server over it.
     */
    private void probeSilentServers(long now) {
        if (options.reportInterval() <= 0) {
            return;
        }
        long limit = options.reportInterval() + options.reportDelay() + 500_000;
        List<ServerEntry> held =
                servers.values().stream().filter(b -> b.hasSessions).toList();
        List<ServerEntry> silent = held.stream()
                .filter(b -> now - b.lastReceivedAt > limit
                        && !b.connections.isEmpty()
                        && b.connections.stream().allMatch(l -> l.connected && l.pending.isEmpty()))
                .sorted(Comparator.comparingLong(b -> b.lastReceivedAt))
                .toList();
        if (silent.isEmpty()) {
            return;
        }
        if (held.size() >= MIN_SERVERS_FOR_COMMON_SILENCE
                && now - lastNoteAt > limit / 2
                && now - lastConnectFailureAt > limit) {
            if (now - lastSilenceProbeAt <= limit) {
                return;
            }
            lastSilenceProbeAt = now;
            silent = silent.subList(0, 1);
            LOG.info("no edge server reports: held={} ms={}", held.size(), (now - lastNoteAt) / 1000);
        }
        for (ServerEntry b : silent) {
            markSuspect(b);
            if (!mayProbe(b)) {
                continue;
            }
            LOG.info("edge server silent: id={} ms={}", b.id, (now - b.lastReceivedAt) / 1000);
            b.lastReceivedAt = now;
            b.lastAttemptAt = now;
            if (b.connections.size() > maxConnectionsPerServer) {
                close(b.connections.get(0)); // silent through two of these
            }
            // The others stay: what a server is just writing on one would be lost with it, an end of a session too.
            b.connections.forEach(l -> l.unconfirmed = true);
            openConnection(b);
        }
    }

    private final class Connection extends ByteHandler {
        final ServerEntry server;
        final Map<String, PendingSetUp> pending = new LinkedHashMap<>();
        private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES);
        Channel channel;
        boolean connected;
        boolean ended;
        boolean retired; // silent after a set-up, not used for another
        boolean unconfirmed; // silent for long, and a newer line was begun: not used until it speaks
        final long openedAt = clock.now();
        long lastUsedAt = openedAt;
        private long lastReceivedAt = openedAt;

        Connection(ServerEntry box) {
            this.server = box;
        }

        /** What goes first where room is needed. */
        int closePriority() {
            return !server.hasSessions ? 0 : server.connections.size() > 1 ? 1 : 2;
        }

        /**
         * Whether the connection is down and its close is still to be told. When a process dies, the system resets all
         * lines to it at once and they are told one after the other: what the first one's set-ups do next must not go
         * out on the others.
         */
        boolean isDead() {
            return connected && !channel.isActive();
        }

        boolean nearIdleClose(long now) {
            return connected
                    && pending.isEmpty()
                    && now - lastUsedAt
                            > options.idleTimeout() - Math.min(IDLE_CLOSE_MARGIN_US, options.idleTimeout() / 4);
        }

        /** Whether nothing has come since the set-up went out, or only part of a message. */
        boolean isStuck(PendingSetUp p) {
            return decoder.hasPartialLine()
                    || p.written && p.handedOverAt > lastReceivedAt && clock.now() - p.handedOverAt > STUCK_TIMEOUT_US;
        }

        void connect() {
            ChannelFuture coming = net.connect(server.address, (int) (options.connectTimeout() / 1000), () -> this);
            channel = coming.channel();
            net.whenDone(coming, done -> {
                if (ended) {
                    channel.close();
                } else if (done.isSuccess()) {
                    onConnected();
                } else {
                    failed(done.cause());
                }
            });
        }

        private void onConnected() {
            connected = true;
            server.connectFailures = 0;
            if (server.suspectSince >= 0) {
                finder.probeFinished(server.id, true);
                clearSuspicion(server);
            }
            lastUsedAt = clock.now();
            for (Message m = server.queuedMessages.poll(); m != null; m = server.queuedMessages.poll()) {
                send(m);
            }
            writePending();
        }

        /**
         * Hands over what has not left yet, one set-up at a time while the server reads. What may not go there any more, as
         * the server was told to drain while it waited, comes to nothing.
         */
        void writePending() {
            for (Map.Entry<String, PendingSetUp> e : List.copyOf(pending.entrySet())) {
                if (!connected || isDead()) {
                    return; // its end is told, or will be, with all that is open
                }
                PendingSetUp p = e.getValue();
                if (p.handedOver || pending.get(e.getKey()) != p) {
                    continue;
                }
                if (!broker.acceptsSetUp(clock.now(), server.id)) {
                    pending.remove(e.getKey());
                    broker.trace().add(clock.now(), e.getKey(), "held-back", "drain");
                    reportNotSent(server.id, e.getKey());
                } else if (Net.hasUnwrittenBytes(channel)) {
                    return; // goes on once that is written
                } else {
                    writeSetUp(p);
                }
            }
        }

        private void failed(Throwable why) {
            if (why instanceof ChannelException) { // no socket could be opened: nothing was tried
                LOG.warn("no socket for a line: id={} lines={} why={}", server.id, connectionCount, why.toString());
                server.connections.remove(this);
                end(Outcome.MOOT);
                closeLeastNeeded(false);
                scheduleReconnect(server);
                return;
            }
            boolean refused = why instanceof java.net.ConnectException
                    && !(why instanceof io.netty.channel.ConnectTimeoutException);
            LOG.info("edge server not reached: id={} refused={} waiting={}", server.id, refused, pending.size());
            server.connections.remove(this);
            end(Outcome.CONNECT_FAILED);
            finder.probeFinished(server.id, false);
            if (!server.hasSessions || !server.connections.stream().allMatch(l -> l.unconfirmed)) {
                return; // another line is up or on its way, and tells more
            }
            lastConnectFailureAt = clock.now();
            markSuspect(server);
            if (++server.connectFailures >= MAX_CONNECT_FAILURES) {
                serverLost(server);
            } else {
                scheduleReconnect(server);
            }
        }

        /** No more of this line: what never left in full did not run, the rest may have. */
        void end(Outcome unwritten) {
            connectionCount -= ended ? 0 : 1;
            ended = true;
            connected = false;
            if (channel != null && channel.isRegistered()) { // else it never had a socket
                channel.close();
            }
            Map<String, PendingSetUp> left = new LinkedHashMap<>(pending);
            pending.clear();
            left.forEach((name, p) -> {
                Outcome end = p.written ? Outcome.RESET : unwritten == Outcome.RESET ? Outcome.MOOT : unwritten;
                broker.trace().add(clock.now(), name, end.name(), server.id);
                broker.ended(clock.now(), server.id, name, end, LoadReport.NONE);
            });
        }

        void writeSetUp(PendingSetUp p) {
            lastUsedAt = clock.now();
            p.handedOverAt = lastUsedAt;
            p.handedOver = true;
            writePendingAfter(
                    channel.writeAndFlush(Net.toByteBuf(p.bytes)).addListener(done -> p.written |= done.isSuccess()));
        }

        void send(Message m) {
            lastUsedAt = clock.now();
            writePendingAfter(channel.writeAndFlush(Net.toByteBuf(m.encode().getBytes(StandardCharsets.UTF_8))));
        }

        /** Once it is written late, what waited for it goes out. */
        private void writePendingAfter(ChannelFuture writing) {
            if (!writing.isDone()) {
                writing.addListener(done -> writePending());
            }
        }

        @Override
        protected void onBytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (ended) {
                return;
            }
            lastUsedAt = clock.now();
            lastReceivedAt = lastUsedAt;
            server.lastReceivedAt = lastUsedAt;
            unconfirmed = false;
            clearSuspicion(server);
            decoder.add(bytes);
            try {
                for (String line = decoder.next(); line != null && !ended; line = decoder.next()) {
                    if (!line.isBlank()) {
                        handleMessage(this, Message.parse(line));
                    }
                }
            } catch (LineDecoder.InvalidLineException | Message.MalformedMessageException e) {
                LOG.warn(
                        "edge server's message malformed: id={} open={} why={}",
                        server.id,
                        pending.size(),
                        e.getMessage());
                close(this); // at once: nothing that follows can be told apart
                keepConnected(server);
            }
        }

        @Override
        protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
            if (ended) {
                return;
            }
            LOG.info(
                    "line to edge server closed: id={} reset={} open={} sessions={}",
                    server.id,
                    reset,
                    pending.size(),
                    server.hasSessions);
            if (reset && server.hasSessions && server.connections.stream().allMatch(l -> l == this || l.isDead())) {
                markSuspect(server);
            }
            close(this);
            keepConnected(server);
        }

        /** Writing has no bearing on reading here: what the server tells is what frees it. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {}
    }

    // ---- From the servers.

    private void handleMessage(Connection line, Message m) throws Message.MalformedMessageException {
        long now = clock.now();
        String server = line.server.id;
        if (!m.type().equals("note")) {
            broker.trace().add(now, m.id(), m.type(), server);
            LOG.debug("from server: id={} session={} type={} cause={}", server, m.id(), m.type(), m.cause());
        }
        switch (m.type()) {
            case "answer" -> {
                if (line.pending.containsKey(m.id())) { // else a second copy, or what nobody has asked for
                    if (m.sdp() == null) {
                        throw new Message.MalformedMessageException("answer without a description");
                    }
                    line.pending.remove(m.id());
                    broker.setUpAnswered(now, server, m.id(), m.sdp());
                }
            }
            case "release" -> {
                boolean first = line.pending.remove(m.id()) != null;
                broker.ended(
                        now,
                        server,
                        m.id(),
                        first ? outcomeBeforeAnswer(m.cause()) : outcomeAfterAnswer(m.cause()),
                        parseLoadReport(m.fields().get("load")));
            }
            case "note" -> {
                lastNoteAt = now;
                handleNote(now, server, m);
            }
            case "ping" -> line.send(new Message("pong", m.id(), Map.of(), 1, null));
            default -> {} // progress and what is free mean nothing
        }
    }

    private static Outcome outcomeBeforeAnswer(int cause) {
        return switch (cause) {
            case 34 -> Outcome.FULL;
            case 47 -> Outcome.ERROR;
            case 102 -> Outcome.MOOT;
            default -> Outcome.RESET;
        };
    }

    private static Outcome outcomeAfterAnswer(int cause) {
        return switch (cause) {
            case 16 -> Outcome.OK;
            case 31 -> Outcome.CANCELLED;
            default -> Outcome.RESET;
        };
    }

    private void handleNote(long now, String server, Message m) {
        Metric topic =
                switch (m.fields().getOrDefault("note", "")) {
                    case "fill" -> Metric.DELIVERED;
                    case "grade" -> Metric.RENDITION;
                    case "local" -> Metric.LINK;
                    case "upstream" -> Metric.UPLINK;
                    default -> null;
                };
        try {
            double value = Double.parseDouble(m.fields().getOrDefault("value", ""));
            if (topic != null && value >= 0 && value <= MAX_FIGURE) {
                broker.metricReceived(now, server, m.id(), topic, value);
            }
        } catch (NumberFormatException e) {
            LOG.warn("edge server's note without a figure: id={}", server);
        }
    }

    /** A report as {@code x0:12;x1:40}; none unless every field of the settings is there. */
    private LoadReport parseLoadReport(String load) {
        if (load == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : load.split(";")) {
            int colon = pair.indexOf(':');
            try {
                if (colon > 0) {
                    double value = Double.parseDouble(pair.substring(colon + 1).strip());
                    if (!(value > -1 && value <= MAX_FIGURE)) { // a noisy figure may lie a little under nothing
                        return LoadReport.NONE;
                    }
                    values.put(pair.substring(0, colon).strip(), Math.max(0, value));
                }
            } catch (NumberFormatException e) {
                return LoadReport.NONE;
            }
        }
        List<Double> out = new ArrayList<>();
        for (String field : options.reportFields()) {
            if (!values.containsKey(field)) {
                if (!incompleteReportLogged) {
                    LOG.warn("load report lacks a field of the settings: field={} report={}", field, load);
                    incompleteReportLogged = true;
                }
                return LoadReport.NONE;
            }
            out.add(values.get(field));
        }
        return new LoadReport(out);
    }
}
