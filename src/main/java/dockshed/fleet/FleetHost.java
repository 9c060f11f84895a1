package dockshed.fleet;

import dockshed.core.Peers;
import dockshed.fleet.FleetSnapshot.ScopeStatus;
import dockshed.net.Clock;
import dockshed.net.Net;
import dockshed.peers.DatagramPeers;
import dockshed.peers.UdpPeers;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link GossipNode} on an event loop with a thread of its own and sends its datagrams. The broker's loop reads
 * {@link #snapshot()} and passes events to {@link #offer}; it never waits for this loop. Events beyond {@link
 * #MAX_PENDING_EVENTS} are dropped and counted.
 */
public final class FleetHost implements Peers {
    /**
     * Maximum number of events not handled yet: a second's worth for the busiest broker, with a load sample every 100
     * ms.
     */
    static final int MAX_PENDING_EVENTS = 1024;

    /** Time between two log lines of figures, in microseconds. */
    private static final long FIGURES_LOG_PERIOD_US = 10_000_000;

    /** Minimum time between two ticks, in microseconds. */
    private static final long MIN_TICK_DELAY_US = 1000;
    /** Minimum time between two snapshots, in microseconds. */
    private static final long MIN_PUBLISH_GAP_US = 50_000;

    private static final Logger LOG = LoggerFactory.getLogger(FleetHost.class);

    private final Net net = new Net("fleet");
    private final Clock clock;
    private final DatagramPeers peers;
    private final GossipNode node;
    private final ArrayBlockingQueue<LocalEvent> pending = new ArrayBlockingQueue<>(MAX_PENDING_EVENTS);
    private final AtomicBoolean wakeUpScheduled = new AtomicBoolean();
    private final AtomicLong droppedEvents = new AtomicLong();
    private volatile FleetSnapshot snapshot = FleetSnapshot.ALONE;
    private long nextLogAt;
    private long internalErrors;
    private List<Integer> loggedPresent = List.of();
    private boolean loggedCoordinator;
    private boolean loggedShedding;
    private long loggedLeaseUntil;
    private final Map<Integer, ScopeStatus> loggedScopes = new HashMap<>();
    private long publishedAt = Long.MIN_VALUE / 2;
    private boolean publishDue;

    /**
     * Creates the host of a broker that exchanges datagrams by UDP.
     *
     * @param me    this broker's number, and its index in {@code peers}
     * @param peers addresses of all brokers, by number
     */
    public FleetHost(FleetSettings settings, int me, List<InetSocketAddress> peers, Clock clock, long seed) {
        this(settings, me, peers.size(), new UdpPeers(peers, null), clock, seed);
    }

    /**
     * Creates the host of a broker.
     *
     * @param me      this broker's number
     * @param brokers number of brokers, this one included
     * @param peers   carries the datagrams between them
     */
    public FleetHost(FleetSettings settings, int me, int brokers, DatagramPeers peers, Clock clock, long seed) {
        this.clock = clock;
        this.peers = peers;
        long now = clock.now();
        node = new GossipNode(settings, me, brokers, now / 1000, now, seed);
    }

    /** Starts to listen and to gossip; throws IllegalStateException if it cannot listen on the address. */
    public void start(InetSocketAddress at) {
        nextLogAt = clock.now() + FIGURES_LOG_PERIOD_US;
        peers.listen(net, at, (from, message) -> runGuarded(() -> receive(from, message)));
        net.loop().execute(this::tick);
    }

    /** The latest snapshot; may be called from any thread. */
    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /** Passes an event, from any thread; returns false if the queue is full and the event was dropped. */
    public boolean offer(LocalEvent event) {
        boolean queued = pending.offer(event);
        if (!queued) {
            droppedEvents.incrementAndGet();
        } else if (wakeUpScheduled.compareAndSet(false, true)) {
            net.loop().execute(() -> runGuarded(this::handlePending));
        }
        return queued;
    }

    /** Replicates a storm message as an entry, so that all messages share one format and one byte budget. */
    @Override
    public void broadcast(byte[] message) {
        offer(new LocalEvent.StormMessage(message.clone()));
    }

    /** Sets the protocol that is carried in the gossip's datagrams; must be called before {@link #start}. */
    public void setExtension(GossipExtension extension) {
        node.setExtension(extension);
    }

    /**
     * Queues a body of the extension, see {@link GossipNode#sendExtension}; only on the fleet's loop, where the
     * extension is called.
     */
    public boolean sendExtension(int to, byte[] body) {
        return node.sendExtension(to, body);
    }

    private void receive(int from, byte[] message) {
        if (Envelope.isEnvelope(message) && Envelope.sender(message) != from) {
            node.counts().spoofed++;
            return;
        }
        node.receive(clock.now(), message, peers::send);
    }

    private void handlePending() {
        wakeUpScheduled.set(false);
        for (LocalEvent event = pending.poll(); event != null; event = pending.poll()) {
            node.handle(clock.now(), event, peers::send);
        }
    }

    private void tick() {
        runGuarded(() -> {
            handlePending();
            node.tick(clock.now(), peers::send);
            publishIfDue();
        });
        long now = clock.now();
        long due = node.nextTickAt(now);
        if (publishDue) {
            due = Math.min(due, publishedAt + MIN_PUBLISH_GAP_US);
        }
        net.loop().schedule(this::tick, Math.max(MIN_TICK_DELAY_US, due - now), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task of the loop. An internal error does not end the loop; if it prevents snapshots, the broker serves
     * alone.
     */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            internalErrors++;
            LOG.error("internal error in the fleet's loop, which continues: number={}", internalErrors, e);
        }
    }

    /** In a fleet with zones there are a hundred ticks per second; fewer snapshots are enough. */
    private void publishIfDue() {
        publishDue = clock.now() - publishedAt < MIN_PUBLISH_GAP_US;
        if (!publishDue) {
            publishedAt = clock.now();
            publish();
        }
    }

    private void publish() {
        long now = clock.now();
        FleetSnapshot current = node.snapshot(now);
        snapshot = current;
        logChanges(now, current);
        logLease(now, current);
        logScopeChanges(current);
        if (now >= nextLogAt) {
            nextLogAt = now + FIGURES_LOG_PERIOD_US;
            logFigures(now, current);
            logZones(current);
        }
    }

    private void logChanges(long now, FleetSnapshot current) {
        boolean coordinator = node.leases().isCoordinator(now);
        boolean shedding = current.sheddingThreshold() > 0;
        List<Integer> present = current.presentBrokers();
        if (!present.equals(loggedPresent) || coordinator != loggedCoordinator || shedding != loggedShedding) {
            LOG.atInfo()
                    .setMessage("fleet")
                    .addKeyValue("present", present.size())
                    .addKeyValue("lost", without(loggedPresent, present))
                    .addKeyValue("joined", without(present, loggedPresent))
                    .addKeyValue("steady", current.steady())
                    .addKeyValue("lease_coordinator", coordinator)
                    .addKeyValue("shedding_threshold", current.sheddingThreshold())
                    .log();
        }
        loggedPresent = present;
        loggedCoordinator = coordinator;
        loggedShedding = shedding;
    }

    private void logLease(long now, FleetSnapshot current) {
        long until = current.leasedUntil();
        if (until > loggedLeaseUntil && until > now && current.newSessionShare() >= 0) {
            LOG.atDebug()
                    .setMessage("fleet lease")
                    .addKeyValue("from", now)
                    .addKeyValue("until", until)
                    .addKeyValue("share", current.newSessionShare())
                    .log();
        }
        loggedLeaseUntil = Math.max(loggedLeaseUntil, until);
    }

    private void logFigures(long now, FleetSnapshot current) {
        GossipNode.Counts counts = node.counts();
        LOG.atInfo()
                .setMessage("fleet figures")
                .addKeyValue("sent", counts.sent)
                .addKeyValue("bytes", counts.bytes)
                .addKeyValue("received", counts.received)
                .addKeyValue("bytes_received", counts.bytesReceived)
                .addKeyValue("discarded", counts.discarded)
                .addKeyValue("spoofed", counts.spoofed)
                .addKeyValue("forged", counts.forged)
                .addKeyValue("stalls", counts.stalls)
                .addKeyValue("events_dropped", droppedEvents.get())
                .addKeyValue("entries", node.entries().size())
                .addKeyValue("new_session_share", current.newSessionShare(now))
                .addKeyValue("shedding_threshold", current.sheddingThreshold())
                .log();
    }

    /** Logs a line for each scope that has become known or unknown. */
    private void logScopeChanges(FleetSnapshot current) {
        for (ScopeStatus status : current.otherScopes()) {
            ScopeStatus logged = loggedScopes.put(status.scope(), status);
            if (logged == null ? status.isKnown() : logged.isKnown() != status.isKnown()) {
                LOG.atInfo()
                        .setMessage("fleet zone")
                        .addKeyValue("zone", status.zone())
                        .addKeyValue("scope", status.scope())
                        .addKeyValue("known", status.isKnown())
                        .addKeyValue("present", status.present())
                        .addKeyValue("of", status.configured())
                        .log();
            }
        }
    }

    private void logZones(FleetSnapshot current) {
        if (current.otherScopes().isEmpty()) {
            return;
        }
        GossipNode.Counts counts = node.counts();
        LOG.atInfo()
                .setMessage("fleet zones")
                .addKeyValue("own", node.scope().zone().name())
                .addKeyValue("present", current.presentBrokers().size())
                .addKeyValue("of", node.scope().size())
                .addKeyValue("requests_s", Math.round(current.requestsPerSecond()))
                .addKeyValue("refused_summaries", counts.summariesRefused)
                .addKeyValue("extension_dropped", counts.extensionDropped)
                .addKeyValue(
                        "others",
                        current.otherScopes().stream().map(FleetHost::describe).toList())
                .log();
    }

    /** Zone, present of configured brokers, and the age of that figure: {@code north-2:73/73:0.8s}. */
    private static String describe(ScopeStatus status) {
        String age = status.isKnown() ? String.format(Locale.ROOT, "%.1fs", status.age() / 1e6) : "unknown";
        return status.zone() + ":" + status.present() + "/" + status.configured() + ":" + age;
    }

    private static List<Integer> without(List<Integer> all, List<Integer> excluded) {
        return all.stream().filter(broker -> !excluded.contains(broker)).toList();
    }

    /** Reads the node on the loop's thread, for measurements; if the loop stalls, the result is delayed as long. */
    <T> Future<T> inspect(Function<GossipNode, T> reading) {
        return net.loop().submit(() -> reading.apply(node));
    }

    /** Stops the loop and its thread. */
    public void close() {
        net.close();
    }
}
