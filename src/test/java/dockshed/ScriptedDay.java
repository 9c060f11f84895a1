package dockshed;

import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Pace;
import dockshed.Director.Prices;
import dockshed.Director.ReportField;
import dockshed.Director.Request;
import dockshed.Director.Rules;
import dockshed.Director.Server;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.choice.Choice;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A simulated day of one decision module with modelled edge servers: requests, answers with every outcome, readings,
 * short delivery, restarts and drains, all drawn from one seed. Every action is logged with all arguments, so that
 * equal decisions give equal logs. The fields are the day's settings; set them before {@link #play}.
 */
final class ScriptedDay implements Director.Actions {
    private static final long SECOND_US = DirectorFixture.SECOND_US;
    private static final long TICK_US = SECOND_US / 20;
    private static final long READING_INTERVAL_US = 3 * SECOND_US;
    private static final long REPORT_DELAY_US = 800_000;

    /** One line per action, with its time and arguments. */
    final List<String> log = new ArrayList<>();

    long seed = 1;
    int seconds = 120;
    int brokers = 3;
    int servers = 8;
    int racks = 2;
    int cells = 4;
    int streams = 40;
    double linkKb = 6000;
    double uplinkKb = 30_000;
    double arrivalsPerSecond = 4;
    double foreignShare = 0.4; // share of a link that sessions of other brokers use
    double failureShare = 0.05; // share of attempts that fail
    double meanStaySeconds = 25;
    int openAtStart = 0;
    double handshake = 0;
    boolean reportsUplink = false;
    boolean coldStart = false;
    boolean restarts = false;
    boolean knownLength = false;
    boolean differentWeights = false;
    boolean linksCollapse = false; // links lose most of their capacity and recover
    double collapsedShare = 0.3; // share of its rate that a collapsed link gives
    long reportInterval = READING_INTERVAL_US;
    long attemptsWindow = 0;
    double newSessionShare = -1;
    boolean pacesServers = false;
    boolean avoidsServers = false;
    boolean retriesAlwaysAllowed = true;
    double coldStartShare = 0.4;
    double overloadMultiple = 2;
    long overloadWindow = 2 * SECOND_US;
    List<SessionClass> classes = twoClasses();

    private final Map<String, ModelSession> sessions = new LinkedHashMap<>();
    private final Map<String, ModelServer> edgeServers = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private Random random;
    private Choice director;
    private long now = 1000 * SECOND_US;
    private int nextNumber;

    /** A request or session as its edge server sees it. */
    private static final class ModelSession {
        final Request request;
        String server;
        int rendition;
        int attempt;
        boolean playing;
        long answerAt;
        long endAt;

        ModelSession(Request request) {
            this.request = request;
        }
    }

    /** A modelled edge server. */
    private static final class ModelServer {
        Server listing;
        double capacityShare = 1;
        double foreignShare;
        long lastReportAt;
    }

