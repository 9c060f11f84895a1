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
 * A scripted day of one director against modelled edge servers: arrivals, answers of every outcome, readings, short
 * deliveries, restarts and drains, all drawn from one seed. What the director does is written down with all arguments,
 * so two directors that decide alike leave the same log. The fields are the day's settings; set them before {@link
 * #play}.
 */
final class ScriptedDay implements Director.Actions {
    private static final long SECOND_US = DirectorFixture.SECOND_US;
    private static final long TICK_US = SECOND_US / 20;
    private static final long READING_INTERVAL_US = 3 * SECOND_US;
    private static final long REPORT_DELAY_US = 800_000;

    /** Every action with its time and arguments. */
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
    double arrivalsPerSecond = 4; // a second
    double foreignShare = 0.4; // share of a link that other directors' sessions ask
    double failureShare = 0.05; // share of attempts that end badly
    double meanStaySeconds = 25; // seconds, mean
    int openAtStart = 0;
    double handshake = 0;
    boolean reportsUplink = false;
    boolean coldStart = false;
    boolean restarts = false;
    boolean knownLength = false;
    boolean differentWeights = false;
    boolean linksCollapse = false; // links collapse and come back
    double collapsedShare = 0.3; // share that a collapsed link gives
    long reportInterval = READING_INTERVAL_US;
    long attemptsWindow = 0;
    double newSessionShare = -1;
    boolean paced = false;
    boolean avoidsServers = false;
    boolean retriesAlwaysAllowed = true;
    double coldFrom = 0.4;
    double tipMultiple = 2;
    long overloadWindow = 2 * SECOND_US;
    List<SessionClass> classes = twoClasses();

    private final Map<String, ModelSession> sessions = new LinkedHashMap<>();
    private final Map<String, ModelServer> edgeServers = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private Random random;
    private Choice director;
    private long now = 1000 * SECOND_US;
    private int nextNumber;

    /** One request as its edge server sees it. */
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

    /** An edge server of the model. */
    private static final class ModelServer {
        Server info;
        double capacityShare = 1;
        double foreignShare;
        long lastReportAt;
    }

