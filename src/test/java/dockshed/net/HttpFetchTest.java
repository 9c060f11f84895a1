package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.TimerQueue;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How a request ends, on loopback sockets, with timers on a virtual clock. */
class HttpFetchTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final int MAX_BYTES = 1000;
    private static final long TIME_LIMIT_US = 3_000_000;

    private final Net net = new Net();
    private final TimerQueue timers = new TimerQueue(dueAt -> {});
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private StubHttpServer server;

    @BeforeEach
    void start() throws Exception {
        server = new StubHttpServer(path -> OK);
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        server.close();
    }

    private HttpFetch fetch(Consumer<HttpStyleMessage> onResponse) {
        return net.callOnLoop(() -> {
            HttpFetch fetch = HttpFetch.get(
                    net, server.address(), "/a", Map.of(), CONNECT_TIMEOUT_MS, MAX_BYTES, new HttpFetch.Listener() {
                        @Override
                        public void onResponse(HttpStyleMessage response) {
                            results.add("response " + response.status());
                            onResponse.accept(response);
                        }

                        @Override
                        public void onFailure(HttpFetch.Failure failure, String why) {
                            results.add(failure.toString());
                        }
                    });
            fetch.timeOutAt(timers, TIME_LIMIT_US);
            return fetch;
        });
    }

    private String nextResult() throws Exception {
        return results.poll(20, TimeUnit.SECONDS);
    }

    /** Waits until the event loop has done all that it had to. */
    private void assertEnded() {
        net.callOnLoop(() -> null);
        assertEquals(TimerQueue.NEVER, net.callOnLoop(timers::nextDue), "no timer is left");
        assertTrue(results.isEmpty(), () -> "one result: " + results);
    }

    @Test
    void responseWhoseHandlingThrowsCountsAsFailed() throws Exception {
        // Guards against requests that nobody answers any more: the exception ended in the connection's log line.
        fetch(response -> {
            throw new IllegalStateException("thrown by the test");
        });
        assertEquals("response 200", nextResult());
        assertEquals("MAYBE_PROCESSED", nextResult());
        assertEnded();
    }

    @Test
    void responseLeavesNoTimer() throws Exception {
        fetch(response -> {});
        assertEquals("response 200", nextResult());
        assertEnded();
    }

    @Test
    void requestWithoutAResponseTimesOutOnce() throws Exception {
        server.responder = path -> null;
        HttpFetch fetch = fetch(response -> {});
        server.arrivals.poll(20, TimeUnit.SECONDS);
        net.callOnLoop(() -> {
            timers.runDue(TIME_LIMIT_US);
            return null;
        });
        assertEquals("TIMED_OUT", nextResult());
        assertTrue(net.callOnLoop(fetch::isFinished));
        assertEnded();
    }

    @Test
    void requestThatHasEndedGetsNoTimer() throws Exception {
        // Guards against a second result of a request that failed at once, for lack of a descriptor.
        HttpFetch fetch = fetch(response -> {});
        assertEquals("response 200", nextResult());
        net.callOnLoop(() -> {
            fetch.timeOutAt(timers, TIME_LIMIT_US);
            return null;
        });
        assertEnded();
    }

    @Test
    void cancelledRequestHasNoResult() throws Exception {
        server.responder = path -> null;
        HttpFetch fetch = fetch(response -> {});
        net.callOnLoop(() -> {
            fetch.cancel();
            return null;
        });
        assertEnded();
    }
}
