package dockshed.storm;

import dockshed.Director;
import dockshed.DirectorFilter;
import dockshed.storm.AdmissionQueue.QueuedRequest;
import dockshed.storm.RequestHistory.ReturnKind;
import dockshed.storm.RequestHistory.ViewerRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the load of retry storms: a director between the broker and the decision module. Every event passes through it.
 * A request may be queued or refused before the module receives it, every refusal advises a return time, and the module
 * learns through its {@link Director.Actions} what the retry budget and the pace of freshly started edge servers allow.
 */
public final class RetryStormFilter extends DirectorFilter {
    private static final String TIMER_KEY = "storm";
    /** Time between timer events while requests are queued. */
    private static final long QUEUE_INTERVAL_US = 20_000;
    /** Time between timer events while no request is queued. */
    private static final long IDLE_INTERVAL_US = 250_000;
    /** Share of the expected set-up rate that is kept for returning viewers, however many first requests arrive. */
    private static final double MIN_RETURN_SHARE = 0.3;

    /** Returns that are booked in any case, however little capacity the brokers report. */
    private static final double MIN_RETURNS_PER_SECOND = 0.2;
    /** Age up to which the last status of another broker is used. */
    private static final long PEER_STATUS_VALIDITY_US = 3_000_000;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.storm.Damper");

    /** Counts since the start. */
    public static final class Counts {
        /** Requests of known classes. */
        public long requests;
        /** Requests that entered the admission queue. */
        public long waited;
        /** Requests refused before the decision module received them. */
        public long turnedAway;
        /** Refusals that assigned a new return time; an early return that keeps its time is not counted. */
        public long returnTimesGiven;
        /** Of them, those drawn at random because the calendar had no free slot. */
        public long unscheduledReturnTimes;
        /** Returns at or after the advised time. */
        public long returnsOnTime;
        /** Returns before the advised time. */
        public long returnsEarly;
        /** Returns of viewers that had not been given a time. */
        public long returnsWithoutTime;
        /** Retries of the broker that the retry budget did not allow. */
        public long retriesDenied;
        /** Status messages sent to the other brokers. */
        public long messagesSent;
        /** Status messages received and used. */
        public long messagesReceived;
        /** Status messages that could not be read or did not come from another broker of the fleet. */
        public long messagesDiscarded;
        /** Viewers removed from the request history because it was full. */
        public long evictedViewers;

        @Override
        public String toString() {
            return "requests=" + requests + " waited=" + waited + " turned_away=" + turnedAway + " appointed="
                    + returnTimesGiven + " unplaced=" + unscheduledReturnTimes + " kept=" + returnsOnTime + " early="
                    + returnsEarly + " retries_denied="
                    + retriesDenied;
        }
    }

    /** A request that the decision module has received and not answered. */
    private static final class ActiveRequest {
        final ViewerRecord viewerRecord;
        final String key;
        final ReturnKind returnKind;
        final boolean isRetry;
        int attempts;

        ActiveRequest(ViewerRecord viewerRecord, String key, ReturnKind returnKind, boolean isRetry) {
            this.isRetry = isRetry;
            this.viewerRecord = viewerRecord;
            this.key = key;
            this.returnKind = returnKind;
        }
    }

    /** The last status of another broker. */
    private record PeerStatus(StormMessage message, long receivedAt) {}

    private final Settings settings;
    private final Terms terms;
    private final Director.Actions actions;
    private final SplittableRandom random;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Map<String, ActiveRequest> activeRequests = new HashMap<>(); // bounded by the broker's session table
    private final Map<Integer, PeerStatus> peerStatuses = new HashMap<>(); // bounded by the number of brokers
    private final StormDetector detector;
    private final ReturnCalendar calendar;
    private final RequestHistory history;
    private final AdmissionQueue queue;
    private final RetryBudget budget;
    private final ColdServerLimiter coldServers;
    private final CapacityEstimate capacity = new CapacityEstimate();
    private final SlidingWindowCounter firstRequests = new SlidingWindowCounter(100_000, StormDetector.FAST_WINDOW_US);
    private final Counts counts = new Counts();
    private long eventTime;
    private long lastMessageAt;
    private long timerAt = Long.MAX_VALUE;

