package dockshed.core;

import dockshed.Director;
import dockshed.Director.Effect;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Server;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.core.TimerQueue.Timer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The broker without its wires: carries requests, attempts and outcomes between fronts, the decision module and
 * servers, and keeps the rules whichever of them errs. Every call brings the time, in microseconds; all come from
 * one thread. What the module asks for takes effect at once, but what follows from it reaches the module only after
 * its own call has returned.
 */
public final class Broker implements Director.Actions {
    /** The answer to a viewer goes out this long before its time is up, so that it still arrives. */
    static final long ANSWER_MARGIN_US = 10_000;
    /** Of the grace for drains, what is kept for the way to the server. */
    static final long DRAIN_MARGIN_US = 300_000;
    /** A viewer's time may be this many times its class's deadline at most: more is no viewer's figure. */
    private static final int MAX_CLIENT_DEADLINE_RATIO = 2;
    /** How long an end that no connection could carry is kept for the next one. */
    static final long END_NOTICE_VALIDITY_US = 8_000_000;
    /** A connection that closes so soon after an end was written to it may not have carried it. */
    static final long END_NOTICE_RESEND_WINDOW_US = 300_000;

    /** A server that is gone is forgotten after this: no attempt lasts so long. */
    private static final long GONE_SERVER_RETENTION_US = 60_000_000;

    /** Notes on a set-up that are kept until its answer comes. */
    private static final int MAX_EARLY_METRICS = 8;

    /** Lines a second on viewers that left unanswered: enough to find one request, too few to hurt in a flood. */
    private static final int MAX_CANCEL_LOG_LINES_PER_S = 5;

    private static final Logger LOG = LoggerFactory.getLogger(Broker.class);

    /** A request, then the session that it became. */
    private static final class BrokerSession {
        long handle;
        String id;
        final SessionRequest wish;
        final Front front;
        final ServerAdapter via;
        final SessionClass cls;
        final long came;
        long connection;
        ServerEntry box; // where an attempt is out or the session stands
        int attempts;
        boolean out;
        boolean stands;
        boolean ran;
        boolean answered;
        int rung;
        int rungSent;
        long stoodSince;
        Timer attemptEnds;
        Timer patienceEnds;
        final List<LongConsumer> early = new ArrayList<>(1); // notes that came before the answer

        BrokerSession(
                SessionRequest wish, Front front, ServerAdapter via, SessionClass cls, long connection, long now) {
            this.wish = wish;
            this.front = front;
            this.via = via;
            this.cls = cls;
            this.connection = connection;
            came = now;
            rung = cls.floor();
        }
    }

    /** A server as the broker knows it. */
    private static final class ServerEntry {
        final String id;
        final Map<ServerAdapter, Integer> standing = new HashMap<>();
        final Map<String, Server> listings = new LinkedHashMap<>();
        Server info;
        long closedSince = TimerQueue.NEVER; // told to drain or to be gone

        ServerEntry(String id) {
            this.id = id;
        }
    }

    /** An end of a session that its viewer has still to hear of. */
    private record EndNotice(Front front, String name, Outcome outcome, long until) {}

    private record SentNotice(EndNotice owed, long at) {}

    private static final class Connection {
        final Front front;
        final ArrayDeque<SentNotice> told = new ArrayDeque<>();
        long askedAt = -1; // when it last brought a set-up; -1: never
        boolean proved; // it carried a session, or confirmed an end: a viewer reads it

        Connection(Front front) {
            this.front = front;
        }
    }

    private final Settings settings;
    private final Director director;
    private final Peers peers;
    private final TimerQueue deadlines;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final SlotTable<BrokerSession> calls = new SlotTable<>();
    private final SlotTable<Connection> connections = new SlotTable<>();
    private final Map<String, BrokerSession> byName = new HashMap<>();
    private final LinkedHashMap<String, ServerEntry> boxes = new LinkedHashMap<>();
    private final ArrayDeque<EndNotice> owed = new ArrayDeque<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private boolean busy;
    private boolean ending;
    private long now;
    private long leftSecond; // the second in which lines on leaving viewers are counted
    private int leftLines;
    private int unansweredRequests;
    private final Counts counts = new Counts();
    private final RequestTrace trace = new RequestTrace();

