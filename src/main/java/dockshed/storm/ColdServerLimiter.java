package dockshed.storm;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.Settings;
import dockshed.Director.State;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Limits the set-ups sent to freshly started (cold) edge servers (rule 4): the rate that each accepts at its warmth, this
 * broker's share of that rate, and the set-ups of the whole fleet as far as the other brokers report them. This broker's
 * set-ups take tokens that are refilled at the server's rate, so that neither a burst right after a start nor a second in
 * which the clock stood still exceeds the rate.
 */
final class ColdServerLimiter {
    /** Time for which an unused rate may accumulate tokens. */
    private static final long MAX_SAVED_TOKENS_US = 400_000;
    /** Brokers whose set-ups are counted per server; a count is used for the overload window only. */
    private static final int MAX_PEERS = 256;
    /** The least share of a broker over an equal share, however many arrivals the others have. */
    private static final double MIN_SHARE_FACTOR = 0.5;
    /** The largest share of a broker over an equal share, however few arrivals the others have. */
    private static final double MAX_SHARE_FACTOR = 1.5;

    private static final class TrackedServer {
        final int idHash;
        int streams = 1;
        boolean up;
        boolean assumedCold; // its start is not known, as the list is from before this broker's restart
        boolean reportedByPeer; // cold according to another broker only
        long startedAt = Long.MIN_VALUE; // as far as known
        double tokens;
        long refilledAt;
        SlidingWindowCounter setUps; // by this broker
        final Map<Integer, long[]> peerSetUps = new HashMap<>(); // by broker: set-ups, time received

        TrackedServer(int idHash) {
            this.idHash = idHash;
        }
    }

    /** Set-ups that a broker sent to a cold server within the overload window; {@code idHash}: CRC-32C of the id. */
    record ServerUsage(int idHash, int setUps) {}

    private final Settings settings;
    private final Terms terms;
    private final LinkedHashMap<String, TrackedServer> trackedServers = new LinkedHashMap<>(); // bounded by the list
    private double share;
    private long freshListSince = Long.MAX_VALUE; // MAX_VALUE: the list is from before this broker's restart

    ColdServerLimiter(Settings settings, Terms terms) {
        this.settings = settings;
        this.terms = terms;
        share = 1.0 / settings.brokers();
    }