    /** Returns a factory that puts a filter between a broker's actions and the module built by {@code module}. */
    public static Function<Director.Actions, Director> before(
            Settings settings, Terms terms, long seed, Function<Director.Actions, Director> module) {
        return actions -> new RetryStormFilter(settings, terms, seed, actions, module);
    }

    RetryStormFilter(
            Settings settings,
            Terms terms,
            long seed,
            Director.Actions actions,
            Function<Director.Actions, Director> module) {
        this.settings = settings;
        this.terms = terms;
        this.actions = actions;
        random = new SplittableRandom(seed);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        List<Double> rates = settings.ladder().rates();
        double expectedRate =
                settings.ladder().linksKb() / (rates.get(rates.size() / 2) * ASSUMED_SESSION_S) / settings.brokers();
        detector = new StormDetector(terms, Math.max(0.5, expectedRate), settings.brokers());
        calendar = new ReturnCalendar(terms.slot());
        history = new RequestHistory(terms);
        queue = new AdmissionQueue(terms);
        budget = new RetryBudget(terms);
        coldServers = new ColdServerLimiter(settings, terms);
        this.nextDirector = module.apply(new ModuleActions());
    }

    /** Length of a session, for the expected arrival rate before any arrivals have been measured. */
    private static final double ASSUMED_SESSION_S = 25;

    public Counts counts() {
        counts.retriesDenied = budget.denied;
        counts.evictedViewers = history.evicted;
        return counts;
    }

    /** The detector's state, for the log and measurements: CALM, RISING, STORM or EBBING. */
    public String state() {
        return detector.state().name();
    }

    int trackedViewers() {
        return history.size();
    }

    int queuedRequests() {
        return queue.size();
    }

    int pendingReturns() {
        return calendar.pending(eventTime);
    }

    // ---- Requests.

    @Override
    public void request(long now, Request request) {
        beforeEvent(now);
        SessionClass sessionClass = classes.get(request.className());
        if (sessionClass == null) {
            nextDirector.request(now, request); // failing it is left to the decision module
            return;
        }
        counts.requests++;
        String key = RequestHistory.key(request.viewer(), request.title(), request.className());
        ViewerRecord viewerRecord = history.recordRequest(now, key);
        ReturnKind returnKind = history.returnKind(now, viewerRecord);
        boolean isRetry = viewerRecord.requests > 1 || request.retry() || request.returning();
        detector.recordArrival(now, isRetry && !request.afterMove());
        if (!isRetry) {
            firstRequests.add(now, 1);
            budget.recordFirstRequest(now);
        }
        counts.returnsOnTime += returnKind == ReturnKind.KEPT ? 1 : 0;
        counts.returnsEarly += returnKind == ReturnKind.EARLY ? 1 : 0;
        counts.returnsWithoutTime += returnKind == ReturnKind.UNTOLD ? 1 : 0;
        if (returnKind == ReturnKind.KEPT) {
            cancelBooking(viewerRecord);
        }
        evaluateStorm(now);
        QueuedRequest queued = new QueuedRequest(request, sessionClass, viewerRecord, returnKind, now);
        double coldRate = coldServers.totalRate(now);
        if (queue.isEmpty() && capacity.mayAdmit(now, coldRate)) {
            admit(queued);
            return;
        }
        QueuedRequest rejected =
                terms.hold() == 0 ? queued : queue.offer(now, queued, CapacityEstimate.admissionRate(coldRate));
        counts.waited += rejected != queued ? 1 : 0;
        if (rejected != null) {
            refuseQueued(rejected);
        }
        scheduleTimer(now + QUEUE_INTERVAL_US);
    }

    /** Passes a request to the decision module. The time that it was queued is taken off the client deadline. */
    private void admit(QueuedRequest queued) {
        capacity.recordAdmitted(coldServers.totalRate(eventTime));
        Request request = queued.request();
        activeRequests.put(
                request.id(),
                new ActiveRequest(
                        queued.viewerRecord(),
                        RequestHistory.key(request.viewer(), request.title(), request.className()),
                        queued.returnKind(),
                        queued.viewerRecord().requests > 1 || request.retry() || request.returning()));
        long waited = eventTime - queued.arrivedAt();
        nextDirector.request(
                eventTime,
                waited == 0
                        ? request
                        : new Request(
                                request.id(),
                                request.className(),
                                request.viewer(),
                                request.title(),
                                request.clientDeadline() - waited,
                                request.expectedDuration(),
                                request.homeCell(),
                                request.copies(),
                                request.highestRendition(),
                                request.retry(),
                                request.afterMove(),
                                request.returning()));
    }

