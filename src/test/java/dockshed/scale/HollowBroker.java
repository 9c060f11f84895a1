package dockshed.scale;

import dockshed.fleet.FleetHost;
import dockshed.fleet.FleetInspection;
import dockshed.fleet.FleetInspection.Ages;
import dockshed.fleet.FleetSettings;
import dockshed.fleet.FleetSnapshot;
import dockshed.fleet.LocalEvent;
import dockshed.peers.UdpPeers;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A broker's control code as the program runs it, with its own socket and thread, but without viewers or edge servers. */
final class HollowBroker {
    /** How long to try to bind: after a restart, the previous socket may take a moment to close. */
    private static final long BIND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long BIND_RETRY_INTERVAL_MILLIS = 20;

    final int number;
    final FaultyPeers.Counts counts = new FaultyPeers.Counts();
    private final FleetSettings settings;
    private final Visibility visibility;
    private final List<InetSocketAddress> addresses;
    private final BitSet real;
    private final Supplier<LinkFaults> faults;
    private final PausableClock clock = new PausableClock();
    private long seed;
    private FleetHost host; // null: not running
    private FaultyPeers peers;
    private long startedMillis;
    private long threadId;
    private FleetSnapshot lastSnapshot = FleetSnapshot.ALONE;
    private BitSet listed = new BitSet();
    private final Set<Integer> knownChanges = new HashSet<>();

    HollowBroker(
            int number,
            FleetSettings settings,
            List<InetSocketAddress> addresses,
            BitSet real,
            Supplier<LinkFaults> faults,
            long seed) {
        this.number = number;
        this.settings = settings;
        visibility = new Visibility(settings.zoneMap(addresses.size()));
        this.addresses = addresses;
        this.real = real;
        this.faults = faults;
        this.seed = seed;
    }

    /**
     * Starts the broker, unless it runs.
     *
     * @throws IllegalStateException if its address is still in use after the time limit
     */
    synchronized void start() throws InterruptedException {
        if (host != null) {
            return;
        }
        seed++;
        peers = new FaultyPeers(number, new UdpPeers(addresses, null), real, faults, counts, seed);
        FleetHost created = new FleetHost(settings, number, addresses.size(), peers, clock, seed);
        long untilNanos = System.nanoTime() + BIND_TIMEOUT_NANOS;
        while (!tryListen(created, untilNanos)) {
            TimeUnit.MILLISECONDS.sleep(BIND_RETRY_INTERVAL_MILLIS);
        }
        host = created;
        lastSnapshot = FleetSnapshot.ALONE;
        listed = new BitSet();
        knownChanges.clear();
        startedMillis = System.currentTimeMillis();
        threadId = FleetInspection.loopThreadId(created);
    }

    /** Catches Exception because Netty throws the checked exception of a failed bind undeclared. */
    private boolean tryListen(FleetHost created, long untilNanos) {
        try {
            created.start(addresses.get(number));
            return true;
        } catch (Exception e) {
            if (System.nanoTime() > untilNanos) {
                created.close();
                throw new IllegalStateException("broker " + number + " cannot listen on " + addresses.get(number), e);
            }
            return false;
        }
    }

    /** Ends the broker without notice to the others; nothing if it does not run. */
    synchronized void kill() {
        if (host != null) {
            peers.stop();
            host.close();
            host = null;
        }
    }

    /** Ends the broker after it has notified the others; nothing if it does not run. */
    void leave() throws InterruptedException {
        FleetHost leaving;
        synchronized (this) {
            leaving = host;
        }
        if (leaving != null) {
            leaving.offer(new LocalEvent.Leaving());
            FleetInspection.loopThreadId(leaving); // returns only after the loop has processed the event
            kill();
        }
    }

    /** Halts the broker's loop for so long, as if its process were stopped. */
    void pause(long millis) {
        clock.pause(millis);
    }

    /** Passes an event to the broker; nothing if it does not run. */
    synchronized void offer(LocalEvent event) {
        if (host != null) {
            host.offer(event);
        }
    }

    /**
     * Adds what has changed since the last call.
     *
     * @param ownerByChange the published changes, and the broker that published each
     */
    synchronized void observe(long nowMillis, Map<Integer, Integer> ownerByChange, Observations to) {
        if (host == null || host.snapshot() == lastSnapshot) {
            return;
        }
        FleetSnapshot now = host.snapshot();
        BitSet after = listed(now);
        if (!after.equals(listed)) {
            to.membership().add(MembershipChange.of(nowMillis, number, listed, after));
            listed = after;
        }
        lastSnapshot = now;
        ownerByChange.forEach((change, owner) -> {
            if (!knownChanges.contains(change) && FleetInspection.hasHealthReport(now, change, owner)) {
                knownChanges.add(change);
                to.changes().add(new ChangeObservation(nowMillis, number, change));
            }
        });
    }

    /** The subjects present in a snapshot, numbered as {@link Visibility} describes. */
    private BitSet listed(FleetSnapshot snapshot) {
        BitSet subjects = new BitSet();
        snapshot.presentBrokers().forEach(subjects::set);
        for (FleetSnapshot.ScopeStatus scope : snapshot.otherScopes()) {
            subjects.set(visibility.subjectOfScope(scope.scope()), scope.isKnown());
        }
        return subjects;
    }

    /** Adds the ages of the figures that this broker holds of others. */
    synchronized void recordFigureAges(Ages ages) {
        if (host != null) {
            FleetInspection.recordFigureAges(host, startedMillis, ages);
        }
    }

    /** Id of the control thread; -1 if the broker does not run. */
    synchronized long threadId() {
        return host == null ? -1 : threadId;
    }

    synchronized boolean running() {
        return host != null;
    }
}
