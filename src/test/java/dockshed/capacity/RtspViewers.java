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
 * RTSP viewers with one connection each, all on one event loop: idle after an answered OPTIONS, or with a playing session. A
 * viewer repeats a refused request after the delay that the broker asked for, and reconnects if its connection is closed
 * before it was served.
 */
final class RtspViewers implements AutoCloseable {

    /** What each viewer does with its connection. */
    enum Kind {
        IDLE,
        SESSION
    }

    private static final int DEFAULT_RETRY_DELAY_MILLIS = 200;

    private final Net net = new Net("viewers");
    private final InetSocketAddress broker;
    private final Kind kind;
    private final Set<Viewer> open = new HashSet<>(); // served connections; used on the loop's thread only
    private final AtomicInteger sessionsNamed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicInteger notConnected = new AtomicInteger();
    private final Semaphore served = new Semaphore(0);

    RtspViewers(InetSocketAddress broker, Kind kind) {
        this.broker = broker;
        this.kind = kind;
    }

    /**
     * Opens more connections and waits until they are served.
     *
     * @param atOnce the most connections that are not served yet at a time
     * @return whether all were served within the time limit
     */
    boolean open(int count, int atOnce, long seconds) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        int first = Math.min(count, atOnce);
        for (int viewer = 0; viewer < count; viewer++) {
            if (viewer >= first && !awaitServed(1, untilNanos)) {
                return false;
            }
            net.loop().execute(() -> new Viewer().connect());
        }
        return awaitServed(first, untilNanos);
    }

    /** Closes all served connections; does not wait until they are closed. */
    void drop() {
        net.loop().execute(() -> {
            Set<Viewer> all = Set.copyOf(open);
            open.clear();
            all.forEach(Viewer::leave);
        });
    }

    /** Number of connections that are open and served. */
    int opened() {
        return net.callOnLoop(() -> open.size());
    }

    /** Number of refused requests so far. */
    int refused() {
        return refused.get();
    }

    /** Number of connections so far that were opened and then closed by the broker. */
    int turnedAway() {
        return turnedAway.get();
    }

    /** Number of connections so far that could not be opened. */
    int notConnected() {
        return notConnected.get();
    }

    @Override
    public void close() {
        net.close();
    }

    private boolean awaitServed(int count, long untilNanos) throws InterruptedException {
        return served.tryAcquire(count, untilNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private final class Viewer implements ClientConnection.Listener {
        private ClientConnection connection;
        private boolean left;
        private boolean isConnected;

        void connect() {
            isConnected = false;
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
            isConnected = true;
            sendRequest(to);
        }

        @Override
        public void message(ClientConnection from, HttpStyleMessage message) {
            if (message.status() == 200) {
                open.add(this);
                served.release();
            } else if (message.status() > 0) {
                refused.incrementAndGet();
                long delayMillis =
                        Long.parseLong(message.header("p-back-off", Integer.toString(DEFAULT_RETRY_DELAY_MILLIS)));
                net.loop().schedule(() -> sendRequest(from), delayMillis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void closed(ClientConnection gone) {
            if (left) {
                return;
            }
            (isConnected ? turnedAway : notConnected).incrementAndGet();
            if (!open.remove(this)) {
                net.loop().schedule(this::connect, DEFAULT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
