package dockshed.storm;

import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import dockshed.storm.Visits.Standing;
import dockshed.storm.Visits.Visit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that the module has not been given yet, and who of them goes first: worth, times how near its viewer is to
 * giving up, by how it kept its appointment; and what it has waited, so that nobody starves. Nobody waits in vain: one
 * whose turn cannot come in its time is not taken in, and the least is put out where the room is full.
 */
final class WaitingRoom {
    /** Points for each second of waiting: over the hold it outweighs the least worth, not the greatest. */
    static final double PATIENT = 2;
    /** Of the time left to a request, what waiting may take: its set-up needs the rest. */
    private static final double PART = 0.5;

    record Waiter(Request request, SessionClass cls, Visit visit, Standing standing, long came) {}

    private final Terms terms;
    private final Map<String, Waiter> waiting = new LinkedHashMap<>();

    WaitingRoom(Terms terms) {
        this.terms = terms;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** What a request counts for now. */
    static double score(long now, Waiter w) {
        double age = Math.min(2, (now - w.visit().firstTry) / (double) w.cls().deadline());
        double kept =
                switch (w.standing()) {
                    case KEPT -> 1.5;
                    case FIRST, UNTOLD -> 1;
                    case EARLY -> 0.25;
                };
        return w.cls().worth() * (1 + age) * kept + PATIENT * (now - w.came()) / 1e6;
    }

    /** Until when a request may wait. */
    long until(Waiter w) {
        return w.came() + Math.min(terms.hold(), (long) (PART * w.request().clientDeadline()));
    }

    /**
     * Takes one in if its turn can come in time at so many a second. What does not wait is returned: the one that came,
     * or the least of those that waited, or null.
     */
    Waiter offer(long now, Waiter w, double perSecond) {
        double score = score(now, w);
        long before =
                waiting.values().stream().filter(o -> score(now, o) >= score).count();
        if (now + (before + 1) / perSecond * 1e6 > until(w)) {
            return w;
        }
        waiting.put(w.request().id(), w);
        if (waiting.size() <= terms.waiting()) {
            return null;
        }
        Waiter least = best(now, waiting.values(), -1);
        waiting.remove(least.request().id());
        return least;
    }

    private static Waiter best(long now, Collection<Waiter> of, int sign) {
        Waiter best = null;
        double most = 0;
        for (Waiter w : of) {
            double score = sign * score(now, w);
            if (best == null || score > most) {
                best = w;
                most = score;
            }
        }
        return best;
    }

    /** The one whose turn it is; it waits no longer. */
    Waiter next(long now) {
        Waiter best = best(now, waiting.values(), 1);
        waiting.remove(best.request().id());
        return best;
    }

    /** Those that have waited for as long as they may; they wait no longer. */
    List<Waiter> over(long now) {
        List<Waiter> out = new ArrayList<>();
        waiting.values().removeIf(w -> now >= until(w) && out.add(w));
        return out;
    }

    Waiter remove(String request) {
        return waiting.remove(request);
    }
}
