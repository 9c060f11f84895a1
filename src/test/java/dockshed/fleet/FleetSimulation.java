package dockshed.fleet;

import dockshed.topology.Scope;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;

/**
 * Gossip nodes on a simulated network and clock; a run is determined by its seed. Each broker has its own clock, with
 * an offset and a rate; it can be killed, restarted without state, and paused while its datagrams wait. A mutant is a
 * switch here that tampers with something that the node relies on, and that some test has to detect.
 */
final class FleetSimulation {
    static final long MILLISECOND_US = 1000;
    static final long SECOND_US = 1_000_000;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final class Node {
        final int number;
        GossipNode node;
        double rate = 1;
        long offset; // of its clock to the simulation's, at time 0
        long pausedUntil = -1;
        int starts; // events scheduled for an earlier start are ignored
        final List<byte[]> waiting = new ArrayList<>();

        Node(int number) {
            this.number = number;
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        boolean isUp() {
            return node != null;
        }

        FleetSnapshot snapshot() {
            return node.snapshot(clock());
        }

        double share(SharedResource resource) {
            return node == null ? 0 : node.leases().share(clock(), resource);
        }

        void start() {
            starts++;
            waiting.clear();
            pausedUntil = -1;
            node = new GossipNode(
                    settingsOf.apply(number),
                    number,
                    nodes.length,
                    startTimeMs.apply(clock() / 1000),
                    clock(),
                    random.nextLong());
            onStart.accept(this);
            tick(starts);
        }

        void kill() {
            node = null;
            starts++;
        }

        void pause(long micros) {
            pausedUntil = now + micros;
            int start = starts;
            at(pausedUntil, () -> {
                if (start == starts) {
                    pausedUntil = -1;
                    for (byte[] datagram : List.copyOf(waiting)) {
                        node.receive(clock(), datagram, sink());
                    }
                    waiting.clear();
                    tick(start);
                }
            });
        }

        void handle(LocalEvent event) {
            node.handle(clock(), event, sink());
        }

        private GossipNode.Sink sink() {
            return (to, datagram) -> transmit(number, to, datagram);
        }

        private void tick(int start) {
            if (start != starts || node == null || pausedUntil >= 0) {
                return;
            }
            node.tick(clock(), sink());
            onTick.accept(this);
            at(now + Math.max(1, (long) ((node.nextTickAt(clock()) - clock()) / rate)), () -> tick(start));
        }

        void deliver(byte[] datagram) {
            if (node == null) {
                return;
            }
            receivedBy[number] += datagram.length;
            if (pausedUntil >= 0) {
                waiting.add(datagram);
            } else {
                node.receive(clock(), datagram, sink());
            }
        }
    }

    final Node[] nodes;
    final FleetSettings settings;
    final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    long now = 1_000 * SECOND_US;
    double loss;
    double duplication;
    long minDelayUs = MILLISECOND_US / 2;
    long maxDelayUs = 3 * MILLISECOND_US;
    long datagramsSent;
    final Map<Integer, Long> sentBy = new HashMap<>();
    private boolean[][] blocked;
    /** For mutants: changes a datagram on its way. */
    UnaryOperator<Envelope> tamper = UNTOUCHED;

    private static final UnaryOperator<Envelope> UNTOUCHED = e -> e;
    /** Settings by broker, for fleets with different settings. */
    IntFunction<FleetSettings> settingsOf;

    /** Bytes received, by broker. */
    final long[] receivedBy;

    /** For mutants: changes the start time of a broker, in milliseconds. */
    java.util.function.Function<Long, Long> startTimeMs = ms -> ms;

    Consumer<Node> onStart = n -> {};
    /** Called after each tick, when a host would publish its snapshot. */
    Consumer<Node> onTick = n -> {};

    FleetSimulation(int brokers, FleetSettings settings, long seed) {
        this.settings = settings;
        settingsOf = number -> settings;
        receivedBy = new long[brokers];
        random = new SplittableRandom(seed);
        nodes = new Node[brokers];
        blocked = new boolean[brokers][brokers];
        for (int i = 0; i < brokers; i++) {
            nodes[i] = new Node(i);
        }
    }

    FleetSimulation startAll() {
        for (Node node : nodes) {
            at(now + random.nextLong(300 * MILLISECOND_US), node::start);
        }
        run(400 * MILLISECOND_US);
        return this;
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Blocks or unblocks the direction from one broker to another. */
    void block(int sender, int receiver, boolean blocks) {
        blocked[sender][receiver] = blocks;
    }

    /** Blocks or unblocks the direction from the brokers of one scope to those of another. */
    void block(Scope from, Scope to, boolean blocks) {
        from.brokers().forEach(sender -> to.brokers().forEach(receiver -> block(sender, receiver, blocks)));
    }

    /** Partitions the brokers below {@code firstOfOthers} from the others in both directions, or ends the partition. */
    void partition(int firstOfOthers, boolean blocks) {
        for (int sender = 0; sender < nodes.length; sender++) {
            for (int receiver = 0; receiver < nodes.length; receiver++) {
                blocked[sender][receiver] = blocks && sender < firstOfOthers != receiver < firstOfOthers;
            }
        }
    }

    void transmit(int from, int to, byte[] datagram) {
        if (datagram.length > Envelope.MAX_BYTES) {
            throw new AssertionError("datagram of " + datagram.length + " bytes");
        }
        datagramsSent++;
        sentBy.merge(from, (long) datagram.length, Long::sum);
        if (blocked[from][to] || random.nextDouble() < loss) {
            return;
        }
        Envelope envelope = tamper == UNTOUCHED ? null : Envelope.read(datagram);
        byte[] goes = envelope == null ? datagram : tamper.apply(envelope).write();
        int times = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < times; i++) {
            at(now + minDelayUs + random.nextLong(maxDelayUs - minDelayUs + 1), () -> nodes[to].deliver(goes));
        }
    }

    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        now = end;
    }

    /** Runs step by step and calls {@code look} after each, which throws if it finds a fault. */
    void run(long micros, long step, Runnable look) {
        for (long end = now + micros; now < end; ) {
            run(Math.min(step, end - now));
            look.run();
        }
    }

    double sum(SharedResource resource) {
        double sum = 0;
        for (Node node : nodes) {
            sum += node.share(resource);
        }
        return sum;
    }

    /** For mutants: rewrites items of a kind on their way. */
    static UnaryOperator<Envelope> items(int kind, UnaryOperator<Envelope.Item> change) {
        return envelope -> new Envelope(
                envelope.sender(),
                envelope.incarnation(),
                envelope.serial(),
                envelope.items().stream()
                        .map(item -> item.kind() == kind ? change.apply(item) : item)
                        .toList());
    }
}
