package dockshed.queueing;

import java.util.ArrayDeque;

/** Weighted events within a sliding time window. */
public final class EventWindow {
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final long span;

    private record Event(long at, double weight) {}

    /** Creates a window that keeps events up to {@code span} microseconds old. */
    public EventWindow(long span) {
        this.span = span;
    }

    /** Adds an event of weight 1; times must not go backwards. */
    public void add(long now) {
        add(now, 1);
    }

    /** Adds an event of a weight; times must not go backwards. */
    public void add(long now, double weight) {
        evictOlder(now);
        events.addLast(new Event(now, weight));
    }

    /** Number of events in the window. */
    public int count(long now) {
        evictOlder(now);
        return events.size();
    }

    /** Sum of the weights in the window. */
    public double sum(long now) {
        evictOlder(now);
        return events.stream().mapToDouble(Event::weight).sum();
    }

    private void evictOlder(long now) {
        while (!events.isEmpty() && events.peekFirst().at() < now - span) {
            events.removeFirst();
        }
    }
}
