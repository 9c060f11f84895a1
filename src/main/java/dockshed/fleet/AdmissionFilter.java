package dockshed.fleet;

import dockshed.Director;
import dockshed.DirectorFilter;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fleet as the broker's loop meets it: a director before the decision module (and before the retry-storm part). It
 * refuses requests below the shedding threshold, samples the load for the other brokers, and tells the module its shares
 * and which edge servers are being probed or reported down. Without a fresh snapshot it lets everything pass: the broker
 * serves alone.
 *
 * <p>Times are microseconds of Unix time on the process's own clock. What all brokers have to compute alike (priorities and
 * retry times) needs clocks within a few tenths of a second of one another, and differs for some clients otherwise.
 */
public final class AdmissionFilter extends DirectorFilter {
    /** Microseconds between two load samples. */
    static final long REPORT_PERIOD = 250_000;
    /** Microseconds before its retry time at which a client still keeps it. */
    static final long EARLY = 250_000;
    /** Microseconds after its retry time at which a client still keeps it. */
    static final long LATE = 500_000;
    /** The shortest retry time that is advised, in microseconds. */
    static final long MIN_RETRY_AFTER = 250_000;
    /** Retries of the whole fleet over its requests. */
    static final double MAX_RETRY_RATIO = 0.15;
    /** Retries of this broker over its own requests, whatever others claim; and one more. */
    static final double MAX_OWN_RETRY_RATIO = 0.5;

    /** Microseconds over which retries and requests are counted. */
    private static final long RETRY_WINDOW = 5_000_000;

    private static final String TIMER = "fleet";
    /** The age of a request whose session was displaced: see {@link SheddingThreshold#step}. */
    private static final int AGE_DISPLACED = 2;
    /** The age of a request that returns at its retry time. */
    private static final int AGE_RETURNED = 1;

    private static final int AGE_FRESH = 0;
    /** Bounds the age of a snapshot in the log, which has none before the first. */
    private static final long MAX_LOGGED_AGE = 1_000_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(AdmissionFilter.class);

    /** Counts since the start. */
    public static final class Counts {
        /** Requests of known classes. */
        public long requests;
        /** Of them, those refused below the threshold. */
        public long shed;
        /** Requests that got a server. */
        public long accepted;
        /** Requests that the module found no room for. */
        public long rejected;
        /** Further attempts. */
        public long retries;
        /** Further attempts that were over the share. */
        public long retriesDenied;
    }

    private final Settings settings;
    private final Actions out;
    private final Supplier<FleetSnapshot> snapshots;
    private final Predicate<LocalEvent> events;
    private final Map<String, Integer> classLevels = new HashMap<>();
    /** Requests with an attempt behind them; bounded by the broker's requests. */
    private final Set<String> attempted = new HashSet<>();
    /** Servers that are being probed; bounded by the server list. */
    private final Set<String> avoided = new HashSet<>();
    /** The counter of the latest storm note handed on, by broker. */
    private final Map<Integer, Integer> handedOnNotes = new HashMap<>();

    private final ArrayDeque<Long> retryTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
    private int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
    private int accepted;
    private int rejected;
    private int retries;
    private long now;
    private long sampledAt;
    private boolean timerSet;
    private boolean alone = true;
    private final Counts counts = new Counts();

    /** Puts the filter between a broker's actions and the module that is built on them. */
    public static Function<Actions, AdmissionFilter> before(
            Settings settings,
            Supplier<FleetSnapshot> snapshots,
            Predicate<LocalEvent> events,
            Function<Actions, Director> module) {
        return actions -> new AdmissionFilter(settings, snapshots, events, actions, module);
    }

    AdmissionFilter(
            Settings settings,
            Supplier<FleetSnapshot> snapshots,
            Predicate<LocalEvent> events,
            Actions out,
            Function<Actions, Director> module) {
        this.settings = settings;
        this.snapshots = snapshots;
        this.events = events;
        this.out = out;
        List<Double> worths = List.copyOf(new TreeSet<>(
                settings.classes().stream().map(SessionClass::worth).toList()));
        int belowLowestLevel = Math.max(0, worths.size() - SheddingThreshold.CLASS_LEVELS);
        for (SessionClass c : settings.classes()) {
            classLevels.put(c.name(), Math.max(0, worths.indexOf(c.worth()) - belowLowestLevel));
        }
        this.nextDirector = module.apply(new ModuleActions());
    }

