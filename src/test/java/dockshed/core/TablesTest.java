package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Slots and deadlines. */
class TablesTest {
    @Property(seed = "20261201", tries = 300)
    void aHandleFindsItsItemOrNothing(@ForAll List<@IntRange(min = 0, max = 9) Integer> steps) {
        SlotTable<String> table = new SlotTable<>();
        Map<Long, String> model = new HashMap<>();
        List<Long> given = new ArrayList<>();
        for (int step : steps) {
            if (step < 6 || given.isEmpty()) {
                String item = "item" + given.size();
                long handle = table.add(item);
                assertNull(model.put(handle, item), "a handle is never given twice");
                given.add(handle);
            } else {
                long handle = given.get(step * 7919 % given.size());
                assertEquals(model.remove(handle), table.remove(handle));
            }
            assertEquals(model.size(), table.size());
            given.forEach(h -> assertEquals(model.get(h), table.get(h)));
            Map<Long, String> seen = new HashMap<>();
            table.forEachWithHandle(seen::put);
            assertEquals(model, seen);
        }
        assertNull(table.get(0));
        assertNull(table.get(-1));
    }

    @Test
    void deadlinesComeInOrderUnlessCancelled() {
        List<Long> woken = new ArrayList<>();
        List<String> done = new ArrayList<>();
        TimerQueue d = new TimerQueue(woken::add);
        d.schedule(30, t -> done.add("c"));
        TimerQueue.Timer gone = d.schedule(10, t -> done.add("x"));
        d.schedule(20, t -> done.add("a"));
        d.schedule(20, t -> done.add("b"));
        d.cancel(gone);
        assertEquals(List.of(30L, 10L), woken);
        d.runDue(20);
        assertEquals(List.of("a", "b"), done);
        assertEquals(30, d.nextDue());
    }

    @Test
    void aDeadlineThatAsksForAnotherAtOnceDoesNotKeepTheClock() {
        List<String> done = new ArrayList<>();
        TimerQueue d = new TimerQueue(at -> {});
        d.schedule(1, t -> {
            done.add("first");
            d.schedule(0, u -> done.add("second"));
            throw new IllegalStateException("as a test: the others go on");
        });
        d.runDue(5);
        assertEquals(List.of("first"), done);
        d.runDue(5);
        assertEquals(List.of("first", "second"), done);
    }
}
