package dockshed.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of requests that are over, may have run at a server, and must not run twice. Each request has a name of its own,
 * so one that comes again under such a name is the same one, sent again by a client that has left in between.
 *
 * <p>No I/O; times are in microseconds.
 */
final class AtMostOnceHistory {
    /** How long a name is remembered; no client repeats a request later. */
    static final long RETENTION_US = 300_000_000;
    /** The oldest names beyond this number are forgotten. */
    static final int MAX_NAMES = 8192;

    private final LinkedHashMap<String, Long> endedAt = new LinkedHashMap<>(); // by name, the oldest first

    /** Remembers a request that has ended. */
    void add(long now, String name) {
        endedAt.remove(name);
        endedAt.put(name, now);
        Iterator<Map.Entry<String, Long>> oldest = endedAt.entrySet().iterator();
        while (oldest.hasNext() && (isExpired(now, oldest.next().getValue()) || endedAt.size() > MAX_NAMES)) {
            oldest.remove();
        }
    }

    /** Whether a request of this name may have run. */
    boolean contains(long now, String name) {
        Long ended = endedAt.get(name);
        return ended != null && !isExpired(now, ended);
    }

    private static boolean isExpired(long now, long ended) {
        return now - ended > RETENTION_US;
    }
}
