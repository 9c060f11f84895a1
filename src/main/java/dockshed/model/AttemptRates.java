package dockshed.model;

import dockshed.Director.Rules;
import dockshed.Director.SessionClass;
import dockshed.queueing.EventWindow;
import java.util.HashMap;
import java.util.Map;

/** How many requests, tries and attempts there are: since the start, within sliding windows, and a second. */
public final class AttemptRates {
    private static final double SECOND = 1e6;
    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final long triesOver;
    private final long setUpsOver;
    private final EventWindow further;
    private final EventWindow requests;
    private final EventWindow tries;
    private final EventWindow setUps;
    private final Map<String, Double> requested = new HashMap<>();
    private double tried;
    private long startedAt = NOT_STARTED;

    /**
     * Nothing yet.
     *
     * @param rules where further attempts are rationed, over which time, and over which time cold servers fall
     * @param rationMargin by how much less requests are counted over than further attempts
     * @param setUpsOver the span over which set-ups are counted
     */
    public AttemptRates(Rules rules, long rationMargin, long setUpsOver) {
        this.setUpsOver = setUpsOver;
        triesOver = rules.overloadWindow();
        further = new EventWindow(rules.retryWindow());
        requests = new EventWindow(rules.retryWindow() - rationMargin);
        tries = new EventWindow(triesOver);
        setUps = new EventWindow(setUpsOver);
    }

    /** Counting begins; whether it had not begun. */
    public boolean start(long now) {
        boolean first = startedAt == NOT_STARTED;
        startedAt = first ? now : startedAt;
        return first;
    }

    /** Seconds since the start. */
    public double elapsed(long now) {
        return (now - startedAt) / SECOND;
    }

    /** A new request of a class has come. */
    public void requested(long now, SessionClass sessionClass) {
        requests.add(now);
        requested.merge(sessionClass.name(), 1.0, Double::sum);
    }

    /** New requests of a class since the start. */
    public double requested(SessionClass sessionClass) {
        return requested.getOrDefault(sessionClass.name(), 0.0);
    }

    /** A request is to be placed, for the first time or again. */
    public void tried(long now) {
        tried++;
        tries.add(now);
    }

    /** A set-up goes out; {@code again}: not the first of its request. */
    public void sent(long now, boolean again) {
        setUps.add(now);
        if (again) {
            further.add(now);
        }
    }

    /** Further attempts in their window. */
    public int further(long now) {
        return further.count(now);
    }

    /** New requests in their window. */
    public int requests(long now) {
        return requests.count(now);
    }

    /** Set-ups a second, in their window. */
    public double setUpsPerSecond(long now) {
        return setUps.count(now) / (setUpsOver / SECOND);
    }

    /**
     * Tries a second: since the start, where the usual rate weighs as much as {@code prior} tries, or within their
     * window where those are more.
     */
    public double triesPerSecond(long now, double usual, double prior) {
        double ever = (tried + prior) / (elapsed(now) + prior / usual);
        return Math.max(ever, (tries.count(now) - 1) * SECOND / Math.max(1, triesOver));
    }
}
