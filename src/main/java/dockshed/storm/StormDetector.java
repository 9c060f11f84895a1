package dockshed.storm;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Detects retry storms from what one broker can see: the arrival rate against its baseline, repeated requests, refusals and
 * time-outs, connections opened at once, the broker's own recent start, and brokers that have fallen silent. Each indicator
 * adds to a pressure. The state follows the pressure with hysteresis: it rises quickly and falls only after a quiet time.
 * Invariants: a transition leads to a neighbouring state only, and STORM is never entered on fewer than
 * {@link #MIN_ARRIVALS} arrivals in the fast window.
 */
final class StormDetector {
    /** The states, from no storm to a storm that is abating. */
    enum State {
        CALM,
        RISING,
        STORM,
        EBBING
    }

    /** Window over which current rates are measured. */
    static final long FAST_WINDOW_US = 3_000_000;
    /** Time constant of the baseline rate while calm; otherwise five times as long. */
    static final long SLOW_WINDOW_US = 20_000_000;
    /**
     * Time for which a broker counts as freshly started: half the longest time over which viewers return after an outage,
     * and a warm-up.
     */
    static final long FRESH_START_US = 10_000_000;
    /** Time between evaluations. */
    static final long EVALUATION_INTERVAL_US = 100_000;
    /** Arrivals in the fast window below which no share or rate indicates anything. */
    static final int MIN_ARRIVALS = 10;
    /** Repeated requests, or refusals and time-outs, in the fast window below which their share indicates nothing. */
    static final int MIN_EVENTS = 5;
    /** Standard deviations by which arrivals must exceed the baseline, as smaller excesses occur by chance. */
    private static final double MIN_RUSH_DEVIATIONS = 4;
    /** Status messages of a broker that may be missing before it counts as silent. */
    private static final int MAX_MISSED_MESSAGES = 4;
    /** Time after which a silent broker no longer indicates a storm. */
    private static final long SILENCE_VALIDITY_US = 15_000_000;
    /**
     * Ratio of arrivals to the baseline up to which repeated requests and refusals indicate a lack of capacity rather than a
     * storm, and count less.
     */
    private static final double ABOVE_BASELINE_RATIO = 1.25;
    /** Weight of repeated requests and refusals that indicate a lack of capacity. */
    private static final double CAPACITY_SHORTAGE_WEIGHT = 0.4;

    /** Pressure from which CALM becomes RISING. */
    private static final double RISING_PRESSURE = 1;
    /** Pressure from which RISING or EBBING becomes STORM. */
    private static final double STORM_PRESSURE = 1.75;
    /** Pressure below which STORM becomes EBBING, and RISING becomes CALM again. */
    private static final double EBBING_PRESSURE = 1;
    /** Pressure below which EBBING becomes CALM. */
    private static final double CALM_PRESSURE = 0.75;
    /** Time for which the pressure must last before the state becomes STORM. */
    private static final long STORM_CONFIRMATION_US = 400_000;

    /** What a state is based on, as the log shows it; rates are per second, shares are of arrivals. */
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

    /** A change of state and the indicators that it is based on. */
    record Transition(State from, State to, Indicators indicators) {}

    private final Terms terms;
    private final SlidingWindowCounter arrivals = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter repeats = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter failures = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final SlidingWindowCounter connections = new SlidingWindowCounter(EVALUATION_INTERVAL_US, FAST_WINDOW_US);
    private final Map<Integer, Long> lastMessageAt = new HashMap<>(); // by broker: bounded by maxPeers
    private final int maxPeers;
    private State state = State.CALM;
    private double baselineRate;
    private double baselineConnectionRate;
    private long startedAt = Long.MIN_VALUE;
    private long evaluatedAt;
    private long aboveSince;
    private long belowSince;
    private Indicators indicators;

    /**
     * A detector in the state CALM.
     *
     * @param baselineRate arrivals a second to be expected before any have been measured
     * @param maxPeers     brokers in the fleet
     */
    StormDetector(Terms terms, double baselineRate, int maxPeers) {
        this.terms = terms;
        this.baselineRate = baselineRate;
        this.maxPeers = maxPeers;
        baselineConnectionRate = baselineRate;
    }

    private void start(long now) {
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
            evaluatedAt = now;
            belowSince = now;
            aboveSince = now;
        }
    }

    void recordArrival(long now, boolean repeat) {
        start(now);
        arrivals.add(now, 1);
        if (repeat) {
            repeats.add(now, 1);
        }
    }

    /** Records a refusal or a time-out. */
    void recordFailure(long now) {
        failures.add(now, 1);
    }

    void recordConnection(long now) {
        start(now);
        connections.add(now, 1);
    }

    void recordPeerMessage(long now, int peer) {
        if (lastMessageAt.size() < maxPeers || lastMessageAt.containsKey(peer)) {
            lastMessageAt.put(peer, now);
        }
    }

    /** Brokers that have sent messages and fallen silent, though not so long ago that it no longer indicates a storm. */
    int silentPeers(long now) {
        return terms.notesEvery() == 0
                ? 0
                : (int) lastMessageAt.values().stream()
                        .filter(at -> now - at > MAX_MISSED_MESSAGES * Math.max(terms.notesEvery(), 250_000)
                                && now - at < SILENCE_VALIDITY_US)
                        .count();
    }

    /** Brokers that send messages, this one included; 1 if none ever did. */
    int activeBrokers(long now) {
        return 1
                + (int) lastMessageAt.values().stream()
                        .filter(at -> now - at <= MAX_MISSED_MESSAGES * Math.max(terms.notesEvery(), 250_000))
                        .count();
    }

    State state() {
        return state;
    }

    /** Arrivals a second within the fast window. */
    double arrivalRate(long now) {
        return arrivals.sum(now, FAST_WINDOW_US) * 1e6 / FAST_WINDOW_US;
    }

    /** The usual arrivals a second. */
    double baselineRate() {
        return baselineRate;
    }

    Indicators indicators(long now) {
        double arrived = arrivals.sum(now, FAST_WINDOW_US);
        double arrivalRate = arrived * 1e6 / FAST_WINDOW_US;
        double repeatShare = share(repeats.sum(now, FAST_WINDOW_US), arrived);
        double failureShare = share(failures.sum(now, FAST_WINDOW_US), arrived);
        double expected = baselineRate * FAST_WINDOW_US / 1e6;
        boolean rush = arrivalRate > terms.rush() * baselineRate
                && arrived - expected > MIN_RUSH_DEVIATIONS * Math.sqrt(expected + 1);
        double connectionRate = connections.sum(now, FAST_WINDOW_US) * 1e6 / FAST_WINDOW_US;
        boolean freshStart = now - startedAt < FRESH_START_US;
        int silentPeers = silentPeers(now);
        double weight = arrivalRate > ABOVE_BASELINE_RATIO * baselineRate ? 1 : CAPACITY_SHORTAGE_WEIGHT;
        double pressure = (rush ? 1 : 0)
                + weight * ((repeatShare > terms.repeats() ? 1 : 0) + (failureShare > terms.trouble() ? 0.75 : 0))
                + (connectionRate > 3 * baselineConnectionRate && connectionRate * FAST_WINDOW_US > 1e6 * MIN_ARRIVALS
                        ? 0.5
                        : 0)
                + (freshStart ? 0.25 : 0)
                + (silentPeers > 0 ? 0.5 : 0);
        return new Indicators(
                arrivalRate,
                baselineRate,
                repeatShare,
                failureShare,
                connectionRate,
                freshStart,
                silentPeers,
                arrived >= MIN_ARRIVALS ? pressure : 0);
    }

    private static double share(double events, double arrived) {
        return arrived >= MIN_ARRIVALS && events >= MIN_EVENTS ? Math.min(1, events / arrived) : 0;
    }

    /** Evaluates the indicators if the interval has passed; returns the change of state, or null if there was none. */
    Transition evaluate(long now) {
        start(now);
        if (now - evaluatedAt < EVALUATION_INTERVAL_US) {
            return null;
        }
        double passed = Math.min(now - evaluatedAt, FAST_WINDOW_US);
        evaluatedAt = now;
        indicators = indicators(now);
        // The baseline follows arrivals also in a storm, though slowly, so that a lasting rise becomes the baseline.
        double weight = passed / SLOW_WINDOW_US * (state == State.CALM ? 1 : 0.2);
        baselineRate += (indicators.arrivalRate() - baselineRate) * weight;
        baselineConnectionRate += (indicators.connectionRate() - baselineConnectionRate) * weight;
        double pressure = indicators.pressure();
        boolean above = pressure >= (state == State.RISING || state == State.EBBING ? STORM_PRESSURE : RISING_PRESSURE);
        boolean below = pressure < (state == State.EBBING ? CALM_PRESSURE : EBBING_PRESSURE);
        aboveSince = above ? aboveSince : now;
        belowSince = below ? belowSince : now;
        State next =
                switch (state) {
                    case CALM -> above ? State.RISING : state;
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
        Transition transition = new Transition(state, next, indicators);
        state = next;
        aboveSince = now;
        belowSince = now;
        return transition;
    }
}
