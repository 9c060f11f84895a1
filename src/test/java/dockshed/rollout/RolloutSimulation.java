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
 * The rollout of many brokers on a simulated network and clock, with zones, loss, delay, partitions, kills, pauses and
 * byzantine brokers. The gossip is reduced to its part in the rollout: it carries announcements, to a random broker of
 * the own zone at short intervals and to one of another zone every second. The merged history of configurations in
 * force is checked.
 */
final class RolloutSimulation {
    static final long MILLISECOND_US = 1000;
    static final long SECOND_US = 1_000_000;
    /** Bytes of the envelope around a body: the headers of the gossip's datagram and of the item. */
    static final int ENVELOPE_BYTES = 16;
    /** Maximum number of bodies that wait for the gossip's byte budget, as in {@code ExtensionQueue}. */
    static final int MAX_QUEUED_BODIES = 64;
    /** Seconds' worth of that budget that may be used at once after an idle time. */
    static final int BURST_SECONDS = 10;

    /**
     * A configuration applied at a broker; {@code start} counts the broker's starts, {@code disk} the disks that it has
     * had.
     */
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
        boolean oldProgram; // refuses documents that contain the word "new"
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
            int ownStart = starts;
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
                        public Optional<String> validate(Configuration configuration) {
                            boolean unknown = oldProgram && text(configuration).contains("new");
                            return unknown ? Optional.of("2: new: an unknown directive") : Optional.empty();
                        }