    /** CRC-32C of a server's id, by which the brokers' messages name it. */
    static int idHash(String id) {
        CRC32C crc = new CRC32C();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Applies a list of servers or its changes; removes servers that are gone, or missing in a complete list. */
    void updateServers(long now, ListScope scope, List<Server> servers) {
        if (scope == ListScope.SNAPSHOT || scope == ListScope.DISK) {
            List<String> ids = servers.stream().map(Server::id).toList();
            trackedServers.keySet().removeIf(id -> !ids.contains(id));
        }
        if (scope == ListScope.DISK) {
            freshListSince = Long.MAX_VALUE;
        } else if (freshListSince == Long.MAX_VALUE) {
            freshListSince = now;
            // A current list names every server that changed since the stored list was written; the others are warm.
            for (TrackedServer tracked : trackedServers.values()) {
                if (tracked.assumedCold) {
                    markWarm(tracked);
                }
            }
        }
        for (Server server : servers) {
            if (server.state() == State.GONE) {
                trackedServers.remove(server.id());
                continue;
            }
            TrackedServer tracked = trackedServers.computeIfAbsent(server.id(), id -> new TrackedServer(idHash(id)));
            tracked.streams = settings.streams(server.kind());
            tracked.up = server.state() == State.UP;
            if (server.upSince() > 0 && server.upSince() > tracked.startedAt) {
                markCold(now, tracked, server.upSince());
            } else if (scope == ListScope.DISK && tracked.startedAt == Long.MIN_VALUE) {
                markCold(now, tracked, now);
                tracked.assumedCold = true;
            }
        }
    }

    private static void markWarm(TrackedServer tracked) {
        tracked.assumedCold = false;
        tracked.startedAt = Long.MIN_VALUE;
    }

    /** Whether all cold servers are known and at most {@code maxServers}: one that a message doesn't name is then warm. */
    boolean knowsAllCold(long now, int maxServers) {
        return freshListSince <= now
                && trackedServers.values().stream().noneMatch(tracked -> tracked.assumedCold)
                && trackedServers.values().stream()
                                .filter(tracked -> !Double.isInfinite(acceptableRate(now, tracked)))
                                .count()
                        <= maxServers;
    }

    /** The server's process has ended, as its connections show: what answers next is freshly started. */
    void recordLost(long now, String server) {
        TrackedServer tracked = trackedServers.get(server);
        if (tracked != null) {
            markCold(now, tracked, now);
        }
    }

    private void markCold(long now, TrackedServer tracked, long startedAt) {
        tracked.startedAt = startedAt;
        tracked.assumedCold = false;
        tracked.reportedByPeer = false;
        // Brokers may each begin with one set-up at once if the overload window bears one of every broker, as the
        // decision
        // module by itself would let them.
        double budget = settings.rules().overloadMultiple()
                * settings.rules().overloadWindow()
                / 1e6
                * acceptableRate(now, tracked);
        tracked.tokens = settings.brokers() <= budget ? 1 : 0;
        tracked.refilledAt = now;
        tracked.setUps = new SlidingWindowCounter(
                100_000, Math.max(100_000, settings.rules().overloadWindow()));
        tracked.peerSetUps.clear();
    }

    /** Set-ups a second that the server accepts; infinite once it is warm. */
    private double acceptableRate(long now, TrackedServer tracked) {
        long warmUp = settings.rules().warmUp();
        if (tracked.startedAt == Long.MIN_VALUE || now - tracked.startedAt >= warmUp) {
            return Double.POSITIVE_INFINITY;
        }
        return tracked.streams * 1e6 / warmUp * settings.rules().warmth(now, tracked.startedAt);
    }

    /** Set-ups a second that the server accepts; infinite if it is warm or unknown. */
    double acceptableRate(long now, String server) {
        TrackedServer tracked = trackedServers.get(server);
        return tracked == null ? Double.POSITIVE_INFINITY : acceptableRate(now, tracked);
    }

    /** Sets this broker's share of a cold server's rate to its share of the fleet's arrivals, within the bounds above. */
    void setShare(double ofArrivals) {
        double equalShare = 1.0 / settings.brokers();
        share = Math.max(
                MIN_SHARE_FACTOR * equalShare, Math.min(Math.min(1, MAX_SHARE_FACTOR * equalShare), ofArrivals));
    }

    private void refill(long now, TrackedServer tracked) {
        double rate = terms.coldAim() * acceptableRate(now, tracked) * share;
        tracked.tokens = Math.min(
                Math.max(1, rate * MAX_SAVED_TOKENS_US / 1e6),
                tracked.tokens + rate * (now - tracked.refilledAt) / 1e6);
        tracked.refilledAt = now;
    }

    /** Whether one more set-up may be sent to the server now; always for a warm or unknown one. */
    boolean permits(long now, String server) {
        TrackedServer tracked = trackedServers.get(server);
        if (tracked == null || Double.isInfinite(acceptableRate(now, tracked))) {
            return true;
        }
        refill(now, tracked);
        double fleetSetUps = tracked.setUps.sum(now, settings.rules().overloadWindow());
        for (long[] reported : tracked.peerSetUps.values()) {
            fleetSetUps += now - reported[1] < settings.rules().overloadWindow() ? reported[0] : 0;
        }
        double maxSetUps = Math.max(
                1,
                terms.coldAim()
                        * acceptableRate(now, tracked)
                        * settings.rules().overloadWindow()
                        / 1e6);
        return tracked.tokens >= 1 && fleetSetUps + 1 <= maxSetUps;
    }

    /** Counts a set-up that this broker sends to a server, if that is cold. */
    void recordSetUp(long now, String server) {
        TrackedServer tracked = trackedServers.get(server);
        if (tracked != null && !Double.isInfinite(acceptableRate(now, tracked))) {
            refill(now, tracked);
            tracked.tokens -= 1;
            tracked.setUps.add(now, 1);
        }
    }

    /** This broker's set-ups to cold servers, for a message: at most {@code maxServers}, those with the most first. */
    List<ServerUsage> usage(long now, int maxServers) {
        List<ServerUsage> usages = new ArrayList<>();
        for (TrackedServer tracked : trackedServers.values()) {
            // A peer's report is not passed on: brokers would repeat it to one another for ever.
            if (!Double.isInfinite(acceptableRate(now, tracked)) && !tracked.reportedByPeer) {
                usages.add(new ServerUsage(tracked.idHash, (int)
                        Math.min(255, tracked.setUps.sum(now, settings.rules().overloadWindow()))));
            }
        }
        usages.sort((x, y) -> Integer.compare(y.setUps(), x.setUps()));
        return usages.size() > maxServers ? usages.subList(0, maxServers) : usages;
    }

    /** Records another broker's set-ups. {@code knowsAllCold}: servers that it doesn't name started long ago. */
    void applyPeerUsage(long now, int peer, List<ServerUsage> usages, boolean knowsAllCold) {
        for (TrackedServer tracked : trackedServers.values()) {
            if (knowsAllCold
                    && tracked.assumedCold
                    && usages.stream().noneMatch(usage -> usage.idHash() == tracked.idHash)) {
                markWarm(tracked);
            }
            for (ServerUsage usage : usages) {
                boolean notYetKnown = tracked.startedAt == Long.MIN_VALUE
                        || now - tracked.startedAt > 2 * settings.rules().warmUp();
                if (knowsAllCold && tracked.idHash == usage.idHash() && notYetKnown) {
                    markCold(now, tracked, now); // the list reports a start late, so the peer's report is believed
                    tracked.reportedByPeer = true;
                }
                if (tracked.idHash == usage.idHash()
                        && (tracked.peerSetUps.size() < MAX_PEERS || tracked.peerSetUps.containsKey(peer))) {
                    tracked.peerSetUps.put(peer, new long[] {usage.setUps(), now});
                }
            }
        }
    }

    /**
     * Set-ups a second that all servers together accept from this broker. Infinite while a warm server is up, and while no
     * server is up: what becomes of requests then is up to the decision module.
     */
    double totalRate(long now) {
        double total = 0;
        for (TrackedServer tracked : trackedServers.values()) {
            total += tracked.up ? terms.coldAim() * acceptableRate(now, tracked) * share : 0;
        }
        return total > 0 ? total : Double.POSITIVE_INFINITY;
    }
}
