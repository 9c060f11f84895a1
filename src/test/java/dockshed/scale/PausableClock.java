package dockshed.scale;

import dockshed.net.Clock;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Unix time in microseconds that never goes back. While paused, whoever asks for the time is held: an event loop that asks
 * at each turn stands still as a stopped process does, and its datagrams wait in the socket.
 */
final class PausableClock implements Clock {
    private static final Instant STARTED = Instant.now();
    private static final long STARTED_MICROS = STARTED.getEpochSecond() * 1_000_000 + STARTED.getNano() / 1000;
    private static final long STARTED_NANOS = System.nanoTime();

    private volatile long pausedUntilNanos = STARTED_NANOS;

    void pause(long millis) {
        pausedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public long now() {
        for (long left = pausedUntilNanos - System.nanoTime(); left > 0; left = pausedUntilNanos - System.nanoTime()) {
            try {
                TimeUnit.NANOSECONDS.sleep(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        return STARTED_MICROS + (System.nanoTime() - STARTED_NANOS) / 1000;
    }
}
