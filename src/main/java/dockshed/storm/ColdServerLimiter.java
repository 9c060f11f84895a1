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
 * The pace of freshly started boxes (rule 4): what each can take now, this broker's part of it, and what the whole
 * fleet has spent as far as it is told. Own set-ups are let through as tokens that come at the box's pace, so neither a
 * burst right after a start nor a second of a clock that stood still exceeds it.
 */
final class ColdServerLimiter {
    /** Tokens that an unused pace may save up, in microseconds of it. */
    private static final long SAVED = 400_000;
    /** A peer's word on what it spent counts for the rule's window and no longer. */
    private static final int MOST_PEERS = 256;
    /** Of an even part of what a box can take, the least of a broker that others outbid, and the most of one that outbids. */
    private static final double LEAST_PART = 0.5;

    private static final double MOST_PART = 1.5;

    private static final class TrackedServer {
        final int hash;
        int streams = 1;
        boolean up;
        boolean maybe; // cold only for want of news
        boolean hearsay; // cold by a peer's word alone
        long since = Long.MIN_VALUE; // of its start, as far as known
        double tokens;
        long countedAt;
        SlidingWindowCounter sent;
        final Map<Integer, long[]> peers = new HashMap<>(); // by peer: how many, heard when

        TrackedServer(int hash) {
            this.hash = hash;
        }
    }

    /** A box that is cold: its hash, and what this broker sent it within the rule's window. */
    record ServerUsage(int idHash, int setUps) {}

    private final Settings settings;
    private final Terms terms;
    private final LinkedHashMap<String, TrackedServer> boxes = new LinkedHashMap<>(); // bounded by the list
    private double part;
    private long newsSince = Long.MAX_VALUE; // the list has been fresh since then

    ColdServerLimiter(Settings settings, Terms terms) {
        this.settings = settings;
        this.terms = terms;
        part = 1.0 / settings.brokers();
    }

