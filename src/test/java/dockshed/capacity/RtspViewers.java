package dockshed.capacity;

import dockshed.net.HttpStyleMessage;
import dockshed.net.Net;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Viewers with a connection each, all on one loop: idle after an answered OPTIONS, or with a session that
 * plays. A refused one asks again when it was told to, one that was turned away connects again.
 */
final class RtspViewers implements AutoCloseable {

    /** What each viewer wants. */
    enum Kind {
        IDLE,
        SESSION
    }

    private static final int DEFAULT_RETRY_DELAY_MILLIS = 200;

    private final Net net = new Net("viewers");
    private final InetSocketAddress broker;
    private final Kind kind;
    private final Set<Viewer> open = new HashSet<>(); // of the loop's thread
    private final AtomicInteger sessionsNamed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicInteger notConnected = new AtomicInteger();
    private final Semaphore served = new Semaphore(0);

    RtspViewers(InetSocketAddress broker, Kind kind) {
        this.broker = broker;
        this.kind = kind;
    }

    /** Opens so many more, at most {@code atOnce} not served yet at a time; false if they are not served in time. */
    boolean open(int count, int atOnce, long seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        int first = Math.min(count, atOnce);
        for (int viewer = 0; viewer < count; viewer++) {
            if (viewer >= first && !awaitServed(1, until)) {
                return false;
            }
            net.loop().execute(() -> new Viewer().connect());
        }
        return awaitServed(first, until);
    }

    /** Closes all of them at once, and does not wait. */
    void drop() {
        net.loop().execute(() -> {
            Set<Viewer> all = Set.copyOf(open);
            open.clear();
            all.forEach(Viewer::leave);
        });
    }

    /** Connections that are open and served. */
    int opened() {
        return net.callOnLoop(() -> open.size());
    }

    int refused() {
        return refused.get();
    }

    /** Connections that came up and were closed by the broker. */
    int turnedAway() {
        return turnedAway.get();
    }

    /** Connections that did not come up. */
    int notConnected() {
        return notConnected.get();
    }

    @Override
    public void close() {
        net.close();
    }

    private boolean awaitServed(int count, long until) throws InterruptedException {
        return served.tryAcquire(count, until - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private final class Viewer implements ClientConnection.Listener {
        private ClientConnection connection;
        private boolean left;
        private boolean up;

        void connect() {
            up = false;
            connection = ClientConnection.open(net, broker, this);
        }

        void leave() {
            left = true;
            connection.close();
        }

        private void sendRequest(ClientConnection to) {
            to.write(
                    kind == Kind.IDLE
                            ? RtspRequests.options()
                            : RtspRequests.setup(String.format("%016x", sessionsNamed.incrementAndGet())));
        }

        @Override
        public void connected(ClientConnection to) {
            up = true;
            sendRequest(to);
        }

        @Override
        public void message(ClientConnection from, HttpStyleMessage message) {
            if (message.status() == 200) {
                open.add(this);
                served.release();
            } else if (message.status() > 0) {
                refused.incrementAndGet();
                long wait = Long.parseLong(message.header("p-back-off", Integer.toString(DEFAULT_RETRY_DELAY_MILLIS)));
                net.loop().schedule(() -> sendRequest(from), wait, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void closed(ClientConnection gone) {
            if (left) {
                return;
            }
            (up ? turnedAway : notConnected).incrementAndGet();
            if (!open.remove(this)) {
                net.loop().schedule(this::connect, DEFAULT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
