package dockshed.edge;

import dockshed.Director.LoadReport;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.ProbeCoordinator;
import dockshed.core.ServerAdapter;
import dockshed.core.TimerQueue;
import dockshed.net.Clock;
import dockshed.net.Net;
import io.netty.channel.ChannelException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
 * Connections to the edge servers, over which JSON lines are exchanged. Each server has a small pool of connections, so
 * that a connection that fails seldom costs more than the one set-up in flight on it. At least one connection is kept
 * open while the server has active sessions, since messages about them may arrive on any connection; and one is opened
 * after each that closed, since a release may have been lost with it ({@link ReleaseRecovery}).
 *
 * <p>This adapter also detects that a server's process is gone: repeated attempts to connect are refused or time out.
 * A connection that breaks proves nothing, as connections are reset under live processes too.
 *
 * <p>All methods must be called on the event loop. Times are Unix times and durations in microseconds.
 */
public final class EdgeServerConnections implements ServerAdapter {
    /** Longest line in either direction; no edge server reads a longer one. */
    static final int MAX_LINE_BYTES = 16 * 1024;
    /**
     * A session id cancelled at a server is not sent there again for this long: a late answer to the first set-up could
     * not be distinguished from the answer to the second.
     */
    private static final long CANCELLED_ID_HOLD_US = 5_000_000;
    /** Consecutive failures to connect after which a server with active sessions counts as gone. */
    private static final int MAX_CONNECT_FAILURES = 2;
    /** Delay between two attempts to connect to a server with active sessions. */
    private static final long RECONNECT_INTERVAL_US = 300_000;
    /** For so long after a connection was closed to free a descriptor, descriptors count as scarce. */
    private static final long DESCRIPTOR_SHORTAGE_US = 1_000_000;
    /** Upper bound of the pool of one server: concurrent set-ups are fewer, and descriptors are scarce. */
    static final int MAX_CONNECTIONS_PER_SERVER = 4;

    private static final long CHECK_INTERVAL_US = 500_000;
    /** With this many servers with sessions, silence of all at once means missing reports, not dead servers. */
    private static final int MIN_SERVERS_FOR_COMMON_SILENCE = 4;
    /** Bounds the pending set-ups of a connection, and the queued messages and cancelled ids of a server. */
    private static final int MAX_BACKLOG_ENTRIES = 1000;
    /** Connections closed per check in favour of servers with sessions that have none. */
    private static final int MAX_ROTATIONS_PER_CHECK = 4;

    /** The logger keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.edge.Edges");

    /**
     * The settings that affect the connections; times in microseconds.
     *
     * @param connectTimeout how long an attempt to connect may take
     * @param idleTimeout    after which a server closes an idle connection
     * @param reportInterval between two load reports of a server with sessions; 0 or less: servers do not report
     * @param reportDelay    how late a load report may be
     * @param reportFields   the names of a load report's values, in the order in which the broker wants them
     * @param maxConnections to all servers together
     */
    public record Options(
            long connectTimeout,
            long idleTimeout,
            long reportInterval,
            long reportDelay,
            List<String> reportFields,
            int maxConnections) {}

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final TimerQueue timers;
    private final Options options;
    private final ProbeCoordinator probeCoordinator;
    private final ServerMessages messages;
    private final EdgeServerConnection.Context connectionContext;
    private final Map<String, ServerEntry> servers = new HashMap<>();
    private final Set<EdgeServerConnection> connectionsToFlush =
            new LinkedHashSet<>(); // at the end of this event loop iteration
    private int maxConnectionsPerServer = 1;
    private int connectionCount; // to all servers, including those still connecting
    private long lastConnectFailureAt = -TimerQueue.NEVER / 2; // of any server with sessions
    private long lastSilenceProbeAt = -TimerQueue.NEVER / 2; // while all servers were silent
    private long lastEvictionAt = -TimerQueue.NEVER / 2; // when a connection was last closed to free a descriptor

    public EdgeServerConnections(Broker broker, Net net, Clock clock, TimerQueue timers, Options options) {
        this(broker, net, clock, timers, options, ProbeCoordinator.STANDALONE);
    }

