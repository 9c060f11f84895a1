package dockshed.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its oldest entry when it would exceed its maximum size; {@link #putLatest} makes an entry the
 * newest.
 */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxEntries;

    BoundedMap(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Puts an entry and makes it the newest one. */
    void putLatest(K key, V value) {
        remove(key);
        put(key, value);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
