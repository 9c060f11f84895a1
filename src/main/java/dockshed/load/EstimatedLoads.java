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
 * The account of what own sessions ask of each box, in kB a second, and what follows from it for the whole link: own
 * rates times the brokers that share the box, or what the box itself said last and the own changes since. A promise
 * counts from the moment it is given, so the figure is never under the own sessions' rates. Times are microseconds.
 */
public final class EstimatedLoads {
    /** What a box said is believed for so long; after it own rates alone count. */
    static final long REPORT_VALIDITY_US = 10_000_000;
    /** Changes kept of a box: ten times the set-ups that the busiest fleet sees at one box within the lag of notes. */
    static final int MAX_CHANGES = 512;
    /** Over this a box's own word is no share of a link but another unit. */
    static final double MAX_REPORTED_SHARE = 20;

    private record Change(long at, double deltaKb) {}

    private record ActiveSession(ServerLoad server, SessionClass sessionClass, double rateKb) {}

    private static final class ServerLoad {
        final LinkedHashMap<String, ActiveSession> sessions = new LinkedHashMap<>();
        final ArrayDeque<Change> changes = new ArrayDeque<>();
        double ownKb;
        double reportedKb; // kB asked there at saidAt, as the box said
        long reportedAt = Long.MIN_VALUE;

        /** What own sessions asked at a time not long past. */
        double ownKbAt(long at) {
            double kb = ownKb;
            for (Change c : changes) {
                kb -= c.at() > at ? c.deltaKb() : 0;
            }
            return Math.max(0, kb);
        }
    }

    private final Settings settings;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Map<String, Server> listedServers = new HashMap<>();
    private final Map<String, Double> linkKb = new HashMap<>();
    private final LinkedHashMap<String, ServerLoad> servers = new LinkedHashMap<>();
    private final Map<String, ActiveSession> sessions = new HashMap<>();

    public EstimatedLoads(Settings settings) {
        this.settings = settings;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** The boxes as now listed, all of them: how much each link carries is told by the list alone. */
    public void updateServers(List<Server> servers) {
        listedServers.clear();
        linkKb.clear();
        servers.forEach(s -> listedServers.put(s.id(), s));
        boolean alike = servers.stream().mapToDouble(Server::weight).distinct().count() < 2;
        double streams =
                servers.stream().mapToInt(s -> settings.streams(s.kind())).sum();
        for (Server s : servers) {
            // The module's own measure: by weight, or by streams where all weights are alike.
            double unit = settings.ladder().weightKb() * s.weight();
            linkKb.put(
                    s.id(), Math.max(1, alike ? unit * settings.streams(s.kind()) * servers.size() / streams : unit));
        }
    }

    /** A session stands at a box, on a rung. */
    public void sessionStarted(long now, String server, String name, String className, int rung) {
        SessionClass cls = classes.get(className);
        if (cls == null || sessions.containsKey(name)) {
            return;
        }
        ActiveSession s =
                new ActiveSession(servers.computeIfAbsent(server, id -> new ServerLoad()), cls, rateKb(cls, rung));
        sessions.put(name, s);
        s.server().sessions.put(name, s);
        addChange(now, s.server(), s.rateKb());
    }

    public void renditionChanged(long now, String name, int rung) {
        ActiveSession was = sessions.get(name);
        if (was != null) {
            ActiveSession is = new ActiveSession(was.server(), was.sessionClass(), rateKb(was.sessionClass(), rung));
            sessions.put(name, is);
            is.server().sessions.put(name, is);
            addChange(now, is.server(), is.rateKb() - was.rateKb());
        }
    }

    public void sessionEnded(long now, String name) {
        ActiveSession s = sessions.remove(name);
        if (s != null) {
            s.server().sessions.remove(name);
            addChange(now, s.server(), -s.rateKb());
            servers.values().removeIf(b -> b.sessions.isEmpty() && now - b.reportedAt > REPORT_VALIDITY_US);
        }
    }

    /** A box said what share of its link is asked. */
    public void serverReported(long now, String server, double share) {
        if (share >= 0 && share <= MAX_REPORTED_SHARE && listedServers.containsKey(server)) {
            ServerLoad b = servers.computeIfAbsent(server, id -> new ServerLoad());
            b.reportedKb = share * availableLinkKb(now, server);
            b.reportedAt = now;
        }
    }

    private double rateKb(SessionClass cls, int rung) {
        List<Double> rates = settings.ladder().rates();
        return rates.get(Math.max(0, Math.min(rung, rates.size() - 1))) * cls.scale();
    }

    private void addChange(long now, ServerLoad b, double kb) {
        b.ownKb += kb;
        b.changes.add(new Change(now, kb));
        while (b.changes.size() > MAX_CHANGES
                || b.changes.peekFirst().at() < now - settings.limits().reportDelay() - REPORT_VALIDITY_US) {
            b.changes.removeFirst();
        }
        if (b.sessions.isEmpty()) {
            b.ownKb = 0; // what rounding left
        }
    }

    /** What the link gives now: a box that has just started gives less. */
    private double availableLinkKb(long now, String server) {
        Server s = listedServers.get(server);
        double link = linkKb.getOrDefault(server, Math.max(1, settings.ladder().weightKb()));
        return s == null || s.upSince() <= 0 ? link : link * settings.rules().warmth(now, s.upSince());
    }

    /** The share of the box's link that was asked at a time at most the lag of notes ago. */
    public double linkShare(long now, String server, long at) {
        ServerLoad b = servers.get(server);
        if (b == null) {
            return 0;
        }
        double own = b.ownKbAt(at);
        double all = b.reportedAt > now - REPORT_VALIDITY_US
                ? Math.max(own, b.reportedKb + own - b.ownKbAt(b.reportedAt))
                : own * settings.brokers();
        return all / availableLinkKb(now, server);
    }

    /** The boxes with own sessions, each with one of these: whose reading it may be told as. */
    public Map<String, String> sessionByServer() {
        Map<String, String> out = new LinkedHashMap<>();
        servers.forEach((id, b) -> {
            if (!b.sessions.isEmpty()) {
                out.put(id, b.sessions.keySet().iterator().next());
            }
        });
        return out;
    }

    /** Names held, for tests and the log. */
    public List<String> sessionNames() {
        return new ArrayList<>(sessions.keySet());
    }
}