    /** Refuses a request that the decision module never received. */
    private void refuseQueued(QueuedRequest queued) {
        counts.turnedAway++;
        detector.recordFailure(eventTime);
        actions.refuse(
                queued.request().id(),
                assignReturnTime(queued.request().id(), queued.viewerRecord(), queued.returnKind()));
    }

    /** Refuses queued requests whose wait deadline has passed, then admits as many as capacity allows. */
    private void serveQueue(long now) {
        for (QueuedRequest expired : queue.removeExpired(now)) {
            refuseQueued(expired);
        }
        double coldRate = coldServers.totalRate(now);
        while (!queue.isEmpty() && capacity.mayAdmit(now, coldRate)) {
            admit(queue.poll(now));
        }
    }

    // ---- Return times.

    /** Removes a viewer's return from the calendar, if it is booked. */
    private void cancelBooking(ViewerRecord viewerRecord) {
        if (viewerRecord.booked) {
            calendar.cancel(viewerRecord.returnAt);
            viewerRecord.booked = false;
        }
    }

    /** Microseconds from now after which the viewer is to return; 0 if no time may be advised. */
    private long assignReturnTime(String request, ViewerRecord viewerRecord, ReturnKind returnKind) {
        long longest = settings.limits().maxRetryAfter();
        longest = terms.longest() > 0 ? Math.min(terms.longest(), longest) : longest;
        long unit = Math.max(1, actions.retryAfterUnit(request));
        if (longest < unit) {
            viewerRecord.returnAt = 0;
            return 0;
        }
        if (returnKind == ReturnKind.EARLY && viewerRecord.returnAt > eventTime) {
            viewerRecord.refusedAt = eventTime;
            // Returning early changes nothing: the viewer keeps the time that it had.
            return roundToUnits(viewerRecord, viewerRecord.returnAt - eventTime, longest, unit);
        }
        cancelBooking(viewerRecord);
        long soonest = Math.min(terms.soonest(), longest);
        long delay;
        if (terms.returns() == Terms.Returns.FIXED) {
            delay = longest;
        } else if (terms.returns() == Terms.Returns.JITTER) {
            delay = soonest + random.nextLong(longest - soonest + 1);
        } else {
            long bookedTime = calendar.book(
                    eventTime,
                    eventTime + soonest,
                    eventTime + longest,
                    returnsPerSecond(),
                    this::bookedElsewhere,
                    random.nextDouble());
            viewerRecord.booked = bookedTime >= 0;
            counts.unscheduledReturnTimes += viewerRecord.booked ? 0 : 1;
            delay = viewerRecord.booked ? bookedTime - eventTime : longest / 2 + random.nextLong(longest / 2 + 1);
        }
        counts.returnTimesGiven++;
        viewerRecord.refusedAt = eventTime;
        viewerRecord.returnAt = eventTime + delay;
        return roundToUnits(viewerRecord, delay, longest, unit);
    }

    /** Rounds a delay up or down to whole units at random, so that the mean and the spread of the delays are kept. */
    private long roundToUnits(ViewerRecord viewerRecord, long delay, long longest, long unit) {
        long wholeUnits = delay / unit + (random.nextLong(unit) < delay % unit ? 1 : 0);
        long rounded = Math.max(1, Math.min(wholeUnits, longest / unit)) * unit;
        if (viewerRecord.booked && calendar.slotOf(viewerRecord.returnAt) != calendar.slotOf(eventTime + rounded)) {
            calendar.cancel(viewerRecord.returnAt);
            calendar.bookUnconditionally(eventTime + rounded);
        }
        viewerRecord.returnAt = eventTime + rounded;
        return rounded;
    }

