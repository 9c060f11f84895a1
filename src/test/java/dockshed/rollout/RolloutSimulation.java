package dockshed.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Many brokers' parts in the spread of configuration on a simulated network and clock: zones, loss, delay, cuts, kills,
 * pauses, and brokers that lie. The gossip is reduced to what it does here: it carries announcements, to a random broker of
 * the own zone every so often and to one of another zone every second. Merged histories of what was in force are checked.
 */
final class RolloutSimulation {
    static final long MILLISECOND_US = 1000;
    static final long SECOND_US = 1_000_000;
    /** Bytes of the envelope round a body: the gossip's head and the item's. */
    static final int ENVELOPE_BYTES = 16;
    /** Bodies that wait for the gossip's budget at most, as {@code ExtensionQueue} has it. */
    static final int MAX_QUEUED_BODIES = 64;
    /** Seconds of that part that may be used at once after a rest. */
    static final int BURST_SECONDS = 10;

    /** What was put in force, by whom, when; {@code life} counts its starts, {@code disk} the disks it had. */
    record Applied(int broker, int start, int disk, long at, ConfigurationId id) {}

    record EndedProposal(int broker, long at, ConfigurationId id, ProposalOutcome outcome) {}

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final class Broker {
        final int number;
        MemoryStorage storage = new MemoryStorage();
        RolloutNode node; // null: not running
        int starts;
        int disks;
        long pausedUntil = -1;
        final List<Runnable> pausedDeliveries = new ArrayList<>();
        boolean oldProgram; // refuses documents with the word "new"
        final List<RolloutEvent> events = new ArrayList<>();
        long sentBytes;
        long receivedBytes;
        private final ArrayDeque<Runnable> queued = new ArrayDeque<>();
        private final ArrayDeque<Integer> queuedBytes = new ArrayDeque<>();
        private double tokens;
        private long tokensAt;
        private boolean sendScheduled;

        Broker(int number) {
            this.number = number;
        }

        void start() {
            starts++;
            disks += storage.lastSaveLost ? 1 : 0;
            storage.lastSaveLost = false;
            int of = starts;
            pausedUntil = -1;
            pausedDeliveries.clear();
            node = new RolloutNode(
                    new RolloutSettings(number, brokers.length, voters),
                    now,
                    random.split(),
                    (to, body) -> enqueue(number, to, body),
                    storage,
                    new ConfigurationApplier() {
                        @Override
                        public Optional<String> validate(Configuration c) {
                            boolean unknown = oldProgram && text(c).contains("new");
                            return unknown ? Optional.of("2: new: an unknown directive") : Optional.empty();
                        }

                        @Override
                        public void apply(Configuration c) {
                            history.add(new Applied(number, of, disks, now, c.id()));
                        }
                    },
                    (at, event) -> {
                        events.add(event);
                        if (event instanceof RolloutEvent.ProposalEnded e) {
                            endedProposals.add(new EndedProposal(number, at, e.id(), e.outcome()));
                        }
                    });
            tick(of);
            gossip(of, ownZonePeriodUs, true);
            gossip(of, otherZonePeriodUs, false);
        }

        void kill() {
            node = null;
            starts++;
        }

        void pause(long micros) {
            pausedUntil = now + micros;
            int of = starts;
            at(pausedUntil, () -> {
                if (of == starts) {
                    pausedUntil = -1;
                    List.copyOf(pausedDeliveries).forEach(Runnable::run);
                    pausedDeliveries.clear();
                    tick(of);
                }
            });
        }

        /** Its disk is replaced by an empty one. */
        void loseDisk() {
            storage.loseAll();
            disks++;
        }

        private void tick(int of) {
            if (of != starts || node == null || pausedUntil >= 0) {
                return;
            }
            node.tick(now);
            if (node != null) {
                at(Math.max(now + MILLISECOND_US, node.nextTickAt(now)), () -> tick(of));
            }
        }

        private void gossip(int of, long every, boolean ownZone) {
            if (every <= 0) {
                return;
            }
            at(now + every / 2 + random.nextLong(every), () -> {
                if (of != starts || node == null) {
                    return;
                }
                if (pausedUntil < 0) {
                    int to = peer(ownZone);
                    if (to >= 0) {
                        announce(number, to, node.announcement());
                    }
                }
                gossip(of, every, ownZone);
            });
        }

        private int peer(boolean ownZone) {
            for (int i = 0; i < 20; i++) {
                int to = random.nextInt(brokers.length);
                if (to != number && zone(to) == zone(number) == ownZone) {
                    return to;
                }
            }
            return -1;
        }

        private void deliver(Runnable what) {
            if (number == liar) {
                return;
            }
            if (node != null) {
                if (pausedUntil >= 0) {
                    pausedDeliveries.add(what);
                } else {
                    what.run();
                }
            }
        }

        ConfigurationId inForce() {
            return node == null ? null : node.status(now).inForce();
        }

        long version() {
            return inForce() == null ? 0 : inForce().version();
        }
    }

