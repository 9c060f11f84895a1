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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The broker's state machine, free of I/O: passes requests, attempts and outcomes between the fronts, the decision
 * module and the server adapters, and enforces the rules of the protocol even where one of them breaks them.
 *
 * <p>Not thread-safe: all calls come from one thread. Every call is given the current time; all times and durations
 * are in microseconds. An action of the decision module takes effect at once, but the events that follow from it are
 * queued and reach the module only after its current call has returned.
 */
public final class Broker implements Director.Actions {
    /** Time before the client deadline at which the answer is sent at the latest, so that it still arrives in time. */
    static final long ANSWER_MARGIN_US = 10_000;
    /** Part of a draining server's grace period that is reserved for the transmission of a set-up to the server. */
    static final long DRAIN_MARGIN_US = 300_000;
    /** Most that a client deadline may be, as a multiple of its class's deadline; no real viewer asks for more. */
    private static final int MAX_CLIENT_DEADLINE_RATIO = 2;
    /** Time after which a server that is gone is removed from the table; no attempt lasts that long. */
    private static final long GONE_SERVER_RETENTION_US = 60_000_000;

    /** Most metrics that are kept for one set-up until its answer arrives; further ones are discarded. */
    private static final int MAX_EARLY_METRICS = 8;

    /** Log lines a second on cancelled or repeated requests: enough to find a single one, safe in a flood. */
    private static final int MAX_REQUEST_LOG_LINES_PER_S = 5;

    private static final Logger LOG = LoggerFactory.getLogger(Broker.class);

    private final Settings settings;
    private final Director director;
    private final Peers peers;
    private final TimerQueue timers;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final SlotTable<BrokerSession> sessions = new SlotTable<>();
    private final EndNotices endNotices = new EndNotices();
    private final AtMostOnceHistory atMostOnceHistory = new AtMostOnceHistory();
    private final Map<String, BrokerSession> sessionsByName = new HashMap<>();
    private final LinkedHashMap<String, ServerEntry> servers = new LinkedHashMap<>();
    private final ArrayDeque<LongConsumer> eventQueue = new ArrayDeque<>();
    private boolean dispatching;
    private boolean shuttingDown;
    private long currentTime;
    private final LogLimit requestLog = new LogLimit(MAX_REQUEST_LOG_LINES_PER_S);
    private int unansweredRequests;
    private final Counts counts = new Counts();
    private final RequestTrace trace = new RequestTrace();

    /** Numbers of events since the start, for the log; each field has the name of its key in the log line. */
    public static final class Counts {
        /** Requests accepted, including those refused because of a shutdown. */
        public long requests;
        /** Requests answered with a session. */
        public long served;
        /** Requests refused without being served. */
        public long refused;
        /** Requests answered with an error. */
        public long failed;
        /** Requests whose viewer cancelled, or closed or half-closed its connection, before the answer. */
        public long gone;
        /** Sessions adopted that were already playing. */
        public long opened;
        /** Sessions ended, for whichever reason. */
        public long over;
        /** Sessions ended with the outcome RESET; counted in {@link #over} as well. */
        public long reset;
        /** Sessions taken off their servers by the decision module, to be requested again. */
        public long moved;
        /** Actions of the decision module that broke a rule. */
        public long breaches;

        @Override
        public String toString() {
            return "requests=" + requests + " served=" + served + " refused=" + refused + " failed=" + failed
                    + " gone=" + gone + " opened=" + opened + " over=" + over + " reset=" + reset
                    + " moved=" + moved + " breaches=" + breaches;
        }
    }

    /** Builds the decision module with this broker as its actions; {@code timers} run in {@link #runDueTimers}. */
    public Broker(Settings settings, Function<Director.Actions, Director> module, Peers peers, TimerQueue timers) {
        this.settings = settings;
        this.peers = peers;
        this.timers = timers;
        for (SessionClass sessionClass : settings.classes()) {
            classes.put(sessionClass.name(), sessionClass);
        }
        director = module.apply(this);
    }

