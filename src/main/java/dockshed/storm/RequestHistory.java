package dockshed.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers viewers that have not been served, by viewer, title and class, so that a retry is recognised as belonging to its
 * first request. Entries are ordered by their last request; the oldest is removed first, when it expires or when the history
 * is full.
 */
final class RequestHistory {
    /** Entries held at most: eight minutes of refusals of the busiest day at one of many brokers, about 8 MB. */
    static final int MAX_ENTRIES = 32_768;
    /** How much a return may differ from a whole number of seconds and count as made by whole seconds. */
    private static final long WHOLE_SECOND_TOLERANCE_US = 200_000;

    /** How a request relates to the return time that its viewer was given. */
    enum ReturnKind {
        /** The first request: not a return. */
        FIRST,
        /** A return at or after its time. */
        KEPT,
        /** A return before its time. */
        EARLY,
        /** A return of a viewer that was given no time. */
        UNTOLD
    }

    /** A viewer's requests for one title and class. Times are microseconds. */
    static final class ViewerRecord {
        final long firstRequestAt;
        long lastRequestAt;
        long refusedAt;
        long returnAt; // 0: no time was given
        int requests;
        boolean booked; // the return is booked in the calendar

        ViewerRecord(long now) {
            firstRequestAt = now;
            lastRequestAt = now;
        }
    }

    private final Terms terms;
    private final LinkedHashMap<String, ViewerRecord> entries = new LinkedHashMap<>(16, 0.75f, true);
    /** Entries removed because the history was full, since the start. */
    long evicted;

    RequestHistory(Terms terms) {
        this.terms = terms;
    }

    /** Key of a viewer's requests for one title and class. */
    static String key(String viewer, String title, String className) {
        return className + '\n' + title + '\n' + viewer;
    }

    int size() {
        return entries.size();
    }

    /** Counts a request and returns its viewer's record, a new one if there is none. */
    ViewerRecord recordRequest(long now, String key) {
        removeExpired(now);
        ViewerRecord viewerRecord = entries.get(key);
        if (viewerRecord == null) {
            viewerRecord = new ViewerRecord(now);
            entries.put(key, viewerRecord);
            if (entries.size() > MAX_ENTRIES) {
                Iterator<Map.Entry<String, ViewerRecord>> eldest =
                        entries.entrySet().iterator();
                eldest.next();
                eldest.remove();
                evicted++;
            }
        }
        viewerRecord.requests++;
        viewerRecord.lastRequestAt = now;
        return viewerRecord;
    }

    private void removeExpired(long now) {
        for (Iterator<ViewerRecord> all = entries.values().iterator(); all.hasNext(); ) {
            ViewerRecord viewerRecord = all.next();
            if (now - Math.max(viewerRecord.lastRequestAt, viewerRecord.returnAt) <= terms.remember()) {
                return;
            }
            all.remove();
        }
    }

    /** Forgets a viewer that has been served, has failed or has left. */
    void remove(String key) {
        entries.remove(key);
    }

    ReturnKind returnKind(long now, ViewerRecord viewerRecord) {
        if (viewerRecord.requests <= 1) {
            return ReturnKind.FIRST;
        }
        if (viewerRecord.returnAt == 0) {
            return ReturnKind.UNTOLD;
        }
        return now >= viewerRecord.returnAt - terms.early() || returnedByWholeSeconds(now, viewerRecord)
                ? ReturnKind.KEPT
                : ReturnKind.EARLY;
    }

    /** Whether a viewer returned up to a second early only because it was given its time in whole seconds. */
    private static boolean returnedByWholeSeconds(long now, ViewerRecord viewerRecord) {
        long away = now - viewerRecord.refusedAt;
        long seconds = Math.round(away / 1e6);
        return seconds >= 1
                && Math.abs(away - seconds * 1_000_000) < WHOLE_SECOND_TOLERANCE_US
                && viewerRecord.returnAt - now < 1_000_000;
    }
}
