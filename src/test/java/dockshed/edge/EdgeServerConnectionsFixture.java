package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.ProbeCoordinator;
import dockshed.core.ProbeCoordinator.Verdict;
import dockshed.core.TimerQueue;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * A broker with connections to edge servers over loopback sockets, for tests that play the edge server themselves and
 * decide in place of the module.
 */
abstract class EdgeServerConnectionsFixture {
    /** As interval of load reports: no server counts as silent, and none is probed. */
    static final long WITHOUT_REPORTS = 0;

    final Net net = new Net();
    final BrokerHarness harness = new BrokerHarness();
    Director.Actions actions;
    LoopClock clock;
    Broker broker;
    EdgeServerConnections edgeConnections;
    final BlockingQueue<String> probeEvents = new LinkedBlockingQueue<>();
    volatile Verdict verdict = Verdict.TRY;
    final ProbeCoordinator probeCoordinator = new ProbeCoordinator() {
        @Override
        public Verdict decide(long now, String id, Suspicion s) {
            probeEvents.add("asked " + id);
            return verdict;
        }

        @Override
        public void probeFinished(String id, boolean up) {
            probeEvents.add("found " + id + " " + up);
        }

        @Override
        public void suspicionChanged(String id, boolean is) {
            probeEvents.add("suspected " + id + " " + is);
        }
    };
    ServerSocket serverSocket;
    Socket connection;
    BufferedReader input;

    @BeforeEach
    void start() throws Exception {
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        startBroker(30_000_000, 3_000_000);
    }

    void startBroker(long idleTimeout, long reportInterval) {
        startBroker(idleTimeout, reportInterval, 256);
    }

    void startBroker(long idleTimeout, long reportInterval, int maxConnections) {
        net.callOnLoop(() -> {
            clock = new LoopClock(net.loop());
            TimerQueue timers = new TimerQueue(clock::wakeAt);
            broker = new Broker(
                    harness.settings,
                    a -> {
                        actions = a;
                        return harness;
                    },
                    message -> {},
                    timers);
            clock.onWakeUp(broker::runDueTimers);
            edgeConnections = new EdgeServerConnections(
                    broker,
                    net,
                    clock,
                    timers,
                    new EdgeServerConnections.Options(
                            250_000, idleTimeout, reportInterval, 0, List.of("busy_reqs", "x0"), maxConnections),
                    probeCoordinator);
            harness.onRequest = request -> actions.send(request.id(), "a", 0);
            harness.onOutcome = id -> actions.fail(id);
            harness.connection = broker.connected(clock.now(), harness, h -> {});
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.DISK,
                    List.of(new Director.Server("a", "z", "k", 0, Director.State.UP, 1, 0)));
            edgeConnections.updateAddresses(
                    Map.of("a", new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort())));
            return null;
        });
    }

    @AfterEach
    void stop() throws Exception {
        net.close();
        serverSocket.close();
        if (connection != null) {
            connection.close();
        }
    }

    void request(String name, String className) {
        net.callOnLoop(() -> broker.request(
                clock.now(),
                harness.connection,
                harness,
                edgeConnections,
                BrokerHarness.sessionRequest(name, className)));
    }

    void accept() throws IOException {
        connection = serverSocket.accept();
        connection.setSoTimeout(20_000);
        input = new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
    }

    Message read() throws Exception {
        String text = input.readLine();
        return text == null ? null : Message.parse(text);
    }

    void send(String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(String type, String id, int cause, Map<String, String> fields) throws IOException {
        send(new Message(type, id, fields, cause, null).encode());
    }

    void startSession(String name) throws Exception {
        request(name, "safe");
        if (connection == null) {
            accept();
        }
        assertEquals("setup", read().type());
        send(new Message("answer", name, Map.of(), -1, "v=0").encode());
        harness.await("front served " + name);
    }

    void awaitProbeEvent(String expected) throws InterruptedException {
        for (String event = probeEvents.poll(20, TimeUnit.SECONDS);
                !expected.equals(event);
                event = probeEvents.poll(20, TimeUnit.SECONDS)) {
            assertTrue(event != null, "missing event: " + expected);
        }
    }

    void resetConnection() throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Adds servers that all listen on one socket. */
    void addServers(List<String> ids, ServerSocket socket) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        Map<String, InetSocketAddress> listed = new HashMap<>();
        listed.put("a", new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort()));
        ids.forEach(id -> listed.put(id, address));
        net.callOnLoop(() -> {
            broker.serversChanged(
                    clock.now(),
                    "names",
                    Director.ListScope.CHANGES,
                    ids.stream()
                            .map(id -> new Director.Server(id, "z", "k", 0, Director.State.UP, 1, 0))
                            .toList());
            edgeConnections.updateAddresses(listed);
            return null;
        });
    }
}
