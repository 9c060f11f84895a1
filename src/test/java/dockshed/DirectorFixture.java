package dockshed;

import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
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
import java.util.List;

/** A decision module whose actions are recorded, with small settings that tests change before {@link #start}. */
final class DirectorFixture implements Director.Actions {
    static final long SECOND_US = 1_000_000;

    static final List<Double> RATES = List.of(200.0, 340.0, 600.0, 1000.0, 1700.0);

    /** One line per action, such as "send r1 a", "refuse r1", "fail r1", "rate r1 2". */
    final List<String> log = new ArrayList<>();

    List<SessionClass> classes =
            List.of(new SessionClass("film", Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, 4, 0));
    Rules rules = new Rules(250_000, 0.4, 12 * SECOND_US, 2, 2 * SECOND_US, 0, 0, 0);
    int brokers = 1;
    int brokerNumber = 0;
    long seed = 42;
    int cells = 3;
    int streams = 40;
    double guard = 0;
    int attempts = 3;
    double handshake = 0;
    double uplinkKb = 60000;
    long now = 1000 * SECOND_US;
    Choice director;

    /** The fixture of one broker of several, each with its own seed. */
    static DirectorFixture numbered(int brokerNumber, int brokers) {
        DirectorFixture fixture = new DirectorFixture();
        fixture.brokers = brokers;
        fixture.brokerNumber = brokerNumber;
        fixture.seed = 1000 + brokerNumber;
        return fixture;
    }

    /** Creates the module with the present settings and these servers, all of them up and in the list. */
    DirectorFixture start(Server... servers) {
        Ladder ladder = new Ladder(
                RATES,
                List.of(0.2, 0.42, 0.62, 0.81, 1.0),
                6000.0 * servers.length,
                6000,
                uplinkKb,
                2,
                cells,
                guard,
                7,
                800_000);
        Settings settings = new Settings(
                brokerNumber,
                brokers,
                "here",
                classes,
                List.of(new ServerKind("standard", streams)),
                ladder,
                new Limits(attempts, false, false, 250_000, 500_000, 800_000, 3 * SECOND_US),
                rules,
                new Prices(0.04, 0.05, 0, handshake),
                List.of(ReportField.LINK));
        director = new Choice(settings, seed, this);
        director.serversChanged(now, ListScope.DISK, List.of(servers));
        director.serversChanged(now, ListScope.CHANGES, List.of());
        return this;
    }

    static Server server(String id, int cell) {
        return new Server(id, "here", "standard", cell, State.UP, 1, 0);
    }

    static Server server(String id, int cell, State state, long upSince) {
        return new Server(id, "here", "standard", cell, state, 1, upSince);
    }

    private static Request newRequest(String id, String className) {
        return new Request(id, className, "v" + id, "title", 4 * SECOND_US, 0, 0, 3, 4, false, false, false);
    }

    void request(String id, String className) {
        director.request(now, newRequest(id, className));
    }

    /** Reports a session that was already playing at the start. */
    void openSession(String id, String server, int rendition) {
        director.adoptSession(now, newRequest(id, classes.get(0).name()), server);
        director.metricReceived(now, id, server, Metric.RENDITION, rendition);
    }

    void request(String id) {
        request(id, classes.get(0).name());
    }

    /** Requests a session and, if a set-up was sent, reports that it plays. */
    void play(String id, String className) {
        request(id, className);
        String server = sentTo(id);
        if (server != null) {
            director.sessionStarted(now, id, 0, server);
            director.metricReceived(now, id, server, Metric.LINK, 0.5);
        }
    }

    /** Reports the end of the latest attempt or of the session of a request. */
    void end(String id, Outcome outcome, boolean last) {
        director.outcome(now, id, 0, sentTo(id), outcome, last, LoadReport.NONE);
    }

    /** Reports an end at a given server, for a request whose lines were removed from the log. */
    void end(String id, String server, Outcome outcome, boolean last) {
        director.outcome(now, id, 0, server, outcome, last, LoadReport.NONE);
    }

    /** The server of the request's latest set-up, or null. */
    String sentTo(String id) {
        String server = null;
        for (String line : log) {
            if (line.startsWith("send " + id + " ")) {
                server = line.split(" ")[2];
            }
        }
        return server;
    }

    /** Number of recorded actions that start with the prefix. */
    long count(String prefix) {
        return log.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public void send(String request, String server, long timeLimit) {
        log.add("send " + request + " " + server);
    }

    @Override
    public void refuse(String request, long retryAfter) {
        log.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        log.add("fail " + request);
    }

    @Override
    public void setRendition(String request, int rendition) {
        log.add("rate " + request + " " + rendition);
    }

    @Override
    public void move(String request) {
        log.add("move " + request);
    }

    @Override
    public void probe(String server) {
        log.add("probe " + server);
    }

    @Override
    public void broadcast(byte[] message) {
        log.add("broadcast");
    }

    @Override
    public void scheduleTimer(String key, long at) {
        log.add("timer " + key);
    }
}