    /** {@code probeCoordinator} decides which broker probes a server that may be gone. */
    public EdgeServerConnections(
            Broker broker,
            Net net,
            Clock clock,
            TimerQueue timers,
            Options options,
            ProbeCoordinator probeCoordinator) {
        this.probeCoordinator = probeCoordinator;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.timers = timers;
        this.options = options;
        messages = new ServerMessages(broker, clock, options.reportFields());
        connectionContext =
                new EdgeServerConnection.Context(broker, net, clock, options, messages, new ConnectionEvents());
        timers.schedule(clock.now() + CHECK_INTERVAL_US, this::checkConnections);
    }

    /**
     * Sets the addresses of all listed servers. A server that is no longer listed is forgotten unless it has sessions
     * or pending set-ups; one whose address changed is reconnected.
     */
    public void updateAddresses(Map<String, InetSocketAddress> listed) {
        listed.forEach((id, address) -> {
            ServerEntry entry = servers.computeIfAbsent(id, ServerEntry::new);
            if (!address.equals(entry.address)) {
                entry.address = address;
                entry.processEnd.listed();
                close(entry);
                if (entry.hasSessions) {
                    connectIfNone(entry);
                }
            }
        });
        for (ServerEntry entry : new ArrayList<>(servers.values())) {
            if (!listed.containsKey(entry.id)
                    && !entry.hasSessions
                    && entry.connections.stream().allMatch(c -> c.pending.isEmpty())) {
                close(entry);
                servers.remove(entry.id);
            }
        }
        maxConnectionsPerServer = Math.max(
                1, Math.min(MAX_CONNECTIONS_PER_SERVER, options.maxConnections() / 2 / Math.max(1, servers.size())));
    }

    /** The server was removed from the list: its sessions are over. */
    public void serverRemoved(String serverId) {
        ServerEntry entry = servers.get(serverId);
        if (entry != null) {
            close(entry);
            clearSuspicion(entry);
        }
        broker.serverLost(clock.now(), this, serverId, clock.now());
    }

    /**
     * According to the list the server's process was started again at {@code since}: sessions and connections from
     * before that are over.
     */
    public void serverRestarted(String serverId, long since) {
        ServerEntry entry = servers.get(serverId);
        if (entry != null) {
            entry.connectFailures = 0;
            entry.processEnd.listed();
            for (EdgeServerConnection connection : List.copyOf(entry.connections)) {
                if (connection.openedAt < since) {
                    close(connection);
                }
            }
        }
        broker.serverLost(clock.now(), this, serverId, since);
        if (entry != null && entry.hasSessions) {
            connectIfNone(entry);
        }
    }

    // ---- Calls from the broker.

