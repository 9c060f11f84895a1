package dockshed.model;

import dockshed.Director.Rules;
import dockshed.Director.SessionClass;
import dockshed.queueing.EventWindow;
import java.util.HashMap;
import java.util.Map;

/** Counts requests, placements and set-ups: since the start, within sliding windows, and per second. */
public final class AttemptRates {
    private static final double SECOND_US = 1e6;
    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final long placementWindow;
    private final long setUpWindow;
    private final EventWindow retries;
    private final EventWindow requests;
    private final EventWindow recentPlacements;
    private final EventWindow setUps;
    private final Map<String, Double> requestsByClass = new HashMap<>();
    private double placements;
    private long startedAt = NOT_STARTED;

    /**
     * Creates empty counters.
     *
     * @param rules for the windows of retries and of placements
     * @param requestWindowMargin by which the window for requests is shorter than that for retries, in microseconds
     * @param setUpWindow over which set-ups are counted, in microseconds
     */
    public AttemptRates(Rules rules, long requestWindowMargin, long setUpWindow) {
        this.setUpWindow = setUpWindow;
        placementWindow = rules.overloadWindow();
        retries = new EventWindow(rules.retryWindow());
        requests = new EventWindow(rules.retryWindow() - requestWindowMargin);
        recentPlacements = new EventWindow(placementWindow);
        setUps = new EventWindow(setUpWindow);
    }

    /** Starts counting if it has not started yet; returns whether it did. */
    public boolean start(long now) {
        boolean first = startedAt == NOT_STARTED;
        startedAt = first ? now : startedAt;
        return first;
    }

    /** Seconds since the start. */
    public double elapsed(long now) {
        return (now - startedAt) / SECOND_US;
    }

    /** Counts a new request of a class. */
    public void recordRequest(long now, SessionClass sessionClass) {
        requests.add(now);
        requestsByClass.merge(sessionClass.name(), 1.0, Double::sum);
    }

    /** New requests of a class since the start. */
    public double requestsSinceStart(SessionClass sessionClass) {
        return requestsByClass.getOrDefault(sessionClass.name(), 0.0);
    }

    /** Counts a placement: a request is about to be placed, for the first time or again. */
    public void recordPlacement(long now) {
        placements++;
        recentPlacements.add(now);
    }

    /** Counts a set-up that is sent; {@code isRetry}: not the first of its request. */
    public void recordSetUp(long now, boolean isRetry) {
        setUps.add(now);
        if (isRetry) {
            retries.add(now);
        }
    }

    /** Retries within their window: set-ups after the first of a request. */
    public int retries(long now) {
        return retries.count(now);
    }

    /** New requests within their window. */
    public int requests(long now) {
        return requests.count(now);
    }

    /** Set-ups per second within their window. */
    public double setUpsPerSecond(long now) {
        return setUps.count(now) / (setUpWindow / SECOND_US);
    }

    /**
     * Placements per second: since the start, or within their window if that is more.
     *
     * @param usualPerSecond rate assumed before any was observed
     * @param priorWeight weight of the assumed rate, in placements
     */
    public double placementsPerSecond(long now, double usualPerSecond, double priorWeight) {
        double sinceStart = (placements + priorWeight) / (elapsed(now) + priorWeight / usualPerSecond);
        return Math.max(sinceStart, (recentPlacements.count(now) - 1) * SECOND_US / Math.max(1, placementWindow));
    }
}
