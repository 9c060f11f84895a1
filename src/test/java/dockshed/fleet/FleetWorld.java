package dockshed.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Brokers' hearts on a simulated network and clock; one seed replays all. Each broker has a clock of its own, with an offset
 * and a rate; it can be killed, started again with nothing, and made to stand still while its mail waits. A mutant is a
 * switch here that spoils one thing that the heart relies on, and that some test has to notice.
 */
final class FleetWorld {
    static final long MS = 1000, S = 1_000_000;

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final class Node {
        final int number;
        Heart heart;
        double rate = 1;
        long offset; // of its clock to the world's, at the world's start
        long stillUntil = -1;
        int life; // of the world's making: what an earlier one has to do is void
        final List<byte[]> mail = new ArrayList<>();

        Node(int number) {
            this.number = number;
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        boolean up() {
            return heart != null;
        }

        View view() {
            return heart.view(clock());
        }

        double share(int kind) {
            return heart == null ? 0 : heart.shares().share(clock(), kind);
        }

        void start() {
            life++;
            mail.clear();
            stillUntil = -1;
            heart = new Heart(
                    terms, number, nodes.length, startMillis.apply(clock() / 1000), clock(), random.nextLong());
            started.accept(this);
            tick(life);
        }

        void kill() {
            heart = null;
            life++;
        }

        void still(long micros) {
            stillUntil = now + micros;
            int of = life;
            at(stillUntil, () -> {
                if (of == life) {
                    stillUntil = -1;
                    for (byte[] m : List.copyOf(mail)) {
                        heart.receive(clock(), m, sink());
                    }
                    mail.clear();
                    tick(of);
                }
            });
        }

        void news(News n) {
            heart.news(clock(), n, sink());
        }

        private Heart.Sink sink() {
            return (to, datagram) -> carry(number, to, datagram);
        }

        private void tick(int of) {
            if (of != life || heart == null || stillUntil >= 0) {
                return;
            }
            heart.tick(clock(), sink());
            at(now + Math.max(1, (long) ((heart.next(clock()) - clock()) / rate)), () -> tick(of));
        }

        void take(byte[] datagram) {
            if (heart == null) {
                return;
            }
            if (stillUntil >= 0) {
                mail.add(datagram);
            } else {
                heart.receive(clock(), datagram, sink());
            }
        }
    }

    final Node[] nodes;
    final FleetTerms terms;
    final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    long now = 1_000 * S;
    double loss, twice;
    long least = MS / 2, most = 3 * MS; // delays
    long carried;
    final Map<Integer, Long> sentBy = new HashMap<>();
    private boolean[][] cut;
    /** Mutants: what happens to a datagram on its way, and what a start takes for its time. */
    UnaryOperator<Envelope> spoil = e -> e;

    java.util.function.Function<Long, Long> startMillis = ms -> ms;
    Consumer<Node> started = n -> {};

    FleetWorld(int brokers, FleetTerms terms, long seed) {
        this.terms = terms;
        random = new SplittableRandom(seed);
        nodes = new Node[brokers];
        cut = new boolean[brokers][brokers];
        for (int i = 0; i < brokers; i++) {
            nodes[i] = new Node(i);
        }
    }

    FleetWorld startAll() {
        for (Node n : nodes) {
            at(now + random.nextLong(300 * MS), n::start);
        }
        run(400 * MS);
        return this;
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Ends of a cut: from a to b nothing comes through. */
    void cut(int a, int b, boolean is) {
        cut[a][b] = is;
    }

    /** Cuts the first brokers off from the others, both ways, or joins them again. */
    void halve(int first, boolean is) {
        for (int a = 0; a < nodes.length; a++) {
            for (int b = 0; b < nodes.length; b++) {
                cut[a][b] = is && a < first != b < first;
            }
        }
    }

    void carry(int from, int to, byte[] datagram) {
        if (datagram.length > Envelope.LIMIT) {
            throw new AssertionError("datagram of " + datagram.length + " bytes");
        }
        carried++;
        sentBy.merge(from, (long) datagram.length, Long::sum);
        if (cut[from][to] || random.nextDouble() < loss) {
            return;
        }
        Envelope e = Envelope.read(datagram);
        byte[] goes = e == null ? datagram : spoil.apply(e).write();
        int times = random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < times; i++) {
            at(now + least + random.nextLong(most - least + 1), () -> nodes[to].take(goes));
        }
    }

    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = Math.max(now, e.at());
            e.what().run();
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

    double sum(int kind) {
        double sum = 0;
        for (Node n : nodes) {
            sum += n.share(kind);
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