    @Override
    public void setUp(String serverId, SetUp setUp) {
        ServerEntry entry = servers.get(serverId);
        if (entry == null || entry.address == null) {
            reportNotSent(serverId, setUp.name());
            return;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", setUp.className());
        fields.put("key", setUp.title());
        fields.put("left", Long.toString(Math.max(1, setUp.answerTimeout() / 1000)));
        fields.put("rung", Integer.toString(setUp.highestRendition()));
        byte[] encoded = new Message("setup", setUp.name(), fields, -1, setUp.description())
                .encode()
                .getBytes(StandardCharsets.UTF_8);
        if (encoded.length > MAX_LINE_BYTES) {
            LOG.warn("set-up held back: server={} bytes={} why=line too long", serverId, encoded.length);
            reportNotSent(serverId, setUp.name());
            return;
        }
        entry.cancelledAt.values().removeIf(at -> clock.now() - at > CANCELLED_ID_HOLD_US);
        if (entry.cancelledAt.containsKey(setUp.name())) {
            broker.trace().add(clock.now(), setUp.name(), "held-back", serverId);
            LOG.info("set-up held back: server={} why=recently cancelled there: session={}", serverId, setUp.name());
            reportNotSent(serverId, setUp.name());
            return;
        }
        if (entry.processEnd.isProcessUnknown(clock.now())) {
            broker.trace().add(clock.now(), setUp.name(), "held-back", serverId);
            LOG.debug("set-up held back: server={} why=restarted and not listed yet", serverId);
            reportNotSent(serverId, setUp.name());
            return;
        }
        EdgeServerConnection connection = selectConnection(entry);
        if (connection == null) { // out of descriptors, which says nothing about the server
            LOG.warn("set-up held back: server={} why=out of descriptors: lines={}", serverId, connectionCount);
            reportNotSent(serverId, setUp.name());
            return;
        }
        if (connection.pending.size() >= MAX_BACKLOG_ENTRIES
                || connection.connected && Net.hasUnwrittenBytes(connection.channel)) {
            broker.trace().add(clock.now(), setUp.name(), "held-back", serverId);
            LOG.warn(
                    "set-up held back: server={} open={} why=server does not read",
                    serverId,
                    connection.pending.size());
            reportNotSent(serverId, setUp.name());
            return;
        }
        LOG.debug(
                "set-up assigned to a connection: session={} server={} left={} line={}",
                setUp.name(),
                serverId,
                setUp.answerTimeout(),
                connection.connected ? "up" : "new");
        broker.trace().add(clock.now(), setUp.name(), connection.connected ? "out" : "out-on-new-line", serverId);
        EdgeServerConnection.PendingSetUp attempt = new EdgeServerConnection.PendingSetUp(encoded);
        connection.pending.put(setUp.name(), attempt);
        if (connection.connected) {
            scheduleFlush(connection);
        }
    }

    /** Ends an attempt that was provably not sent. */
    private void reportNotSent(String serverId, String name) {
        broker.ended(clock.now(), serverId, name, Outcome.MOOT, LoadReport.NONE);
    }

    /**
     * Sends pending set-ups at the end of this event loop iteration, once all input that had arrived is read: a
     * viewer's disconnect or a drain that was waiting unread beside the request still cancels them.
     */
    private void scheduleFlush(EdgeServerConnection connection) {
        if (connectionsToFlush.isEmpty()) {
            net.loop().execute(() -> {
                List<EdgeServerConnection> toFlush = List.copyOf(connectionsToFlush);
                connectionsToFlush.clear();
                toFlush.forEach(EdgeServerConnection::writePending);
            });
        }
        connectionsToFlush.add(connection);
    }

    @Override
    public void cancelSetUp(String serverId, String name) {
        LOG.debug("set-up cancelled: session={} server={}", name, serverId);
        ServerEntry entry = servers.get(serverId);
        if (entry == null) {
            return;
        }
        for (EdgeServerConnection connection : List.copyOf(entry.connections)) {
            EdgeServerConnection.PendingSetUp attempt = connection.pending.remove(name);
            if (attempt != null) {
                broker.trace().add(clock.now(), name, "given-up", serverId);
            }
            if (attempt == null || !connection.connected || !attempt.handedOver) {
                continue;
            }
            if (entry.cancelledAt.size() >= MAX_BACKLOG_ENTRIES) {
                entry.cancelledAt.remove(entry.cancelledAt.keySet().iterator().next());
            }
            entry.cancelledAt.put(name, clock.now());
            if (!attempt.written) { // the rest would still be sent once the server reads again
                LOG.warn("connection to edge server dropped: id={} why=cancelled set-up still unread", entry.id);
                close(connection);
                keepConnected(entry);
                continue;
            }
            // Sent even on a silent connection: an answer may cross it, and its session would stay active unnoticed.
            connection.send(new Message("release", name, Map.of(), 16, null));
            connection.retired |= connection.isStuck(attempt);
        }
    }

    @Override
    public void release(String serverId, String name) {
        ServerEntry entry = servers.get(serverId);
        if (entry == null) {
            return;
        }
        sendOrQueue(entry, new Message("release", name, Map.of(), 31, null));
    }

    /** Sends a message at once, or once a connection is open; drops it if the queue is full. */
    private void sendOrQueue(ServerEntry entry, Message message) {
        EdgeServerConnection usable = entry.connections.stream()
                .filter(c -> c.connected && !c.isDead())
                .max(Comparator.comparing((EdgeServerConnection c) -> !c.unconfirmed))
                .orElse(null);
        if (usable != null) {
            usable.send(message);
        } else if (entry.queuedMessages.size() < MAX_BACKLOG_ENTRIES) {
            entry.queuedMessages.add(message);
            connectIfNone(entry);
        }
    }

    @Override
    public void setRendition(String serverId, String name, int rendition) {
        ServerEntry entry = servers.get(serverId);
        if (entry == null) {
            return;
        }
        sendOrQueue(entry, new Message("rate", name, Map.of("rung", Integer.toString(rendition)), -1, null));
    }

    @Override
    public void sessionAdopted(String serverId, String name) {
        messages.sessionAdopted(serverId, name);
    }

    @Override
    public void setHasActiveSessions(String serverId, boolean sessions) {
        ServerEntry entry = servers.computeIfAbsent(serverId, ServerEntry::new);
        entry.hasSessions = sessions;
        if (sessions) {
            entry.lastReceivedAt = clock.now();
            connectIfNone(entry);
        } else {
            entry.releaseRecovery.sessionsEnded();
        }
    }

    // ---- Connections.

    /** The number of connections to all servers, for tests. */
    public int countConnections() {
        return servers.values().stream()
                .mapToInt(entry -> entry.connections.size())
                .sum();
    }

    /**
     * The connection for a set-up: the oldest without a pending set-up, else a new one, else the one with the fewest;
     * null where none can be opened.
     */
    private EdgeServerConnection selectConnection(ServerEntry entry) {
        long now = clock.now();
        EdgeServerConnection best = null;
        for (EdgeServerConnection connection : List.copyOf(entry.connections)) {
            if (connection.nearIdleClose(now)) {
                close(connection);
            } else if (connection.retired || connection.unconfirmed || connection.isDead()) {
                continue;
            } else if (best == null
                    || connection.pending.size() < best.pending.size()
                    || connection.connected && !best.connected && connection.pending.size() == best.pending.size()) {
                best = connection;
            }
        }
        if (best == null && entry.connections.size() > maxConnectionsPerServer) {
            // All are retired, unconfirmed or dead.
            EdgeServerConnection newest = entry.connections.get(entry.connections.size() - 1);
            best = newest.isDead() ? null : newest;
        }
        return best == null || !best.pending.isEmpty() && entry.connections.size() < maxConnectionsPerServer
                ? openConnection(entry)
                : best;
    }

    /** Opens a connection, closing another one where the limit is reached; null where that is not possible. */
    private EdgeServerConnection openConnection(ServerEntry entry) {
        if (entry.address == null || connectionCount >= options.maxConnections() && !closeLeastNeeded(false)) {
            return null;
        }
        EdgeServerConnection connection = new EdgeServerConnection(entry, connectionContext);
        entry.connections.add(connection);
        connectionCount++;
        connection.connect();
        return connection.ended ? null : connection;
    }

    /** Opens a connection to a server that has none, if it may be probed and the limit allows it. */
    private void connectIfNone(ServerEntry entry) {
        if (entry.connections.isEmpty()
                && entry.address != null
                && mayProbe(entry)
                && (connectionCount < options.maxConnections() || closeLeastNeeded(true))) {
            entry.lastAttemptAt = clock.now();
            openConnection(entry);
        }
    }

    /** Closes an idle connection, if there is one: accepting or connecting has failed for lack of descriptors. */
    public void closeIdleConnection() {
        closeLeastNeeded(false);
    }

    /**
     * Closes the connection that is needed least, the longest unused of its kind: first one to a server without
     * sessions, then one of several to a server, then, unless {@code keepOnlyConnections}, the only one to a server
     * with sessions. Connections with pending set-ups and those still connecting are kept. Returns whether one was
     * closed.
     */
    private boolean closeLeastNeeded(boolean keepOnlyConnections) {
        EdgeServerConnection candidate = null;
        for (ServerEntry entry : servers.values()) {
            for (EdgeServerConnection connection : entry.connections) {
                if (connection.connected
                        && connection.pending.isEmpty()
                        && !(keepOnlyConnections && connection.closePriority() == 2)
                        && (candidate == null
                                || connection.closePriority() < candidate.closePriority()
                                || connection.closePriority() == candidate.closePriority()
                                        && connection.lastUsedAt < candidate.lastUsedAt)) {
                    candidate = connection;
                }
            }
        }
        if (candidate != null) {
            LOG.debug("connection closed to free a descriptor: id={} lines={}", candidate.entry.id, connectionCount);
            lastEvictionAt = clock.now();
            close(candidate);
        }
        return candidate != null;
    }

    /**
     * Where servers with sessions outnumber the connections allowed, those without a connection get one in turn: an end
     * of session that a server could not send arrives on its next connection.
     */
    private void rotateConnections() {
        if (connectionCount < options.maxConnections()) {
            return;
        }
        List<ServerEntry> unconnected = servers.values().stream()
                .filter(entry -> entry.hasSessions && entry.address != null && entry.connections.isEmpty())
                .sorted(Comparator.comparingLong(entry -> entry.lastAttemptAt))
                .limit(MAX_ROTATIONS_PER_CHECK)
                .toList();
        for (ServerEntry entry : unconnected) {
            if (closeLeastNeeded(false)) {
                entry.lastAttemptAt = clock.now();
                openConnection(entry);
            }
        }
    }

    // ---- Detection of servers that are gone.

    /** From now on it is unknown whether the server's process is alive. */
    private void markSuspect(ServerEntry entry) {
        if (entry.suspectSince < 0) {
            entry.suspectSince = clock.now();
            probeCoordinator.suspicionChanged(entry.id, true);
        }
    }

    private void clearSuspicion(ServerEntry entry) {
        if (entry.suspectSince >= 0) {
            entry.suspectSince = -1;
            probeCoordinator.suspicionChanged(entry.id, false);
        }
    }

    /** Whether a connection may be opened to probe the server; acts on what other brokers found out about it. */
    private boolean mayProbe(ServerEntry entry) {
        if (entry.suspectSince < 0) {
            return true;
        }
        switch (probeCoordinator.decide(
                clock.now(),
                entry.id,
                new ProbeCoordinator.Suspicion(
                        entry.suspectSince, entry.lastReceivedAt, entry.lastAttemptAt, entry.connectFailures))) {
            case DOWN -> {
                LOG.info(
                        "edge server down, as other brokers found: id={} ms={}",
                        entry.id,
                        (clock.now() - entry.suspectSince) / 1000);
                serverLost(entry);
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

    /** The server's process is gone: its sessions are over. */
    private void serverLost(ServerEntry entry) {
        entry.connectFailures = 0;
        close(entry);
        clearSuspicion(entry);
        broker.serverLost(clock.now(), this, entry.id, clock.now());
    }

    /**
     * Reconnects to a server that has active sessions but no connection; with a delay, so that a server that closes
     * each connection at once is not contacted in a tight loop.
     */
    private void keepConnected(ServerEntry entry) {
        if (entry.hasSessions && entry.connections.isEmpty()) {
            if (clock.now() - entry.lastAttemptAt >= RECONNECT_INTERVAL_US) {
                connectIfNone(entry);
            } else {
                scheduleReconnect(entry);
            }
        }
    }

    private void scheduleReconnect(ServerEntry entry) {
        timers.schedule(clock.now() + RECONNECT_INTERVAL_US, t -> {
            if (entry.hasSessions
                    && servers.get(entry.id) == entry
                    && entry.address != null
                    && entry.connections.stream().allMatch(c -> c.unconfirmed)) {
                if (mayProbe(entry)) {
                    entry.lastAttemptAt = clock.now();
                    openConnection(entry);
                } else if (entry.suspectSince >= 0) {
                    scheduleReconnect(entry);
                }
            }
        });
    }

    /** Runs {@link #recoverReleases} once it is due, after all closes of this event loop iteration. */
    private void scheduleRecovery(ServerEntry entry) {
        if (!entry.hasSessions || !entry.releaseRecovery.isNeeded() || entry.recoveryScheduled) {
            return;
        }
        entry.recoveryScheduled = true;
        long dueAt = Math.max(clock.now(), entry.lastAttemptAt + entry.releaseRecovery.interval());
        timers.schedule(dueAt, t -> {
            entry.recoveryScheduled = false;
            recoverReleases(entry);
        });
    }

    /**
     * Opens a connection to a server from which a release may have been lost with another one, so that the server sends
     * it again. Without any connection left, {@link #keepConnected} opens one. Where descriptors are scarce, a connection
     * to the same server makes room: one to another server would have to be replaced in turn.
     */
    private void recoverReleases(ServerEntry entry) {
        if (!entry.hasSessions
                || !entry.releaseRecovery.isNeeded()
                || entry.connections.isEmpty()
                || entry.address == null
                || servers.get(entry.id) != entry) {
            return;
        }
        if (clock.now() - entry.lastAttemptAt < entry.releaseRecovery.interval()) { // one was opened since
            scheduleRecovery(entry);
            return;
        }
        boolean full = connectionCount >= options.maxConnections()
                || entry.connections.size() > maxConnectionsPerServer
                || clock.now() - lastEvictionAt < DESCRIPTOR_SHORTAGE_US;
        EdgeServerConnection replaced = full ? longestUnused(entry.connections) : null;
        if (full && replaced == null || !mayProbe(entry)) {
            return; // tried again by the periodic check
        }
        LOG.info(
                "connection to edge server opened to recover releases: id={} lines={}",
                entry.id,
                entry.connections.size());
        if (replaced != null) {
            close(replaced);
        }
        entry.lastAttemptAt = clock.now();
        openConnection(entry);
    }

    /** The connection without pending set-ups that has been unused for longest; null if there is none. */
    private static EdgeServerConnection longestUnused(List<EdgeServerConnection> connections) {
        return connections.stream()
                .filter(connection -> connection.connected && connection.pending.isEmpty())
                .min(Comparator.comparingLong(connection -> connection.lastUsedAt))
                .orElse(null);
    }

    private void close(ServerEntry entry) {
        List.copyOf(entry.connections).forEach(this::close);
    }

    /** Closes the connection and ends its pending set-ups. */
    private void close(EdgeServerConnection connection) {
        connection.entry.connections.remove(connection);
        connection.end(Outcome.RESET);
    }

    /**
     * Periodic check: replaces connections that the server would soon close as idle, and closes those that are stuck.
     * One new connection takes the place of all that are little used, so that a pool shrinks after a burst.
     */
    private void checkConnections(long due) {
        long now = clock.now();
        timers.schedule(now + CHECK_INTERVAL_US, this::checkConnections);
        for (ServerEntry entry : List.copyOf(servers.values())) {
            boolean renewing = entry.hasSessions
                    && entry.connections.stream().anyMatch(connection -> connection.nearIdleClose(now));
            for (EdgeServerConnection connection : List.copyOf(entry.connections)) {
                if (connection.nearIdleClose(now)
                        || renewing && connection.isLittleUsed(now)
                        || connection.isSilentAndUnused(now)) {
                    LOG.debug(
                            "connection to edge server closed by the broker: id={} silent={}",
                            entry.id,
                            connection.retired);
                    close(connection);
                } else if (connection.isStuckWithinMessage(now)) {
                    LOG.warn("connection to edge server dropped: id={} why=message not finished", entry.id);
                    close(connection);
                }
            }
            if (entry.hasSessions) {
                connectIfNone(entry);
                scheduleRecovery(entry);
            }
        }
        rotateConnections();
        probeSilentServers(now);
    }

    /**
     * Probes a server that has sessions but has been silent for longer than its reports may take, with one more
     * connection. Where no server reports any more, only one is probed at a time until one cannot be reached: reports
     * may be missing everywhere, and every broker of a large fleet would otherwise connect to every server.
     */
    private void probeSilentServers(long now) {
        if (options.reportInterval() <= 0) {
            return;
        }
        long limit = options.reportInterval() + options.reportDelay() + 500_000;
        List<ServerEntry> withSessions =
                servers.values().stream().filter(entry -> entry.hasSessions).toList();
        List<ServerEntry> silent = withSessions.stream()
                .filter(entry -> now - entry.lastReceivedAt > limit
                        && !entry.connections.isEmpty()
                        && entry.connections.stream().allMatch(c -> c.connected && c.pending.isEmpty()))
                .sorted(Comparator.comparingLong(entry -> entry.lastReceivedAt))
                .toList();
        if (silent.isEmpty()) {
            return;
        }
        if (withSessions.size() >= MIN_SERVERS_FOR_COMMON_SILENCE
                && now - messages.lastMetricAt() > limit / 2
                && now - lastConnectFailureAt > limit) {
            if (now - lastSilenceProbeAt <= limit) {
                return;
            }
            lastSilenceProbeAt = now;
            silent = silent.subList(0, 1);
            LOG.info(
                    "no edge server reports: held={} ms={}",
                    withSessions.size(),
                    (now - messages.lastMetricAt()) / 1000);
        }
        for (ServerEntry entry : silent) {
            markSuspect(entry);
            if (!mayProbe(entry)) {
                continue;
            }
            LOG.info("edge server silent: id={} ms={}", entry.id, (now - entry.lastReceivedAt) / 1000);
            entry.lastReceivedAt = now;
            entry.lastAttemptAt = now;
            if (entry.connections.size() > maxConnectionsPerServer) {
                close(entry.connections.get(0)); // silent through two probes
            }
            // The others stay open: whatever the server is sending on one, such as an end of session, would be lost.
            entry.connections.forEach(c -> c.unconfirmed = true);
            openConnection(entry);
        }
    }

    /** What follows for a server from the events of its connections. */
    private final class ConnectionEvents implements EdgeServerConnection.Listener {
        @Override
        public void onConnected(EdgeServerConnection connection) {
            ServerEntry entry = connection.entry;
            entry.connectFailures = 0;
            entry.releaseRecovery.connectionOpened();
            if (entry.processEnd.connectionOpened(clock.now())) {
                LOG.warn("edge server restarted, its sessions are over: id={}", entry.id);
                broker.serverLost(clock.now(), EdgeServerConnections.this, entry.id, clock.now());
            }
            if (entry.suspectSince >= 0) {
                probeCoordinator.probeFinished(entry.id, true);
                clearSuspicion(entry);
            }
        }

        @Override
        public void onConnectFailed(EdgeServerConnection connection, Throwable cause) {
            ServerEntry entry = connection.entry;
            if (cause instanceof ChannelException) { // no socket could be opened, so the server was not contacted
                LOG.warn(
                        "no socket for a connection: id={} lines={} why={}",
                        entry.id,
                        connectionCount,
                        cause.toString());
                entry.connections.remove(connection);
                connection.end(Outcome.MOOT);
                closeLeastNeeded(false);
                scheduleReconnect(entry);
                return;
            }
            boolean refused = cause instanceof java.net.ConnectException
                    && !(cause instanceof io.netty.channel.ConnectTimeoutException);
            LOG.info(
                    "edge server not reached: id={} refused={} waiting={}",
                    entry.id,
                    refused,
                    connection.pending.size());
            entry.connections.remove(connection);
            connection.end(Outcome.CONNECT_FAILED);
            probeCoordinator.probeFinished(entry.id, false);
            if (!entry.hasSessions || !entry.connections.stream().allMatch(c -> c.unconfirmed)) {
                return; // another connection is open or being opened, and proves more
            }
            lastConnectFailureAt = clock.now();
            if (refused) {
                entry.processEnd.connectionRefused();
            }
            markSuspect(entry);
            if (++entry.connectFailures >= MAX_CONNECT_FAILURES) {
                serverLost(entry);
            } else {
                scheduleReconnect(entry);
            }
        }

        @Override
        public void onReceived(EdgeServerConnection connection) {
            clearSuspicion(connection.entry);
        }

        @Override
        public void onMalformed(EdgeServerConnection connection) {
            close(connection);
            keepConnected(connection.entry);
        }

        @Override
        public void onDisconnected(EdgeServerConnection connection, boolean reset) {
            ServerEntry entry = connection.entry;
            if (!reset) {
                entry.processEnd.connectionClosedInOrder();
            } else if (entry.hasSessions && entry.connections.stream().allMatch(c -> c == connection || c.isDead())) {
                entry.processEnd.allConnectionsReset();
                markSuspect(entry);
            }
            close(connection);
            keepConnected(entry);
        }

        /** Notes that a release may be lost with the connection. */
        @Override
        public void onEnding(EdgeServerConnection connection) {
            connectionCount--;
            ServerEntry entry = connection.entry;
            if (!entry.hasSessions) {
                return;
            }
            if (connection.connected) {
                entry.releaseRecovery.connectionClosed();
            } else {
                entry.releaseRecovery.connectionFailed(connection.recoversReleases);
            }
            scheduleRecovery(entry);
        }
    }
}
