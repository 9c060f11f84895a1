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
public final class BrokerHarness implements Front, ServerAdapter, Director {
    public static final long MILLISECOND_US = 1000;
    public static final long SECOND_US = 1_000_000;

    public final List<String> log = new ArrayList<>();
    /** The connections on which ends of sessions were told. */
    public final List<Long> endNoticeConnections = new ArrayList<>();

    private final BlockingQueue<String> live = new LinkedBlockingQueue<>();
    /** What the module does when a request comes, when an attempt ends unanswered, and when its timer comes. */
    public Consumer<Request> onRequest = r -> this.actions.send(r.id(), "a", 0);

    public Consumer<String> onOutcome = id -> this.actions.fail(id);
    public boolean frontPolls;
    public long now = 1_000 * SECOND_US;
    public final TimerQueue timers = new TimerQueue(at -> {});
    public Director.Actions actions;
    public final Settings settings;
    public final Broker broker;
    public long connection;

    public BrokerHarness() {
        Rules rules = new Rules(1 * SECOND_US, 0.4, 12 * SECOND_US, 2.5, 2 * SECOND_US, 0, 0, 0);
        settings = new Settings(
                0,
                1,
                "east",
                List.of(
                        new SessionClass("safe", Effect.SAFE, SECOND_US, 3 * SECOND_US, 1, 1, 0, 4, 0),
                        new SessionClass("paid", Effect.AT_MOST_ONCE, SECOND_US, 4 * SECOND_US, 3, 1, 1, 4, 0)),
                List.of(new ServerKind("k", 40)),
                new Ladder(List.of(1.0, 2.0, 3.0, 4.0, 5.0), List.of(.2, .4, .6, .8, 1.0), 100, 10, 100, 1, 3, 0, 7, 1),
                new Limits(5, false, true, 250 * MILLISECOND_US, 2 * SECOND_US, SECOND_US, 3 * SECOND_US),
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
                timers);
        updateServers(ListScope.DISK, State.UP, "a", "b");
        connection = broker.connected(now, this, h -> {});
        log.clear();
    }

    public void updateServers(ListScope scope, State state, String... ids) {
        List<Server> servers = new ArrayList<>();
        for (String id : ids) {
            servers.add(new Server(id, "east", "k", 0, state, 1, 0));
        }
        broker.serversChanged(now, "names", scope, servers);
    }

    public static SessionRequest sessionRequest(String name, String cls) {
        return new SessionRequest(name, cls, "viewer", "title", 3 * SECOND_US, 0, 0, 3, 4, false, false, false, "sdp");
    }

    public void sendRequest(String name, String cls) {
        broker.request(now, connection, this, this, sessionRequest(name, cls));
    }

    /** A session that stands at server a. */
    public void startSession(String name, String cls) {
        sendRequest(name, cls);
        broker.setUpAnswered(now, "a", name, "answer");
    }

    public void advance(long micros) {
        long end = now + micros;
        while (timers.nextDue() <= end) {
            now = Math.max(now, timers.nextDue());
            broker.runDueTimers(now);
        }
        now = end;
        broker.runDueTimers(now);
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
    public void served(long on, String name, Grant g) {
        say("front served " + name + " " + g.lowestRendition() + ".." + g.highestRendition());
    }

    @Override
    public void refused(long on, String name, long comeBack) {
        say("front refused " + name + " " + comeBack / MILLISECOND_US);
    }

    @Override
    public void failed(long on, String name, boolean late) {
        say("front failed " + name + (late ? " late" : ""));
    }

    @Override
    public void sessionEnded(long on, String name, Outcome outcome) {
        endNoticeConnections.add(on);
        say("front over " + name + " " + outcome);
    }

    @Override
    public void moved(long on, String name) {
        say("front moved " + name);
    }

    @Override
    public boolean needsConnection() {
        return !frontPolls;
    }

    // ---- Servers.
    @Override
    public void setUp(String server, SetUp s) {
        say("box " + server + " setUp " + s.name() + " left=" + s.answerTimeout() / MILLISECOND_US);
    }

    @Override
    public void cancelSetUp(String server, String name) {
        say("box " + server + " giveUp " + name);
    }

    @Override
    public void release(String server, String name) {
        say("box " + server + " release " + name);
    }

    @Override
    public void setRendition(String server, String name, int rung) {
        say("box " + server + " rate " + name + " " + rung);
    }

    @Override
    public void setHasActiveSessions(String server, boolean sessions) {
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
