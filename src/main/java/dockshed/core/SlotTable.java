package dockshed.core;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle names a slot and the generation of what lay in it when the handle was given
 * out, so one that has outlived its item finds nothing, even after the slot is used again. No handle is 0.
 */
public final class SlotTable<T> {
    private Object[] items = new Object[16];
    private int[] generations = new int[16];
    private int[] free = new int[16];
    private int freed;
    private int top;
    private int size;

    public long add(T item) {
        int slot;
        if (freed > 0) {
            slot = free[--freed];
        } else {
            slot = top++;
            if (slot == items.length) {
                items = Arrays.copyOf(items, slot * 2);
                generations = Arrays.copyOf(generations, slot * 2);
                free = Arrays.copyOf(free, slot * 2);
            }
        }
        items[slot] = item;
        generations[slot] = generations[slot] == Integer.MAX_VALUE ? 1 : generations[slot] + 1;
        size++;
        return (long) generations[slot] << 32 | slot;
    }

    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int slot = (int) handle;
        boolean known = slot >= 0 && slot < top && generations[slot] == (int) (handle >>> 32);
        return known ? (T) items[slot] : null;
    }

    /** Empties the slot; null where the handle is no longer good. */
    public T remove(long handle) {
        T item = get(handle);
        if (item != null) {
            int slot = (int) handle;
            items[slot] = null;
            free[freed++] = slot;
            size--;
        }
        return item;
    }

    public int size() {
        return size;
    }

    /** Visits every item in slot order; the visitor may remove items but not add them. */
    public void forEach(Consumer<? super T> visitor) {
        forEachWithHandle((handle, item) -> visitor.accept(item));
    }

    /** The same, with the handles. */
    @SuppressWarnings("unchecked")
    public void forEachWithHandle(BiConsumer<Long, ? super T> visitor) {
        for (int slot = 0; slot < top; slot++) {
            if (items[slot] != null) {
                visitor.accept((long) generations[slot] << 32 | slot, (T) items[slot]);
            }
        }
    }
}
