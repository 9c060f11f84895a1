package dockshed.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is remembered of viewers that were refused, by viewer, title and class: a retry is part of its first try. Ordered
 * by when each last came; the longest away is forgotten first, in time or for room.
 */
final class Visits {
    /** Viewers remembered at most: eight minutes of the densest day's refusals at one of many brokers, 8 MB. */
    static final int MOST = 32_768;
    /** A return counts as one by whole seconds where it misses a whole number of them by less. */
    private static final long WHOLE = 200_000;

    /** KEPT: came at or after its time; EARLY: before; UNTOLD: came back without having been told a time. */
    enum Standing {
        FIRST,
        KEPT,
        EARLY,
        UNTOLD
    }

    static final class Visit {
        final long firstTry;
        long lastSeen;
        long refusedAt;
        long appointed; // 0: none
        int tries;
        boolean booked; // has a place in the calendar

        Visit(long now) {
            firstTry = now;
            lastSeen = now;
        }
    }

    private final Terms terms;
    private final LinkedHashMap<String, Visit> visits = new LinkedHashMap<>(16, 0.75f, true);
    long forgotten; // for want of room, since the start

    Visits(Terms terms) {
        this.terms = terms;
    }

    static String key(String viewer, String title, String className) {
        return className + '\n' + title + '\n' + viewer;
    }

    int size() {
        return visits.size();
    }

    /** The visit of a viewer that asks now. */
    Visit come(long now, String key) {
        forget(now);
        Visit v = visits.get(key);
        if (v == null) {
            v = new Visit(now);
            visits.put(key, v);
            if (visits.size() > MOST) {
                Iterator<Map.Entry<String, Visit>> eldest = visits.entrySet().iterator();
                eldest.next();
                eldest.remove();
                forgotten++;
            }
        }
        v.tries++;
        v.lastSeen = now;
        return v;
    }

    private void forget(long now) {
        for (Iterator<Visit> all = visits.values().iterator(); all.hasNext(); ) {
            Visit v = all.next();
            if (now - Math.max(v.lastSeen, v.appointed) <= terms.remember()) {
                return;
            }
            all.remove();
        }
    }

    /** Served, failed or gone: nothing is owed to it. */
    void over(String key) {
        visits.remove(key);
    }

    Standing standing(long now, Visit v) {
        if (v.tries <= 1) {
            return Standing.FIRST;
        }
        if (v.appointed == 0) {
            return Standing.UNTOLD;
        }
        return now >= v.appointed - terms.early() || byWholeSeconds(now, v) ? Standing.KEPT : Standing.EARLY;
    }

    /** One told in whole seconds comes up to a second early and has kept its time all the same. */
    private static boolean byWholeSeconds(long now, Visit v) {
        long stayed = now - v.refusedAt;
        long whole = Math.round(stayed / 1e6);
        return whole >= 1 && Math.abs(stayed - whole * 1_000_000) < WHOLE && v.appointed - now < 1_000_000;
    }
}
