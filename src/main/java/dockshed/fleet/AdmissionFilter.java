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
 * The fleet's part in the broker's loop: a director in front of the decision module (and of the storm part). It refuses
 * requests below the shedding threshold, samples the load for the other brokers, and gives the module its shares and
 * the edge servers that are being probed or reported down. Without a fresh snapshot it lets everything pass: the broker
 * serves alone.
 *
 * <p>Times are microseconds of Unix time by the process's own clock. Priorities and retry times must be the same at all
 * brokers; this needs clocks within a few hundred milliseconds of one another, otherwise they differ for some clients.
 */
public final class AdmissionFilter extends DirectorFilter {
    /** Time between two load samples, in microseconds. */
    static final long LOAD_SAMPLE_PERIOD_US = 250_000;
    /** A client keeps its retry time if it comes up to this many microseconds before it. */
    static final long EARLY_RETRY_TOLERANCE_US = 250_000;
    /** A client keeps its retry time if it comes up to this many microseconds after it. */
    static final long LATE_RETRY_TOLERANCE_US = 500_000;
    /** Minimum retry time that is advised, in microseconds. */
    static final long MIN_RETRY_AFTER_US = 250_000;
    /** Maximum ratio of the whole fleet's retries to its requests. */
    static final double MAX_RETRY_RATIO = 0.15;
    /**
     * Maximum ratio of this broker's retries to its own requests, whatever others report; one more retry is always
     * allowed.
     */
    static final double MAX_OWN_RETRY_RATIO = 0.5;

    /** Microseconds over which retries and requests are counted. */
    private static final long RETRY_WINDOW_US = 5_000_000;

    private static final String TIMER_KEY = "fleet";
    /** Age of a request whose session was displaced: see {@link SheddingThreshold#step}. */
    private static final int AGE_DISPLACED = 2;
    /** Age of a request that returns at its retry time. */
    private static final int AGE_RETURNED = 1;

    private static final int AGE_FRESH = 0;
    /** Upper limit of the snapshot age in the log, since there is none before the first snapshot. */
    private static final long MAX_LOGGED_AGE_US = 1_000_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(AdmissionFilter.class);

    /** Counts since the start. */
    public static final class Counts {
        /** Requests of known classes. */
        public long requests;
        /** Requests refused below the threshold. */
        public long shed;
        /** Requests that got a server. */
        public long accepted;
        /** Requests for which the module found no capacity. */
        public long rejected;
        /** Attempts after a request's first one. */
        public long retries;
        /** Further attempts denied because they exceeded the share. */
        public long retriesDenied;
    }

