package dockshed.core;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A table of items addressed by handles (a slot map). A handle holds the number of a slot in its lower 32 bits and the
 * slot's generation in its upper 32 bits, so the handle of a removed item finds nothing, even after its slot has been
 * reused. No handle is 0. Not thread-safe.
 */
public final class SlotTable<T> {
    private Object[] items = new Object[16];
    private int[] generations = new int[16];
    private int[] freeSlots = new int[16]; // a stack of freeCount slots
    private int freeCount;
    private int usedSlots; // slots that have ever held an item
    private int size;

    /** Adds an item and returns its handle. */
    public long add(T item) {
        int slot;
        if (freeCount > 0) {
            slot = freeSlots[--freeCount];
        } else {
            slot = usedSlots++;
            if (slot == items.length) {
                items = Arrays.copyOf(items, slot * 2);
                generations = Arrays.copyOf(generations, slot * 2);
                freeSlots = Arrays.copyOf(freeSlots, slot * 2);
            }
        }
        items[slot] = item;
        generations[slot] = generations[slot] == Integer.MAX_VALUE ? 1 : generations[slot] + 1;
        size++;
        return (long) generations[slot] << 32 | slot;
    }

    /** The item of a handle; null if it has been removed, or if the handle was never given out. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int slot = (int) handle;
        boolean known = slot >= 0 && slot < usedSlots && generations[slot] == (int) (handle >>> 32);
        return known ? (T) items[slot] : null;
    }

    /** Removes and returns the item of a handle; null if there is none. */
    public T remove(long handle) {
        T item = get(handle);
        if (item != null) {
            int slot = (int) handle;
            items[slot] = null;
            freeSlots[freeCount++] = slot;
            size--;
        }
        return item;
    }

    /** Number of items. */
    public int size() {
        return size;
    }

    /** Visits all items in the order of their slots; the visitor may remove items but not add any. */
    public void forEach(Consumer<? super T> visitor) {
        forEachWithHandle((handle, item) -> visitor.accept(item));
    }

    /** As {@link #forEach}, with the handles of the items. */
    @SuppressWarnings("unchecked")
    public void forEachWithHandle(BiConsumer<Long, ? super T> visitor) {
        for (int slot = 0; slot < usedSlots; slot++) {
            if (items[slot] != null) {
                visitor.accept((long) generations[slot] << 32 | slot, (T) items[slot]);
            }
        }
    }
}
