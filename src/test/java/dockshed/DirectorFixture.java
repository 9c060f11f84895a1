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

/** A director on a recording sink, with small settings that tests change as they need. */
final class DirectorFixture implements Director.Actions {
    static final long SECOND_US = 1_000_000;

    static final List<Double> RATES = List.of(200.0, 340.0, 600.0, 1000.0, 1700.0);

    /** Lines such as "send r1 a", "refuse r1", "fail r1", "rate r1 2". */
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

    /** One of so many directors, each with a seed of its own. */
    static DirectorFixture numbered(int me, int of) {
        DirectorFixture b = new DirectorFixture();
        b.brokers = of;
        b.brokerNumber = me;
        b.seed = 1000 + me;
        return b;
    }

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
                List.of(new ServerKind("box", streams)),
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
        return new Server(id, "here", "box", cell, State.UP, 1, 0);
    }

    static Server server(String id, int cell, State state, long upSince) {
        return new Server(id, "here", "box", cell, state, 1, upSince);
    }

    private static Request newRequest(String id, String cls) {
        return new Request(id, cls, "v" + id, "title", 4 * SECOND_US, 0, 0, 3, 4, false, false, false);
    }

    void request(String id, String cls) {
        director.request(now, newRequest(id, cls));
    }

    /** A session that plays already at the start. */
    void openSession(String id, String server, int rung) {
        director.adoptSession(now, newRequest(id, classes.get(0).name()), server);
        director.metricReceived(now, id, server, Metric.RENDITION, rung);
    }

    void request(String id) {
        request(id, classes.get(0).name());
    }

    /** A request that plays at once wherever it was sent. */
    void play(String id, String cls) {
        request(id, cls);
        String to = sentTo(id);
        if (to != null) {
            director.sessionStarted(now, id, 0, to);
            director.metricReceived(now, id, to, Metric.LINK, 0.5);
        }
    }

    void end(String id, Outcome outcome, boolean last) {
        director.outcome(now, id, 0, sentTo(id), outcome, last, LoadReport.NONE);
    }

    /** The same of a request whose lines are no longer kept. */
    void end(String id, String server, Outcome outcome, boolean last) {
        director.outcome(now, id, 0, server, outcome, last, LoadReport.NONE);
    }

    String sentTo(String id) {
        String to = null;
        for (String line : log) {
            if (line.startsWith("send " + id + " ")) {
                to = line.split(" ")[2];
            }
        }
        return to;
    }

    long count(String prefix) {
        return log.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public void send(String request, String server, long allow) {
        log.add("send " + request + " " + server);
    }

    @Override
    public void refuse(String request, long comeBack) {
        log.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        log.add("fail " + request);
    }

    @Override
    public void setRendition(String request, int rung) {
        log.add("rate " + request + " " + rung);
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
        log.add("tell");
    }

    @Override
    public void timer(String key, long at) {
        log.add("timer " + key);
    }
}
