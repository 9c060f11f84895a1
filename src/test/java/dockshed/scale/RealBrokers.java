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
 * The real brokers of a run with their edge servers and viewers. Datagrams among them go through a fault-injecting network;
 * the faults towards hollow brokers act at those.
 */
final class RealBrokers implements AutoCloseable {
    private static final int SOCKETS = 1024;
    private static final int BOXES = 6;
    private static final int CONNECTIONS = 250;

    private final int[] numbers;
    private final Visibility visibility;
    private final Path jar;
    private final Path directory;
    private final Path operatorFile;
    private final List<InetSocketAddress> addresses;
    private final ProcessGuard guard;
    private final LongConsumer started;
    private final Net net = new Net("viewers");
    private final LossyNetwork fabric;
    private final List<AnsweringEdgeServer> boxes = new ArrayList<>();
    private final Map<Integer, RealBroker> running = new TreeMap<>();
    private final Map<Integer, HeldConnections> viewers = new TreeMap<>();
    private final Observations ofEarlierLives = Observations.empty();
    private int answersOfEarlierLives;
    private int errorsOfEarlierLives;

    /** {@code started}: told the id of each process that begins. */
    RealBrokers(
            BitSet real,
            Mechanism mechanism,
            List<InetSocketAddress> addresses,
            Path jar,
            Path directory,
            ProcessGuard guard,
            LongConsumer started)
            throws IOException {
        numbers = real.stream().toArray();
        this.addresses = addresses;
        this.jar = jar;
        this.directory = directory;
        this.guard = guard;
        this.started = started;
        FleetLayout layout = new FleetLayout(addresses.size());
        visibility = mechanism.visibility(layout);
        operatorFile = Files.writeString(directory.resolve("real.conf"), mechanism.operatorFile(layout));
        InetSocketAddress[] listens = new InetSocketAddress[numbers.length];
        for (int i = 0; i < numbers.length; i++) {
            listens[i] = addresses.get(numbers[i]);
        }
        fabric = new LossyNetwork(net, listens);
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new AnsweringEdgeServer());
        }
    }

    void start(BitSet brokers) {
        for (int i = 0; i < numbers.length; i++) {
            if (brokers.get(numbers[i]) && !running.containsKey(numbers[i])) {
                start(i);
            }
        }
        for (int number : numbers) {
            if (brokers.get(number) && !viewers.containsKey(number)) {
                viewers.put(number, new HeldConnections(net, running.get(number).awaitServing(), number, CONNECTIONS));
            }
        }
    }

    private void start(int index) {
        int number = numbers[index];
        List<InetSocketAddress> peers = new ArrayList<>(addresses);
        for (int other = 0; other < numbers.length; other++) {
            peers.set(numbers[other], fabric.addressOf(index, other));
        }
        List<InetSocketAddress> servers =
                boxes.stream().map(AnsweringEdgeServer::address).toList();
        BrokerConfig config = new BrokerConfig(number, SOCKETS, addresses.get(number), peers, servers);
        try {
            Path file = Files.writeString(directory.resolve("real" + number + ".json"), config.toJson());
            RealBroker broker = new RealBroker(number, visibility, jar, file, operatorFile, guard);
            running.put(number, broker);
            started.accept(broker.pid());
        } catch (IOException e) {
            throw new UncheckedIOException("real broker " + number, e);
        }
    }

    void kill(BitSet brokers) {
        for (int number : numbers) {
            if (brokers.get(number) && running.containsKey(number)) {
                forget(number).kill();
            }
        }
    }

    private RealBroker forget(int number) {
        HeldConnections gone = viewers.remove(number);
        if (gone != null) {
            gone.stop();
            answersOfEarlierLives += gone.answers();
        }
        RealBroker broker = running.remove(number);
        ofEarlierLives.membership().addAll(broker.collect());
        errorsOfEarlierLives += broker.errors();
        return broker;
    }

    /** A planned end: the process is asked to, and tells the others. */
    void leave(BitSet brokers) {
        for (int number : numbers) {
            if (brokers.get(number) && running.containsKey(number)) {
                signal(forget(number), "TERM");
            }
        }
    }

    /** Stops the process and lets it go on after a time. */
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

    void faults(LinkFaults faults) {
        fabric.setLoss(faults.loss());
        fabric.cutWhere((from, to) -> faults.cut(numbers[from], numbers[to]));
    }

    Observations collect() {
        Observations since = Observations.empty();
        since.add(ofEarlierLives);
        ofEarlierLives.membership().clear();
        for (RealBroker broker : running.values()) {
            since.membership().addAll(broker.collect());
        }
        return since;
    }

    /** Connections that viewers hold now. */
    int connections() {
        return viewers.values().stream().mapToInt(HeldConnections::open).sum();
    }

    int answers() {
        return answersOfEarlierLives
                + viewers.values().stream().mapToInt(HeldConnections::answers).sum();
    }

    /** Internal errors that the brokers logged. */
    int errors() {
        return errorsOfEarlierLives
                + running.values().stream().mapToInt(RealBroker::errors).sum();
    }

    /** Processor time of the whole programs that run, in seconds. */
    double cpuSeconds() {
        return running.values().stream()
                .mapToDouble(broker -> broker.cpu().toMillis() / 1e3)
                .sum();
    }

    int count() {
        return numbers.length;
    }

    @Override
    public void close() {
        viewers.values().forEach(HeldConnections::stop);
        running.values().forEach(RealBroker::kill);
        net.close();
        for (AnsweringEdgeServer box : boxes) {
            try {
                box.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
