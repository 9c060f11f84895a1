package dockshed.core;

import java.util.TreeSet;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Everything that is to happen at a time, in the order of those times; equal times keep the order of asking. */
public final class TimerQueue {
    public static final long NEVER = Long.MAX_VALUE;

    /** One thing to be done; good for cancelling it. */
    public static final class Timer implements Comparable<Timer> {
        private final long at;
        private final long serial;
        private final LongConsumer what;

        private Timer(long at, long serial, LongConsumer what) {
            this.at = at;
            this.serial = serial;
            this.what = what;
        }

        @Override
        public int compareTo(Timer o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(serial, o.serial);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger("dockshed.core.Deadlines");

    private final TreeSet<Timer> ordered = new TreeSet<>();
    private final LongConsumer wake;
    private long serials;

    /** {@code wake} is told the earliest time whenever that has come nearer. */
    public TimerQueue(LongConsumer wake) {
        this.wake = wake;
    }

    public Timer schedule(long when, LongConsumer what) {
        Timer d = new Timer(when, serials++, what);
        ordered.add(d);
        if (ordered.first() == d) {
            wake.accept(when);
        }
        return d;
    }

    public void cancel(Timer d) {
        if (d != null) {
            ordered.remove(d);
        }
    }

    public long nextDue() {
        return ordered.isEmpty() ? NEVER : ordered.first().at;
    }

    /** Does what is due; what is asked for meanwhile waits for the next run, so no run is endless. */
    public void runDue(long now) {
        long before = serials;
        while (!ordered.isEmpty() && ordered.first().at <= now && ordered.first().serial < before) {
            try {
                ordered.pollFirst().what.accept(now);
            } catch (RuntimeException e) {
                LOG.error("internal error in what was due, gone on after it", e);
            }
        }
        if (!ordered.isEmpty()) {
            wake.accept(ordered.first().at);
        }
    }
}
