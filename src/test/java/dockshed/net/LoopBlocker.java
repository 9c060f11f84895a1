package dockshed.net;

import java.util.concurrent.CountDownLatch;

/** Holds a loop where it is, so that what crosses has all come before any of it is read. */
public final class LoopBlocker {
    private LoopBlocker() {}

    /** Returns once the loop is held; it goes on when the latch is let go. */
    public static CountDownLatch block(Net net) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        net.loop().execute(() -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return go;
    }
}