    /** Handles an event now, or queues it while another one is being handled. */
    private void dispatch(long eventTime, LongConsumer newEvent) {
        eventQueue.add(newEvent);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            currentTime = Math.max(currentTime, eventTime);
            while (!eventQueue.isEmpty()) {
                LongConsumer event = eventQueue.poll();
                FaultBarrier.run(() -> event.accept(currentTime));
            }
        } finally {
            dispatching = false;
        }
    }

    // ---- Events from the fronts.

    /** A connection from viewers has been opened; {@code onHandle} gets its handle before anything is sent on it. */
    public long connected(long now, Front front, LongConsumer onHandle) {
        long handle = endNotices.opened(front, onHandle);
        dispatch(now, director::connected);
        return handle;
    }

    /** Records a set-up on a connection. Viewers use that connection, so it is also sent the pending end notices. */
    private void recordSetUp(long now, long handle, boolean knownRead) {
        if (endNotices.setUpReceived(now, handle, knownRead)) {
            dispatch(now, endNotices::sendWaiting);
        }
    }

    /** A connection has been closed: cancels the requests that waited for an answer on it. */
    public void disconnected(long now, long connection) {
        LongConsumer sendLostNotices = endNotices.closed(connection);
        if (sendLostNotices == null) {
            return;
        }
        dispatch(now, eventTime -> {
            handleEach(
                    sessionsWhere(session -> session.connection == connection && !session.active), this::cancelRequest);
            sendLostNotices.accept(eventTime);
        });
    }

    /**
     * The viewer's side has closed its half of a connection; what is written to it may still be read. Unanswered
     * requests on it are answered now, without further attempts. It must carry no end notices from now on: the front
     * calls {@link #disconnected} next.
     */
    public void halfClosed(long now, long connection) {
        dispatch(now, eventTime -> {
            handleEach(
                    sessionsWhere(session -> session.connection == connection && !session.answered),
                    session -> answerHalfClosed(eventTime, session));
        });
    }

    private void answerHalfClosed(long now, BrokerSession session) {
        logCancellation(session, "half-closed");
        boolean mayHaveRun = session.attemptPending || session.mayHaveRun;
        closeRequest(session);
        counts.gone++;
        if (mayHaveRun && session.sessionClass.effect() != Effect.SAFE) {
            session.front.failed(session.connection, session.request.name(), false);
        } else {
            session.front.refused(session.connection, session.request.name(), maxRetryAfter());
        }
        tellDirector(module -> module.requestCancelled(now, session.id));
    }

    /** The viewer has confirmed the end notice of the session {@code name}. */
    public void endConfirmed(long handle, String name) {
        endNotices.confirmed(handle, name);
    }

    /**
     * Accepts a viewer's request for a session. While shutting down, accepts it and refuses it at once.
     *
     * @return false if it is rejected: its class is unknown, its name is that of a present request or session, or one
     *     of its values is out of range
     */
    public boolean request(long now, long connection, Front front, ServerAdapter adapter, SessionRequest request) {
        SessionClass sessionClass = classes.get(request.className());
        if (sessionClass == null
                || sessionsByName.containsKey(request.name())
                || !inRange(request)
                || request.clientDeadline() <= 0
                || request.clientDeadline() > MAX_CLIENT_DEADLINE_RATIO * sessionClass.deadline()) {
            return false;
        }
        if (atMostOnceHistory.contains(now, request.name())) {
            if (requestLog.mayLog(now)) {
                LOG.warn("request failed, it came again and may have run before: session={}", request.name());
            }
            counts.requests++;
            counts.failed++;
            front.failed(connection, request.name(), false);
            return true;
        }
        if (shuttingDown) {
            counts.requests++;
            counts.refused++;
            front.refused(connection, request.name(), maxRetryAfter());
            return true;
        }
        BrokerSession session = add(new BrokerSession(request, front, adapter, sessionClass, connection, now));
        unansweredRequests++;
        counts.requests++;
        recordSetUp(now, connection, false);
        dispatch(now, eventTime -> {
            session.clientDeadlineTimer = timers.schedule(
                    answerDue(session), dueAt -> dispatch(dueAt, dueTime -> clientDeadlineReached(session)));
            tellDirector(module -> module.request(eventTime, request.toDirectorRequest(session.id)));
        });
        return true;
    }

    /** Whether cells and rendition exist at this site; servers do not check them, and would accept any value. */
    private boolean inRange(SessionRequest request) {
        return request.homeCell() >= 0
                && request.homeCell() < settings.ladder().cells()
                && request.copies() >= 0
                && request.copies() <= settings.ladder().cells()
                && request.highestRendition() >= 0
                && request.highestRendition() < settings.ladder().rates().size();
    }

    /**
     * Takes over a session that is already playing, as reported by its viewer. A session that is already present stays
     * unchanged.
     *
     * @return false if it is rejected: its class or server is unknown, or one of its values is out of range
     */
    public boolean adoptSession(
            long now, long connection, Front front, ServerAdapter adapter, SessionRequest request, String server) {
        SessionClass sessionClass = classes.get(request.className());
        ServerEntry entry = servers.get(server);
        if (sessionClass == null || entry == null || entry.mergedListing == null || !inRange(request)) {
            return false;
        }
        if (sessionsByName.containsKey(request.name())) {
            return true;
        }
        BrokerSession session = add(new BrokerSession(request, front, adapter, sessionClass, connection, now));
        recordSetUp(now, connection, true);
        session.server = entry;
        session.attempts = 1;
        session.rendition = sessionClass.lowestRendition();
        session.sentRendition = sessionClass.lowestRendition();
        session.answered = true;
        counts.opened++;
        dispatch(now, eventTime -> {
            activate(session, eventTime);
            tellDirector(module -> module.adoptSession(eventTime, request.toDirectorRequest(session.id), server));
            adapter.sessionAdopted(server, request.name());
        });
        return true;
    }

    /** The viewer has cancelled its request or ended its session; unknown names are ignored. */
    public void cancel(long now, String name) {
        dispatch(now, eventTime -> {
            BrokerSession session = sessionsByName.get(name);
            if (session != null && session.active) {
                releaseAtServer(session);
                endSession(session, Outcome.CANCELLED, LoadReport.NONE);
            } else if (session != null) {
                cancelRequest(session);
            }
        });
    }

    /** An active session has ended normally, as detected by its front. */
    public void sessionCompleted(long now, String name) {
        dispatch(now, eventTime -> {
            BrokerSession session = sessionsByName.get(name);
            if (session != null && session.active) {
                releaseAtServer(session);
                endSession(session, Outcome.OK, LoadReport.NONE);
            }
        });
    }

    /** An answer could not be delivered completely to the viewer, so the session has no player: ends it. */
    public void answerUndelivered(long now, String name) {
        cancel(now, name);
    }

    // ---- Events from the server adapters.

    /** A server has answered a set-up: the session is now active. An answer to a cancelled attempt is ignored. */
    public void setUpAnswered(long now, String server, String name, String description) {
        dispatch(now, eventTime -> {
            BrokerSession session = sessionsByName.get(name);
            if (session == null || !session.attemptPending || !session.server.id.equals(server)) {
                return; // cancelled before
            }
            session.attemptPending = false;
            timers.cancel(session.attemptTimer);
            timers.cancel(session.clientDeadlineTimer);
            markAnswered(session);
            session.request = session.request.withoutDescription();
            endNotices.sessionStarted(session.connection);
            activate(session, eventTime);
            Front.Grant grant =
                    new Front.Grant(server, description, session.sessionClass.lowestRendition(), session.rendition);
            boolean passedOn = FaultBarrier.run(() -> session.front.served(session.connection, name, grant));
            if (session.rendition != session.sentRendition) {
                applyRendition(session); // set while the set-up was pending
            }
            tellDirector(module -> module.sessionStarted(eventTime, session.id, session.attempts - 1, server));
            session.earlyMetrics.forEach(metric -> metric.accept(eventTime));
            session.earlyMetrics.clear();
            if (passedOn) {
                counts.served++;
            } else {
                failGranted(session);
            }
        });
    }

    /** The answer of a request could not be passed on: its session has no player, and the request has failed. */
    private void failGranted(BrokerSession session) {
        releaseAtServer(session);
        endSession(session, Outcome.RESET, LoadReport.NONE);
        counts.failed++;
        session.front.failed(session.connection, session.request.name(), false);
    }

    /** An attempt has ended without an answer, or an active session has ended at its server. */
    public void ended(long now, String server, String name, Outcome outcome, LoadReport report) {
        dispatch(now, eventTime -> {
            BrokerSession session = sessionsByName.get(name);
            if (session == null || session.server == null || !session.server.id.equals(server)) {
                return;
            }
            if (session.attemptPending) {
                attemptEnded(session, outcome, report);
            } else if (session.active) {
                Outcome end = outcome == Outcome.OK || outcome == Outcome.CANCELLED ? outcome : Outcome.RESET;
                if (end != Outcome.CANCELLED) {
                    notifyEnd(session, end);
                }
                endSession(session, end, report);
            }
        });
    }

    /** A server has reported a metric of a session; its unit depends on {@code metric}. */
    public void metricReceived(long now, String server, String name, Metric metric, double value) {
        dispatch(now, eventTime -> {
            BrokerSession session = sessionsByName.get(name);
            if (session != null && session.attemptPending && session.server.id.equals(server)) {
                // A server may report a metric before it answers the set-up.
                if (session.earlyMetrics.size() < MAX_EARLY_METRICS) {
                    session.earlyMetrics.add(later -> metricReceived(later, server, name, metric, value));
                }
            } else if (session != null && session.active && session.server.id.equals(server)) {
                if (metric == Metric.RENDITION
                        && (value < session.sessionClass.lowestRendition()
                                || value > session.sessionClass.highestRendition())) {
                    return;
                }
                if (metric == Metric.RENDITION) {
                    session.rendition = (int) value; // was in force when the server sent this
                }
                tellDirector(module -> module.metricReceived(eventTime, session.id, server, metric, value));
            }
        });
    }

    /** A server's process has ended, and with it this adapter's sessions that became active before {@code before}. */
    public void serverLost(long now, ServerAdapter adapter, String server, long before) {
        dispatch(now, eventTime -> {
            List<BrokerSession> lost = sessionsWhere(session -> session.active
                    && session.adapter == adapter
                    && session.server.id.equals(server)
                    && session.activeSince < before);
            if (!lost.isEmpty()) {
                LOG.warn("server process lost, ending its sessions: id={} sessions={}", server, lost.size());
            }
            handleEach(lost, session -> {
                notifyEnd(session, Outcome.RESET);
                endSession(session, Outcome.RESET, LoadReport.NONE);
            });
        });
    }

    // ---- Events from server lists, peers and the clock.

    /**
     * A list of servers has been received from one of several sources. A server on several lists counts with the worst
     * of its states, except that GONE counts only if every list says so.
     *
     * @param source name of the list's source
     * @param scope  whether {@code listed} is complete or holds only what changed
     */
    public void serversChanged(long now, String source, ListScope scope, List<Server> listed) {
        dispatch(now, eventTime -> {
            List<Server> merged = new ArrayList<>();
            if (scope == ListScope.SNAPSHOT || scope == ListScope.DISK) {
                Set<String> listedIds = listed.stream().map(Server::id).collect(Collectors.toSet());
                for (ServerEntry entry : servers.values()) {
                    if (entry.listings.containsKey(source) && !listedIds.contains(entry.id)) {
                        entry.listings.remove(source);
                        merged.add(mergeListings(eventTime, entry));
                    }
                }
            }
            for (Server server : listed) {
                ServerEntry entry = servers.computeIfAbsent(server.id(), ServerEntry::new);
                entry.listings.put(source, server);
                merged.add(mergeListings(eventTime, entry));
            }
            boolean onlySource = servers.values().stream()
                    .allMatch(entry -> entry.listings.keySet().stream().allMatch(source::equals));
            ListScope reportedScope = scope == ListScope.SNAPSHOT && !onlySource ? ListScope.CHANGES : scope;
            tellDirector(module -> module.serversChanged(eventTime, reportedScope, merged));
            servers.values()
                    .removeIf(entry -> entry.notUpSince < eventTime - GONE_SERVER_RETENTION_US
                            && entry.mergedListing.state() == State.GONE
                            && entry.activeSessions.values().stream().allMatch(count -> count == 0));
        });
    }

    /** Merges the entries of all lists on a server; one that is on no list any more is GONE. */
    private Server mergeListings(long now, ServerEntry entry) {
        Server worst = null;
        for (Server listing : entry.listings.values()) {
            worst = worst == null
                            || listing.state().compareTo(worst.state()) > 0 && listing.state() != State.GONE
                            || worst.state() == State.GONE
                    ? listing
                    : worst;
        }
        if (worst == null) {
            worst = entry.mergedListing.withState(State.GONE);
        }
        entry.mergedListing = worst;
        if (worst.state() == State.UP) {
            entry.notUpSince = TimerQueue.NEVER;
        } else if (entry.notUpSince == TimerQueue.NEVER) {
            entry.notUpSince = now;
        }
        return worst;
    }

    /** A message from the decision module of the broker with the number {@code from} has been received. */
    public void peerMessageReceived(long now, int from, byte[] message) {
        dispatch(now, eventTime -> director.peerMessageReceived(eventTime, from, message));
    }

    /** Runs the timers that are due. */
    public void runDueTimers(long now) {
        currentTime = Math.max(currentTime, now);
        timers.runDue(currentTime);
    }

    /** Whether a set-up may still be sent to the server: it is up, or its grace period for draining is not over. */
    public boolean acceptsSetUp(long now, String server) {
        ServerEntry entry = servers.get(server);
        return entry != null
                && entry.mergedListing != null
                && (entry.notUpSince == TimerQueue.NEVER
                        || now - entry.notUpSince < settings.rules().drainGrace() - DRAIN_MARGIN_US);
    }

    /** The longest retry-after time that a viewer may be given, in microseconds; 0: none may be given. */
    public long maxRetryAfter() {
        return settings.limits().maxRetryAfter();
    }

    /** Whether there is an active session of that name. */
    public boolean isActive(String name) {
        BrokerSession session = sessionsByName.get(name);
        return session != null && session.active;
    }

    /** Number of accepted requests without a final answer. */
    public int unansweredRequests() {
        return unansweredRequests;
    }

    /** Number of active sessions. */
    public int activeSessions() {
        return sessions.size() - unansweredRequests;
    }

    /** The counters since the start; they continue to change. */
    public Counts counts() {
        return counts;
    }

    /** The trace to which fronts and adapters add the steps of a request. */
    public RequestTrace trace() {
        return trace;
    }

    /**
     * Begins a graceful shutdown: refuses new requests at once, ends all active sessions and notifies their viewers and
     * servers. Unanswered requests continue; a further call ends the sessions that became active since.
     */
    public void releaseAll(long now) {
        dispatch(now, eventTime -> {
            shuttingDown = true;
            handleEach(sessionsWhere(candidate -> candidate.active), session -> {
                releaseAtServer(session);
                notifyEnd(session, Outcome.RESET);
                endSession(session, Outcome.RESET, LoadReport.NONE);
            });
        });
    }

    /** Last step of a shutdown: fails the unanswered requests, so that no viewer waits for an answer in vain. */
    public void failAll(long now) {
        dispatch(now, eventTime -> {
            handleEach(sessionsWhere(candidate -> !candidate.answered), session -> {
                fail(session.id);
                tellDirector(module -> module.requestCancelled(eventTime, session.id));
            });
        });
    }

    // ---- Actions of the decision module.

    @Override
    public void send(String request, String server, long timeout) {
        BrokerSession session = session(request);
        ServerEntry entry = servers.get(server);
        if (session == null || session.answered || session.attemptPending) {
            recordViolation(
                    "send",
                    request,
                    session == null
                            ? "unknown request"
                            : session.attemptPending ? "an attempt is pending" : "answered");
            return;
        }
        session.attempts++;
        int attempt = session.attempts - 1;
        String violation = entry == null
                ? "unknown server"
                : !acceptsSetUp(currentTime, server)
                        ? "server is draining or gone"
                        : session.mayHaveRun && session.sessionClass.effect() != Effect.SAFE
                                ? "may have run already"
                                : session.attempts > settings.limits().attempts() ? "too many attempts" : null;
        long timeLeft = Math.max(0, answerDue(session) - currentTime);
        if (violation != null || timeLeft == 0) {
            if (violation != null) {
                recordViolation("send", request, violation);
            }
            eventQueue.add(eventTime -> director.outcome(
                    eventTime, session.id, attempt, server, Outcome.MOOT, session.answered, LoadReport.NONE));
            return;
        }
        long attemptTimeout = timeout > 0 ? Math.min(timeout, timeLeft) : timeLeft;
        session.attemptPending = true;
        session.earlyMetrics.clear();
        session.server = entry;
        session.sentRendition = session.rendition;
        session.attemptTimer = timers.schedule(
                currentTime + attemptTimeout, dueAt -> dispatch(dueAt, eventTime -> attemptTimedOut(session)));
        session.adapter.setUp(
                server,
                new ServerAdapter.SetUp(
                        session.request.name(),
                        session.request.className(),
                        session.request.title(),
                        attemptTimeout,
                        session.sessionClass.lowestRendition(),
                        session.rendition,
                        session.request.description()));
    }

    @Override
    public void refuse(String request, long retryAfter) {
        BrokerSession session = session(request);
        if (session == null || session.answered) {
            recordViolation("refuse", request, "answered already");
            return;
        }
        if (session.attemptPending || session.mayHaveRun && session.sessionClass.effect() != Effect.SAFE) {
            recordViolation("refuse", request, "may have run");
            fail(request);
            return;
        }
        closeRequest(session);
        counts.refused++;
        session.front.refused(session.connection, session.request.name(), retryAfter);
    }

    @Override
    public void fail(String request) {
        BrokerSession session = session(request);
        if (session == null || session.answered) {
            return; // the module may fail a request that was answered meanwhile
        }
        boolean late = currentTime >= answerDue(session);
        closeRequest(session);
        counts.failed++;
        session.front.failed(session.connection, session.request.name(), late);
    }

    @Override
    public void setRendition(String request, int rendition) {
        BrokerSession session = session(request);
        if (session == null) {
            return;
        }
        int clamped = Math.max(
                session.sessionClass.lowestRendition(),
                Math.min(
                        rendition,
                        Math.min(session.request.highestRendition(), session.sessionClass.highestRendition())));
        if (clamped != rendition) {
            recordViolation("rate", request, "rendition " + rendition + " is outside the range of class and request");
        }
        session.rendition = clamped;
        if (session.active) {
            applyRendition(session);
        }
    }

    @Override
    public void move(String request) {
        BrokerSession session = session(request);
        if (session == null || !session.active) {
            recordViolation("move", request, "session is not active");
            return;
        }
        counts.moved++;
        long connection = endNotices.findConnection(session.front, session.connection);
        if (connection != 0 || !session.front.needsConnection()) {
            session.front.moved(connection, session.request.name());
        } else {
            endNotices.notifyEnd(currentTime, session.front, session.request.name(), Outcome.RESET, 0);
        }
        releaseAtServer(session);
        eventQueue.add(eventTime -> endSession(session, Outcome.CANCELLED, LoadReport.NONE));
    }

    @Override
    public void probe(String server) {
        recordViolation("probe", server, "probes are not allowed");
    }

    @Override
    public void broadcast(byte[] message) {
        if (settings.limits().peers()) {
            peers.broadcast(message);
        }
    }

    @Override
    public void scheduleTimer(String key, long time) {
        timers.schedule(time, dueAt -> dispatch(dueAt, eventTime -> director.timer(eventTime, key)));
    }

    @Override
    public long retryAfterUnit(String request) {
        BrokerSession session = session(request);
        return session == null ? 1000 : session.front.retryAfterUnit();
    }

    // ---- Internals.

    /** Stores a new session and gives it its handle and id. */
    private BrokerSession add(BrokerSession session) {
        session.handle = sessions.add(session);
        session.id = Long.toHexString(session.handle);
        sessionsByName.put(session.request.name(), session);
        return session;
    }

    /** Passes an event to the decision module. */
    private void tellDirector(Consumer<Director> event) {
        FaultBarrier.run(() -> event.accept(director));
    }

    /** Ends an active session at its server. */
    private static void releaseAtServer(BrokerSession session) {
        FaultBarrier.run(() -> session.adapter.release(session.server.id, session.request.name()));
    }

    /** Cancels a set-up at its server. */
    private static void cancelAtServer(BrokerSession session) {
        FaultBarrier.run(() -> session.adapter.cancelSetUp(session.server.id, session.request.name()));
    }

    private static void handleEach(List<BrokerSession> affected, Consumer<BrokerSession> action) {
        affected.forEach(session -> FaultBarrier.run(() -> action.accept(session)));
    }

    /** Copies the sessions that meet a condition, as the caller may remove sessions while it iterates. */
    private List<BrokerSession> sessionsWhere(Predicate<BrokerSession> condition) {
        List<BrokerSession> matching = new ArrayList<>();
        sessions.forEach(session -> {
            if (condition.test(session)) {
                matching.add(session);
            }
        });
        return matching;
    }

    /** Time at which the answer has to be sent at the latest, to arrive before the client deadline. */
    private static long answerDue(BrokerSession session) {
        return session.receivedAt + Math.max(0, session.request.clientDeadline() - ANSWER_MARGIN_US);
    }

    /** The session with an id that the decision module knows; null if it is over. */
    private BrokerSession session(String id) {
        return sessions.get(Long.parseUnsignedLong(id, 16));
    }

    /** Counts and logs an action of the decision module that broke a rule. */
    private void recordViolation(String action, String target, String why) {
        counts.breaches++;
        LOG.warn("action of the decision module broke a rule: action={} of={} why={}", action, target, why);
    }

    /** Records that the request has had its final answer. */
    private void markAnswered(BrokerSession session) {
        session.answered = true;
        unansweredRequests--;
    }

    /** Records the final answer of a request that is not served and removes it, cancelling its pending attempt. */
    private void closeRequest(BrokerSession session) {
        if (session.attemptPending) {
            session.attemptPending = false;
            session.mayHaveRun = true;
            cancelAtServer(session);
        }
        markAnswered(session);
        removeSession(session);
    }

    /** Removes a request or session with its timers; one that must not run twice is remembered if it may have run. */
    private void removeSession(BrokerSession session) {
        if (session.mayHaveRun && session.sessionClass.effect() != Effect.SAFE) {
            atMostOnceHistory.add(currentTime, session.request.name());
        }
        timers.cancel(session.attemptTimer);
        timers.cancel(session.clientDeadlineTimer);
        sessions.remove(session.handle);
        sessionsByName.remove(session.request.name());
    }

    /** Makes a request an active session. */
    private void activate(BrokerSession session, long now) {
        session.active = true;
        session.mayHaveRun = true;
        session.activeSince = now;
        if (session.server.activeSessions.merge(session.adapter, 1, Integer::sum) == 1) {
            session.adapter.setHasActiveSessions(session.server.id, true);
        }
    }

    /** Ends an active session, notifying adapter and decision module but not the viewer. */
    private void endSession(BrokerSession session, Outcome outcome, LoadReport report) {
        if (!session.active) {
            return;
        }
        session.active = false;
        session.adapter.sessionEnded(session.server.id, session.request.name());
        if (session.server.activeSessions.merge(session.adapter, -1, Integer::sum) == 0) {
            session.adapter.setHasActiveSessions(session.server.id, false);
        }
        removeSession(session);
        counts.over++;
        if (outcome == Outcome.RESET) {
            counts.reset++;
        }
        tellDirector(module -> module.outcome(
                currentTime, session.id, session.attempts - 1, session.server.id, outcome, true, report));
    }

    /**
     * Cancels a request whose viewer has left before the answer. If the answer was already due, the request is failed
     * instead: the event loop was late and read of the cancellation before it ran the timer of the client deadline.
     */
    private void cancelRequest(BrokerSession session) {
        if (session.answered) {
            return;
        }
        if (currentTime >= answerDue(session)) {
            trace.logFailure(session.request.name(), "cancelled unanswered after its answer was due");
            clientDeadlineReached(session);
            return;
        }
        logCancellation(session, "cancelled or disconnected");
        closeRequest(session);
        counts.gone++;
        session.front.setUpCancelled(session.connection, session.request.name());
        tellDirector(module -> module.requestCancelled(currentTime, session.id));
    }

    /** Logs a request cancelled unanswered, to distinguish it from one whose answer was lost. */
    private void logCancellation(BrokerSession session, String how) {
        if (requestLog.mayLog(currentTime)) {
            LOG.info(
                    "request cancelled unanswered: session={} how={} ms={} of={} attempts={} out={}",
                    session.request.name(),
                    how,
                    (currentTime - session.receivedAt) / 1000,
                    session.request.clientDeadline() / 1000,
                    session.attempts,
                    session.attemptPending);
        }
    }

    /** The time of a pending attempt is over: cancels it at the server. */
    private void attemptTimedOut(BrokerSession session) {
        if (session.attemptPending) {
            cancelAtServer(session);
            attemptEnded(session, Outcome.TIMEOUT, LoadReport.NONE);
        }
    }

    /** A pending attempt has ended without a session. */
    private void attemptEnded(BrokerSession session, Outcome outcome, LoadReport report) {
        session.attemptPending = false;
        timers.cancel(session.attemptTimer);
        boolean provenNotRun = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.MOOT;
        session.mayHaveRun |= !provenNotRun;
        tellDirector(module -> module.outcome(
                currentTime, session.id, session.attempts - 1, session.server.id, outcome, false, report));
    }

    /** The answer is due: ends a pending attempt and, unless the decision module then answers, fails the request. */
    private void clientDeadlineReached(BrokerSession session) {
        if (session.answered) {
            return;
        }
        boolean hadAttempt = session.attemptPending;
        if (hadAttempt) {
            attemptTimedOut(session);
        }
        if (!session.answered) { // the module still holds it, or has no time left for a retry
            if (!hadAttempt) {
                trace.logFailure(session.request.name(), "held by the decision module until its answer was due");
            }
            fail(session.id);
            tellDirector(module -> module.requestCancelled(currentTime, session.id));
        }
    }

    /** Passes the rendition of an active session to its server and its front. */
    private void applyRendition(BrokerSession session) {
        session.sentRendition = session.rendition;
        session.adapter.setRendition(session.server.id, session.request.name(), session.rendition);
        session.front.renditionChanged(session.request.name(), session.rendition);
    }

    /** Notifies a viewer of the end of its session. */
    private void notifyEnd(BrokerSession session, Outcome outcome) {
        endNotices.notifyEnd(currentTime, session.front, session.request.name(), outcome, session.connection);
    }
}
