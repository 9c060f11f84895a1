package dockshed.storm;

import dockshed.Director;
import dockshed.DirectorFilter;
import dockshed.storm.Visits.Standing;
import dockshed.storm.Visits.Visit;
import dockshed.storm.WaitingRoom.Waiter;
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
public final class Damper extends DirectorFilter {
    private static final String KEY = "storm";
    /** Between turns while requests wait, and between looks while none does. */
    private static final long TURN = 20_000;

    private static final long LOOK = 250_000;
    /** Of the room expected, what returns get at least however many fresh viewers come. */
    private static final double RETURNS_PART = 0.3;

    private static final double LEAST_RETURNS = 0.2;
    /** Peers' promises are believed for so long. */
    private static final long BELIEVED = 3_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(Damper.class);

    /** Counts since the start. */
    public static final class Counts {
        public long requests;
        public long waited;
        public long turnedAway;
        public long appointed;
        public long unplaced;
        public long kept;
        public long early;
        public long untold;
        public long retriesDenied;
        public long notesSent;
        public long notesHeard;
        public long notesPassedOver;
        public long forgotten;

        @Override
        public String toString() {
            return "requests=" + requests + " waited=" + waited + " turned_away=" + turnedAway + " appointed="
                    + appointed + " unplaced=" + unplaced + " kept=" + kept + " early=" + early + " retries_denied="
                    + retriesDenied;
        }
    }

    /** A request that the module holds. */
    private static final class Held {
        final Visit visit;
        final String key;
        final Standing standing;
        final boolean again;
        int attempts;

        Held(Visit visit, String key, Standing standing, boolean again) {
            this.again = again;
            this.visit = visit;
            this.key = key;
            this.standing = standing;
        }
    }

    private record Told(Note note, long at) {}

    private final Settings settings;
    private final Terms terms;
    private final Director.Actions out;
    private final SplittableRandom random;
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Map<String, Held> held = new HashMap<>(); // bounded by the broker's own table
    private final Map<Integer, Told> peers = new HashMap<>(); // bounded by the tier
    private final Watch watch;
    private final Calendar calendar;
    private final Visits visits;
    private final WaitingRoom waiting;
    private final RetryBudget budget;
    private final ColdPace cold;
    private final Room room = new Room();
    private final Window fresh = new Window(100_000, Watch.FAST);
    private final Counts counts = new Counts();
    private long now;
    private long notedAt;
    private long armedFor = Long.MAX_VALUE;

    /** Puts the part between a broker's actions and the module that is built on them. */
    public static Function<Director.Actions, Director> before(
            Settings settings, Terms terms, long seed, Function<Director.Actions, Director> module) {
        return actions -> new Damper(settings, terms, seed, actions, module);
    }

    Damper(
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
        double usual = settings.ladder().linksKb() / (rates.get(rates.size() / 2) * USUAL_STAY) / settings.brokers();
        watch = new Watch(terms, Math.max(0.5, usual), settings.brokers());
        calendar = new Calendar(terms.slot());
        visits = new Visits(terms);
        waiting = new WaitingRoom(terms);
        budget = new RetryBudget(terms);
        cold = new ColdPace(settings, terms);
        this.nextDirector = module.apply(new Inner());
    }

    /** Seconds of a session, before any was seen. */
    private static final double USUAL_STAY = 25;

    public Counts counts() {
        counts.retriesDenied = budget.denied;
        counts.forgotten = visits.forgotten;
        return counts;
    }

    /** For the log and measurements: CALM, RISING, STORM or EBBING. */
    public String state() {
        return watch.state().name();
    }

    int remembered() {
        return visits.size();
    }

    int waitingNow() {
        return waiting.size();
    }

    int promised() {
        return calendar.promised(now);
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
        String key = Visits.key(r.viewer(), r.title(), r.className());
        Visit visit = visits.come(at, key);
        Standing standing = visits.standing(at, visit);
        boolean again = visit.tries > 1 || r.retry() || r.afterRefusal();
        watch.arrived(at, again && !r.afterMove());
        if (!again) {
            fresh.add(at, 1);
            budget.fresh(at);
        }
        counts.kept += standing == Standing.KEPT ? 1 : 0;
        counts.early += standing == Standing.EARLY ? 1 : 0;
        counts.untold += standing == Standing.UNTOLD ? 1 : 0;
        if (standing == Standing.KEPT) {
            unbook(visit);
        }
        look(at);
        Waiter w = new Waiter(r, cls, visit, standing, at);
        double pace = cold.all(at);
        if (waiting.isEmpty() && room.open(at, pace)) {
            pass(w);
            return;
        }
        Waiter away = terms.hold() == 0 ? w : waiting.offer(at, w, Room.rate(pace));
        counts.waited += away != w ? 1 : 0;
        if (away != null) {
            turnAway(away);
        }
        arm(at + TURN);
    }