    /** Mean return capacity of the brokers with a valid status: viewers return to any broker of the fleet. */
    private double returnsPerSecond() {
        double total = ownReturnCapacity();
        int brokers = 1;
        for (PeerStatus status : peerStatuses.values()) {
            if (eventTime - status.receivedAt() < PEER_STATUS_VALIDITY_US) {
                brokers++;
                total += status.message().returnCapacity();
            }
        }
        return Math.max(MIN_RETURNS_PER_SECOND, total / brokers);
    }

    /** Returns a second that this broker may promise: its expected set-up rate less the rate of first requests. */
    private double ownReturnCapacity() {
        double expected = Math.min(
                CapacityEstimate.admissionRate(coldServers.totalRate(eventTime)),
                Math.max(capacity.setUpRate(eventTime), detector.baselineRate()));
        double remaining = expected
                - firstRequests.sum(eventTime, StormDetector.FAST_WINDOW_US) * 1e6 / StormDetector.FAST_WINDOW_US;
        return capacity.promisableRate(Math.max(MIN_RETURN_SHARE * expected, remaining));
    }

    /** Returns in a slot beyond those booked here, if the fleet's are spread evenly over brokers with a valid status. */
    private double bookedElsewhere(long slot) {
        double others = 0;
        int brokers = 1;
        for (PeerStatus status : peerStatuses.values()) {
            long index = slot - status.message().firstSlot();
            if (eventTime - status.receivedAt() < PEER_STATUS_VALIDITY_US
                    && status.message().slotWidthMs() * 1000L == terms.slot()) {
                brokers++;
                others += index >= 0 && index < status.message().bookedReturns().length
                        ? status.message().bookedReturns()[(int) index]
                        : 0;
            }
        }
        double own = calendar.booked(slot);
        return Math.max(0, (own + others) / brokers - own);
    }

    // ---- Time and other brokers.

    @Override
    protected void beforeEvent(long now) {
        eventTime = Math.max(eventTime, now);
        double leasedShare = actions.newSessionShare();
        if (leasedShare >= 0) {
            coldServers.setShare(leasedShare); // a lease replaces the estimate from the other brokers' arrivals
        }
        if (timerAt == Long.MAX_VALUE) {
            scheduleTimer(eventTime + IDLE_INTERVAL_US);
        }
    }

    private void scheduleTimer(long at) {
        if (at < timerAt) {
            timerAt = at;
            actions.scheduleTimer(TIMER_KEY, at);
        }
    }

    private void evaluateStorm(long now) {
        StormDetector.Transition transition = detector.evaluate(now);
        if (transition != null) {
            LOG.info(
                    "storm: state={} was={} {} waiting={} promised={} {}",
                    transition.to(),
                    transition.from(),
                    transition.indicators(),
                    queue.size(),
                    calendar.pending(now),
                    counts());
        }
    }

    @Override
    public void timer(long now, String key) {
        beforeEvent(now);
        if (!key.equals(TIMER_KEY)) {
            nextDirector.timer(now, key);
            return;
        }
        if (now < timerAt) {
            return; // superseded by an earlier timer
        }
        timerAt = Long.MAX_VALUE;
        evaluateStorm(now);
        serveQueue(now);
        sendStatus(now);
        scheduleTimer(now + (queue.isEmpty() ? IDLE_INTERVAL_US : QUEUE_INTERVAL_US));
    }

