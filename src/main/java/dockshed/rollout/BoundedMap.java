package dockshed.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts its least recently written entry when it would exceed its maximum size. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxEntries;

    BoundedMap(int most) {
        this.maxEntries = most;
    }

    /** Puts an entry and makes it the most recently written one. */
    void putLatest(K key, V value) {
        remove(key);
        put(key, value);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
