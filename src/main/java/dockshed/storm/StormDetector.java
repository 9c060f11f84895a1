package dockshed.storm;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Notices a storm from what one broker can know: arrivals against their own slow and fast averages, repeats, refusals
 * and time-outs, connections opened at once, its own fresh start, and peers that have gone silent. Each sign adds to a
 * pressure; the state follows it with hysteresis, up on little and down only after quiet. Invariants: a state is left
 * only by a step to its neighbour, and STORM is never entered on fewer than {@link #MIN_ARRIVALS} arrivals in the fast span.
 */
final class StormDetector {
    enum State {
        CALM,
        RISING,
        STORM,
        EBBING
    }

    /** The spans of the fast averages; the usual rate follows over ten times as long. */
    static final long FAST_WINDOW_US = 3_000_000;

    static final long SLOW_WINDOW_US = 20_000_000;
    /** A broker is fresh for so long: half of what an outage's viewers take to arrive at most, and a warm-up more. */
    static final long FRESH_START_US = 10_000_000;
    /** Between looks. */
    static final long EVALUATION_INTERVAL_US = 100_000;
    /** Arrivals in the fast span under which no share says anything, and repeats or refusals under which theirs does not. */
    static final int MIN_ARRIVALS = 10;

    static final int MIN_EVENTS = 5;
    /** Arrivals must be so many standard deviations of the usual count above it, or chance alone makes a rush. */
    private static final double MIN_RUSH_DEVIATIONS = 4;
    /** Notes of a peer's that must be missing before it counts as silent. */
    private static final int MAX_MISSED_MESSAGES = 4;
    /** A peer silent for so long is no sign of a storm any more. */
    private static final long SILENCE_VALIDITY_US = 15_000_000;
    /** Where arrivals are not so far above the usual, repeats and refusals tell of want of room, and count so much less. */
    private static final double ABOVE_BASELINE_RATIO = 1.25;

    private static final double CAPACITY_SHORTAGE_WEIGHT = 0.4;

    private static final double RISING_PRESSURE = 1;
    private static final double STORM_PRESSURE = 1.75;
    private static final double EBBING_PRESSURE = 1;
    private static final double CALM_PRESSURE = 0.75;
    private static final long STORM_CONFIRMATION_US = 400_000;

    /** What a state rests on, for the log; rates a second. */
    record Indicators(
            double arrivalRate,
            double baselineRate,
            double repeatShare,
            double failureShare,
            double connectionRate,
            boolean freshStart,
            int silentPeers,
            double pressure) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "arrivals=%.1f usual=%.1f repeats=%.2f trouble=%.2f connections=%.1f "
                            + "fresh=%s silent=%d pressure=%.2f",
                    arrivalRate,
                    baselineRate,
                    repeatShare,
                    failureShare,
                    connectionRate,
                    freshStart,
                    silentPeers,
                    pressure);
        }
    }

    record Transition(State from, State to, Indicators indicators) {}

    private final Terms terms;
    private final SlidingWindowCounter arrivals = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter repeats = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter failures = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter connections = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final Map<Integer, Long> heard = new HashMap<>(); // by peer: bounded by the tier
    private final int peers;
    private State state = State.CALM;
    private double baselineRate;
    private double usualConnections;
    private long startedAt = Long.MIN_VALUE;
    private long lookedAt;
    private long aboveSince;
    private long belowSince;
    private Indicators indicators;

    /** {@code usual}: arrivals a second before any were seen; {@code peers}: brokers in the tier, at most. */
    StormDetector(Terms terms, double usual, int peers) {
        this.terms = terms;
        this.baselineRate = usual;
        this.peers = peers;
        usualConnections = usual;
    }

    private void begin(long now) {
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
            lookedAt = now;
            belowSince = now;
            aboveSince = now;
        }
    }

    void recordArrival(long now, boolean repeat) {
        begin(now);
        arrivals.add(now, 1);
        if (repeat) {
            repeats.add(now, 1);
        }
    }

    /** A refusal or a time-out. */
    void recordFailure(long now) {
        failures.add(now, 1);
    }

    void recordConnection(long now) {
        begin(now);
        connections.add(now, 1);
    }

    void heard(long now, int peer) {
        if (heard.size() < peers || heard.containsKey(peer)) {
            heard.put(peer, now);
        }
    }

    /** Peers heard of and silent since, though not for so long that they are no news. */
    int silentPeers(long now) {
        return terms.notesEvery() == 0
                ? 0
                : (int) heard.values().stream()
                        .filter(at -> now - at > MAX_MISSED_MESSAGES * Math.max(terms.notesEvery(), 250_000)
                                && now - at < SILENCE_VALIDITY_US)
                        .count();
    }

    /** Peers that speak, this broker included; 1 where none ever spoke. */
    int activeBrokers(long now) {
        return 1
                + (int) heard.values().stream()
                        .filter(at -> now - at <= MAX_MISSED_MESSAGES * Math.max(terms.notesEvery(), 250_000))
                        .count();
    }

    State state() {
        return state;
    }

    /** Arrivals a second lately. */
    double arrivalRate(long now) {
        return arrivals.sum(now, FAST_WINDOW_US) * 1e6 / FAST_WINDOW_US;
    }

    double baselineRate() {
        return baselineRate;
    }

    Indicators indicators(long now) {
        double came = arrivals.sum(now, FAST_WINDOW_US);
        double fast = came * 1e6 / FAST_WINDOW_US;
        double repeated = share(repeats.sum(now, FAST_WINDOW_US), came);
        double troubled = share(failures.sum(now, FAST_WINDOW_US), came);
        double expected = baselineRate * FAST_WINDOW_US / 1e6;
        boolean rush =
                fast > terms.rush() * baselineRate && came - expected > MIN_RUSH_DEVIATIONS * Math.sqrt(expected + 1);
        double connects = connections.sum(now, FAST_WINDOW_US) * 1e6 / FAST_WINDOW_US;
        boolean fresh = now - startedAt < FRESH_START_US;
        int silent = silentPeers(now);
        double want = fast > ABOVE_BASELINE_RATIO * baselineRate ? 1 : CAPACITY_SHORTAGE_WEIGHT;
        double pressure = (rush ? 1 : 0)
                + want * ((repeated > terms.repeats() ? 1 : 0) + (troubled > terms.trouble() ? 0.75 : 0))
                + (connects > 3 * usualConnections && connects * FAST_WINDOW_US > 1e6 * MIN_ARRIVALS ? 0.5 : 0)
                + (fresh ? 0.25 : 0)
                + (silent > 0 ? 0.5 : 0);
        return new Indicators(
                fast, baselineRate, repeated, troubled, connects, fresh, silent, came >= MIN_ARRIVALS ? pressure : 0);
    }

    private static double share(double signs, double came) {
        return came >= MIN_ARRIVALS && signs >= MIN_EVENTS ? Math.min(1, signs / came) : 0;
    }

    /** Looks at the signs, if it is time; what changed, or null. */
    Transition evaluate(long now) {
        begin(now);
        if (now - lookedAt < EVALUATION_INTERVAL_US) {
            return null;
        }
        double passed = Math.min(now - lookedAt, FAST_WINDOW_US);
        lookedAt = now;
        indicators = indicators(now);
        // The usual rate is learnt in calm; in a storm slowly, so that what lasts becomes usual in the end.
        double weight = passed / SLOW_WINDOW_US * (state == State.CALM ? 1 : 0.2);
        baselineRate += (indicators.arrivalRate() - baselineRate) * weight;
        usualConnections += (indicators.connectionRate() - usualConnections) * weight;
        double p = indicators.pressure();
        boolean up = p >= (state == State.RISING || state == State.EBBING ? STORM_PRESSURE : RISING_PRESSURE);
        boolean down = p < (state == State.EBBING ? CALM_PRESSURE : EBBING_PRESSURE);
        aboveSince = up ? aboveSince : now;
        belowSince = down ? belowSince : now;
        State next =
                switch (state) {
                    case CALM -> up ? State.RISING : state;
                    case RISING ->
                        now - aboveSince >= STORM_CONFIRMATION_US
                                ? State.STORM
                                : now - belowSince >= terms.calmAfter() ? State.CALM : state;
                    case STORM -> now - belowSince >= terms.calmAfter() / 3 ? State.EBBING : state;
                    case EBBING ->
                        now - aboveSince >= STORM_CONFIRMATION_US
                                ? State.STORM
                                : now - belowSince >= terms.calmAfter() ? State.CALM : state;
                };
        if (next == state) {
            return null;
        }
        Transition change = new Transition(state, next, indicators);
        state = next;
        aboveSince = now;
        belowSince = now;
        return change;
    }
}