    static List<SessionClass> twoClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, SECOND_US, 4 * SECOND_US, 2.5, 1, 0, 4, 0));
    }

    /** Classes of every effect, one with seats and one worth next to nothing; rate scales and lowest renditions differ. */
    static List<SessionClass> manyClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, 2 * SECOND_US, 4 * SECOND_US, 3, 1.2, 1, 4, 0),
                new SessionClass("exam", Effect.AT_MOST_ONCE, SECOND_US, 4 * SECOND_US, 2, 0.7, 1, 3, 0),
                new SessionClass("room", Effect.KEYED, SECOND_US, 4 * SECOND_US, 1.5, 1, 0, 4, 2),
                new SessionClass("free", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1e-6, 1, 0, 4, 0));
    }

    /** Runs the whole day. */
    ScriptedDay play() {
        random = new Random(seed);
        director = new Choice(settings(), seed * 31 + 7, this);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i, State.UP, coldStart && i % 2 == 0 ? now - (i % 5) * SECOND_US : 0));
        }
        updateServers(ListScope.DISK, list);
        for (int i = 0; i < openAtStart; i++) {
            openSession(list.get(i % servers).id());
        }
        updateServers(ListScope.CHANGES, coldStart ? list.subList(0, servers / 2) : List.of());
        for (int tick = 0; tick < seconds * (SECOND_US / TICK_US); tick++) {
            now += TICK_US;
            fireTimers();
            if (tick % 400 == 399) {
                changeServers(tick / 400);
            }
            varyForeignLoad();
            sendRequests();
            answerAttempts();
            endSessions();
            reportReadings();
        }
        return this;
    }

    private Settings settings() {
        Ladder ladder = new Ladder(
                DirectorFixture.RATES,
                List.of(0.2, 0.42, 0.62, 0.81, 1.0),
                linkKb * servers,
                linkKb,
                uplinkKb,
                racks,
                cells,
                0,
                7,
                800_000);
        return new Settings(
                0,
                brokers,
                "here",
                classes,
                List.of(new ServerKind("standard", streams), new ServerKind("large", 2 * streams)),
                ladder,
                new Limits(3, false, false, 250_000, 500_000, REPORT_DELAY_US, reportInterval),
                new Rules(
                        250_000,
                        coldStartShare,
                        12 * SECOND_US,
                        overloadMultiple,
                        overloadWindow,
                        2,
                        0.1,
                        attemptsWindow),
                new Prices(0.04, 0.05, 0, handshake),
                reportsUplink
                        ? List.of(ReportField.STREAMS, ReportField.LINK, ReportField.UPLINK)
                        : List.of(ReportField.STREAMS, ReportField.LINK, ReportField.OTHER));
    }

    private Server server(int number, State state, long upSince) {
        return new Server(
                "s" + number,
                number % 3 == 2 ? "there" : "here",
                number % 4 == 3 ? "large" : number % 7 == 6 ? "unknown" : "standard",
                number,
                state,
                differentWeights ? 1 + number % 3 / 2.0 : 1,
                upSince);
    }

    private void updateServers(ListScope scope, List<Server> list) {
        for (Server listing : list) {
            edgeServers.computeIfAbsent(listing.id(), id -> new ModelServer()).listing = listing;
        }
        director.serversChanged(now, scope, list);
    }

    private Request newRequest(String id) {
        SessionClass sessionClass = classes.get((int) (random.nextDouble() * random.nextDouble() * classes.size()));
        return new Request(
                id,
                random.nextInt(400) == 0 ? "no such class" : sessionClass.name(),
                "v" + id,
                "title" + random.nextInt(4),
                2 * SECOND_US + random.nextInt(3) * SECOND_US,
                knownLength ? (long) (meanStaySeconds * 2 * SECOND_US * random.nextDouble()) : 0,
                random.nextInt(cells),
                1 + random.nextInt(cells),
                1 + random.nextInt(4),
                false,
                false,
                false);
    }

    private void openSession(String server) {
        String id = "o" + nextNumber++;
        ModelSession session = new ModelSession(newRequest(id));
        session.server = server;
        session.playing = true;
        session.rendition = random.nextInt(5);
        session.endAt = now + drawStay();
        sessions.put(id, session);
        director.adoptSession(now, session.request, server);
        director.metricReceived(now, id, server, Metric.RENDITION, session.rendition);
    }

    private long drawStay() {
        return (long) (-Math.log(1 - random.nextDouble()) * meanStaySeconds * SECOND_US);
    }

    private void fireTimers() {
        while (!timers.isEmpty() && timers.firstKey() <= now) {
            for (String key : timers.pollFirstEntry().getValue()) {
                director.timer(now, key);
            }
        }
    }

    /** Changes the server list: a drain, a new server, an error, a complete list, a server that leaves, a restart. */
    private void changeServers(int step) {
        int number = step % servers;
        switch (step % 6) {
            case 0 -> updateServers(ListScope.CHANGES, List.of(server(number, State.DRAINING, 0)));
            case 1 -> updateServers(ListScope.CHANGES, List.of(server(servers + step, State.UP, now - SECOND_US)));
            case 2 -> updateServers(ListScope.ERROR, List.of());
            case 3 -> {
                List<Server> all = new ArrayList<>();
                for (int i = 0; i < servers; i++) {
                    all.add(server(i, State.UP, restarts && i % 3 == 0 ? now - SECOND_US / 2 : 0));
                }
                updateServers(ListScope.SNAPSHOT, all);
            }
            case 4 -> updateServers(ListScope.CHANGES, List.of(server(number, State.GONE, 0)));
            default -> updateServers(ListScope.CHANGES, List.of(server(number, State.UP, restarts ? now : 0)));
        }
    }

    private void varyForeignLoad() {
        for (ModelServer edgeServer : edgeServers.values()) {
            edgeServer.foreignShare += 0.05 * (foreignShare - edgeServer.foreignShare) + 0.02 * random.nextGaussian();
            edgeServer.foreignShare = Math.max(0, edgeServer.foreignShare);
            if (linksCollapse && random.nextInt(1500) == 0) {
                edgeServer.capacityShare = edgeServer.capacityShare < 1 ? 1 : collapsedShare;
            }
        }
    }

    private void sendRequests() {
        double expected = arrivalsPerSecond * TICK_US / SECOND_US * (now / (20 * SECOND_US) % 3 == 2 ? 3 : 1);
        for (int i = 0; i < 8; i++) {
            if (random.nextDouble() * 8 < expected) {
                String id = "r" + nextNumber++;
                ModelSession session = new ModelSession(newRequest(id));
                sessions.put(id, session);
                director.request(now, session.request);
            }
        }
    }

    private void answerAttempts() {
        for (ModelSession session : List.copyOf(sessions.values())) {
            if (session.playing || session.server == null || now < session.answerAt) {
                continue;
            }
            String id = session.request.id();
            if (random.nextInt(60) == 0) {
                sessions.remove(id);
                director.requestCancelled(now, id);
            } else if (random.nextDouble() < failureShare) {
                Outcome[] outcomes = Outcome.values();
                Outcome outcome = outcomes[1 + random.nextInt(outcomes.length - 1)];
                String server = session.server;
                session.server = null;
                director.outcome(now, id, session.attempt, server, outcome, false, report(server));
            } else {
                session.playing = true;
                session.endAt = now + drawStay();
                director.sessionStarted(now, id, session.attempt, session.server);
                director.metricReceived(now, id, session.server, Metric.LINK, linkLoad(session.server));
                if (reportsUplink && sessions.containsKey(id)) {
                    director.metricReceived(now, id, session.server, Metric.UPLINK, uplinkLoad(session.server));
                }
            }
        }
    }

    private void endSessions() {
        for (ModelSession session : List.copyOf(sessions.values())) {
            if (!session.playing || now < session.endAt) {
                continue;
            }
            String id = session.request.id();
            sessions.remove(id);
            int draw = random.nextInt(20);
            if (draw == 0) {
                director.requestCancelled(now, id);
            } else {
                Outcome outcome = draw == 1 ? Outcome.RESET : draw == 2 ? Outcome.ERROR : Outcome.OK;
                director.outcome(now, id, session.attempt, session.server, outcome, draw != 1, report(session.server));
            }
        }
    }

    private LoadReport report(String server) {
        return random.nextInt(3) == 0 ? LoadReport.NONE : new LoadReport(List.of(1.0, linkLoad(server), 0.5));
    }

    /** Reports the load of each server with sessions, and the share of their rates that it delivers. */
    private void reportReadings() {
        for (ModelServer edgeServer : edgeServers.values()) {
            if (now - edgeServer.lastReportAt < READING_INTERVAL_US) {
                continue;
            }
            edgeServer.lastReportAt = now + random.nextInt(5) * TICK_US;
            List<ModelSession> playing = sessions.values().stream()
                    .filter(session ->
                            session.playing && edgeServer.listing.id().equals(session.server))
                    .toList();
            if (playing.isEmpty()) {
                continue;
            }
            ModelSession reporter = playing.get(random.nextInt(playing.size()));
            String id = reporter.request.id();
            String server = reporter.server;
            double asked = linkLoad(server);
            double uplink = uplinkLoad(server);
            director.metricReceived(now, id, server, Metric.LINK, asked);
            if (reportsUplink) {
                director.metricReceived(now, id, server, Metric.UPLINK, uplink);
            }
            director.metricReceived(
                    now, id, server, Metric.DELIVERED, Math.min(1, 1 / Math.max(1e-3, Math.max(asked, uplink))));
            if (random.nextInt(10) == 0) {
                reporter.rendition = random.nextInt(5);
                director.metricReceived(now, id, server, Metric.RENDITION, reporter.rendition);
            }
        }
    }

    private double ownLoadKb(String server) {
        return sessions.values().stream()
                .filter(session -> session.playing && server.equals(session.server))
                .mapToDouble(session -> DirectorFixture.RATES.get(session.rendition))
                .sum();
    }

    /** Demand on a server's link over its capacity. */
    private double linkLoad(String server) {
        ModelServer edgeServer = edgeServers.get(server);
        double link = linkKb * edgeServer.listing.weight();
        return (edgeServer.foreignShare * link + ownLoadKb(server)) / (link * edgeServer.capacityShare);
    }

    private double uplinkLoad(String server) {
        int rack = edgeServers.get(server).listing.cell() % racks;
        double asked = 0;
        for (ModelServer edgeServer : edgeServers.values()) {
            if (edgeServer.listing.cell() % racks == rack) {
                asked += edgeServer.foreignShare * linkKb + ownLoadKb(edgeServer.listing.id());
            }
        }
        return asked / uplinkKb;
    }

    long count(String action) {
        return log.stream().filter(line -> line.split(" ")[1].equals(action)).count();
    }

    private void write(Object... words) {
        log.add(now + " "
                + String.join(" ", Arrays.stream(words).map(String::valueOf).toList()));
    }

    @Override
    public void send(String request, String server, long timeLimit) {
        write("send", request, server, timeLimit);
        ModelSession session = sessions.get(request);
        session.server = server;
        session.attempt++;
        session.answerAt = now + (1 + random.nextInt(6)) * TICK_US;
    }

    @Override
    public void refuse(String request, long retryAfter) {
        write("refuse", request, retryAfter);
        sessions.remove(request);
    }

    @Override
    public void fail(String request) {
        write("fail", request);
        sessions.remove(request);
    }

    @Override
    public void setRendition(String request, int rendition) {
        write("rate", request, rendition);
        sessions.get(request).rendition = rendition;
    }

    @Override
    public void move(String request) {
        write("move", request);
    }

    @Override
    public void probe(String server) {
        write("probe", server);
    }

    @Override
    public void broadcast(byte[] message) {
        write("broadcast", Arrays.toString(message));
    }

    @Override
    public void scheduleTimer(String key, long at) {
        write("timer", key, at);
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(key);
    }

    @Override
    public boolean mayRetry() {
        return retriesAlwaysAllowed || now / SECOND_US % 3 != 0;
    }

    @Override
    public Pace pace(String server) {
        if (!pacesServers) {
            return Pace.UNKNOWN;
        }
        return Pace.values()[(int) ((now / (SECOND_US / 2) + server.hashCode()) % 3)];
    }

    @Override
    public double newSessionShare() {
        return newSessionShare;
    }

    @Override
    public boolean shouldAvoid(String server) {
        return avoidsServers && (now / (4 * SECOND_US) + server.hashCode()) % 5 == 0;
    }
}
