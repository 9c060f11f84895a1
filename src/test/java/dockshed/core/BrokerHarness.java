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
 * A broker on a virtual clock, with a front and servers that only record the calls to them and a decision module that
 * the test scripts. Records are lines in {@link #log} that begin with who was called and the called method's name, such as
 * "front served v1 1..3" or "server a setUp v1 left=990"; times are in milliseconds.
 */
public final class BrokerHarness implements Front, ServerAdapter, Director {
    /** Microseconds of a millisecond. */
    public static final long MILLISECOND_US = 1000;
    /** Microseconds of a second. */
    public static final long SECOND_US = 1_000_000;

    /** The calls to front, servers, decision module and peers, in order. */
    public final List<String> log = new ArrayList<>();
    /** The connections on which viewers were notified of ends of sessions. */
    public final List<Long> endNoticeConnections = new ArrayList<>();

    private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>();
    /** What the decision module does on a request; default: sends it to server a. */
    public Consumer<Request> onRequest = request -> this.actions.send(request.id(), "a", 0);

    /** What the decision module does with the id of a request whose attempt ended unanswered; default: fails it. */
    public Consumer<String> onOutcome = id -> this.actions.fail(id);
    /** A recorded call that begins with this throws; null: none does. */
    public String throwOn;
    /** Whether viewers poll, so that the front needs no connection for an end notice. */
    public boolean frontPolls;
    /** The virtual time in microseconds. */
    public long now = 1_000 * SECOND_US;
    /** The broker's timers, which {@link #advance} runs. */
    public final TimerQueue timers = new TimerQueue(dueAt -> {});
    /** What the decision module acts through. */
    public Director.Actions actions;
    /** Settings with the classes "safe" (deadline 3 s) and "paid" (at most once, deadline 4 s, no rendition 0). */
    public final Settings settings;
    /** The broker under test. */
    public final Broker broker;
    /** The connection on which {@link #sendRequest} sends. */
    public long connection;

    /** A broker with the servers a and b, both up, and one open connection. */
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
                brokerActions -> {
                    actions = brokerActions;
                    return this;
                },
                message -> addLine("peers " + message.length),
                timers);
        updateServers(ListScope.DISK, State.UP, "a", "b");
        connection = broker.connected(now, this, handle -> {});
        log.clear();
    }

    /** Gives the broker a list from the source "names" on which all servers are in one state. */
    public void updateServers(ListScope scope, State state, String... ids) {
        List<Server> servers = new ArrayList<>();
        for (String id : ids) {
            servers.add(new Server(id, "east", "k", 0, state, 1, 0));
        }
        broker.serversChanged(now, "names", scope, servers);
    }

    /** A request with a client deadline of 3 s. */
    public static SessionRequest sessionRequest(String name, String className) {
        return new SessionRequest(
                name, className, "viewer", "title", 3 * SECOND_US, 0, 0, 3, 4, false, false, false, "sdp");
    }

    /** Sends the broker a request. */
    public void sendRequest(String name, String className) {
        broker.request(now, connection, this, this, sessionRequest(name, className));
    }

    /** Sends a request and has server a answer it, so that the session is active. */
    public void startSession(String name, String className) {
        sendRequest(name, className);
        broker.setUpAnswered(now, "a", name, "answer");
    }

    /** Advances the clock and runs the timers that become due. */
    public void advance(long durationUs) {
        long end = now + durationUs;
        while (timers.nextDue() <= end) {
            now = Math.max(now, timers.nextDue());
            broker.runDueTimers(now);
        }
        now = end;
        broker.runDueTimers(now);
    }

    /** Has a server report the end of an attempt or a session, without a load report. */
    public void ended(String server, String name, Outcome outcome) {
        broker.ended(now, server, name, outcome, LoadReport.NONE);
    }

    private void addLine(String line) {
        log.add(line);
        unreadLines.add(line);
        if (throwOn != null && line.startsWith(throwOn)) {
            throw new IllegalStateException("thrown by the test: " + line);
        }
    }

    /** Waits for a line with a prefix, up to 20 s for each line, skipping others; for tests on real sockets. */
    public String await(String prefix) throws InterruptedException {
        for (String line = unreadLines.poll(20, TimeUnit.SECONDS);
                line != null;
                line = unreadLines.poll(20, TimeUnit.SECONDS)) {
            if (line.startsWith(prefix)) {
                return line;
            }
        }
        throw new AssertionError("no line for 20 s while waiting for one that begins with: " + prefix);
    }

    /** Number of lines in {@link #log} with a prefix. */
    public long count(String prefix) {
        return log.stream().filter(line -> line.startsWith(prefix)).count();
    }

    // ---- Front.
    @Override
    public void served(long connection, String name, Grant grant) {
        addLine("front served " + name + " " + grant.lowestRendition() + ".." + grant.highestRendition());
    }

    @Override
    public void refused(long connection, String name, long retryAfter) {
        addLine("front refused " + name + " " + retryAfter / MILLISECOND_US);
    }

    @Override
    public void failed(long connection, String name, boolean late) {
        addLine("front failed " + name + (late ? " late" : ""));
    }

    @Override
    public void sessionEnded(long connection, String name, Outcome outcome) {
        endNoticeConnections.add(connection);
        addLine("front sessionEnded " + name + " " + outcome);
    }

    @Override
    public void moved(long connection, String name) {
        addLine("front moved " + name);
    }

    @Override
    public boolean needsConnection() {
        return !frontPolls;
    }

    // ---- Server adapter.
    @Override
    public void setUp(String server, SetUp setUp) {
        addLine("server " + server + " setUp " + setUp.name() + " left=" + setUp.answerTimeout() / MILLISECOND_US);
    }

    @Override
    public void cancelSetUp(String server, String name) {
        addLine("server " + server + " cancelSetUp " + name);
    }

    @Override
    public void release(String server, String name) {
        addLine("server " + server + " release " + name);
    }

    @Override
    public void setRendition(String server, String name, int rendition) {
        addLine("server " + server + " setRendition " + name + " " + rendition);
    }

    @Override
    public void setHasActiveSessions(String server, boolean hasActiveSessions) {
        addLine("server " + server + " setHasActiveSessions " + hasActiveSessions);
    }

    // ---- Decision module.
    @Override
    public void request(long now, Request request) {
        onRequest.accept(request);
    }

    @Override
    public void adoptSession(long now, Request request, String server) {
        addLine("module adoptSession " + server);
    }

    @Override
    public void sessionStarted(long now, String request, int attempt, String server) {
        addLine("module sessionStarted " + attempt + " " + server);
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        addLine("module outcome " + attempt + " " + server + " " + outcome + (last ? " last" : "")
                + (report.values().isEmpty() ? "" : " " + report.values()));
        if (!last) {
            onOutcome.accept(request);
        }
    }

    @Override
    public void metricReceived(long now, String request, String server, Metric metric, double value) {
        addLine("module metricReceived " + metric + " " + value);
    }

    @Override
    public void requestCancelled(long now, String request) {
        addLine("module requestCancelled");
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> servers) {
        servers.forEach(entry -> addLine("module serversChanged " + scope + " " + entry.id() + " " + entry.state()));
    }

    @Override
    public void probed(long now, String server, boolean healthy, LoadReport report) {}

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {
        addLine("module peerMessageReceived " + from);
    }

    @Override
    public void timer(long now, String key) {
        addLine("module timer " + key);
    }
}