    static List<SessionClass> twoClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, SECOND_US, 4 * SECOND_US, 2.5, 1, 0, 4, 0));
    }

    /** Every effect, a class with seats, one that earns nothing, other scales and floors. */
    static List<SessionClass> manyClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, 2 * SECOND_US, 4 * SECOND_US, 3, 1.2, 1, 4, 0),
                new SessionClass("exam", Effect.AT_MOST_ONCE, SECOND_US, 4 * SECOND_US, 2, 0.7, 1, 3, 0),
                new SessionClass("room", Effect.KEYED, SECOND_US, 4 * SECOND_US, 1.5, 1, 0, 4, 2),
                new SessionClass("free", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1e-6, 1, 0, 4, 0));
    }

    /** Plays the whole day with a director of that seed. */
    ScriptedDay play() {
        random = new Random(seed);
        director = new Choice(settings(), seed * 31 + 7, this);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i, State.UP, coldStart && i % 2 == 0 ? now - (i % 5) * SECOND_US : 0));
        }
        members(ListScope.DISK, list);
        for (int i = 0; i < openAtStart; i++) {
            openSession(list.get(i % servers).id());
        }
        members(ListScope.CHANGES, coldStart ? list.subList(0, servers / 2) : List.of());
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
                List.of(new ServerKind("box", streams), new ServerKind("tower", 2 * streams)),
                ladder,
                new Limits(3, false, false, 250_000, 500_000, REPORT_DELAY_US, reportInterval),
                new Rules(250_000, coldFrom, 12 * SECOND_US, tipMultiple, overloadWindow, 2, 0.1, attemptsWindow),
                new Prices(0.04, 0.05, 0, handshake),
                reportsUplink
                        ? List.of(ReportField.STREAMS, ReportField.LINK, ReportField.UPLINK)
                        : List.of(ReportField.STREAMS, ReportField.LINK, ReportField.OTHER));
    }

    private Server server(int number, State state, long upSince) {
        return new Server(
                "s" + number,
                number % 3 == 2 ? "there" : "here",
                number % 4 == 3 ? "tower" : number % 7 == 6 ? "unheard of" : "box",
                number,
                state,
                differentWeights ? 1 + number % 3 / 2.0 : 1,
                upSince);
    }

    private void members(ListScope scope, List<Server> list) {
        for (Server info : list) {
            edgeServers.computeIfAbsent(info.id(), id -> new ModelServer()).info = info;
        }
        director.serversChanged(now, scope, list);
    }

    private Request newRequest(String id) {
        SessionClass c = classes.get((int) (random.nextDouble() * random.nextDouble() * classes.size()));
        return new Request(
                id,
                random.nextInt(400) == 0 ? "no such class" : c.name(),
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
        ModelSession call = new ModelSession(newRequest(id));
        call.server = server;
        call.playing = true;
        call.rendition = random.nextInt(5);
        call.endAt = now + drawStay();
        sessions.put(id, call);
        director.adoptSession(now, call.request, server);
        director.metricReceived(now, id, server, Metric.RENDITION, call.rendition);
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

    /** News of the servers: a drain, one that left, a newcomer, a restart, an error, a whole list. */
    private void changeServers(int step) {
        int some = step % servers;
        switch (step % 6) {
            case 0 -> members(ListScope.CHANGES, List.of(server(some, State.DRAINING, 0)));
            case 1 -> members(ListScope.CHANGES, List.of(server(servers + step, State.UP, now - SECOND_US)));
            case 2 -> members(ListScope.ERROR, List.of());
            case 3 -> {
                List<Server> all = new ArrayList<>();
                for (int i = 0; i < servers; i++) {
                    all.add(server(i, State.UP, restarts && i % 3 == 0 ? now - SECOND_US / 2 : 0));
                }
                members(ListScope.SNAPSHOT, all);
            }
            case 4 -> members(ListScope.CHANGES, List.of(server(some, State.GONE, 0)));
            default -> members(ListScope.CHANGES, List.of(server(some, State.UP, restarts ? now : 0)));
        }
    }

    private void varyForeignLoad() {
        for (ModelServer box : edgeServers.values()) {
            box.foreignShare += 0.05 * (foreignShare - box.foreignShare) + 0.02 * random.nextGaussian();
            box.foreignShare = Math.max(0, box.foreignShare);
            if (linksCollapse && random.nextInt(1500) == 0) {
                box.capacityShare = box.capacityShare < 1 ? 1 : collapsedShare;
            }
        }
    }

    private void sendRequests() {
        double due = arrivalsPerSecond * TICK_US / SECOND_US * (now / (20 * SECOND_US) % 3 == 2 ? 3 : 1);
        for (int i = 0; i < 8; i++) {
            if (random.nextDouble() * 8 < due) {
                String id = "r" + nextNumber++;
                ModelSession call = new ModelSession(newRequest(id));
                sessions.put(id, call);
                director.request(now, call.request);
            }
        }
    }

    private void answerAttempts() {
        for (ModelSession call : List.copyOf(sessions.values())) {
            if (call.playing || call.server == null || now < call.answerAt) {
                continue;
            }
            String id = call.request.id();
            if (random.nextInt(60) == 0) {
                sessions.remove(id);
                director.requestCancelled(now, id);
            } else if (random.nextDouble() < failureShare) {
                Outcome[] bad = Outcome.values();
                Outcome outcome = bad[1 + random.nextInt(bad.length - 1)];
                String from = call.server;
                call.server = null;
                director.outcome(now, id, call.attempt, from, outcome, false, report(from));
            } else {
                call.playing = true;
                call.endAt = now + drawStay();
                director.sessionStarted(now, id, call.attempt, call.server);
                director.metricReceived(now, id, call.server, Metric.LINK, linkLoad(call.server));
                if (reportsUplink && sessions.containsKey(id)) {
                    director.metricReceived(now, id, call.server, Metric.UPLINK, uplinkLoad(call.server));
                }
            }
        }
    }

    private void endSessions() {
        for (ModelSession call : List.copyOf(sessions.values())) {
            if (!call.playing || now < call.endAt) {
                continue;
            }
            String id = call.request.id();
            sessions.remove(id);
            int how = random.nextInt(20);
            if (how == 0) {
                director.requestCancelled(now, id);
            } else {
                Outcome outcome = how == 1 ? Outcome.RESET : how == 2 ? Outcome.ERROR : Outcome.OK;
                director.outcome(now, id, call.attempt, call.server, outcome, how != 1, report(call.server));
            }
        }
    }

    private LoadReport report(String server) {
        return random.nextInt(3) == 0 ? LoadReport.NONE : new LoadReport(List.of(1.0, linkLoad(server), 0.5));
    }

    /** Readings of each server with sessions, and what it delivers. */
    private void reportReadings() {
        for (ModelServer box : edgeServers.values()) {
            if (now - box.lastReportAt < READING_INTERVAL_US) {
                continue;
            }
            box.lastReportAt = now + random.nextInt(5) * TICK_US;
            List<ModelSession> here = sessions.values().stream()
                    .filter(c -> c.playing && box.info.id().equals(c.server))
                    .toList();
            if (here.isEmpty()) {
                continue;
            }
            ModelSession one = here.get(random.nextInt(here.size()));
            String id = one.request.id();
            String server = one.server;
            double asked = linkLoad(server);
            double uplink = uplinkLoad(server);
            director.metricReceived(now, id, server, Metric.LINK, asked);
            if (reportsUplink) {
                director.metricReceived(now, id, server, Metric.UPLINK, uplink);
            }
            director.metricReceived(
                    now, id, server, Metric.DELIVERED, Math.min(1, 1 / Math.max(1e-3, Math.max(asked, uplink))));
            if (random.nextInt(10) == 0) {
                one.rendition = random.nextInt(5);
                director.metricReceived(now, id, server, Metric.RENDITION, one.rendition);
            }
        }
    }

    private double ownLoadKb(String server) {
        return sessions.values().stream()
                .filter(c -> c.playing && server.equals(c.server))
                .mapToDouble(c -> DirectorFixture.RATES.get(c.rendition))
                .sum();
    }

    /** What is asked at a link over what it gives. */
    private double linkLoad(String server) {
        ModelServer box = edgeServers.get(server);
        double link = linkKb * box.info.weight();
        return (box.foreignShare * link + ownLoadKb(server)) / (link * box.capacityShare);
    }

    private double uplinkLoad(String server) {
        int rack = edgeServers.get(server).info.cell() % racks;
        double asked = 0;
        for (ModelServer box : edgeServers.values()) {
            if (box.info.cell() % racks == rack) {
                asked += box.foreignShare * linkKb + ownLoadKb(box.info.id());
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
    public void send(String request, String server, long allow) {
        write("send", request, server, allow);
        ModelSession call = sessions.get(request);
        call.server = server;
        call.attempt++;
        call.answerAt = now + (1 + random.nextInt(6)) * TICK_US;
    }

    @Override
    public void refuse(String request, long comeBack) {
        write("refuse", request, comeBack);
        sessions.remove(request);
    }

    @Override
    public void fail(String request) {
        write("fail", request);
        sessions.remove(request);
    }

    @Override
    public void setRendition(String request, int rung) {
        write("rate", request, rung);
        sessions.get(request).rendition = rung;
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
        write("tell", Arrays.toString(message));
    }

    @Override
    public void timer(String key, long at) {
        write("timer", key, at);
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(key);
    }

    @Override
    public boolean mayRetry() {
        return retriesAlwaysAllowed || now / SECOND_US % 3 != 0;
    }

    @Override
    public Pace pace(String server) {
        if (!paced) {
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
