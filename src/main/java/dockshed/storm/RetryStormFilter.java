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
 * The storm part as the broker meets it: a director that stands before the decision module. Every event passes through;
 * a request may wait for its turn or be turned away before the module sees it, every refusal becomes an appointment, and
 * the module is told what the budget of further attempts and the pace of cold boxes leave.
 */
public final class RetryStormFilter extends DirectorFilter {
    private static final String KEY = "storm";
    /** Between turns while requests wait, and between looks while none does. */
    private static final long QUEUE_INTERVAL_US = 20_000;

    private static final long IDLE_INTERVAL_US = 250_000;
    /** Of the room expected, what returns get at least however many fresh viewers come. */
    private static final double MIN_RETURN_SHARE = 0.3;

    private static final double MIN_RETURNS_PER_SECOND = 0.2;
    /** Peers' promises are believed for so long. */
    private static final long PEER_STATUS_VALIDITY_US = 3_000_000;

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.storm.Damper");

    /** Counts since the start. */
    public static final class Counts {
        public long requests;
        public long waited;
        public long turnedAway;
        public long returnTimesGiven;
        public long unscheduledReturnTimes;
        public long returnsOnTime;
        public long returnsEarly;
        public long returnsWithoutTime;
        public long retriesDenied;
        public long messagesSent;
        public long messagesReceived;
        public long messagesDiscarded;
        public long evictedViewers;

        @Override
        public String toString() {
            return "requests=" + requests + " waited=" + waited + " turned_away=" + turnedAway + " appointed="
                    + returnTimesGiven + " unplaced=" + unscheduledReturnTimes + " kept=" + returnsOnTime + " early="
                    + returnsEarly + " retries_denied="
                    + retriesDenied;
        }
    }

    /** A request that the module holds. */
    private static final class ActiveRequest {
        final ViewerRecord visit;
        final String key;
        final ReturnKind standing;
        final boolean again;
        int attempts;

        ActiveRequest(ViewerRecord visit, String key, ReturnKind standing, boolean again) {
            this.again = again;
            this.visit = visit;
            this.key = key;
            this.standing = standing;
        }
    }

    private record PeerStatus(StormMessage note, long at) {}

    private final Settings settings;
    private final Terms terms;
    private final Director.Actions out;
    private final SplittableRandom random;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Map<String, ActiveRequest> held = new HashMap<>(); // bounded by the broker's own table
    private final Map<Integer, PeerStatus> peers = new HashMap<>(); // bounded by the tier
    private final StormDetector detector;
    private final ReturnCalendar calendar;
    private final RequestHistory history;
    private final AdmissionQueue queue;
    private final RetryBudget budget;
    private final ColdServerLimiter coldServers;
    private final CapacityEstimate capacity = new CapacityEstimate();
    private final SlidingWindowCounter freshRequests = new SlidingWindowCounter(100_000, StormDetector.FAST_WINDOW_US);
    private final Counts counts = new Counts();
    private long now;
    private long lastMessageAt;
    private long timerAt = Long.MAX_VALUE;

    /** Puts the part between a broker's actions and the module that is built on them. */
    public static Function<Director.Actions, Director> before(
            Settings settings, Terms terms, long seed, Function<Director.Actions, Director> module) {
        return actions -> new RetryStormFilter(settings, terms, seed, actions, module);
    }

    RetryStormFilter(
            Settings settings,
            Terms terms,
            long seed,
            Director.Actions out,
            Function<Director.Actions, Director> module) {
        this.settings = settings;
        this.terms = terms;
        this.out = out;
        random = new SplittableRandom(seed);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        List<Double> rates = settings.ladder().rates();
        double usual =
                settings.ladder().linksKb() / (rates.get(rates.size() / 2) * ASSUMED_SESSION_S) / settings.brokers();
        detector = new StormDetector(terms, Math.max(0.5, usual), settings.brokers());
        calendar = new ReturnCalendar(terms.slot());
        history = new RequestHistory(terms);
        queue = new AdmissionQueue(terms);
        budget = new RetryBudget(terms);
        coldServers = new ColdServerLimiter(settings, terms);
        this.nextDirector = module.apply(new ModuleActions());
    }

    /** Seconds of a session, before any was seen. */
    private static final double ASSUMED_SESSION_S = 25;

    public Counts counts() {
        counts.retriesDenied = budget.denied;
        counts.evictedViewers = history.evicted;
        return counts;
    }

