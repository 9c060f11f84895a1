package dockshed.scale;

import dockshed.net.Net;
import dockshed.rig.AnsweringEdgeServer;
import dockshed.rig.BrokerConfig;
import dockshed.rig.LossyNetwork;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The real brokers of a run with their edge servers and viewers. Datagrams between real brokers pass a fault-injecting
 * network; faults on links to hollow brokers are injected by the hollow brokers.
 */
final class RealBrokers implements AutoCloseable {
    private static final int MAX_SOCKETS = 1024;
    private static final int EDGE_SERVERS = 6;
    private static final int CONNECTIONS_PER_BROKER = 250;

    private final int[] numbers;
    private final Visibility visibility;
    private final Path jar;
    private final Path directory;
    private final Path operatorFile;
    private final List<InetSocketAddress> addresses;
    private final ProcessGuard guard;
    private final LongConsumer onStarted;
    private final Net net = new Net("viewers");
    private final LossyNetwork network;
    private final List<AnsweringEdgeServer> edgeServers = new ArrayList<>();
    private final Map<Integer, RealBroker> running = new TreeMap<>();
    private final Map<Integer, ViewerConnections> viewers = new TreeMap<>();
    private final Observations ofEndedBrokers = Observations.empty();
    private int answersOfEndedBrokers;
    private int errorsOfEndedBrokers;

    /**
     * @param addresses addresses of all brokers of the fleet, by number
     * @param onStarted called with the process id of each broker that is started
     */
    RealBrokers(
            BitSet real,
            Mechanism mechanism,
            List<InetSocketAddress> addresses,
            Path jar,
            Path directory,
            ProcessGuard guard,
            LongConsumer onStarted)
            throws IOException {
        numbers = real.stream().toArray();
        this.addresses = addresses;
        this.jar = jar;
        this.directory = directory;
        this.guard = guard;
        this.onStarted = onStarted;
        FleetLayout layout = new FleetLayout(addresses.size());
        visibility = mechanism.visibility(layout);
        operatorFile = Files.writeString(directory.resolve("real.conf"), mechanism.operatorFile(layout));
        InetSocketAddress[] listenAddresses = new InetSocketAddress[numbers.length];
        for (int index = 0; index < numbers.length; index++) {
            listenAddresses[index] = addresses.get(numbers[index]);
        }
        network = new LossyNetwork(net, listenAddresses);
        for (int server = 0; server < EDGE_SERVERS; server++) {
            edgeServers.add(new AnsweringEdgeServer());
        }
    }

    /** Starts those of the brokers that are real and do not run, waits until they serve, and connects their viewers. */
    void start(BitSet brokers) {
        for (int index = 0; index < numbers.length; index++) {
            if (brokers.get(numbers[index]) && !running.containsKey(numbers[index])) {
                start(index);
            }
        }
        for (int number : numbers) {
            if (brokers.get(number) && !viewers.containsKey(number)) {
                viewers.put(
                        number,
                        new ViewerConnections(net, running.get(number).awaitServing(), number, CONNECTIONS_PER_BROKER));
            }
        }
    }

    private void start(int index) {
        int number = numbers[index];
        List<InetSocketAddress> peers = new ArrayList<>(addresses);
        for (int other = 0; other < numbers.length; other++) {
            peers.set(numbers[other], network.addressOf(index, other));
        }
        List<InetSocketAddress> servers =
                edgeServers.stream().map(AnsweringEdgeServer::address).toList();
        BrokerConfig config = new BrokerConfig(number, MAX_SOCKETS, addresses.get(number), peers, servers);
        try {
            Path file = Files.writeString(directory.resolve("real" + number + ".json"), config.toJson());
            RealBroker broker = new RealBroker(number, visibility, jar, file, operatorFile, guard);
            running.put(number, broker);
            onStarted.accept(broker.pid());
        } catch (IOException e) {
            throw new UncheckedIOException("real broker " + number, e);
        }
    }

    /** Ends those of the brokers that are real and run, without notice. */
    void kill(BitSet brokers) {
        for (int number : numbers) {
            if (brokers.get(number) && running.containsKey(number)) {
                remove(number).kill();
            }
        }
    }

    /** Takes a broker out of those that run, keeps its counts and stops its viewers' reconnects. */
    private RealBroker remove(int number) {
        ViewerConnections connections = viewers.remove(number);
        if (connections != null) {
            connections.stop();
            answersOfEndedBrokers += connections.answers();
        }
        RealBroker broker = running.remove(number);
        ofEndedBrokers.membership().addAll(broker.collect());
        errorsOfEndedBrokers += broker.errors();
        return broker;
    }

    /** Ends those of the brokers that are real and run by a signal, upon which they notify the other brokers. */
    void leave(BitSet brokers) {
        for (int number : numbers) {
            if (brokers.get(number) && running.containsKey(number)) {
                signal(remove(number), "TERM");
            }
        }
    }

    /** Stops the broker's process, and continues it after the given time. */
    void pause(int number, long millis) {
        RealBroker broker = running.get(number);
        signal(broker, "STOP");
        net.loop().schedule(() -> signal(broker, "CONT"), millis, TimeUnit.MILLISECONDS);
    }

    private static void signal(RealBroker broker, String name) {
        try {
            broker.signal(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Replaces the faults on links between real brokers. */
    void setFaults(LinkFaults faults) {
        network.setLoss(faults.loss());
        network.cutWhere((from, to) -> faults.isCut(numbers[from], numbers[to]));
    }

    /** Membership changes that the brokers logged since the last call. */
    Observations collect() {
        Observations since = Observations.empty();
        since.add(ofEndedBrokers);
        ofEndedBrokers.membership().clear();
        for (RealBroker broker : running.values()) {
            since.membership().addAll(broker.collect());
        }
        return since;
    }

    /** Open connections of viewers to running brokers. */
    int connections() {
        return viewers.values().stream().mapToInt(ViewerConnections::open).sum();
    }

    /** Answers that viewers received, those of brokers that have ended included. */
    int answers() {
        return answersOfEndedBrokers
                + viewers.values().stream().mapToInt(ViewerConnections::answers).sum();
    }

    /** Lines of level ERROR that the brokers logged, those of brokers that have ended included. */
    int errors() {
        return errorsOfEndedBrokers
                + running.values().stream().mapToInt(RealBroker::errors).sum();
    }

    /** CPU time of the processes that run, in seconds. */
    double cpuSeconds() {
        return running.values().stream()
                .mapToDouble(broker -> broker.cpu().toMillis() / 1e3)
                .sum();
    }

    /** Number of real brokers, running or not. */
    int count() {
        return numbers.length;
    }

    @Override
    public void close() {
        viewers.values().forEach(ViewerConnections::stop);
        running.values().forEach(RealBroker::kill);
        net.close();
        for (AnsweringEdgeServer server : edgeServers) {
            try {
                server.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
