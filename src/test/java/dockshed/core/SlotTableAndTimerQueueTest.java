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

/** The slot table and the timer queue. */
class SlotTableAndTimerQueueTest {
    @Property(seed = "20261201", tries = 300)
    void aHandleFindsItsItemOrNothing(@ForAll List<@IntRange(min = 0, max = 9) Integer> steps) {
        SlotTable<String> table = new SlotTable<>();
        Map<Long, String> model = new HashMap<>();
        List<Long> handles = new ArrayList<>();
        for (int step : steps) {
            if (step < 6 || handles.isEmpty()) {
                String item = "item" + handles.size();
                long handle = table.add(item);
                assertNull(model.put(handle, item), "a handle is never given twice");
                handles.add(handle);
            } else {
                long handle = handles.get(step * 7919 % handles.size());
                assertEquals(model.remove(handle), table.remove(handle));
            }
            assertEquals(model.size(), table.size());
            handles.forEach(handle -> assertEquals(model.get(handle), table.get(handle)));
            Map<Long, String> seen = new HashMap<>();
            table.forEachWithHandle(seen::put);
            assertEquals(model, seen);
        }
        assertNull(table.get(0));
        assertNull(table.get(-1));
    }

    @Test
    void timersRunInOrderUnlessCancelled() {
        List<Long> wakeUps = new ArrayList<>();
        List<String> runs = new ArrayList<>();
        TimerQueue timers = new TimerQueue(wakeUps::add);
        timers.schedule(30, now -> runs.add("c"));
        TimerQueue.Timer cancelled = timers.schedule(10, now -> runs.add("x"));
        timers.schedule(20, now -> runs.add("a"));
        timers.schedule(20, now -> runs.add("b"));
        timers.cancel(cancelled);
        assertEquals(List.of(30L, 10L), wakeUps);
        timers.runDue(20);
        assertEquals(List.of("a", "b"), runs);
        assertEquals(30, timers.nextDue());
    }

    @Test
    void aTimerThatSchedulesAnotherDueOneDoesNotProlongTheRun() {
        List<String> runs = new ArrayList<>();
        TimerQueue timers = new TimerQueue(dueAt -> {});
        timers.schedule(1, now -> {
            runs.add("first");
            timers.schedule(0, later -> runs.add("second"));
            throw new IllegalStateException("as a test: the others go on");
        });
        timers.runDue(5);
        assertEquals(List.of("first"), runs);
        timers.runDue(5);
        assertEquals(List.of("first", "second"), runs);
    }
}