    /** What has happened since the start, for the log. */
    public static final class Counts {
        public long requests;
        public long served;
        public long refused;
        public long failed;
        public long gone;
        public long opened;
        public long over;
        public long reset;
        public long moved;
        public long breaches;

        @Override
        public String toString() {
            return "requests=" + requests + " served=" + served + " refused=" + refused + " failed=" + failed
                    + " gone=" + gone + " opened=" + opened + " over=" + over + " reset=" + reset
                    + " moved=" + moved + " breaches=" + breaches;
        }
    }

    public Broker(Settings settings, Function<Director.Actions, Director> module, Peers peers, TimerQueue deadlines) {
        this.settings = settings;
        this.peers = peers;
        this.deadlines = deadlines;
        for (SessionClass c : settings.classes()) {
            classes.put(c.name(), c);
        }
        director = module.apply(this);
    }

    /** Runs an event, or keeps it until the one in hand is over. */
    private void event(long at, LongConsumer what) {
        events.add(what);
        if (busy) {
            return;
        }
        busy = true;
        try {
            now = Math.max(now, at);
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.accept(now);
                } catch (RuntimeException e) { // one request's trouble must not become every viewer's
                    LOG.error("internal error, gone on after it", e);
                }
            }
        } finally {
            busy = false;
        }
    }

    // ---- From the fronts.

    /** A connection from viewers has come up; {@code known} hears its handle before anything is sent on it. */
    public long connected(long at, Front front, LongConsumer known) {
        long handle = connections.add(new Connection(front));
        known.accept(handle);
        event(at, director::connected);
        return handle;
    }

    /** A connection has brought a set-up, so viewers use it: it can also carry the ends that wait for one. */
    private void asks(long at, long connection, boolean proved) {
        Connection c = connections.get(connection);
        if (c == null) {
            return;
        }
        c.askedAt = at;
        c.proved |= proved;
        if (!owed.isEmpty()) {
            event(at, t -> {
                List<EndNotice> waiting = new ArrayList<>(owed);
                owed.clear();
                for (EndNotice o : waiting) {
                    if (o.until() > t) {
                        tellEnd(o, 0);
                    }
                }
            });
        }
    }

    /** A connection is gone: whoever waited on it for an answer has left. */
    public void disconnected(long at, long connection) {
        Connection c = connections.remove(connection);
        if (c == null) {
            return;
        }
        event(at, t -> {
            calls(call -> call.connection == connection && !call.stands).forEach(this::abandon);
            for (SentNotice told : c.told) {
                if (t - told.at() < END_NOTICE_RESEND_WINDOW_US) {
                    tellEnd(told.owed(), 0);
                }
            }
        });
    }

    /**
     * A connection brings nothing more, though what is written to it may still be read: what is unanswered on it gets its
     * answer now, and nothing further is tried for it. It carries no ends from now on.
     */
    public void halfClosed(long at, long connection) {
        event(at, t -> {
            for (BrokerSession call : calls(c -> c.connection == connection && !c.answered)) {
                left(call, "half-closed");
                boolean mayHaveRun = call.out || call.ran;
                finish(call);
                counts.gone++;
                if (mayHaveRun && call.cls.effect() != Effect.SAFE) {
                    call.front.failed(connection, call.wish.name(), false);
                } else {
                    call.front.refused(connection, call.wish.name(), maxRetryAfter());
                }
                director.requestCancelled(t, call.id);
            }
        });
    }

    /** The viewer has confirmed that it heard of an end. */
    public void endConfirmed(long connection, String name) {
        Connection c = connections.get(connection);
        if (c != null) {
            c.proved |= c.told.removeIf(t -> t.owed().name().equals(name));
        }
    }

    /** A viewer's request; false where a session or request of that name is held already, or a figure is no good. */
    public boolean request(long at, long connection, Front front, ServerAdapter via, SessionRequest wish) {
        SessionClass cls = classes.get(wish.className());
        if (cls == null
                || byName.containsKey(wish.name())
                || !inRange(wish)
                || wish.clientDeadline() <= 0
                || wish.clientDeadline() > MAX_CLIENT_DEADLINE_RATIO * cls.deadline()) {
            return false;
        }
        if (ending) {
            counts.requests++;
            counts.refused++;
            front.refused(connection, wish.name(), maxRetryAfter());
            return true;
        }
        BrokerSession call = add(new BrokerSession(wish, front, via, cls, connection, at));
        unansweredRequests++;
        counts.requests++;
        asks(at, connection, false);
        event(at, t -> {
            call.patienceEnds = deadlines.schedule(answerDue(call), due -> event(due, x -> patienceOver(call)));
            director.request(t, wish.toDirectorRequest(call.id));
        });
        return true;
    }

    /** Whether the figures are ones that the site has: what can't be so, a server would take all the same. */
    private boolean inRange(SessionRequest w) {
        return w.homeCell() >= 0
                && w.homeCell() < settings.ladder().cells()
                && w.copies() >= 0
                && w.copies() <= settings.ladder().cells()
                && w.highestRendition() >= 0
                && w.highestRendition() < settings.ladder().rates().size();
    }

    /**
     * A session that plays already, as its viewer tells; one that is held already stays as it is. False where it names
     * no server that is known, or says what cannot be.
     */
    public boolean adoptSession(
            long at, long connection, Front front, ServerAdapter via, SessionRequest wish, String server) {
        SessionClass cls = classes.get(wish.className());
        ServerEntry told = boxes.get(server);
        if (cls == null || told == null || told.info == null || !inRange(wish)) {
            return false;
        }
        if (byName.containsKey(wish.name())) {
            return true;
        }
        BrokerSession call = add(new BrokerSession(wish, front, via, cls, connection, at));
        asks(at, connection, true);
        call.box = told;
        call.attempts = 1;
        call.rung = cls.floor();
        call.rungSent = cls.floor();
        call.answered = true;
        counts.opened++;
        event(at, t -> {
            stand(call, t);
            director.adoptSession(t, wish.toDirectorRequest(call.id), server);
        });
        return true;
    }

    /** The viewer has given its request up, or has ended its session. */
    public void cancel(long at, String name) {
        event(at, t -> {
            BrokerSession call = byName.get(name);
            if (call != null && call.stands) {
                call.via.release(call.box.id, name);
                end(call, Outcome.CANCELLED, LoadReport.NONE);
            } else if (call != null) {
                abandon(call);
            }
        });
    }

    /** A session that stands has come to its natural end, as its front found out. */
    public void sessionCompleted(long at, String name) {
        event(at, t -> {
            BrokerSession call = byName.get(name);
            if (call != null && call.stands) {
                call.via.release(call.box.id, name);
                end(call, Outcome.OK, LoadReport.NONE);
            }
        });
    }

    /** An answer could not be passed on whole: the session has nobody to play to. */
    public void answerUndelivered(long at, String name) {
        cancel(at, name);
    }

    // ---- From the servers.

    /** A set-up has been answered: the session stands. */
    public void setUpAnswered(long at, String server, String name, String description) {
        event(at, t -> {
            BrokerSession call = byName.get(name);
            if (call == null || !call.out || !call.box.id.equals(server)) {
                return; // given up before
            }
            call.out = false;
            deadlines.cancel(call.attemptEnds);
            deadlines.cancel(call.patienceEnds);
            answer(call);
            counts.served++;
            Connection own = connections.get(call.connection);
            if (own != null) {
                own.proved = true;
            }
            stand(call, t);
            call.front.served(call.connection, name, new Front.Grant(server, description, call.cls.floor(), call.rung));
            if (call.rung != call.rungSent) {
                setRung(call); // set while the answer was on its way
            }
            director.sessionStarted(t, call.id, call.attempts - 1, server);
            call.early.forEach(told -> told.accept(t));
            call.early.clear();
        });
    }

    /** A set-up has ended unanswered, or a session that stood is over. */
    public void ended(long at, String server, String name, Outcome outcome, LoadReport report) {
        event(at, t -> {
            BrokerSession call = byName.get(name);
            if (call == null || call.box == null || !call.box.id.equals(server)) {
                return;
            }
            if (call.out) {
                attemptOver(call, outcome, report);
            } else if (call.stands) {
                Outcome end = outcome == Outcome.OK || outcome == Outcome.CANCELLED ? outcome : Outcome.RESET;
                if (end != Outcome.CANCELLED) {
                    tellEnd(new EndNotice(call.front, name, end, t + END_NOTICE_VALIDITY_US), call.connection);
                }
                end(call, end, report);
            }
        });
    }

    /** A figure about a session that stands. */
    public void metricReceived(long at, String server, String name, Metric topic, double value) {
        event(at, t -> {
            BrokerSession call = byName.get(name);
            if (call != null && call.out && call.box.id.equals(server)) {
                if (call.early.size() < MAX_EARLY_METRICS) { // the server's word on a set-up may come before its answer
                    call.early.add(later -> metricReceived(later, server, name, topic, value));
                }
            } else if (call != null && call.stands && call.box.id.equals(server)) {
                if (topic == Metric.RENDITION && (value < call.cls.floor() || value > call.cls.top())) {
                    return;
                }
                if (topic == Metric.RENDITION) {
                    call.rung = (int) value; // in force when the server wrote it
                }
                director.metricReceived(t, call.id, server, topic, value);
            }
        });
    }

    /** The server's process is gone, and its sessions of this adapter that began before {@code since} with it. */
    public void serverLost(long at, ServerAdapter via, String server, long since) {
        event(at, t -> {
            List<BrokerSession> broken = calls(
                    call -> call.stands && call.via == via && call.box.id.equals(server) && call.stoodSince < since);
            if (!broken.isEmpty()) {
                LOG.warn("server lost: id={} sessions={}", server, broken.size());
            }
            for (BrokerSession call : broken) {
                tellEnd(
                        new EndNotice(call.front, call.wish.name(), Outcome.RESET, t + END_NOTICE_VALIDITY_US),
                        call.connection);
                end(call, Outcome.RESET, LoadReport.NONE);
            }
        });
    }

    // ---- From the lists, the peers and the clock.

    /** News of the servers from one of the lists; a server on several counts by the worst that is told of it. */
    public void serversChanged(long at, String source, ListScope scope, List<Server> servers) {
        event(at, t -> {
            List<Server> merged = new ArrayList<>();
            if (scope == ListScope.SNAPSHOT || scope == ListScope.DISK) {
                Set<String> named = servers.stream().map(Server::id).collect(Collectors.toSet());
                for (ServerEntry b : boxes.values()) {
                    if (b.listings.containsKey(source) && !named.contains(b.id)) {
                        b.listings.remove(source);
                        merged.add(merge(t, b));
                    }
                }
            }
            for (Server s : servers) {
                ServerEntry b = boxes.computeIfAbsent(s.id(), ServerEntry::new);
                b.listings.put(source, s);
                merged.add(merge(t, b));
            }
            boolean alone = boxes.values().stream()
                    .allMatch(b -> b.listings.keySet().stream().allMatch(source::equals));
            ListScope told = scope == ListScope.SNAPSHOT && !alone ? ListScope.CHANGES : scope;
            director.serversChanged(t, told, merged);
            boxes.values()
                    .removeIf(b -> b.closedSince < t - GONE_SERVER_RETENTION_US
                            && b.info.state() == State.GONE
                            && b.standing.values().stream().allMatch(n -> n == 0));
        });
    }

    private Server merge(long t, ServerEntry b) {
        Server worst = null;
        for (Server s : b.listings.values()) {
            worst = worst == null
                            || s.state().compareTo(worst.state()) > 0 && s.state() != State.GONE
                            || worst.state() == State.GONE
                    ? s
                    : worst;
        }
        if (worst == null) {
            Server was = b.info;
            worst = new Server(was.id(), was.zone(), was.kind(), was.cell(), State.GONE, was.weight(), was.upSince());
        }
        b.info = worst;
        if (worst.state() == State.UP) {
            b.closedSince = TimerQueue.NEVER;
        } else if (b.closedSince == TimerQueue.NEVER) {
            b.closedSince = t;
        }
        return worst;
    }

    public void peerMessageReceived(long at, int from, byte[] message) {
        event(at, t -> director.peerMessageReceived(t, from, message));
    }

    /** Does what has come due. */
    public void runDueTimers(long at) {
        now = Math.max(now, at);
        deadlines.runDue(now);
    }

    /** Whether something new may still go to the server. */
    public boolean acceptsSetUp(long at, String server) {
        ServerEntry b = boxes.get(server);
        return b != null
                && b.info != null
                && (b.closedSince == TimerQueue.NEVER
                        || at - b.closedSince < settings.rules().drainGrace() - DRAIN_MARGIN_US);
    }

    /** The longest time that a viewer may be told to stay away; 0: none may be told. */
    public long maxRetryAfter() {
        return settings.limits().maxRetryAfter();
    }

    /** Whether a session of that name stands. */
    public boolean isActive(String name) {
        BrokerSession call = byName.get(name);
        return call != null && call.stands;
    }

    /** Requests taken that have no final answer yet. */
    public int unansweredRequests() {
        return unansweredRequests;
    }

    /** Sessions that stand. */
    public int activeSessions() {
        return calls.size() - unansweredRequests;
    }

    public Counts counts() {
        return counts;
    }

    /** Where adapters book the steps of a request. */
    public RequestTrace trace() {
        return trace;
    }

    /**
     * At a planned end: takes nothing more (what comes is turned away at once), and tells every viewer and server that
     * its session is over. What is unanswered goes on; called again, it tells what has come to stand meanwhile.
     */
    public void releaseAll(long at) {
        event(at, t -> {
            ending = true;
            for (BrokerSession call : calls(c -> c.stands)) {
                call.via.release(call.box.id, call.wish.name());
                tellEnd(
                        new EndNotice(call.front, call.wish.name(), Outcome.RESET, t + END_NOTICE_VALIDITY_US),
                        call.connection);
                end(call, Outcome.RESET, LoadReport.NONE);
            }
        });
    }

    /** At the very end: whoever still waits is told that its request has failed, rather than nothing. */
    public void failAll(long at) {
        event(at, t -> {
            for (BrokerSession call : calls(c -> !c.answered)) {
                fail(call.id);
                director.requestCancelled(t, call.id);
            }
        });
    }

    // ---- The module's actions.

    @Override
    public void send(String request, String server, long allow) {
        BrokerSession call = call(request);
        ServerEntry box = boxes.get(server);
        if (call == null || call.answered || call.out) {
            breach("send", request, call == null ? "unknown request" : call.out ? "attempt out" : "answered");
            return;
        }
        call.attempts++;
        int attempt = call.attempts - 1;
        String why = box == null
                ? "unknown server"
                : !acceptsSetUp(now, server)
                        ? "server drains or is gone"
                        : call.ran && call.cls.effect() != Effect.SAFE
                                ? "may have run already"
                                : call.attempts > settings.limits().attempts() ? "too many attempts" : null;
        long left = Math.max(0, answerDue(call) - now);
        if (why != null || left == 0) {
            if (why != null) {
                breach("send", request, why);
            }
            events.add(
                    t -> director.outcome(t, call.id, attempt, server, Outcome.MOOT, call.answered, LoadReport.NONE));
            return;
        }
        long wait = allow > 0 ? Math.min(allow, left) : left;
        call.out = true;
        call.early.clear();
        call.box = box;
        call.rungSent = call.rung;
        call.attemptEnds = deadlines.schedule(now + wait, due -> event(due, t -> attemptTimedOut(call)));
        call.via.setUp(
                server,
                new ServerAdapter.SetUp(
                        call.wish.name(),
                        call.wish.className(),
                        call.wish.title(),
                        wait,
                        call.cls.floor(),
                        call.rung,
                        call.wish.description()));
    }

    @Override
    public void refuse(String request, long comeBack) {
        BrokerSession call = call(request);
        if (call == null || call.answered) {
            breach("refuse", request, "answered already");
            return;
        }
        if (call.out || call.ran && call.cls.effect() != Effect.SAFE) {
            breach("refuse", request, "may have run");
            fail(request);
            return;
        }
        finish(call);
        counts.refused++;
        call.front.refused(call.connection, call.wish.name(), comeBack);
    }

    @Override
    public void fail(String request) {
        BrokerSession call = call(request);
        if (call == null || call.answered) {
            return; // the module also fails what has ended by itself
        }
        boolean late = now >= answerDue(call);
        finish(call);
        counts.failed++;
        call.front.failed(call.connection, call.wish.name(), late);
    }

    @Override
    public void setRendition(String request, int rung) {
        BrokerSession call = call(request);
        if (call == null) {
            return;
        }
        int kept = Math.max(call.cls.floor(), Math.min(rung, Math.min(call.wish.highestRendition(), call.cls.top())));
        if (kept != rung) {
            breach("rate", request, "rung " + rung + " outside the class");
        }
        call.rung = kept;
        if (call.stands) {
            setRung(call);
        }
    }

    @Override
    public void move(String request) {
        BrokerSession call = call(request);
        if (call == null || !call.stands) {
            breach("move", request, "does not stand");
            return;
        }
        counts.moved++;
        long connection = anyConnection(call.front, call.connection);
        if (connection != 0 || !call.front.needsConnection()) {
            call.front.moved(connection, call.wish.name());
        } else {
            tellEnd(new EndNotice(call.front, call.wish.name(), Outcome.RESET, now + END_NOTICE_VALIDITY_US), 0);
        }
        call.via.release(call.box.id, call.wish.name());
        events.add(t -> end(call, Outcome.CANCELLED, LoadReport.NONE));
    }

    @Override
    public void probe(String server) {
        breach("probe", server, "probes are not allowed");
    }

    @Override
    public void broadcast(byte[] message) {
        if (settings.limits().peers()) {
            peers.broadcast(message);
        }
    }

    @Override
    public void timer(String key, long at) {
        deadlines.schedule(at, due -> event(due, t -> director.timer(t, key)));
    }

    @Override
    public long retryAfterUnit(String request) {
        BrokerSession call = call(request);
        return call == null ? 1000 : call.front.retryAfterUnit();
    }

    // ---- Inside.

    private BrokerSession add(BrokerSession call) {
        call.handle = calls.add(call);
        call.id = Long.toHexString(call.handle);
        byName.put(call.wish.name(), call);
        return call;
    }

    /** Those that meet a condition, copied: what is done with one may remove it. */
    private List<BrokerSession> calls(Predicate<BrokerSession> which) {
        List<BrokerSession> out = new ArrayList<>();
        calls.forEach(call -> {
            if (which.test(call)) {
                out.add(call);
            }
        });
        return out;
    }

    /** When the viewer must have its answer at the latest, so that it still arrives in its time. */
    private static long answerDue(BrokerSession call) {
        return call.came + Math.max(0, call.wish.clientDeadline() - ANSWER_MARGIN_US);
    }

    private BrokerSession call(String id) {
        return calls.get(Long.parseUnsignedLong(id, 16));
    }

    private void breach(String action, String what, String why) {
        counts.breaches++;
        LOG.warn("rule kept against the module: action={} of={} why={}", action, what, why);
    }

    private void answer(BrokerSession call) {
        call.answered = true;
        unansweredRequests--;
    }

    /** Books the final answer of a request that is not served, and forgets it. */
    private void finish(BrokerSession call) {
        if (call.out) {
            call.out = false;
            call.via.cancelSetUp(call.box.id, call.wish.name());
        }
        answer(call);
        forget(call);
    }

    private void forget(BrokerSession call) {
        deadlines.cancel(call.attemptEnds);
        deadlines.cancel(call.patienceEnds);
        calls.remove(call.handle);
        byName.remove(call.wish.name());
    }

    private void stand(BrokerSession call, long t) {
        call.stands = true;
        call.stoodSince = t;
        if (call.box.standing.merge(call.via, 1, Integer::sum) == 1) {
            call.via.setHasActiveSessions(call.box.id, true);
        }
    }

    /** A session that stood is over. */
    private void end(BrokerSession call, Outcome outcome, LoadReport report) {
        if (!call.stands) {
            return;
        }
        call.stands = false;
        call.via.sessionEnded(call.box.id, call.wish.name());
        if (call.box.standing.merge(call.via, -1, Integer::sum) == 0) {
            call.via.setHasActiveSessions(call.box.id, false);
        }
        forget(call);
        counts.over++;
        if (outcome == Outcome.RESET) {
            counts.reset++;
        }
        director.outcome(now, call.id, call.attempts - 1, call.box.id, outcome, true, report);
    }

    /**
     * The viewer left before its answer. One whose time was up before is owed it all the same: the loop was late, and read
     * of its leaving before it came to what was due.
     */
    private void abandon(BrokerSession call) {
        if (call.answered) {
            return;
        }
        if (now >= answerDue(call)) {
            trace.logFailure(call.wish.name(), "left unanswered when its time was up");
            patienceOver(call);
            return;
        }
        left(call, "gave up or closed");
        finish(call);
        counts.gone++;
        call.front.requestCancelled(call.connection, call.wish.name());
        director.requestCancelled(now, call.id);
    }

    /** Writes down who left unanswered: a request that nobody heard the end of can be told from one that was given up. */
    private void left(BrokerSession call, String how) {
        if (now / 1_000_000 != leftSecond) {
            leftSecond = now / 1_000_000;
            leftLines = 0;
        }
        if (leftLines++ < MAX_CANCEL_LOG_LINES_PER_S) {
            LOG.info(
                    "viewer left unanswered: session={} how={} ms={} of={} attempts={} out={}",
                    call.wish.name(),
                    how,
                    (now - call.came) / 1000,
                    call.wish.clientDeadline() / 1000,
                    call.attempts,
                    call.out);
        }
    }

    private void attemptTimedOut(BrokerSession call) {
        if (call.out) {
            call.via.cancelSetUp(call.box.id, call.wish.name());
            attemptOver(call, Outcome.TIMEOUT, LoadReport.NONE);
        }
    }

    private void attemptOver(BrokerSession call, Outcome outcome, LoadReport report) {
        call.out = false;
        deadlines.cancel(call.attemptEnds);
        boolean proof = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.MOOT;
        call.ran |= !proof;
        director.outcome(now, call.id, call.attempts - 1, call.box.id, outcome, false, report);
    }

    private void patienceOver(BrokerSession call) {
        if (call.answered) {
            return;
        }
        boolean tried = call.out;
        if (tried) {
            attemptTimedOut(call);
        }
        if (!call.answered) { // the module holds it still, or has no time left to try again
            if (!tried) {
                trace.logFailure(call.wish.name(), "held by the module until its time was up");
            }
            fail(call.id);
            director.requestCancelled(now, call.id);
        }
    }

    private void setRung(BrokerSession call) {
        call.rungSent = call.rung;
        call.via.setRendition(call.box.id, call.wish.name(), call.rung);
        call.front.renditionChanged(call.wish.name(), call.rung);
    }

    /** Tells a viewer of its session's end: on its own connection, on any other, or on the next that comes. */
    private void tellEnd(EndNotice o, long own) {
        if (!o.front().needsConnection()) {
            o.front().sessionEnded(0, o.name(), o.outcome());
            return;
        }
        long connection = anyConnection(o.front(), own);
        if (connection == 0) {
            owed.add(o);
            return;
        }
        Connection c = connections.get(connection);
        while (!c.told.isEmpty() && now - c.told.peekFirst().at() > END_NOTICE_RESEND_WINDOW_US) {
            c.told.removeFirst();
        }
        c.told.add(new SentNotice(o, now));
        o.front().sessionEnded(connection, o.name(), o.outcome());
    }

    /**
     * The session's own connection, else the one that was last asked on, of those known to be read before others. One
     * that never brought a set-up is no viewer's way to hear of sessions: it may be held by something that reads no more.
     */
    private long anyConnection(Front front, long own) {
        if (connections.get(own) != null) {
            return own;
        }
        long[] found = {0};
        Connection[] best = {null};
        connections.forEachWithHandle((handle, c) -> {
            if (c.front == front
                    && c.askedAt >= 0
                    && (best[0] == null || (c.proved == best[0].proved ? c.askedAt >= best[0].askedAt : c.proved))) {
                found[0] = handle;
                best[0] = c;
            }
        });
        return found[0];
    }
}
