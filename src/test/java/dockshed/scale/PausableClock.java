package dockshed.scale;

import dockshed.net.Clock;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Unix time in microseconds that never goes backwards. While paused, a call for the time blocks: an event loop that reads
 * the clock on each iteration then halts like a stopped process, and its datagrams wait in the socket.
 */
final class PausableClock implements Clock {
    private static final Instant STARTED = Instant.now();
    private static final long STARTED_MICROS = STARTED.getEpochSecond() * 1_000_000 + STARTED.getNano() / 1000;
    private static final long STARTED_NANOS = System.nanoTime();

    private volatile long pausedUntilNanos = STARTED_NANOS;

    /** Blocks calls for the time for so long from now. */
    void pause(long millis) {
        pausedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public long now() {
        for (long leftNanos = pausedUntilNanos - System.nanoTime();
                leftNanos > 0;
                leftNanos = pausedUntilNanos - System.nanoTime()) {
            try {
                TimeUnit.NANOSECONDS.sleep(leftNanos);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        return STARTED_MICROS + (System.nanoTime() - STARTED_NANOS) / 1000;
    }
}