    /** Counts since the start; they go on changing. */
    public Counts counts() {
        return counts;
    }

    /** Whether a server is being probed: then what can go elsewhere goes there. */
    public void avoid(String server, boolean is) {
        if (is) {
            avoided.add(server);
        } else {
            avoided.remove(server);
        }
    }

    /** The snapshot, if it is fresh; else that of a broker alone. Changes are logged. */
    private FleetSnapshot snapshot() {
        FleetSnapshot latest = snapshots.get();
        boolean fresh = latest.isFresh(now);
        if (fresh == alone) {
            alone = !fresh;
            LOG.atInfo()
                    .setMessage(alone ? "fleet snapshot stale, serving alone" : "fleet snapshot fresh")
                    .addKeyValue("snapshot_age_ms", Math.min(MAX_LOGGED_AGE, now - latest.takenAt()) / 1000)
                    .log();
        }
        return fresh ? latest : FleetSnapshot.ALONE;
    }

    // ---- Requests.

    private int step(Request r) {
        int age = AGE_FRESH;
        if (r.afterMove() || r.returning()) {
            age = AGE_DISPLACED;
        } else if (r.retry() && keepsRetryTime(r)) {
            age = AGE_RETURNED;
        }
        return SheddingThreshold.step(classLevels.getOrDefault(r.className(), 0), age);
    }

    /** The client's hash; a client that gives no name is a new one each time. */
    private static int clientHash(Request r) {
        return StableHash.of(r.viewer() == null || r.viewer().isBlank() ? r.id() : r.viewer());
    }

    private boolean keepsRetryTime(Request r) {
        long unit = Math.max(1, out.retryAfterUnit(r.id()));
        return SheddingThreshold.keepsRetryTime(
                clientHash(r), now, settings.limits().maxRetryAfter(), EARLY + unit, LATE + unit);
    }

    /** Whether a request that came now would be shed: alike at every broker with the same snapshot. */
    public boolean isShed(long at, Request r) {
        beforeEvent(at);
        int threshold = snapshot().sheddingThreshold();
        return threshold > 0 && SheddingThreshold.priority(step(r), clientHash(r), now) < threshold;
    }

    @Override
    public void request(long at, Request r) {
        beforeEvent(at);
        if (!classLevels.containsKey(r.className())) {
            nextDirector.request(at, r); // fails it
            return;
        }
        counts.requests++;
        requests[step(r)]++;
        if (isShed(at, r)) {
            counts.shed++;
            out.refuse(r.id(), retryAfter(r));
            return;
        }
        requestTimes.add(at);
        nextDirector.request(at, r);
    }

    /** In whole units of what the client's protocol can express; 0: no advice. */
    private long retryAfter(Request r) {
        long unit = Math.max(1, out.retryAfterUnit(r.id()));
        long longest = settings.limits().maxRetryAfter();
        if (longest < unit) {
            return 0;
        }
        long delay = SheddingThreshold.retryAfter(clientHash(r), now, MIN_RETRY_AFTER, longest);
        return Math.max(unit, Math.min(longest, delay) / unit * unit);
    }

    // ---- Time.

    @Override
    protected void beforeEvent(long at) {
        now = Math.max(now, at);
        if (!timerSet) {
            setTimer(now + REPORT_PERIOD);
        }
    }

    private void setTimer(long at) {
        timerSet = true;
        out.scheduleTimer(TIMER, at);
    }

    @Override
    public void timer(long at, String key) {
        beforeEvent(at);
        if (!key.equals(TIMER)) {
            nextDirector.timer(at, key);
            return;
        }
        sampleLoad();
        handOnNotes();
        setTimer(now + REPORT_PERIOD);
    }

    private void sampleLoad() {
        if (sampledAt > 0) {
            long micros = Math.max(1, now - sampledAt);
            events.test(new LocalEvent.LoadSample(requests, accepted, rejected, retries, micros));
        }
        dropOldTimes();
        sampledAt = now;
        requests = new int[SheddingThreshold.PRIORITY_STEPS];
        accepted = 0;
        rejected = 0;
        retries = 0;
    }