    /** For the log and measurements: CALM, RISING, STORM or EBBING. */
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
        return calendar.pending(now);
    }

    // ---- Requests.

    @Override
    public void request(long at, Request r) {
        beforeEvent(at);
        SessionClass cls = classes.get(r.className());
        if (cls == null) {
            nextDirector.request(at, r); // the module's to fail
            return;
        }
        counts.requests++;
        String key = RequestHistory.key(r.viewer(), r.title(), r.className());
        ViewerRecord visit = history.recordRequest(at, key);
        ReturnKind standing = history.returnKind(at, visit);
        boolean again = visit.requests > 1 || r.retry() || r.afterRefusal();
        detector.recordArrival(at, again && !r.afterMove());
        if (!again) {
            freshRequests.add(at, 1);
            budget.fresh(at);
        }
        counts.returnsOnTime += standing == ReturnKind.KEPT ? 1 : 0;
        counts.returnsEarly += standing == ReturnKind.EARLY ? 1 : 0;
        counts.returnsWithoutTime += standing == ReturnKind.UNTOLD ? 1 : 0;
        if (standing == ReturnKind.KEPT) {
            unbook(visit);
        }
        look(at);
        QueuedRequest w = new QueuedRequest(r, cls, visit, standing, at);
        double pace = coldServers.totalRate(at);
        if (queue.isEmpty() && capacity.mayAdmit(at, pace)) {
            pass(w);
            return;
        }
        QueuedRequest away = terms.hold() == 0 ? w : queue.offer(at, w, CapacityEstimate.admissionRate(pace));
        counts.waited += away != w ? 1 : 0;
        if (away != null) {
            turnAway(away);
        }
        arm(at + QUEUE_INTERVAL_US);
    }

    /** Hands a request to the module. */
    private void pass(QueuedRequest w) {
        capacity.recordAdmitted(coldServers.totalRate(now));
        Request r = w.request();
        held.put(
                r.id(),
                new ActiveRequest(
                        w.viewerRecord(),
                        RequestHistory.key(r.viewer(), r.title(), r.className()),
                        w.returnKind(),
                        w.viewerRecord().requests > 1 || r.retry() || r.afterRefusal()));
        long waited = now - w.arrivedAt();
        nextDirector.request(
                now,
                waited == 0
                        ? r
                        : new Request(
                                r.id(),
                                r.className(),
                                r.viewer(),
                                r.title(),
                                r.clientDeadline() - waited,
                                r.expectedDuration(),
                                r.homeCell(),
                                r.copies(),
                                r.highestRendition(),
                                r.retry(),
                                r.afterMove(),
                                r.afterRefusal()));
    }

    /** Refuses, at once, a request that never went out. */
    private void turnAway(QueuedRequest w) {
        counts.turnedAway++;
        detector.recordFailure(now);
        out.refuse(w.request().id(), appoint(w.request().id(), w.viewerRecord(), w.returnKind()));
    }

    private void turn(long at) {
        for (QueuedRequest w : queue.removeExpired(at)) {
            turnAway(w);
        }
        double pace = coldServers.totalRate(at);
        while (!queue.isEmpty() && capacity.mayAdmit(at, pace)) {
            pass(queue.poll(at));
        }
    }

    // ---- Appointments.

    private void unbook(ViewerRecord v) {
        if (v.booked) {
            calendar.cancel(v.returnAt);
            v.booked = false;
        }
    }

    /** When the viewer is to come back, from now; 0 where no time may be told. */
    private long appoint(String request, ViewerRecord v, ReturnKind standing) {
        long longest = settings.limits().maxRetryAfter();
        longest = terms.longest() > 0 ? Math.min(terms.longest(), longest) : longest;
        long unit = Math.max(1, out.retryAfterUnit(request));
        if (longest < unit) {
            v.returnAt = 0;
            return 0;
        }
        if (standing == ReturnKind.EARLY && v.returnAt > now) {
            v.refusedAt = now;
            return inUnits(v, v.returnAt - now, longest, unit); // what it had, neither more nor less
        }
        unbook(v);
        long soonest = Math.min(terms.soonest(), longest);
        long back;
        if (terms.returns() == Terms.Returns.FIXED) {
            back = longest;
        } else if (terms.returns() == Terms.Returns.JITTER) {
            back = soonest + random.nextLong(longest - soonest + 1);
        } else {
            long found = calendar.book(
                    now,
                    now + soonest,
                    now + longest,
                    returnsPerSecond(),
                    this::promisedElsewhere,
                    random.nextDouble());
            v.booked = found >= 0;
            counts.unscheduledReturnTimes += v.booked ? 0 : 1;
            back = v.booked ? found - now : longest / 2 + random.nextLong(longest / 2 + 1);
        }
        counts.returnTimesGiven++;
        v.refusedAt = now;
        v.returnAt = now + back;
        return inUnits(v, back, longest, unit);
    }

    /** In whole units, up or down by chance so that the mean and the spread survive. */
    private long inUnits(ViewerRecord v, long back, long longest, long unit) {
        long whole = back / unit + (random.nextLong(unit) < back % unit ? 1 : 0);
        long told = Math.max(1, Math.min(whole, longest / unit)) * unit;
        if (v.booked && calendar.slotOf(v.returnAt) != calendar.slotOf(now + told)) {
            calendar.cancel(v.returnAt);
            calendar.bookUnconditionally(now + told);
        }
        v.returnAt = now + told;
        return told;
    }

    /** Returns go to any broker of the hall, so the room that counts is the mean of those that live, as far as told. */
    private double returnsPerSecond() {
        double all = ownRoom();
        int known = 1;
        for (PeerStatus t : peers.values()) {
            if (now - t.at() < PEER_STATUS_VALIDITY_US) {
                known++;
                all += t.note().returnCapacity();
            }
        }
        return Math.max(MIN_RETURNS_PER_SECOND, all / known);
    }

    /** The returns a second that may be promised here: the room expected, less what fresh viewers take of it. */
    private double ownRoom() {
        double rate = Math.min(
                CapacityEstimate.admissionRate(coldServers.totalRate(now)),
                Math.max(capacity.setUpRate(now), detector.baselineRate()));
        double left = rate - freshRequests.sum(now, StormDetector.FAST_WINDOW_US) * 1e6 / StormDetector.FAST_WINDOW_US;
        return capacity.promisableRate(Math.max(MIN_RETURN_SHARE * rate, left));
    }

    /** What a slot holds beyond own promises, if the fleet's are spread evenly over those that live. */
    private double promisedElsewhere(long slot) {
        double others = 0;
        int known = 1;
        for (PeerStatus t : peers.values()) {
            long i = slot - t.note().firstSlot();
            if (now - t.at() < PEER_STATUS_VALIDITY_US && t.note().slotMillis() * 1000L == terms.slot()) {
                known++;
                others +=
                        i >= 0 && i < t.note().bookedReturns().length ? t.note().bookedReturns()[(int) i] : 0;
            }
        }
        double own = calendar.booked(slot);
        return Math.max(0, (own + others) / known - own);
    }

    // ---- Time and peers.

    @Override
    protected void beforeEvent(long at) {
        now = Math.max(now, at);
        double shared = out.newSessionShare();
        if (shared >= 0) {
            coldServers.part(shared); // leased: no guess by the others' notes is needed
        }
        if (timerAt == Long.MAX_VALUE) {
            arm(now + IDLE_INTERVAL_US);
        }
    }

    private void arm(long at) {
        if (at < timerAt) {
            timerAt = at;
            out.timer(KEY, at);
        }
    }

    private void look(long at) {
        StormDetector.Transition change = detector.evaluate(at);
        if (change != null) {
            LOG.info(
                    "storm: state={} was={} {} waiting={} promised={} {}",
                    change.to(),
                    change.from(),
                    change.indicators(),
                    queue.size(),
                    calendar.pending(at),
                    counts());
        }
    }

    @Override
    public void timer(long at, String key) {
        beforeEvent(at);
        if (!key.equals(KEY)) {
            nextDirector.timer(at, key);
            return;
        }
        if (at < timerAt) {
            return; // one that a sooner one has replaced
        }
        timerAt = Long.MAX_VALUE;
        look(at);
        turn(at);
        note(at);
        arm(at + (queue.isEmpty() ? IDLE_INTERVAL_US : QUEUE_INTERVAL_US));
    }

    /** Tells the other brokers, where the settings and terms let it, and there is something to tell. */
    private void note(long at) {
        if (terms.notesEvery() == 0 || !settings.limits().peers() || at - lastMessageAt < terms.notesEvery()) {
            return;
        }
        lastMessageAt = at;
        long first = calendar.slotOf(at);
        int slots = 0;
        int[] promised = new int[StormMessage.MAX_SLOTS];
        for (int i = 0; i < promised.length; i++) {
            promised[i] = calendar.booked(first + i);
            slots = promised[i] > 0 ? i + 1 : slots;
        }
        counts.messagesSent++;
        out.broadcast(new StormMessage(
                        detector.state(),
                        (int) (terms.slot() / 1000),
                        detector.arrivalRate(at),
                        ownRoom(),
                        first,
                        java.util.Arrays.copyOf(promised, slots),
                        coldServers.usage(at, StormMessage.MAX_SERVERS),
                        coldServers.knowsAllCold(at, StormMessage.MAX_SERVERS))
                .encode());
    }

    @Override
    public void peerMessageReceived(long at, int from, byte[] message) {
        beforeEvent(at);
        if (!StormMessage.isStormMessage(message)) {
            nextDirector.peerMessageReceived(at, from, message);
            return;
        }
        StormMessage n = StormMessage.decode(message);
        if (n == null || from < 0 || from >= settings.brokers() || from == settings.brokerNumber()) {
            counts.messagesDiscarded++;
            return;
        }
        counts.messagesReceived++;
        detector.heard(at, from);
        peers.put(from, new PeerStatus(n, at));
        coldServers.applyPeerUsage(at, from, n.coldServers(), n.knowsAllCold());
        double all = detector.arrivalRate(at);
        double own = all;
        int known = 1;
        for (PeerStatus t : peers.values()) {
            if (at - t.at() < PEER_STATUS_VALIDITY_US) {
                known++;
                all += t.note().arrivalRate();
            }
        }
        // Those that are silent may be starting: their even share is left to them.
        double spoken = known / (double) settings.brokers();
        if (out.newSessionShare() < 0) {
            coldServers.part(all > 0 ? spoken * own / all : 1.0 / settings.brokers());
        }
    }

    // ---- Events that pass through.

    @Override
    public void connected(long at) {
        beforeEvent(at);
        detector.recordConnection(at);
        nextDirector.connected(at);
    }

    @Override
    public void sessionStarted(long at, String request, int attempt, String server) {
        beforeEvent(at);
        ActiveRequest h = held.remove(request);
        if (h != null) {
            if (h.again && h.standing != ReturnKind.EARLY) {
                capacity.recordReturn(true);
            }
            unbook(h.visit);
            history.remove(h.key);
        }
        nextDirector.sessionStarted(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(at);
        if (outcome == Outcome.TIMEOUT && !last) {
            detector.recordFailure(at);
        }
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && last) {
            coldServers.recordLost(at, server);
        }
        nextDirector.outcome(at, request, attempt, server, outcome, last, report);
        if (last) {
            held.remove(request);
        }
    }

    @Override
    public void requestCancelled(long at, String request) {
        beforeEvent(at);
        if (queue.remove(request) == null) {
            held.remove(request);
            nextDirector.requestCancelled(at, request);
        }
    }

    @Override
    public void serversChanged(long at, ListScope scope, List<Server> servers) {
        beforeEvent(at);
        if (scope != ListScope.ERROR) {
            coldServers.updateServers(at, scope, servers);
        }
        nextDirector.serversChanged(at, scope, servers);
    }

    /** What the module may do, on its way to the broker. */
    private final class ModuleActions extends ForwardingActions {
        ModuleActions() {
            super(RetryStormFilter.this.out);
        }

        @Override
        public void send(String request, String server, long allow) {
            ActiveRequest h = held.get(request);
            if (h != null && h.attempts++ > 0) {
                budget.spent(now);
            } else {
                capacity.recordSetUp(now);
            }
            coldServers.recordSetUp(now, server);
            delegate.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            ActiveRequest h = held.remove(request);
            detector.recordFailure(now);
            if (h != null && h.again && h.standing != ReturnKind.EARLY) {
                capacity.recordReturn(false);
            }
            delegate.refuse(request, h == null ? comeBack : appoint(request, h.visit, h.standing));
        }

        @Override
        public void fail(String request) {
            ActiveRequest h = held.remove(request);
            if (h != null) {
                unbook(h.visit);
                history.remove(h.key); // it may have run: its viewer is told so, not to come again
            }
            delegate.fail(request);
        }

        @Override
        public boolean mayRetry() {
            return budget.mayRetry(now) && delegate.mayRetry();
        }

        @Override
        public Pace pace(String server) {
            return coldServers.permits(now, server) ? Pace.WITHIN : Pace.OVER;
        }
    }
}
