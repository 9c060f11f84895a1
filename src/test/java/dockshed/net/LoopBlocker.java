package dockshed.net;

import java.util.concurrent.CountDownLatch;

/** Blocks an event loop, so that all input sent meanwhile has arrived before any of it is read. */
public final class LoopBlocker {
    private LoopBlocker() {}

    /** Returns once the event loop is blocked; it continues when the returned latch is counted down. */
    public static CountDownLatch block(Net net) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        net.loop().execute(() -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return release;
    }
}