    final Broker[] brokers;
    final List<Integer> voters;
    final int zones;
    final SplittableRandom random;
    final List<Applied> history = new ArrayList<>();
    final List<EndedProposal> endedProposals = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    long now = 1_000 * SECOND_US;
    double loss;
    double duplication;
    /** What the gossip leaves to bodies: half of what a broker with zones may send. */
    int bytesPerSecond = 6000;

    long minDelayUs = MILLISECOND_US / 2; // delays
    long maxDelayUs = 5 * MILLISECOND_US;
    long ownZonePeriodUs = 100 * MILLISECOND_US;
    long otherZonePeriodUs = SECOND_US;
    /** A broker that answers requests for chunks with made-up ones, and runs nothing else; -1: none. */
    int liar = -1;
    /** Whether nothing comes through from one broker to another now. */
    BiPredicate<Integer, Integer> blocked = (a, b) -> false;

    RolloutSimulation(int count, int zones, List<Integer> voters, long seed) {
        this.zones = zones;
        this.voters = voters;
        random = new SplittableRandom(seed);
        brokers = new Broker[count];
        for (int i = 0; i < count; i++) {
            brokers[i] = new Broker(i);
        }
    }

    int zone(int broker) {
        return broker % zones;
    }

    static String text(Configuration c) {
        return new String(c.content(), StandardCharsets.UTF_8);
    }

    /** A document of that version; with more than its text, so many bytes in all. */
    static Configuration document(long version, String text, int bytes) {
        byte[] content = new byte[Math.max(bytes, text.length() + 20)];
        Arrays.fill(content, (byte) '#');
        byte[] head = ("version " + version + "\n" + text + "\n").getBytes(StandardCharsets.UTF_8);
        System.arraycopy(head, 0, content, 0, head.length);
        return new Configuration(version, content);
    }