                        @Override
                        public void apply(Configuration configuration) {
                            history.add(new Applied(number, ownStart, disks, now, configuration.id()));
                        }
                    },
                    (at, event) -> {
                        events.add(event);
                        if (event instanceof RolloutEvent.ProposalEnded e) {
                            endedProposals.add(new EndedProposal(number, at, e.id(), e.outcome()));
                        }
                    });
            tick(ownStart);
            gossip(ownStart, ownZonePeriodUs, true);
            gossip(ownStart, otherZonePeriodUs, false);
        }

        void kill() {
            node = null;
            starts++;
        }

        void pause(long micros) {
            pausedUntil = now + micros;
            int ownStart = starts;
            at(pausedUntil, () -> {
                if (ownStart == starts) {
                    pausedUntil = -1;
                    List.copyOf(pausedDeliveries).forEach(Runnable::run);
                    pausedDeliveries.clear();
                    tick(ownStart);
                }
            });
        }

        /** Replaces the disk by an empty one. */
        void loseDisk() {
            storage.loseAll();
            disks++;
        }

        private void tick(int ownStart) {
            if (ownStart != starts || node == null || pausedUntil >= 0) {
                return;
            }
            node.tick(now);
            if (node != null) {
                at(Math.max(now + MILLISECOND_US, node.nextTickAt(now)), () -> tick(ownStart));
            }
        }

        private void gossip(int ownStart, long every, boolean ownZone) {
            if (every <= 0) {
                return;
            }
            at(now + every / 2 + random.nextLong(every), () -> {
                if (ownStart != starts || node == null) {
                    return;
                }
                if (pausedUntil < 0) {
                    int to = peer(ownZone);
                    if (to >= 0) {
                        announce(number, to, node.announcement());
                    }
                }
                gossip(ownStart, every, ownZone);
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
            if (number == byzantineBroker) {
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
    /** Bytes per second that the gossip leaves to bodies: half of what a broker with zones may send. */
    int bytesPerSecond = 6000;

    long minDelayUs = MILLISECOND_US / 2;
    long maxDelayUs = 5 * MILLISECOND_US;
    long ownZonePeriodUs = 100 * MILLISECOND_US;
    long otherZonePeriodUs = SECOND_US;
    /** A broker that answers requests for chunks with forged ones and runs nothing else; -1: none. */
    int byzantineBroker = -1;
    /** Whether datagrams from one broker to another are lost now. */
    BiPredicate<Integer, Integer> blocked = (from, to) -> false;

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

    static String text(Configuration configuration) {
        return new String(configuration.content(), StandardCharsets.UTF_8);
    }

    /** A document of that version, padded to the given number of bytes if its text is shorter. */
    static Configuration document(long version, String text, int bytes) {
        byte[] content = new byte[Math.max(bytes, text.length() + 20)];
        Arrays.fill(content, (byte) '#');
        byte[] head = ("version " + version + "\n" + text + "\n").getBytes(StandardCharsets.UTF_8);
        System.arraycopy(head, 0, content, 0, head.length);
        return new Configuration(version, content);
    }

    RolloutSimulation startAll() {
        for (Broker broker : brokers) {
            at(now + random.nextLong(300 * MILLISECOND_US), broker::start);
        }
        run(10 * SECOND_US);
        return this;
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    void propose(int broker, Configuration configuration) {
        brokers[broker].node.propose(now, configuration);
    }

    /** Sends a body through the gossip's queue and the extension's part of its budget. */
    private void enqueue(int from, int to, byte[] body) {
        Broker broker = brokers[from];
        if (broker.queued.size() < MAX_QUEUED_BODIES) {
            broker.queued.add(() -> transmit(from, to, body));
            broker.queuedBytes.add(body.length + ENVELOPE_BYTES);
            sendQueued(broker);
        }
    }

    private void sendQueued(Broker broker) {
        broker.tokens = Math.min(
                (double) BURST_SECONDS * bytesPerSecond,
                broker.tokens + (now - broker.tokensAt) * bytesPerSecond / 1e6);
        broker.tokensAt = now;
        while (!broker.queued.isEmpty() && broker.tokens >= broker.queuedBytes.peek()) {
            broker.tokens -= broker.queuedBytes.poll();
            broker.queued.poll().run();
        }
        if (!broker.queued.isEmpty() && !broker.sendScheduled) {
            broker.sendScheduled = true;
            at(now + 10 * MILLISECOND_US, () -> {
                broker.sendScheduled = false;
                sendQueued(broker);
            });
        }
    }

    private void transmit(int from, int to, byte[] body) {
        if (body.length > RolloutNode.MAX_BODY_BYTES) {
            throw new AssertionError("body of " + body.length + " bytes");
        }
        if (brokers[from].node == null) {
            return; // killed while its record was saved
        }
        brokers[from].sentBytes += body.length + ENVELOPE_BYTES;
        if (to == byzantineBroker) {
            serveForgedChunk(from, body);
            return;
        }
        deliver(from, to, broker -> {
            broker.receivedBytes += body.length + ENVELOPE_BYTES;
            broker.node.receive(now, from, body);
        });
    }

    private void serveForgedChunk(int to, byte[] body) {
        try {
            if (RolloutCodec.read(body) instanceof RolloutMessage.ChunkRequest request) {
                byte[] content = ("version " + request.version() + "\nmade up\n").getBytes(StandardCharsets.UTF_8);
                send(
                        byzantineBroker,
                        to,
                        RolloutCodec.write(new RolloutMessage.Chunk(
                                request.request(), request.version(), content.length, 0, content)));
            }
        } catch (RolloutCodec.MalformedException | RolloutCodec.PassedOverException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * At each interval the byzantine broker announces to each broker the configuration last applied anywhere, as if it
     * had it, or a forged version.
     */
    void startForgedAnnouncements(long micros) {
        at(now + micros, () -> {
            if (byzantineBroker >= 0) {
                for (Broker broker : brokers) {
                    Announcement made = forgedAnnouncement();
                    announce(byzantineBroker, broker.number, RolloutCodec.write(made));
                }
                startForgedAnnouncements(micros);
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
        deliver(from, to, broker -> broker.node.receiveAnnouncement(now, from, announcement));
    }

    /** Sends a body from one broker to another. */
    void send(int from, int to, byte[] body) {
        deliver(from, to, broker -> broker.node.receive(now, from, body));
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
            Broker broker = brokers[to];
            at(
                    now + minDelayUs + random.nextLong(maxDelayUs - minDelayUs + 1),
                    () -> broker.deliver(() -> delivery.to(broker)));
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

    /**
     * Runs until every running broker has that version or a higher one in force; returns the time taken, or fails after
     * {@code timeout}.
     */
    long runUntilInForce(long version, long timeout) {
        long startedAt = now;
        while (now - startedAt < timeout) {
            if (isInForceEverywhere(version)) {
                return now - startedAt;
            }
            run(50 * MILLISECOND_US);
        }
        if (!isInForceEverywhere(version)) {
            List<Integer> without = Arrays.stream(brokers)
                    .filter(broker -> broker.node != null && broker.version() < version)
                    .map(broker -> broker.number)
                    .limit(20)
                    .toList();
            throw new AssertionError("version " + version + " not in force within " + timeout + " us at " + without);
        }
        return now - startedAt;
    }

    boolean isInForceEverywhere(long version) {
        return Arrays.stream(brokers).allMatch(broker -> broker.node == null || broker.version() >= version);
    }

    /** Times from {@code since} until that version, or a later one, was in force at each running broker; sorted. */
    long[] delays(long version, long since) {
        Map<Integer, Long> first = new HashMap<>();
        for (Applied applied : history) {
            if (applied.id().version() >= version) {
                first.merge(applied.broker(), applied.at() - since, Math::min);
            }
        }
        return Arrays.stream(brokers)
                .filter(broker -> broker.node != null)
                .mapToLong(broker -> first.getOrDefault(broker.number, Long.MAX_VALUE))
                .sorted()
                .toArray();
    }

    static long p99(long[] sorted) {
        return sorted[(int) Math.ceil(0.99 * sorted.length) - 1];
    }

    /** Two contents applied under one version, or an older version after a newer one at a broker that kept its disk. */
    Optional<String> violation() {
        Map<Long, ConfigurationId> content = new HashMap<>();
        Map<List<Integer>, Applied> latest = new HashMap<>();
        for (Applied applied : history) {
            ConfigurationId other = content.putIfAbsent(applied.id().version(), applied.id());
            if (other != null && !other.equals(applied.id())) {
                return Optional.of(
                        "two contents of version " + applied.id().version() + ": " + applied + " and " + other);
            }
            Applied before = latest.put(List.of(applied.broker(), applied.disk()), applied);
            boolean again = before != null
                    && before.start() != applied.start()
                    && before.id().equals(applied.id());
            if (before != null
                    && !again
                    && before.id().version() >= applied.id().version()) {
                return Optional.of("an older version over a newer one: " + applied + " after " + before);
            }
        }
        return Optional.empty();
    }

    void check() {
        violation().ifPresent(violation -> {
            throw new AssertionError(violation);
        });
    }

    ProposalOutcome outcome(ConfigurationId id) {
        return endedProposals.stream()
                .filter(proposal -> proposal.id().equals(id))
                .reduce((first, second) -> second)
                .map(EndedProposal::outcome)
                .orElse(null);
    }
}
