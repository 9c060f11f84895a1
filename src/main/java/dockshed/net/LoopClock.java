package dockshed.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Unix time in microseconds that never goes back, and one wake-up on the event loop. */
public final class LoopClock implements Clock {
    private static final long START_UNIX_US = toMicros(Instant.now());
    private static final long START_NANOS = System.nanoTime();

    /** Microseconds: answers go out 10 ms before viewers' time is up, and are lost half a second after it. */
    private static final long LATE_WARNING_US = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(LoopClock.class);

    private final EventLoop loop;
    private LongConsumer wakeUpAction;
    private ScheduledFuture<?> scheduled;
    private long scheduledFor = Long.MAX_VALUE;

    public LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    private static long toMicros(Instant t) {
        return t.getEpochSecond() * 1_000_000 + t.getNano() / 1000;
    }

    @Override
    public long now() {
        return START_UNIX_US + (System.nanoTime() - START_NANOS) / 1000;
    }

    public void onWakeUp(LongConsumer what) {
        wakeUpAction = what;
    }

    /** Asks for a wake-up at a time, unless one is coming sooner. */
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
                        LOG.warn("loop late: ms={}", (now - at) / 1000);
                    }
                    wakeUpAction.accept(now);
                },
                Math.max(0, at - now()),
                TimeUnit.MICROSECONDS);
    }
}
