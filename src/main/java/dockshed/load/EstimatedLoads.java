package dockshed.load;

import dockshed.Director.Server;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the demand of this broker's own sessions on each edge server's link, in kB a second, and estimates the total
 * demand from it: either the own demand times the number of brokers that share the server, or what the server itself
 * last reported plus the own changes since. A session counts from the moment it is promised, so an estimate is never
 * below the own demand. Performs no I/O. Times are in microseconds.
 */
public final class EstimatedLoads {
    /** A server's own report is used for this long; after that only the own demand counts. */
    static final long REPORT_VALIDITY_US = 10_000_000;
    /**
     * Changes of demand kept per server: ten times the set-ups that the busiest fleet makes at one server within the
     * delay of load reports.
     */
    static final int MAX_CHANGES = 512;
    /** A higher value in a server's report is not a share of its link but in another unit. */
    static final double MAX_REPORTED_SHARE = 20;

    /** A change of the own demand on a server, in kB a second. */
    private record Change(long at, double deltaKb) {}

    /** {@code rateKb} is the session's demand in kB a second. */
    private record ActiveSession(ServerLoad load, SessionClass sessionClass, double rateKb) {}

    /** The demand on one server. */
    private static final class ServerLoad {
        final LinkedHashMap<String, ActiveSession> sessions = new LinkedHashMap<>();
        final ArrayDeque<Change> changes = new ArrayDeque<>();
        double ownKb; // demand of the own sessions, in kB a second
        double reportedKb; // total demand at reportedAt, as the server reported
        long reportedAt = Long.MIN_VALUE;

        /** The own demand at a recent time. */
        double ownKbAt(long at) {
            double kb = ownKb;
            for (Change change : changes) {
                kb -= change.at() > at ? change.deltaKb() : 0;
            }
            return Math.max(0, kb);
        }
    }

    private final Settings settings;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Map<String, Server> listedServers = new HashMap<>();
    private final Map<String, Double> linkKb = new HashMap<>();
    private final LinkedHashMap<String, ServerLoad> loadByServer = new LinkedHashMap<>();
    private final Map<String, ActiveSession> sessions = new HashMap<>();

    public EstimatedLoads(Settings settings) {
        this.settings = settings;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** Sets the complete list of servers, from which the capacity of each link is derived. */
    public void updateServers(List<Server> servers) {
        listedServers.clear();
        linkKb.clear();
        servers.forEach(server -> listedServers.put(server.id(), server));
        boolean equalWeights =
                servers.stream().mapToDouble(Server::weight).distinct().count() < 2;
        double streams = servers.stream()
                .mapToInt(server -> settings.streams(server.kind()))
                .sum();
        for (Server server : servers) {
            // The same measure as the module's: by weight, or by streams where all weights are equal.
            double weightedKb = settings.ladder().weightKb() * server.weight();
            linkKb.put(
                    server.id(),
                    Math.max(
                            1,
                            equalWeights
                                    ? weightedKb * settings.streams(server.kind()) * servers.size() / streams
                                    : weightedKb));
        }
    }

    /** A session has become active at a server, at a rendition. */
    public void sessionStarted(long now, String server, String name, String className, int rendition) {
        SessionClass sessionClass = classes.get(className);
        if (sessionClass == null || sessions.containsKey(name)) {
            return;
        }
        ActiveSession session = new ActiveSession(
                loadByServer.computeIfAbsent(server, id -> new ServerLoad()),
                sessionClass,
                rateKb(sessionClass, rendition));
        sessions.put(name, session);
        session.load().sessions.put(name, session);
        addChange(now, session.load(), session.rateKb());
    }

    /** An active session was switched to another rendition. */
    public void renditionChanged(long now, String name, int rendition) {
        ActiveSession previous = sessions.get(name);
        if (previous != null) {
            ActiveSession updated = new ActiveSession(
                    previous.load(), previous.sessionClass(), rateKb(previous.sessionClass(), rendition));
            sessions.put(name, updated);
            updated.load().sessions.put(name, updated);
            addChange(now, updated.load(), updated.rateKb() - previous.rateKb());
        }
    }

    /** A session has ended, if it was active. */
    public void sessionEnded(long now, String name) {
        ActiveSession session = sessions.remove(name);
        if (session != null) {
            session.load().sessions.remove(name);
            addChange(now, session.load(), -session.rateKb());
            loadByServer
                    .values()
                    .removeIf(load -> load.sessions.isEmpty() && now - load.reportedAt > REPORT_VALIDITY_US);
        }
    }

    /** A server reported the demand on its link, as a share of what the link carries. */
    public void serverReported(long now, String server, double share) {
        if (share >= 0 && share <= MAX_REPORTED_SHARE && listedServers.containsKey(server)) {
            ServerLoad load = loadByServer.computeIfAbsent(server, id -> new ServerLoad());
            load.reportedKb = share * availableLinkKb(now, server);
            load.reportedAt = now;
        }
    }

    private double rateKb(SessionClass sessionClass, int rendition) {
        List<Double> rates = settings.ladder().rates();
        return rates.get(Math.max(0, Math.min(rendition, rates.size() - 1))) * sessionClass.rateScale();
    }

    private void addChange(long now, ServerLoad load, double deltaKb) {
        load.ownKb += deltaKb;
        load.changes.add(new Change(now, deltaKb));
        while (load.changes.size() > MAX_CHANGES
                || load.changes.peekFirst().at() < now - settings.limits().reportDelay() - REPORT_VALIDITY_US) {
            load.changes.removeFirst();
        }
        if (load.sessions.isEmpty()) {
            load.ownKb = 0; // removes rounding errors
        }
    }

    /** What the link carries now, in kB a second: less while a server is warming up. */
    private double availableLinkKb(long now, String server) {
        Server s = listedServers.get(server);
        double link = linkKb.getOrDefault(server, Math.max(1, settings.ladder().weightKb()));
        return s == null || s.upSince() <= 0 ? link : link * settings.rules().warmth(now, s.upSince());
    }

    /** The estimated demand on a server's link, as a share of what it carries, at a time up to one report delay ago. */
    public double linkShare(long now, String server, long at) {
        ServerLoad load = loadByServer.get(server);
        if (load == null) {
            return 0;
        }
        double own = load.ownKbAt(at);
        double all = load.reportedAt > now - REPORT_VALIDITY_US
                ? Math.max(own, load.reportedKb + own - load.ownKbAt(load.reportedAt))
                : own * settings.brokers();
        return all / availableLinkKb(now, server);
    }

    /** For each server with own sessions, the name of one of them, under which its load may be reported. */
    public Map<String, String> sessionByServer() {
        Map<String, String> names = new LinkedHashMap<>();
        loadByServer.forEach((id, load) -> {
            if (!load.sessions.isEmpty()) {
                names.put(id, load.sessions.keySet().iterator().next());
            }
        });
        return names;
    }

    /** The names of all active sessions, for tests and the log. */
    public List<String> sessionNames() {
        return new ArrayList<>(sessions.keySet());
    }
}
