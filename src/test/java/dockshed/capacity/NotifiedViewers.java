package dockshed.capacity;

import dockshed.net.HttpStyleMessage;
import dockshed.net.Net;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** RTSP viewers with several sessions on each connection, which wait for the broker's TEARDOWN at the end of a session. */
final class NotifiedViewers implements AutoCloseable {

    /** Set-ups that may be unanswered on one connection. */
    private static final int MAX_OPEN_SETUPS_PER_CONNECTION = 4;

    private static final int DEFAULT_RETRY_DELAY_MILLIS = 200;

    private final Net net = new Net("noted viewers");
    private final InetSocketAddress broker;
    private final Map<String, Integer> deliveries = new HashMap<>(); // by session; used on the loop's thread only
    private final AtomicInteger refused = new AtomicInteger();
    private int namesUsed;
    private volatile OpenLoop load;

    NotifiedViewers(InetSocketAddress broker) {
        this.broker = broker;
    }

    /**
     * Sets up one session for each delivery of a load.
     *
     * @return the sessions' names by number of delivery; null if not all were set up within the time limit
     */
    List<String> setUp(OpenLoop newLoad, int connections, long seconds) throws InterruptedException {
        load = newLoad;
        int first = namesUsed;
        namesUsed += newLoad.count();
        List<String> names = IntStream.range(first, namesUsed)
                .mapToObj(number -> String.format("%016x", number + 1))
                .toList();
        CountDownLatch ready = new CountDownLatch(names.size());
        net.callOnLoop(() -> {
            for (int delivery = 0; delivery < names.size(); delivery++) {
                deliveries.put(names.get(delivery), delivery);
            }
            return null;
        });
        int perConnection = (names.size() + connections - 1) / connections;
        for (int from = 0; from < names.size(); from += perConnection) {
            Viewer viewer = new Viewer(names.subList(from, Math.min(names.size(), from + perConnection)), ready);
            ClientConnection.open(net, broker, viewer);
        }
        return ready.await(seconds, TimeUnit.SECONDS) ? names : null;
    }

    /** Number of refusals so far; a refused set-up is repeated. */
    int refused() {
        return refused.get();
    }

    @Override
    public void close() {
        net.close();
    }

    private final class Viewer implements ClientConnection.Listener {
        private final List<String> sessions;
        private final CountDownLatch ready;
        private int setupsSent;

        Viewer(List<String> sessions, CountDownLatch ready) {
            this.sessions = sessions;
            this.ready = ready;
        }

        private void sendNextSetup(ClientConnection to) {
            if (setupsSent < sessions.size()) {
                to.write(RtspRequests.setup(sessions.get(setupsSent++)));
            }
        }

        @Override
        public void connected(ClientConnection to) {
            for (int setup = 0; setup < MAX_OPEN_SETUPS_PER_CONNECTION; setup++) {
                sendNextSetup(to);
            }
        }

        @Override
        public void message(ClientConnection from, HttpStyleMessage message) {
            String session = message.header("session", "");
            if (message.startLine().startsWith("TEARDOWN ")) {
                Integer delivery = deliveries.remove(session);
                if (delivery != null) {
                    load.delivered(delivery);
                }
                from.write(RtspRequests.teardownAnswer(session));
            } else if (message.status() == 200) {
                ready.countDown();
                sendNextSetup(from);
            } else if (message.status() > 0) {
                refused.incrementAndGet();
                long delayMillis =
                        Long.parseLong(message.header("p-back-off", Integer.toString(DEFAULT_RETRY_DELAY_MILLIS)));
                net.loop().schedule(() -> from.write(RtspRequests.setup(session)), delayMillis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void closed(ClientConnection gone) {}
    }
}
