package dockshed.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Unix time in microseconds that never goes backwards, and a single wake-up timer on the event loop. */
public final class LoopClock implements Clock {
    private static final long START_UNIX_US = toMicros(Instant.now());
    private static final long START_NANOS = System.nanoTime();

    /**
     * A wake-up later than this is logged: answers are sent 10 ms before a viewer's deadline, and are lost if sent half
     * a second after it.
     */
    private static final long LATE_WARNING_US = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(LoopClock.class);

    private final EventLoop loop;
    private LongConsumer wakeUpAction;
    private ScheduledFuture<?> scheduled;
    private long scheduledFor = Long.MAX_VALUE;

    public LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    private static long toMicros(Instant instant) {
        return instant.getEpochSecond() * 1_000_000 + instant.getNano() / 1000;
    }

    @Override
    public long now() {
        return START_UNIX_US + (System.nanoTime() - START_NANOS) / 1000;
    }

    /** Sets the action of the wake-up; it is given the current time. */
    public void onWakeUp(LongConsumer action) {
        wakeUpAction = action;
    }

    /** Schedules the wake-up for a time, unless it is already scheduled for an earlier one. */
    public void wakeAt(long at) {
        if (at >= scheduledFor) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduledFor = at;
        scheduled = loop.schedule(
                () -> {
                    scheduled = null;
                    scheduledFor = Long.MAX_VALUE;
                    long now = now();
                    if (now - at > LATE_WARNING_US) {
                        LOG.warn("event loop late: ms={}", (now - at) / 1000);
                    }
                    wakeUpAction.accept(now);
                },
                Math.max(0, at - now()),
                TimeUnit.MICROSECONDS);
    }
}
