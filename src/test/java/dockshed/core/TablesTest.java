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
            table.eachHandle(seen::put);
            assertEquals(model, seen);
        }
        assertNull(table.get(0));
        assertNull(table.get(-1));
    }

    @Test
    void deadlinesComeInOrderUnlessCancelled() {
        List<Long> woken = new ArrayList<>();
        List<String> done = new ArrayList<>();
        Deadlines d = new Deadlines(woken::add);
        d.at(30, t -> done.add("c"));
        Deadlines.Deadline gone = d.at(10, t -> done.add("x"));
        d.at(20, t -> done.add("a"));
        d.at(20, t -> done.add("b"));
        d.cancel(gone);
        assertEquals(List.of(30L, 10L), woken);
        d.run(20);
        assertEquals(List.of("a", "b"), done);
        assertEquals(30, d.next());
    }

    @Test
    void aDeadlineThatAsksForAnotherAtOnceDoesNotKeepTheClock() {
        List<String> done = new ArrayList<>();
        Deadlines d = new Deadlines(at -> {});
        d.at(1, t -> {
            done.add("first");
            d.at(0, u -> done.add("second"));
            throw new IllegalStateException("as a test: the others go on");
        });
        d.run(5);
        assertEquals(List.of("first"), done);
        d.run(5);
        assertEquals(List.of("first", "second"), done);
    }
}
