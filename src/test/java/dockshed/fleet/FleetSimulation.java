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
 * Gossip nodes on a simulated network and clock; one seed replays all. Each broker has a clock of its own, with an offset
 * and a rate; it can be killed, started again with nothing, and paused while its datagrams wait. A mutant is a
 * switch here that tampers with one thing that the node relies on, and that some test has to notice.
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
        long offset; // of its clock to the world's, at the world's start
        long pausedUntil = -1;
        int starts; // what is scheduled for an earlier start is void
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
                    for (byte[] m : List.copyOf(waiting)) {
                        node.receive(clock(), m, sink());
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
    long minDelayUs = MILLISECOND_US / 2; // of the delays
    long maxDelayUs = 3 * MILLISECOND_US;
    long datagramsSent;
    final Map<Integer, Long> sentBy = new HashMap<>();
    private boolean[][] blocked;
    /** Mutants: what happens to a datagram on its way, and what a start takes for its time. */
    UnaryOperator<Envelope> tamper = UNTOUCHED;

    private static final UnaryOperator<Envelope> UNTOUCHED = e -> e;
    /** Settings by broker, where some run with others. */
    IntFunction<FleetSettings> settingsOf;

    /** Bytes that arrived, by broker. */
    final long[] receivedBy;

    java.util.function.Function<Long, Long> startTimeMs = ms -> ms;
    Consumer<Node> onStart = n -> {};
    /** After each tick, where a host would publish its snapshot. */
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
        for (Node n : nodes) {
            at(now + random.nextLong(300 * MILLISECOND_US), n::start);
        }
        run(400 * MILLISECOND_US);
        return this;
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Blocks or opens the way from a to b. */
    void block(int a, int b, boolean is) {
        blocked[a][b] = is;
    }

    /** Blocks, or joins again, what goes from the brokers of one scope to those of another. */
    void block(Scope from, Scope to, boolean is) {
        from.brokers().forEach(a -> to.brokers().forEach(b -> block(a, b, is)));
    }

    /** Partitions the first brokers from the others, both ways, or heals the partition. */
    void partition(int first, boolean is) {
        for (int a = 0; a < nodes.length; a++) {
            for (int b = 0; b < nodes.length; b++) {
                blocked[a][b] = is && a < first != b < first;
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
        Envelope e = tamper == UNTOUCHED ? null : Envelope.read(datagram);
        byte[] goes = e == null ? datagram : tamper.apply(e).write();
        int times = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < times; i++) {
            at(now + minDelayUs + random.nextLong(maxDelayUs - minDelayUs + 1), () -> nodes[to].deliver(goes));
        }
    }

    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = Math.max(now, e.at());
            e.action().run();
        }
        now = end;
    }

    /** Runs step by step, looking each time; what a look finds it throws. */
    void run(long micros, long step, Runnable look) {
        for (long end = now + micros; now < end; ) {
            run(Math.min(step, end - now));
            look.run();
        }
    }

    double sum(SharedResource resource) {
        double sum = 0;
        for (Node n : nodes) {
            sum += n.share(resource);
        }
        return sum;
    }

    /** Rewrites items of a kind on their way, for mutants. */
    static UnaryOperator<Envelope> items(int kind, UnaryOperator<Envelope.Item> change) {
        return e -> new Envelope(
                e.sender(),
                e.incarnation(),
                e.serial(),
                e.items().stream()
                        .map(i -> i.kind() == kind ? change.apply(i) : i)
                        .toList());
    }
}
