package dockshed.storm;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Notices a storm from what one broker can know: arrivals against their own slow and fast averages, repeats, refusals
 * and time-outs, connections opened at once, its own fresh start, and peers that have gone silent. Each sign adds to a
 * pressure; the state follows it with hysteresis, up on little and down only after quiet. Invariants: a state is left
 * only by a step to its neighbour, and STORM is never entered on fewer than {@link #FEW} arrivals in the fast span.
 */
final class Watch {
    enum State {
        CALM,
        RISING,
        STORM,
        EBBING
    }

    /** The spans of the fast averages; the usual rate follows over ten times as long. */
    static final long FAST = 3_000_000;

    static final long SLOW = 20_000_000;
    /** A broker is fresh for so long: half of what an outage's viewers take to arrive at most, and a warm-up more. */
    static final long FRESH = 10_000_000;
    /** Between looks. */
    static final long LOOK = 100_000;
    /** Arrivals in the fast span under which no share says anything, and repeats or refusals under which theirs does not. */
    static final int FEW = 10;

    static final int FEW_SIGNS = 5;
    /** Arrivals must be so many standard deviations of the usual count above it, or chance alone makes a rush. */
    private static final double SURE = 4;
    /** Notes of a peer's that must be missing before it counts as silent. */
    private static final int MISSED = 4;
    /** A peer silent for so long is no sign of a storm any more. */
    private static final long LONG_SILENT = 15_000_000;
    /** Where arrivals are not so far above the usual, repeats and refusals tell of want of room, and count so much less. */
    private static final double MORE = 1.25;

    private static final double WANT = 0.4;

    private static final double RISES = 1;
    private static final double STORMS = 1.75;
    private static final double EBBS = 1;
    private static final double CALMS = 0.75;
    private static final long FIRM = 400_000;

    /** What a state rests on, for the log; rates a second. */
    record Signs(
            double fast,
            double usual,
            double repeats,
            double trouble,
            double connections,
            boolean fresh,
            int silent,
            double pressure) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "arrivals=%.1f usual=%.1f repeats=%.2f trouble=%.2f connections=%.1f "
                            + "fresh=%s silent=%d pressure=%.2f",
                    fast,
                    usual,
                    repeats,
                    trouble,
                    connections,
                    fresh,
                    silent,
                    pressure);
        }
    }

    record Change(State from, State to, Signs signs) {}

    private final Terms terms;
    private final Window arrivals = new Window(LOOK, FAST);
    private final Window repeats = new Window(LOOK, FAST);
    private final Window trouble = new Window(LOOK, FAST);
    private final Window connections = new Window(LOOK, FAST);
    private final Map<Integer, Long> heard = new HashMap<>(); // by peer: bounded by the tier
    private final int peers;
    private State state = State.CALM;
    private double usual;
    private double usualConnections;
    private long startedAt = Long.MIN_VALUE;
    private long lookedAt;
    private long aboveSince;
    private long belowSince;
    private Signs signs;

    /** {@code usual}: arrivals a second before any were seen; {@code peers}: brokers in the tier, at most. */
    Watch(Terms terms, double usual, int peers) {
        this.terms = terms;
        this.usual = usual;
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

    void arrived(long now, boolean repeat) {
        begin(now);
        arrivals.add(now, 1);
        if (repeat) {
            repeats.add(now, 1);
        }
    }

    /** A refusal or a time-out. */
    void troubled(long now) {
        trouble.add(now, 1);
    }

    void connected(long now) {
        begin(now);
        connections.add(now, 1);
    }

    void heard(long now, int peer) {
        if (heard.size() < peers || heard.containsKey(peer)) {
            heard.put(peer, now);
        }
    }

    /** Peers heard of and silent since, though not for so long that they are no news. */
    int silent(long now) {
        return terms.notesEvery() == 0
                ? 0
                : (int) heard.values().stream()
                        .filter(at ->
                                now - at > MISSED * Math.max(terms.notesEvery(), 250_000) && now - at < LONG_SILENT)
                        .count();
    }

    /** Peers that speak, this broker included; 1 where none ever spoke. */
    int living(long now) {
        return 1
                + (int) heard.values().stream()
                        .filter(at -> now - at <= MISSED * Math.max(terms.notesEvery(), 250_000))
                        .count();
    }

    State state() {
        return state;
    }

    /** Arrivals a second lately. */
    double fast(long now) {
        return arrivals.sum(now, FAST) * 1e6 / FAST;
    }

    double usual() {
        return usual;
    }

    Signs signs(long now) {
        double came = arrivals.sum(now, FAST);
        double fast = came * 1e6 / FAST;
        double repeated = share(repeats.sum(now, FAST), came);
        double troubled = share(trouble.sum(now, FAST), came);
        double expected = usual * FAST / 1e6;
        boolean rush = fast > terms.rush() * usual && came - expected > SURE * Math.sqrt(expected + 1);
        double connects = connections.sum(now, FAST) * 1e6 / FAST;
        boolean fresh = now - startedAt < FRESH;
        int silent = silent(now);
        double want = fast > MORE * usual ? 1 : WANT;
        double pressure = (rush ? 1 : 0)
                + want * ((repeated > terms.repeats() ? 1 : 0) + (troubled > terms.trouble() ? 0.75 : 0))
                + (connects > 3 * usualConnections && connects * FAST > 1e6 * FEW ? 0.5 : 0)
                + (fresh ? 0.25 : 0)
                + (silent > 0 ? 0.5 : 0);
        return new Signs(fast, usual, repeated, troubled, connects, fresh, silent, came >= FEW ? pressure : 0);
    }

    private static double share(double signs, double came) {
        return came >= FEW && signs >= FEW_SIGNS ? Math.min(1, signs / came) : 0;
    }

    /** Looks at the signs, if it is time; what changed, or null. */
    Change look(long now) {
        begin(now);
        if (now - lookedAt < LOOK) {
            return null;
        }
        double passed = Math.min(now - lookedAt, FAST);
        lookedAt = now;
        signs = signs(now);
        // The usual rate is learnt in calm; in a storm slowly, so that what lasts becomes usual in the end.
        double weight = passed / SLOW * (state == State.CALM ? 1 : 0.2);
        usual += (signs.fast() - usual) * weight;
        usualConnections += (signs.connections() - usualConnections) * weight;
        double p = signs.pressure();
        boolean up = p >= (state == State.RISING || state == State.EBBING ? STORMS : RISES);
        boolean down = p < (state == State.EBBING ? CALMS : EBBS);
        aboveSince = up ? aboveSince : now;
        belowSince = down ? belowSince : now;
        State next =
                switch (state) {
                    case CALM -> up ? State.RISING : state;
                    case RISING ->
                        now - aboveSince >= FIRM
                                ? State.STORM
                                : now - belowSince >= terms.calmAfter() ? State.CALM : state;
                    case STORM -> now - belowSince >= terms.calmAfter() / 3 ? State.EBBING : state;
                    case EBBING ->
                        now - aboveSince >= FIRM
                                ? State.STORM
                                : now - belowSince >= terms.calmAfter() ? State.CALM : state;
                };
        if (next == state) {
            return null;
        }
        Change change = new Change(state, next, signs);
        state = next;
        aboveSince = now;
        belowSince = now;
        return change;
    }
}
