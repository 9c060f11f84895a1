package dockshed.queueing;

import java.util.ArrayDeque;

/** The latest events of one kind, each with a weight, within a window that slides with the time. */
public final class EventWindow {
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final long span;

    private record Event(long at, double weight) {}

    /** A window that holds what is {@code span} old, and nothing older. */
    public EventWindow(long span) {
        this.span = span;
    }

    /** An event of weight 1; times never go backwards. */
    public void add(long now) {
        add(now, 1);
    }

    /** An event of that weight; times never go backwards. */
    public void add(long now, double weight) {
        evictOlder(now);
        events.addLast(new Event(now, weight));
    }

    /** Events in the window. */
    public int count(long now) {
        evictOlder(now);
        return events.size();
    }

    /** The sum of the weights in the window. */
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