    private final Settings settings;
    private final Actions out;
    private final Supplier<FleetSnapshot> snapshots;
    private final Predicate<LocalEvent> events;
    private final Map<String, Integer> classLevels = new HashMap<>();
    /** Requests that have had an attempt; bounded by the broker's requests. */
    private final Set<String> attempted = new HashSet<>();
    /** Servers that are being probed; bounded by the server list. */
    private final Set<String> avoided = new HashSet<>();
    /** Counter of the latest storm message passed to the module, by broker. */
    private final Map<Integer, Integer> forwardedMessages = new HashMap<>();

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
        for (SessionClass sessionClass : settings.classes()) {
            classLevels.put(sessionClass.name(), Math.max(0, worths.indexOf(sessionClass.worth()) - belowLowestLevel));
        }
        this.nextDirector = module.apply(new ModuleActions());
    }

    /** Counts since the start; they go on changing. */
    public Counts counts() {
        return counts;
    }

    /** Sets whether a server is being probed: sessions that can go to another server then do so. */
    public void avoid(String server, boolean probed) {
        if (probed) {
            avoided.add(server);
        } else {
            avoided.remove(server);
        }
    }

    /** The snapshot if it is fresh, otherwise the one of a broker alone. Changes between the two are logged. */
    private FleetSnapshot snapshot() {
        FleetSnapshot latest = snapshots.get();
        boolean fresh = latest.isFresh(now);
        if (fresh == alone) {
            alone = !fresh;
            LOG.atInfo()
                    .setMessage(alone ? "fleet snapshot stale, serving alone" : "fleet snapshot fresh")
                    .addKeyValue("snapshot_age_ms", Math.min(MAX_LOGGED_AGE_US, now - latest.takenAt()) / 1000)
                    .log();
        }
        return fresh ? latest : FleetSnapshot.ALONE;
    }

    // ---- Requests.

    private int step(Request request) {
        int age = AGE_FRESH;
        if (request.afterMove() || request.returning()) {
            age = AGE_DISPLACED;
        } else if (request.retry() && keepsRetryTime(request)) {
            age = AGE_RETURNED;
        }
        return SheddingThreshold.step(classLevels.getOrDefault(request.className(), 0), age);
    }

    /** The client's hash; a client without a name counts as a new one each time. */
    private static int clientHash(Request request) {
        return StableHash.of(request.viewer() == null || request.viewer().isBlank() ? request.id() : request.viewer());
    }

    private boolean keepsRetryTime(Request request) {
        long unit = Math.max(1, out.retryAfterUnit(request.id()));
        return SheddingThreshold.keepsRetryTime(
                clientHash(request),
                now,
                settings.limits().maxRetryAfter(),
                EARLY_RETRY_TOLERANCE_US + unit,
                LATE_RETRY_TOLERANCE_US + unit);
    }

    /** Whether a request that comes now would be shed: the same at every broker with the same snapshot. */
    public boolean isShed(long at, Request request) {
        beforeEvent(at);
        int threshold = snapshot().sheddingThreshold();
        return threshold > 0 && SheddingThreshold.priority(step(request), clientHash(request), now) < threshold;
    }

    @Override
    public void request(long at, Request request) {
        beforeEvent(at);
        if (!classLevels.containsKey(request.className())) {
            nextDirector.request(at, request); // which fails it
            return;
        }
        counts.requests++;
        requests[step(request)]++;
        if (isShed(at, request)) {
            counts.shed++;
            out.refuse(request.id(), retryAfter(request));
            return;
        }
        requestTimes.add(at);
        nextDirector.request(at, request);
    }

    /**
     * The advised retry time in microseconds, a multiple of the unit that the client's protocol can express; 0: no
     * advice.
     */
    private long retryAfter(Request request) {
        long unit = Math.max(1, out.retryAfterUnit(request.id()));
        long longest = settings.limits().maxRetryAfter();
        if (longest < unit) {
            return 0;
        }
        long delay = SheddingThreshold.retryAfter(clientHash(request), now, MIN_RETRY_AFTER_US, longest);
        return Math.max(unit, Math.min(longest, delay) / unit * unit);
    }

    // ---- Time.

    @Override
    protected void beforeEvent(long at) {
        now = Math.max(now, at);
        if (!timerSet) {
            setTimer(now + LOAD_SAMPLE_PERIOD_US);
        }
    }

    private void setTimer(long at) {
        timerSet = true;
        out.scheduleTimer(TIMER_KEY, at);
    }

    @Override
    public void timer(long at, String key) {
        beforeEvent(at);
        if (!key.equals(TIMER_KEY)) {
            nextDirector.timer(at, key);
            return;
        }
        sampleLoad();
        forwardStormMessages();
        setTimer(now + LOAD_SAMPLE_PERIOD_US);
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

    private void forwardStormMessages() {
        snapshot().stormMessages().forEach((from, message) -> {
            Integer previous = forwardedMessages.put(from, message.counter());
            if (previous == null || previous != message.counter()) {
                nextDirector.peerMessageReceived(now, from, message.value());
            }
        });
    }

    // ---- The module's actions.

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

    /**
     * Whether another broker recently reported a server as down. A wrong report costs no more than a choice between
     * servers.
     */
    private boolean isReportedDown(String server) {
        FleetSnapshot fleet = snapshot();
        if (fleet.healthReports().isEmpty()) {
            return false;
        }
        boolean down = false;
        for (VersionedEntry report : fleet.healthReports().getOrDefault(StableHash.of(server), List.of())) {
            boolean recent = now - report.writtenAt() < HealthProbeSchedule.REPORT_VALIDITY_US;
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
        while (!times.isEmpty() && times.peekFirst() < now - RETRY_WINDOW_US) {
            times.removeFirst();
        }
    }

    /**
     * Whether one more retry is within this broker's share of the fleet's retries, which are limited by the replicated
     * requests of the fleet, and within the limit by its own requests: forged figures of others cannot allow more than
     * that.
     */
    private boolean retryAllowed() {
        FleetSnapshot fleet = snapshot();
        double share = fleet.retryShare(now);
        if (share < 0) {
            return true;
        }
        dropOldTimes();
        double fleetRequests = fleet.requestsPerSecond() * RETRY_WINDOW_US / 1e6;
        double fleetRetries = MAX_RETRY_RATIO * Math.max(requestTimes.size(), fleetRequests);
        double limit = Math.min(1 + share * fleetRetries, 1 + MAX_OWN_RETRY_RATIO * requestTimes.size());
        boolean allowed = retryTimes.size() + 1 <= limit;
        counts.retriesDenied += allowed ? 0 : 1;
        return allowed;
    }

    // ---- Other events, passed on.

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
        servers.stream().filter(server -> server.state() == State.GONE).forEach(server -> avoided.remove(server.id()));
        nextDirector.serversChanged(at, scope, servers);
    }
}
