package dockshed.model;

import dockshed.Director.Rules;
import dockshed.Director.SessionClass;
import dockshed.queueing.EventWindow;
import java.util.HashMap;
import java.util.Map;

/** How many requests, tries and attempts there are: since the start, within sliding windows, and a second. */
public final class AttemptRates {
    private static final double SECOND_US = 1e6;
    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final long placementWindow;
    private final long setUpWindow;
    private final EventWindow retries;
    private final EventWindow requests;
    private final EventWindow recentPlacements;
    private final EventWindow setUps;
    private final Map<String, Double> requested = new HashMap<>();
    private double recordPlacement;
    private long startedAt = NOT_STARTED;

    /**
     * Nothing yet.
     *
     * @param rules where further attempts are rationed, over which time, and over which time cold servers fall
     * @param rationMargin by how much less requests are counted over than further attempts
     * @param setUpsOver the span over which set-ups are counted
     */
    public AttemptRates(Rules rules, long rationMargin, long setUpsOver) {
        this.setUpWindow = setUpsOver;
        placementWindow = rules.overloadWindow();
        retries = new EventWindow(rules.retryWindow());
        requests = new EventWindow(rules.retryWindow() - rationMargin);
        recentPlacements = new EventWindow(placementWindow);
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
        return (now - startedAt) / SECOND_US;
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
    public void recordPlacement(long now) {
        recordPlacement++;
        recentPlacements.add(now);
    }

    /** A set-up goes out; {@code again}: not the first of its request. */
    public void recordSetUp(long now, boolean again) {
        setUps.add(now);
        if (again) {
            retries.add(now);
        }
    }

    /** Further attempts in their window. */
    public int retries(long now) {
        return retries.count(now);
    }

    /** New requests in their window. */
    public int requests(long now) {
        return requests.count(now);
    }

    /** Set-ups a second, in their window. */
    public double setUpsPerSecond(long now) {
        return setUps.count(now) / (setUpWindow / SECOND_US);
    }

    /**
     * Tries a second: since the start, where the usual rate weighs as much as {@code prior} tries, or within their
     * window where those are more.
     */
    public double placementsPerSecond(long now, double usual, double prior) {
        double ever = (recordPlacement + prior) / (elapsed(now) + prior / usual);
        return Math.max(ever, (recentPlacements.count(now) - 1) * SECOND_US / Math.max(1, placementWindow));
    }
}
