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

/** RTSP viewers with some sessions on each connection, who wait for the note that a session is over. */
final class NotifiedViewers implements AutoCloseable {

    /** Set-ups that wait for an answer on one connection at a time. */
    private static final int MAX_OPEN_SETUPS_PER_CONNECTION = 4;

    private static final int DEFAULT_RETRY_DELAY_MILLIS = 200;

    private final Net net = new Net("noted viewers");
    private final InetSocketAddress broker;
    private final Map<String, Integer> deliveries = new HashMap<>(); // of the loop's thread
    private final AtomicInteger refused = new AtomicInteger();
    private int namesUsed;
    private volatile OpenLoop load;

    NotifiedViewers(InetSocketAddress broker) {
        this.broker = broker;
    }

    /** Sets sessions up for a load, one for each delivery; null if they were not all set up in time. */
    List<String> setUp(OpenLoop current, int connections, long seconds) throws InterruptedException {
        load = current;
        int first = namesUsed;
        namesUsed += current.count();
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
        int each = (names.size() + connections - 1) / connections;
        for (int from = 0; from < names.size(); from += each) {
            Viewer viewer = new Viewer(names.subList(from, Math.min(names.size(), from + each)), ready);
            ClientConnection.open(net, broker, viewer);
        }
        return ready.await(seconds, TimeUnit.SECONDS) ? names : null;
    }

    /** Set-ups that were refused and asked for again. */
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
            for (int first = 0; first < MAX_OPEN_SETUPS_PER_CONNECTION; first++) {
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
                long wait = Long.parseLong(message.header("p-back-off", Integer.toString(DEFAULT_RETRY_DELAY_MILLIS)));
                net.loop().schedule(() -> from.write(RtspRequests.setup(session)), wait, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void closed(ClientConnection gone) {}
    }
}