    /** Hands a request to the module. */
    private void pass(Waiter w) {
        room.passed(cold.all(now));
        Request r = w.request();
        held.put(
                r.id(),
                new Held(
                        w.visit(),
                        Visits.key(r.viewer(), r.title(), r.className()),
                        w.standing(),
                        w.visit().tries > 1 || r.retry() || r.afterRefusal()));
        long waited = now - w.came();
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
    private void turnAway(Waiter w) {
        counts.turnedAway++;
        watch.troubled(now);
        out.refuse(w.request().id(), appoint(w.request().id(), w.visit(), w.standing()));
    }

    private void turn(long at) {
        for (Waiter w : waiting.over(at)) {
            turnAway(w);
        }
        double pace = cold.all(at);
        while (!waiting.isEmpty() && room.open(at, pace)) {
            pass(waiting.next(at));
        }
    }

    // ---- Appointments.

    private void unbook(Visit v) {
        if (v.booked) {
            calendar.cancel(v.appointed);
            v.booked = false;
        }
    }

    /** When the viewer is to come back, from now; 0 where no time may be told. */
    private long appoint(String request, Visit v, Standing standing) {
        long longest = settings.limits().maxRetryAfter();
        longest = terms.longest() > 0 ? Math.min(terms.longest(), longest) : longest;
        long unit = Math.max(1, out.retryAfterUnit(request));
        if (longest < unit) {
            v.appointed = 0;
            return 0;
        }
        if (standing == Standing.EARLY && v.appointed > now) {
            v.refusedAt = now;
            return inUnits(v, v.appointed - now, longest, unit); // what it had, neither more nor less
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
            counts.unplaced += v.booked ? 0 : 1;
            back = v.booked ? found - now : longest / 2 + random.nextLong(longest / 2 + 1);
        }
        counts.appointed++;
        v.refusedAt = now;
        v.appointed = now + back;
        return inUnits(v, back, longest, unit);
    }

    /** In whole units, up or down by chance so that the mean and the spread survive. */
    private long inUnits(Visit v, long back, long longest, long unit) {
        long whole = back / unit + (random.nextLong(unit) < back % unit ? 1 : 0);
        long told = Math.max(1, Math.min(whole, longest / unit)) * unit;
        if (v.booked && calendar.slotOf(v.appointed) != calendar.slotOf(now + told)) {
            calendar.cancel(v.appointed);
            calendar.expect(now + told);
        }
        v.appointed = now + told;
        return told;
    }

    /** Returns go to any broker of the hall, so the room that counts is the mean of those that live, as far as told. */
    private double returnsPerSecond() {
        double all = ownRoom();
        int known = 1;
        for (Told t : peers.values()) {
            if (now - t.at() < BELIEVED) {
                known++;
                all += t.note().room();
            }
        }
        return Math.max(LEAST_RETURNS, all / known);
    }

    /** The returns a second that may be promised here: the room expected, less what fresh viewers take of it. */
    private double ownRoom() {
        double rate = Math.min(Room.rate(cold.all(now)), Math.max(room.measured(now), watch.usual()));
        double left = rate - fresh.sum(now, Watch.FAST) * 1e6 / Watch.FAST;
        return room.promise(Math.max(RETURNS_PART * rate, left));
    }

    /** What a slot holds beyond own promises, if the fleet's are spread evenly over those that live. */
    private double promisedElsewhere(long slot) {
        double others = 0;
        int known = 1;
        for (Told t : peers.values()) {
            long i = slot - t.note().firstSlot();
            if (now - t.at() < BELIEVED && t.note().slotMillis() * 1000L == terms.slot()) {
                known++;
                others += i >= 0 && i < t.note().promised().length ? t.note().promised()[(int) i] : 0;
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
            cold.part(shared); // leased: no guess by the others' notes is needed
        }
        if (armedFor == Long.MAX_VALUE) {
            arm(now + LOOK);
        }
    }

    private void arm(long at) {
        if (at < armedFor) {
            armedFor = at;
            out.timer(KEY, at);
        }
    }

    private void look(long at) {
        Watch.Change change = watch.look(at);
        if (change != null) {
            LOG.info(
                    "storm: state={} was={} {} waiting={} promised={} {}",
                    change.to(),
                    change.from(),
                    change.signs(),
                    waiting.size(),
                    calendar.promised(at),
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
        if (at < armedFor) {
            return; // one that a sooner one has replaced
        }
        armedFor = Long.MAX_VALUE;
        look(at);
        turn(at);
        note(at);
        arm(at + (waiting.isEmpty() ? LOOK : TURN));
    }

    /** Tells the other brokers, where the settings and terms let it, and there is something to tell. */
    private void note(long at) {
        if (terms.notesEvery() == 0 || !settings.limits().peers() || at - notedAt < terms.notesEvery()) {
            return;
        }
        notedAt = at;
        long first = calendar.slotOf(at);
        int slots = 0;
        int[] promised = new int[Note.MOST_SLOTS];
        for (int i = 0; i < promised.length; i++) {
            promised[i] = calendar.booked(first + i);
            slots = promised[i] > 0 ? i + 1 : slots;
        }
        counts.notesSent++;
        out.broadcast(new Note(
                        watch.state(),
                        (int) (terms.slot() / 1000),
                        watch.fast(at),
                        ownRoom(),
                        first,
                        java.util.Arrays.copyOf(promised, slots),
                        cold.spent(at, Note.MOST_BOXES),
                        cold.knows(at, Note.MOST_BOXES))
                .write());
    }

    @Override
    public void peerMessageReceived(long at, int from, byte[] message) {
        beforeEvent(at);
        if (!Note.mine(message)) {
            nextDirector.peerMessageReceived(at, from, message);
            return;
        }
        Note n = Note.read(message);
        if (n == null || from < 0 || from >= settings.brokers() || from == settings.brokerNumber()) {
            counts.notesPassedOver++;
            return;
        }
        counts.notesHeard++;
        watch.heard(at, from);
        peers.put(from, new Told(n, at));
        cold.heard(at, from, n.spent(), n.knows());
        double all = watch.fast(at);
        double own = all;
        int known = 1;
        for (Told t : peers.values()) {
            if (at - t.at() < BELIEVED) {
                known++;
                all += t.note().arrivals();
            }
        }
        // Those that are silent may be starting: their even share is left to them.
        double spoken = known / (double) settings.brokers();
        if (out.newSessionShare() < 0) {
            cold.part(all > 0 ? spoken * own / all : 1.0 / settings.brokers());
        }
    }

    // ---- Events that pass through.

    @Override
    public void connected(long at) {
        beforeEvent(at);
        watch.connected(at);
        nextDirector.connected(at);
    }

    @Override
    public void sessionStarted(long at, String request, int attempt, String server) {
        beforeEvent(at);
        Held h = held.remove(request);
        if (h != null) {
            if (h.again && h.standing != Standing.EARLY) {
                room.kept(true);
            }
            unbook(h.visit);
            visits.over(h.key);
        }
        nextDirector.sessionStarted(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(at);
        if (outcome == Outcome.TIMEOUT && !last) {
            watch.troubled(at);
        }
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && last) {
            cold.lost(at, server);
        }
        nextDirector.outcome(at, request, attempt, server, outcome, last, report);
        if (last) {
            held.remove(request);
        }
    }

    @Override
    public void requestCancelled(long at, String request) {
        beforeEvent(at);
        if (waiting.remove(request) == null) {
            held.remove(request);
            nextDirector.requestCancelled(at, request);
        }
    }

    @Override
    public void serversChanged(long at, ListScope scope, List<Server> servers) {
        beforeEvent(at);
        if (scope != ListScope.ERROR) {
            cold.members(at, scope, servers);
        }
        nextDirector.serversChanged(at, scope, servers);
    }

    /** What the module may do, on its way to the broker. */
    private final class Inner extends ForwardingActions {
        Inner() {
            super(Damper.this.out);
        }

        @Override
        public void send(String request, String server, long allow) {
            Held h = held.get(request);
            if (h != null && h.attempts++ > 0) {
                budget.spent(now);
            } else {
                room.sent(now);
            }
            cold.sent(now, server);
            delegate.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            Held h = held.remove(request);
            watch.troubled(now);
            if (h != null && h.again && h.standing != Standing.EARLY) {
                room.kept(false);
            }
            delegate.refuse(request, h == null ? comeBack : appoint(request, h.visit, h.standing));
        }

        @Override
        public void fail(String request) {
            Held h = held.remove(request);
            if (h != null) {
                unbook(h.visit);
                visits.over(h.key); // it may have run: its viewer is told so, not to come again
            }
            delegate.fail(request);
        }

        @Override
        public boolean mayRetry() {
            return budget.may(now) && delegate.mayRetry();
        }

        @Override
        public Pace pace(String server) {
            return cold.may(now, server) ? Pace.WITHIN : Pace.OVER;
        }
    }
}