    private void handOnNotes() {
        snapshot().stormNotes().forEach((from, note) -> {
            Integer previous = handedOnNotes.put(from, note.counter());
            if (previous == null || previous != note.counter()) {
                nextDirector.peerMessageReceived(now, from, note.value());
            }
        });
    }

    // ---- What the module may do.

    private final class ModuleActions extends ForwardingActions {
        ModuleActions() {
            super(AdmissionFilter.this.out);
        }

        @Override
        public void send(String request, String server, long allow) {
            if (!attempted.add(request)) {
                retries++;
                counts.retries++;
                retryTimes.add(now);
            }
            delegate.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            if (!attempted.remove(request)) {
                rejected++;
                counts.rejected++;
            }
            delegate.refuse(request, comeBack);
        }

        @Override
        public void fail(String request) {
            attempted.remove(request);
            delegate.fail(request);
        }

        @Override
        public boolean mayRetry() {
            return retryAllowed() && delegate.mayRetry();
        }

        @Override
        public double newSessionShare() {
            return snapshot().newSessionShare(now);
        }

        @Override
        public boolean shouldAvoid(String server) {
            return avoided.contains(server) || isReportedDown(server);
        }
    }

    /** Whether another broker lately reported a server down, which costs at most a choice between servers. */
    private boolean isReportedDown(String server) {
        FleetSnapshot fleet = snapshot();
        if (fleet.healthReports().isEmpty()) {
            return false;
        }
        boolean down = false;
        for (VersionedEntry report : fleet.healthReports().getOrDefault(StableHash.of(server), List.of())) {
            boolean recent = now - report.writtenAt() < HealthProbeSchedule.REPORT_MAX_AGE;
            if (recent && report.value().length > 0) {
                if (report.value()[0] == HealthProbeSchedule.UP) {
                    return false;
                }
                down = true;
            }
        }
        return down;
    }

    private void dropOldTimes() {
        dropOldTimes(retryTimes);
        dropOldTimes(requestTimes);
    }

    private void dropOldTimes(ArrayDeque<Long> times) {
        while (!times.isEmpty() && times.peekFirst() < now - RETRY_WINDOW) {
            times.removeFirst();
        }
    }

    /**
     * Whether one more retry is within this broker's share of the fleet's retries, which follow the fleet's requests as
     * replicated, and within what its own requests allow: forged figures of others permit no more than that.
     */
    private boolean retryAllowed() {
        FleetSnapshot fleet = snapshot();
        double share = fleet.retryShare(now);
        if (share < 0) {
            return true;
        }
        dropOldTimes();
        double fleetRequests = fleet.requestsPerSecond() * RETRY_WINDOW / 1e6;
        double fleetRetries = MAX_RETRY_RATIO * Math.max(requestTimes.size(), fleetRequests);
        double limit = Math.min(1 + share * fleetRetries, 1 + MAX_OWN_RETRY_RATIO * requestTimes.size());
        boolean allowed = retryTimes.size() + 1 <= limit;
        counts.retriesDenied += allowed ? 0 : 1;
        return allowed;
    }

    // ---- Events that pass through.

    @Override
    public void sessionStarted(long at, String request, int attempt, String server) {
        beforeEvent(at);
        if (attempted.remove(request)) {
            accepted++;
            counts.accepted++;
        }
        nextDirector.sessionStarted(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        beforeEvent(at);
        if (last) {
            attempted.remove(request);
        }
        nextDirector.outcome(at, request, attempt, server, outcome, last, report);
    }

    @Override
    public void requestCancelled(long at, String request) {
        beforeEvent(at);
        attempted.remove(request);
        nextDirector.requestCancelled(at, request);
    }

    @Override
    public void serversChanged(long at, ListScope scope, List<Server> servers) {
        beforeEvent(at);
        servers.stream().filter(s -> s.state() == State.GONE).forEach(s -> avoided.remove(s.id()));
        nextDirector.serversChanged(at, scope, servers);
    }
}
