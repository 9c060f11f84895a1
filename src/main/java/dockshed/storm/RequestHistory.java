package dockshed.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is remembered of viewers that were refused, by viewer, title and class: a retry is part of its first try. Ordered
 * by when each last came; the longest away is forgotten first, in time or for room.
 */
final class RequestHistory {
    /** Viewers remembered at most: eight minutes of the densest day's refusals at one of many brokers, 8 MB. */
    static final int MAX_ENTRIES = 32_768;
    /** A return counts as one by whole seconds where it misses a whole number of them by less. */
    private static final long WHOLE_SECOND_TOLERANCE_US = 200_000;

    /** KEPT: came at or after its time; EARLY: before; UNTOLD: came back without having been told a time. */
    enum ReturnKind {
        FIRST,
        KEPT,
        EARLY,
        UNTOLD
    }

    static final class ViewerRecord {
        final long firstRequestAt;
        long lastRequestAt;
        long refusedAt;
        long returnAt; // 0: none
        int requests;
        boolean booked; // has a place in the calendar

        ViewerRecord(long now) {
            firstRequestAt = now;
            lastRequestAt = now;
        }
    }

    private final Terms terms;
    private final LinkedHashMap<String, ViewerRecord> entries = new LinkedHashMap<>(16, 0.75f, true);
    long evicted; // for want of room, since the start

    RequestHistory(Terms terms) {
        this.terms = terms;
    }

    static String key(String viewer, String title, String className) {
        return className + '\n' + title + '\n' + viewer;
    }

    int size() {
        return entries.size();
    }

    /** The visit of a viewer that asks now. */
    ViewerRecord recordRequest(long now, String key) {
        removeExpired(now);
        ViewerRecord v = entries.get(key);
        if (v == null) {
            v = new ViewerRecord(now);
            entries.put(key, v);
            if (entries.size() > MAX_ENTRIES) {
                Iterator<Map.Entry<String, ViewerRecord>> eldest =
                        entries.entrySet().iterator();
                eldest.next();
                eldest.remove();
                evicted++;
            }
        }
        v.requests++;
        v.lastRequestAt = now;
        return v;
    }

    private void removeExpired(long now) {
        for (Iterator<ViewerRecord> all = entries.values().iterator(); all.hasNext(); ) {
            ViewerRecord v = all.next();
            if (now - Math.max(v.lastRequestAt, v.returnAt) <= terms.remember()) {
                return;
            }
            all.remove();
        }
    }

    /** Served, failed or gone: nothing is owed to it. */
    void remove(String key) {
        entries.remove(key);
    }

    ReturnKind returnKind(long now, ViewerRecord v) {
        if (v.requests <= 1) {
            return ReturnKind.FIRST;
        }
        if (v.returnAt == 0) {
            return ReturnKind.UNTOLD;
        }
        return now >= v.returnAt - terms.early() || returnedByWholeSeconds(now, v) ? ReturnKind.KEPT : ReturnKind.EARLY;
    }

    /** One told in whole seconds comes up to a second early and has kept its time all the same. */
    private static boolean returnedByWholeSeconds(long now, ViewerRecord v) {
        long stayed = now - v.refusedAt;
        long whole = Math.round(stayed / 1e6);
        return whole >= 1
                && Math.abs(stayed - whole * 1_000_000) < WHOLE_SECOND_TOLERANCE_US
                && v.returnAt - now < 1_000_000;
    }
}