    RolloutSimulation startAll() {
        for (Broker b : brokers) {
            at(now + random.nextLong(300 * MILLISECOND_US), b::start);
        }
        run(10 * SECOND_US);
        return this;
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    void propose(int broker, Configuration c) {
        brokers[broker].node.propose(now, c);
    }

    /** What a broker sends passes the gossip's queue and its part of the gossip's budget. */
    private void enqueue(int from, int to, byte[] body) {
        Broker b = brokers[from];
        if (b.queued.size() < MAX_QUEUED_BODIES) {
            b.queued.add(() -> transmit(from, to, body));
            b.queuedBytes.add(body.length + ENVELOPE_BYTES);
            sendQueued(b);
        }
    }

    private void sendQueued(Broker b) {
        b.tokens =
                Math.min((double) BURST_SECONDS * bytesPerSecond, b.tokens + (now - b.tokensAt) * bytesPerSecond / 1e6);
        b.tokensAt = now;
        while (!b.queued.isEmpty() && b.tokens >= b.queuedBytes.peek()) {
            b.tokens -= b.queuedBytes.poll();
            b.queued.poll().run();
        }
        if (!b.queued.isEmpty() && !b.sendScheduled) {
            b.sendScheduled = true;
            at(now + 10 * MILLISECOND_US, () -> {
                b.sendScheduled = false;
                sendQueued(b);
            });
        }
    }

    private void transmit(int from, int to, byte[] body) {
        if (body.length > RolloutNode.MAX_BODY_BYTES) {
            throw new AssertionError("body of " + body.length + " bytes");
        }
        if (brokers[from].node == null) {
            return; // killed at this very point
        }
        brokers[from].sentBytes += body.length + ENVELOPE_BYTES;
        if (to == liar) {
            serveForgedChunk(from, body);
            return;
        }
        deliver(from, to, b -> {
            b.receivedBytes += body.length + ENVELOPE_BYTES;
            b.node.receive(now, from, body);
        });
    }

    private void serveForgedChunk(int to, byte[] body) {
        try {
            if (RolloutCodec.read(body) instanceof RolloutMessage.ChunkRequest r) {
                byte[] made = ("version " + r.version() + "\nmade up\n").getBytes(StandardCharsets.UTF_8);
                send(
                        liar,
                        to,
                        RolloutCodec.write(new RolloutMessage.Chunk(r.request(), r.version(), made.length, 0, made)));
            }
        } catch (RolloutCodec.MalformedException | RolloutCodec.PassedOverException e) {
            throw new AssertionError(e);
        }
    }

    /** The liar announces to each broker, every so often, what is in force as if it had it, or a version of its own. */
    void announceLies(long micros) {
        at(now + micros, () -> {
            if (liar >= 0) {
                for (Broker b : brokers) {
                    Announcement made = forgedAnnouncement();
                    announce(liar, b.number, RolloutCodec.write(made));
                }
                announceLies(micros);
            }
        });
    }

    private Announcement forgedAnnouncement() {
        Applied last = history.isEmpty() ? null : history.get(history.size() - 1);
        if (last == null || random.nextInt(4) == 0) {
            return new Announcement(1 + random.nextInt(1000), random.nextLong(), random.nextInt(1000), false);
        }
        return new Announcement(
                last.id().version(), last.id().digest().prefix(), last.id().version(), false);
    }

    /** An announcement goes from one to another, as if it were its sender's. */
    void announce(int from, int to, byte[] announcement) {
        deliver(from, to, b -> b.node.receiveAnnouncement(now, from, announcement));
    }

    /** A body goes from one to another, as if it were its sender's. */
    void send(int from, int to, byte[] body) {
        deliver(from, to, b -> b.node.receive(now, from, body));
    }

    private interface Delivery {
        void to(Broker broker);
    }

    private void deliver(int from, int to, Delivery delivery) {
        if (blocked.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        int times = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < times; i++) {
            Broker b = brokers[to];
            at(now + minDelayUs + random.nextLong(maxDelayUs - minDelayUs + 1), () -> b.deliver(() -> delivery.to(b)));
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

    /** Runs until every broker that runs has that version or a higher one in force; returns the time taken, or fails. */
    long runUntilInForce(long version, long most) {
        long began = now;
        while (now - began < most) {
            if (isInForceEverywhere(version)) {
                return now - began;
            }
            run(50 * MILLISECOND_US);
        }
        if (!isInForceEverywhere(version)) {
            List<Integer> without = Arrays.stream(brokers)
                    .filter(b -> b.node != null && b.version() < version)
                    .map(b -> b.number)
                    .limit(20)
                    .toList();
            throw new AssertionError("version " + version + " not in force within " + most + " us at " + without);
        }
        return now - began;
    }

    boolean isInForceEverywhere(long version) {
        return Arrays.stream(brokers).allMatch(b -> b.node == null || b.version() >= version);
    }

    /** Times from a moment until a version, or a later one, came in force at each broker that runs; sorted. */
    long[] delays(long version, long since) {
        Map<Integer, Long> first = new HashMap<>();
        for (Applied a : history) {
            if (a.id().version() >= version) {
                first.merge(a.broker(), a.at() - since, Math::min);
            }
        }
        return Arrays.stream(brokers)
                .filter(b -> b.node != null)
                .mapToLong(b -> first.getOrDefault(b.number, Long.MAX_VALUE))
                .sorted()
                .toArray();
    }

    static long p99(long[] sorted) {
        return sorted[(int) Math.ceil(0.99 * sorted.length) - 1];
    }

    /** Two contents in force under one version, or an older one after a newer one at a broker with its disk. */
    Optional<String> violation() {
        Map<Long, ConfigurationId> content = new HashMap<>();
        Map<List<Integer>, Applied> latest = new HashMap<>();
        for (Applied a : history) {
            ConfigurationId other = content.putIfAbsent(a.id().version(), a.id());
            if (other != null && !other.equals(a.id())) {
                return Optional.of("two contents of version " + a.id().version() + ": " + a + " and " + other);
            }
            Applied before = latest.put(List.of(a.broker(), a.disk()), a);
            boolean again =
                    before != null && before.start() != a.start() && before.id().equals(a.id());
            if (before != null && !again && before.id().version() >= a.id().version()) {
                return Optional.of("an older version over a newer one: " + a + " after " + before);
            }
        }
        return Optional.empty();
    }

    void check() {
        violation().ifPresent(v -> {
            throw new AssertionError(v);
        });
    }

    ProposalOutcome outcome(ConfigurationId id) {
        return endedProposals.stream()
                .filter(e -> e.id().equals(id))
                .reduce((a, b) -> b)
                .map(EndedProposal::outcome)
                .orElse(null);
    }
}
