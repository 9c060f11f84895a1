package dockshed.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that forgets its least recently written entry where it would grow beyond its bound. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxEntries;

    BoundedMap(int most) {
        this.maxEntries = most;
    }

    /** Puts an entry as the latest written. */
    void putLatest(K key, V value) {
        remove(key);
        put(key, value);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
