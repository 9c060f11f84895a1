package dockshed.core;

import java.util.TreeSet;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Timers in the order of their due times; timers with the same due time run in the order in which they were scheduled.
 * Times are in microseconds. Not thread-safe.
 */
public final class TimerQueue {
    /** A time, in microseconds, that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;

    /** A scheduled action; the handle to cancel it by. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueAt;
        private final long serial;
        private final LongConsumer action;

        private Timer(long dueAt, long serial, LongConsumer action) {
            this.dueAt = dueAt;
            this.serial = serial;
            this.action = action;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(serial, other.serial);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.core.Deadlines");

    private final TreeSet<Timer> timers = new TreeSet<>();
    private final LongConsumer wakeUpAt;
    private long nextSerial;

    /**
     * Creates an empty queue.
     *
     * @param wakeUpAt given the earliest due time whenever an earlier timer is scheduled and after each run that leaves
     *     timers; the caller has to call {@link #runDue} at that time
     */
    public TimerQueue(LongConsumer wakeUpAt) {
        this.wakeUpAt = wakeUpAt;
    }

    /**
     * Schedules an action.
     *
     * @param dueAt  time at which it is to run; one in the past is run at the next {@link #runDue}
     * @param action given the time of the run
     */
    public Timer schedule(long dueAt, LongConsumer action) {
        Timer timer = new Timer(dueAt, nextSerial++, action);
        timers.add(timer);
        if (timers.first() == timer) {
            wakeUpAt.accept(dueAt);
        }
        return timer;
    }

    /** Cancels a timer; does nothing for null or for one that has run or was cancelled before. */
    public void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /** The earliest due time, or {@link #NEVER}. */
    public long nextDue() {
        return timers.isEmpty() ? NEVER : timers.first().dueAt;
    }

    /** Runs the timers that are due. A timer scheduled during the run waits for the next one, so that every run ends. */
    public void runDue(long now) {
        long firstNewSerial = nextSerial;
        while (!timers.isEmpty() && timers.first().dueAt <= now && timers.first().serial < firstNewSerial) {
            try {
                timers.pollFirst().action.accept(now);
            } catch (RuntimeException e) {
                LOG.error("internal error in a timer's action; continuing with the next timer", e);
            }
        }
        if (!timers.isEmpty()) {
            wakeUpAt.accept(timers.first().dueAt);
        }
    }
}