    /** Sends this broker's status to the other brokers, if settings and terms allow it and the interval has passed. */
    private void sendStatus(long now) {
        if (terms.notesEvery() == 0 || !settings.limits().peers() || now - lastMessageAt < terms.notesEvery()) {
            return;
        }
        lastMessageAt = now;
        long firstSlot = calendar.slotOf(now);
        int slots = 0;
        int[] bookedReturns = new int[StormMessage.MAX_SLOTS];
        for (int i = 0; i < bookedReturns.length; i++) {
            bookedReturns[i] = calendar.booked(firstSlot + i);
            slots = bookedReturns[i] > 0 ? i + 1 : slots;
        }
        counts.messagesSent++;
        actions.broadcast(new StormMessage(
                        detector.state(),
                        (int) (terms.slot() / 1000),
                        detector.arrivalRate(now),
                        ownReturnCapacity(),
                        firstSlot,
                        java.util.Arrays.copyOf(bookedReturns, slots),
                        coldServers.usage(now, StormMessage.MAX_SERVERS),
                        coldServers.knowsAllCold(now, StormMessage.MAX_SERVERS))
                .encode());
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {
        beforeEvent(now);
        if (!StormMessage.isStormMessage(message)) {
            nextDirector.peerMessageReceived(now, from, message);
            return;
        }
        StormMessage received = StormMessage.decode(message);
        if (received == null || from < 0 || from >= settings.brokers() || from == settings.brokerNumber()) {
            counts.messagesDiscarded++;
            return;
        }
        counts.messagesReceived++;
        detector.recordPeerMessage(now, from);
        peerStatuses.put(from, new PeerStatus(received, now));
        coldServers.applyPeerUsage(now, from, received.coldServers(), received.knowsAllCold());
        double totalRate = detector.arrivalRate(now);
        double ownRate = totalRate;
        int brokers = 1;
        for (PeerStatus status : peerStatuses.values()) {
            if (now - status.receivedAt() < PEER_STATUS_VALIDITY_US) {
                brokers++;
                totalRate += status.message().arrivalRate();
            }
        }
        // Brokers without a valid status may be starting, so they keep an equal share.
        double sharedOut = brokers / (double) settings.brokers();
        if (actions.newSessionShare() < 0) {
            coldServers.setShare(totalRate > 0 ? sharedOut * ownRate / totalRate : 1.0 / settings.brokers());
        }
    }

    // ---- Events that are passed on.

    @Override
    public void connected(long now) {
        beforeEvent(now);
        detector.recordConnection(now);
        nextDirector.connected(now);
    }

    @Override
    public void sessionStarted(long now, String request, int attempt, String server) {
        beforeEvent(now);
        ActiveRequest active = activeRequests.remove(request);
        if (active != null) {
            if (active.isRetry && active.returnKind != ReturnKind.EARLY) {
                capacity.recordReturn(true);
            }
            cancelBooking(active.viewerRecord);
            history.remove(active.key);
        }
        nextDirector.sessionStarted(now, request, attempt, server);
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(now);
        if (outcome == Outcome.TIMEOUT && !last) {
            detector.recordFailure(now);
        }
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && last) {
            coldServers.recordLost(now, server);
        }
        nextDirector.outcome(now, request, attempt, server, outcome, last, report);
        if (last) {
            activeRequests.remove(request);
        }
    }

    @Override
    public void requestCancelled(long now, String request) {
        beforeEvent(now);
        if (queue.remove(request) == null) {
            activeRequests.remove(request);
            nextDirector.requestCancelled(now, request);
        }
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> servers) {
        beforeEvent(now);
        if (scope != ListScope.ERROR) {
            coldServers.updateServers(now, scope, servers);
        }
        nextDirector.serversChanged(now, scope, servers);
    }

    /** The decision module's actions, limited and counted before they reach the broker. */
    private final class ModuleActions extends ForwardingActions {
        ModuleActions() {
            super(RetryStormFilter.this.actions);
        }

        @Override
        public void send(String request, String server, long allow) {
            ActiveRequest active = activeRequests.get(request);
            if (active != null && active.attempts++ > 0) {
                budget.recordRetry(eventTime);
            } else {
                capacity.recordSetUp(eventTime);
            }
            coldServers.recordSetUp(eventTime, server);
            delegate.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long retryAfter) {
            ActiveRequest active = activeRequests.remove(request);
            detector.recordFailure(eventTime);
            if (active != null && active.isRetry && active.returnKind != ReturnKind.EARLY) {
                capacity.recordReturn(false);
            }
            delegate.refuse(
                    request,
                    active == null ? retryAfter : assignReturnTime(request, active.viewerRecord, active.returnKind));
        }

        @Override
        public void fail(String request) {
            ActiveRequest active = activeRequests.remove(request);
            if (active != null) {
                cancelBooking(active.viewerRecord);
                history.remove(active.key); // it may have run: the viewer gets an error, not a return time
            }
            delegate.fail(request);
        }

        @Override
        public boolean mayRetry() {
            return budget.mayRetry(eventTime) && delegate.mayRetry();
        }

        @Override
        public Pace pace(String server) {
            return coldServers.permits(eventTime, server) ? Pace.WITHIN : Pace.OVER;
        }
    }
}