    static int idHash(String id) {
        CRC32C crc = new CRC32C();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    void updateServers(long now, ListScope scope, List<Server> servers) {
        if (scope == ListScope.SNAPSHOT || scope == ListScope.DISK) {
            List<String> named = servers.stream().map(Server::id).toList();
            boxes.keySet().removeIf(id -> !named.contains(id));
        }
        if (scope == ListScope.DISK) {
            newsSince = Long.MAX_VALUE;
        } else if (newsSince == Long.MAX_VALUE) {
            newsSince = now; // fresh news names all that changed since the list was kept
            for (TrackedServer b : boxes.values()) {
                if (b.maybe) {
                    warm(b);
                }
            }
        }
        for (Server s : servers) {
            if (s.state() == State.GONE) {
                boxes.remove(s.id());
                continue;
            }
            TrackedServer b = boxes.computeIfAbsent(s.id(), id -> new TrackedServer(idHash(id)));
            b.streams = settings.streams(s.kind());
            b.up = s.state() == State.UP;
            if (s.upSince() > 0 && s.upSince() > b.since) {
                begin(now, b, s.upSince());
            } else if (scope == ListScope.DISK && b.since == Long.MIN_VALUE) {
                begin(now, b, now);
                b.maybe = true;
            }
        }
    }

    private static void warm(TrackedServer b) {
        b.maybe = false;
        b.since = Long.MIN_VALUE;
    }

    /** Whether all cold boxes are known here, and fit into a note: what it does not name is then warm. */
    boolean knowsAllCold(long now, int most) {
        return newsSince <= now
                && boxes.values().stream().noneMatch(b -> b.maybe)
                && boxes.values().stream()
                                .filter(b -> !Double.isInfinite(acceptableRate(now, b)))
                                .count()
                        <= most;
    }

    /** The box's process is gone, as its connections tell: what answers next is freshly started. */
    void recordLost(long now, String server) {
        TrackedServer b = boxes.get(server);
        if (b != null) {
            begin(now, b, now);
        }
    }

    private void begin(long now, TrackedServer b, long since) {
        b.since = since;
        b.maybe = false;
        b.hearsay = false;
        // As many brokers as a window of the fall bears may each begin with one at once, as the module alone lets them.
        double budget =
                settings.rules().overloadMultiple() * settings.rules().overloadWindow() / 1e6 * acceptableRate(now, b);
        b.tokens = settings.brokers() <= budget ? 1 : 0;
        b.countedAt = now;
        b.sent = new SlidingWindowCounter(
                100_000, Math.max(100_000, settings.rules().overloadWindow()));
        b.peers.clear();
    }

    /** Set-ups a second that the box can take; without bound once it is warm. */
    private double acceptableRate(long now, TrackedServer b) {
        long warmUp = settings.rules().warmUp();
        if (b.since == Long.MIN_VALUE || now - b.since >= warmUp) {
            return Double.POSITIVE_INFINITY;
        }
        return b.streams * 1e6 / warmUp * settings.rules().warmth(now, b.since);
    }

    double acceptableRate(long now, String server) {
        TrackedServer b = boxes.get(server);
        return b == null ? Double.POSITIVE_INFINITY : acceptableRate(now, b);
    }

    /** This broker's part of a cold box's pace, by its part of the fleet's arrivals: half to one and a half of an even one. */
    void part(double ofArrivals) {
        double even = 1.0 / settings.brokers();
        part = Math.max(LEAST_PART * even, Math.min(Math.min(1, MOST_PART * even), ofArrivals));
    }

    private void refill(long now, TrackedServer b) {
        double pace = terms.coldAim() * acceptableRate(now, b) * part;
        b.tokens = Math.min(Math.max(1, pace * SAVED / 1e6), b.tokens + pace * (now - b.countedAt) / 1e6);
        b.countedAt = now;
    }

    boolean permits(long now, String server) {
        TrackedServer b = boxes.get(server);
        if (b == null || Double.isInfinite(acceptableRate(now, b))) {
            return true;
        }
        refill(now, b);
        double fleet = b.sent.sum(now, settings.rules().overloadWindow());
        for (long[] told : b.peers.values()) {
            fleet += now - told[1] < settings.rules().overloadWindow() ? told[0] : 0;
        }
        double window = Math.max(
                1, terms.coldAim() * acceptableRate(now, b) * settings.rules().overloadWindow() / 1e6);
        return b.tokens >= 1 && fleet + 1 <= window;
    }

    void recordSetUp(long now, String server) {
        TrackedServer b = boxes.get(server);
        if (b != null && !Double.isInfinite(acceptableRate(now, b))) {
            refill(now, b);
            b.tokens -= 1;
            b.sent.add(now, 1);
        }
    }

    /** What cold boxes were sent lately, for a note; at most so many, the most spent first. */
    List<ServerUsage> usage(long now, int most) {
        List<ServerUsage> out = new ArrayList<>();
        for (TrackedServer b : boxes.values()) {
            if (!Double.isInfinite(acceptableRate(now, b)) && !b.hearsay) { // or a word would go round for ever
                out.add(new ServerUsage(b.hash, (int)
                        Math.min(255, b.sent.sum(now, settings.rules().overloadWindow()))));
            }
        }
        out.sort((x, y) -> Integer.compare(y.setUps(), x.setUps()));
        return out.size() > most ? out.subList(0, most) : out;
    }

    /** A peer's word on what it spent; where it knows all, what it does not name has been running for long. */
    void applyPeerUsage(long now, int peer, List<ServerUsage> told, boolean knows) {
        for (TrackedServer b : boxes.values()) {
            if (knows && b.maybe && told.stream().noneMatch(s -> s.idHash() == b.hash)) {
                warm(b);
            }
            for (ServerUsage s : told) {
                boolean news = b.since == Long.MIN_VALUE
                        || now - b.since > 2 * settings.rules().warmUp();
                if (knows && b.hash == s.idHash() && news) {
                    begin(now, b, now); // the list tells late: the worse news counts
                    b.hearsay = true;
                }
                if (b.hash == s.idHash() && (b.peers.size() < MOST_PEERS || b.peers.containsKey(peer))) {
                    b.peers.put(peer, new long[] {s.setUps(), now});
                }
            }
        }
    }

    /**
     * Set-ups a second that all boxes take together for this broker; without bound while a warm one is up, and where
     * none is: what becomes of requests then is the module's to say.
     */
    double totalRate(long now) {
        double all = 0;
        for (TrackedServer b : boxes.values()) {
            all += b.up ? terms.coldAim() * acceptableRate(now, b) * part : 0;
        }
        return all > 0 ? all : Double.POSITIVE_INFINITY;
    }
}
