package dockshed.core;

import dockshed.Director;
import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Server;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A broker on a virtual clock, between a front and servers that only write down what they are told and a module that
 * does what the test says. Lines of {@link #log} are such as "front served v1 1..3", "box a setUp v1 left=990".
 */
public final class Stage implements Front, Servers, Director {
    public static final long MS = 1000;
    public static final long S = 1_000_000;

    public final List<String> log = new ArrayList<>();
    /** The connections on which ends of sessions were told. */
    public final List<Long> overOn = new ArrayList<>();

    private final BlockingQueue<String> live = new LinkedBlockingQueue<>();
    /** What the module does when a request comes, when an attempt ends unanswered, and when its timer comes. */
    public Consumer<Request> onRequest = r -> this.actions.send(r.id(), "a", 0);

    public Consumer<String> onOutcome = id -> this.actions.fail(id);
    public boolean polls;
    public long now = 1_000 * S;
    public final Deadlines deadlines = new Deadlines(at -> {});
    public Director.Actions actions;
    public final Settings settings;
    public final Broker broker;
    public long connection;

    public Stage() {
        Rules rules = new Rules(1 * S, 0.4, 12 * S, 2.5, 2 * S, 0, 0, 0);
        settings = new Settings(
                0,
                1,
                "east",
                List.of(
                        new SessionClass("safe", Effect.SAFE, S, 3 * S, 1, 1, 0, 4, 0),
                        new SessionClass("paid", Effect.AT_MOST_ONCE, S, 4 * S, 3, 1, 1, 4, 0)),
                List.of(new ServerKind("k", 40)),
                new Ladder(List.of(1.0, 2.0, 3.0, 4.0, 5.0), List.of(.2, .4, .6, .8, 1.0), 100, 10, 100, 1, 3, 0, 7, 1),
                new Limits(5, false, true, 250 * MS, 2 * S, S, 3 * S),
                rules,
                new Prices(0, 0, 0, 0),
                List.of());
        broker = new Broker(
                settings,
                a -> {
                    actions = a;
                    return this;
                },
                message -> say("peers " + message.length),
                deadlines);
        list(ListScope.DISK, State.UP, "a", "b");
        connection = broker.connected(now, this, h -> {});
        log.clear();
    }

    public void list(ListScope scope, State state, String... ids) {
        List<Server> servers = new ArrayList<>();
        for (String id : ids) {
            servers.add(new Server(id, "east", "k", 0, state, 1, 0));
        }
        broker.members(now, "names", scope, servers);
    }

    public static Wish wish(String name, String cls) {
        return new Wish(name, cls, "viewer", "title", 3 * S, 0, 0, 3, 4, false, false, false, "sdp");
    }

    public void ask(String name, String cls) {
        broker.request(now, connection, this, this, wish(name, cls));
    }

    /** A session that stands at server a. */
    public void play(String name, String cls) {
        ask(name, cls);
        broker.answered(now, "a", name, "answer");
    }

    public void pass(long micros) {
        long end = now + micros;
        while (deadlines.next() <= end) {
            now = Math.max(now, deadlines.next());
            broker.tick(now);
        }
        now = end;
        broker.tick(now);
    }

    public void ended(String server, String name, Outcome outcome) {
        broker.ended(now, server, name, outcome, LoadReport.NONE);
    }

    private void say(String line) {
        log.add(line);
        live.add(line);
    }

    /** Waits for a line that begins so, passing over others; for tests on real sockets. */
    public String await(String prefix) throws InterruptedException {
        for (String line = live.poll(20, TimeUnit.SECONDS); line != null; line = live.poll(20, TimeUnit.SECONDS)) {
            if (line.startsWith(prefix)) {
                return line;
            }
        }
        throw new AssertionError("never came: " + prefix);
    }

    public long count(String prefix) {
        return log.stream().filter(l -> l.startsWith(prefix)).count();
    }

    // ---- Front.
    @Override
    public void served(long on, String name, Granted g) {
        say("front served " + name + " " + g.floor() + ".." + g.rung());
    }

    @Override
    public void refused(long on, String name, long comeBack) {
        say("front refused " + name + " " + comeBack / MS);
    }

    @Override
    public void failed(long on, String name, boolean late) {
        say("front failed " + name + (late ? " late" : ""));
    }

    @Override
    public void over(long on, String name, Outcome outcome) {
        overOn.add(on);
        say("front over " + name + " " + outcome);
    }

    @Override
    public void moved(long on, String name) {
        say("front moved " + name);
    }

    @Override
    public boolean needsConnection() {
        return !polls;
    }

    // ---- Servers.
    @Override
    public void setUp(String server, SetUp s) {
        say("box " + server + " setUp " + s.name() + " left=" + s.left() / MS);
    }

    @Override
    public void giveUp(String server, String name) {
        say("box " + server + " giveUp " + name);
    }

    @Override
    public void release(String server, String name) {
        say("box " + server + " release " + name);
    }

    @Override
    public void rate(String server, String name, int rung) {
        say("box " + server + " rate " + name + " " + rung);
    }

    @Override
    public void hold(String server, boolean sessions) {
        say("box " + server + " hold " + sessions);
    }

    // ---- Module.
    @Override
    public void request(long at, Request r) {
        onRequest.accept(r);
    }

    @Override
    public void adoptSession(long at, Request r, String server) {
        say("module open " + server);
    }

    @Override
    public void sessionStarted(long at, String request, int attempt, String server) {
        say("module first " + attempt + " " + server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        say("module outcome " + attempt + " " + server + " " + outcome + (last ? " last" : "")
                + (report.values().isEmpty() ? "" : " " + report.values()));
        if (!last) {
            onOutcome.accept(request);
        }
    }

    @Override
    public void metricReceived(long at, String request, String server, Metric topic, double value) {
        say("module note " + topic + " " + value);
    }

    @Override
    public void requestCancelled(long at, String request) {
        say("module gone");
    }

    @Override
    public void serversChanged(long at, ListScope scope, List<Server> servers) {
        servers.forEach(s -> say("module " + scope + " " + s.id() + " " + s.state()));
    }

    @Override
    public void probed(long at, String server, boolean healthy, LoadReport report) {}

    @Override
    public void peerMessageReceived(long at, int from, byte[] message) {
        say("module told " + from);
    }

    @Override
    public void timer(long at, String key) {
        say("module timer " + key);
    }
}
