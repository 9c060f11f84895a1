package dockshed.rig;

import dockshed.Director;
import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Prices;
import dockshed.Director.ReportField;
import dockshed.Director.Rules;
import dockshed.Director.Server;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.choice.Choice;
import dockshed.core.Broker;
import dockshed.core.Front;
import dockshed.core.ServerAdapter;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.fleet.AdmissionFilter;
import dockshed.fleet.ByzantinePeer;
import dockshed.fleet.FleetSettings;
import dockshed.fleet.FleetSnapshot;
import dockshed.fleet.GossipNode;
import dockshed.storm.RetryStormFilter;
import dockshed.storm.Terms;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Stand-ins for viewers, lesson boxes, name server and network on a virtual clock, round real brokers with the real
 * module. One seed replays a run to the last event. Times are microseconds, rates kB a second.
 */
public final class BrokerSimulation {
    public static final long MILLISECOND_US = 1000;
    public static final long SECOND_US = 1_000_000;
    public static final long START_US = 1_000_000 * SECOND_US;
    private static final double[] RATES = {255, 425, 706, 1174, 1951};
    private static final double[] WORTHS = {.17, .41, .62, .81, 1};
    private static final double STALL = 7;
    private static final double LINK = 30_000;
    private static final long SEE = SECOND_US;
    private static final long TELL = 2_750 * MILLISECOND_US;
    private static final long TICK = 100 * MILLISECOND_US;

    /** What viewers heed of a refusal's advice. */
    public enum RetryPolicy {
        ADVISED_MILLIS,
        ADVISED_SECONDS,
        IGNORES_ADVICE,
        EXPONENTIAL_BACKOFF
    }

    /** What happens, all of it set before the run. */
    public static final class Scenario {
        public int brokers = 3;
        public int servers = 16;
        public int streamsPerServer = 110;
        public double arrivalsPerSecond = 12;
        public double surgeFactor = 1;
        public long surgeFrom;
        public long surgeTo;
        public long duration = 60 * SECOND_US;
        public long maxReturnDelay = 2 * SECOND_US;
        public double ignoringShare = 0.2; // of the viewers; of the rest a third each heeds one way
        public double lostReplyShare; // set-ups that run and whose answer is lost
        public double datagramLoss = 0.05;
        public Terms terms; // null: without the part
        public FleetSettings fleet; // null: without the part
        public boolean instantExchange; // all brokers are told everything without loss or delay
        public int byzantineBroker = -1; // a byzantine broker, at full rate
        public long minStay = 22 * SECOND_US; // of viewers, evenly between the one and both
        public long extraStay = 40 * SECOND_US;
        public int slowServers; // so many boxes give a third of their links, between these times
        public long slowFrom;
        public long slowTo;
        public boolean nameServerReachable = true;
        final List<long[]> outages = new ArrayList<>(); // broker, from, to
        final List<long[]> restarts = new ArrayList<>(); // box, at
        long stallAt = -1;
        long stallDuration;

        public Scenario outage(int broker, long from, long to) {
            outages.add(new long[] {broker, from, to});
            return this;
        }

        public Scenario restart(int box, long at) {
            restarts.add(new long[] {box, at});
            return this;
        }

        /** Broker 0's loop stands still. */
        public Scenario stall(long at, long micros) {
            stallAt = at;
            stallDuration = micros;
            return this;
        }
    }

    private record Event(long at, long serial, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(serial, o.serial);
        }
    }

    private final Scenario script;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedBroker> simulatedBrokers = new ArrayList<>();
    private final List<SimulatedEdgeServer> servers = new ArrayList<>();
    private final List<SimulatedViewer> viewers = new ArrayList<>();
    private final List<SessionClass> classes = List.of(
            new SessionClass("refresher", Effect.SAFE, 800 * MILLISECOND_US, 3 * SECOND_US, 1, 1, 0, 4, 0),
            new SessionClass("cert-lesson", Effect.AT_MOST_ONCE, SECOND_US, 4 * SECOND_US, 3, 1, 1, 4, 0),
            new SessionClass("audio-guide", Effect.SAFE, 1500 * MILLISECOND_US, 3 * SECOND_US, 1, .7, 0, 4, 0));
    private long serials;
    private long names;
    private long now = START_US;

    // What is measured.
    public final double[] offeredBySecond; // worth by second
    public final double[] earnedBySecond;
    public final int[] requestsBySecond; // requests and refusals, by second
    public final int[] refusalsBySecond;
    public final int[] sessionsBySecond; // sessions, by second
    public final double[] linkLoadBySecond; // asked of all links over what they give; mean rung
    public final double[] meanRenditionBySecond;
    public int requests;
    public int viewerCount;
    public int refused;
    public int failed;
    public int served;
    public int unanswered;
    public int duplicatePaidSetUps;
    public int returnsOnTime;
    public int returnsEarly;
    public int crashedServers;
    public int renditionsBelowFloor;
    public int paidRefusedAfterRun;
    public double coldPeakRatio; // most set-ups within the rule's window at a cold box, over its allowed ones
    public long brokerCpuNanos; // processor's time in the brokers
    public int brokerRetries; // the last two: first tries within the surge
    public int paidRequests;
    public int paidServed;
    public double maxShareSum;
    public double shedDecisions;
    public double agreeingShedDecisions;
    public long fleetBytes;
    private final java.util.BitSet calm = new java.util.BitSet(); // by tick: every broker is calm
    public final List<String> stormLog = new ArrayList<>();

    private BrokerSimulation(Scenario script, long seed) {
        this.script = script;
        random = new SplittableRandom(seed);
        int seconds = (int) (script.duration / SECOND_US) + 1;
        offeredBySecond = new double[seconds];
        earnedBySecond = new double[seconds];
        requestsBySecond = new int[seconds];
        refusalsBySecond = new int[seconds];
        sessionsBySecond = new int[seconds];
        linkLoadBySecond = new double[seconds];
        meanRenditionBySecond = new double[seconds];
    }

    public static BrokerSimulation run(Scenario script, long seed) {
        BrokerSimulation w = new BrokerSimulation(script, seed);
        w.play();
        return w;
    }

    private void at(long when, Runnable what) {
        events.add(new Event(when, serials++, what));
    }

    private void play() {
        for (int i = 0; i < script.servers; i++) {
            servers.add(new SimulatedEdgeServer(i));
        }
        for (int i = 0; i < script.brokers; i++) {
            simulatedBrokers.add(new SimulatedBroker(i));
            simulatedBrokers.get(i).start();
        }
        for (long[] o : script.outages) {
            at(START_US + o[1], () -> simulatedBrokers.get((int) o[0]).die());
            at(START_US + o[2], () -> simulatedBrokers.get((int) o[0]).start());
        }
        for (long[] r : script.restarts) {
            at(START_US + r[1], () -> servers.get((int) r[0]).restart());
        }
        at(START_US, this::arrive);
        if (script.byzantineBroker >= 0) {
            ByzantinePeer byzantine =
                    new ByzantinePeer(script.byzantineBroker, script.brokers, START_US, script.brokers);
            at(START_US + 5 * SECOND_US, () -> lie(byzantine));
        }
        at(START_US + TICK, this::measure);
        at(START_US + TELL, this::tell);
        long end = START_US + script.duration;
        while (now < end) {
            SimulatedBroker due = null;
            long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
            for (SimulatedBroker s : simulatedBrokers) {
                if (s.broker != null && s.ready() < next) {
                    next = s.ready();
                    due = s;
                }
            }
            now = Math.max(now, Math.min(next, end));
            if (next >= end) {
                break;
            }
            if (due != null) {
                Broker broker = due.broker;
                timed(() -> broker.runDueTimers(now));
            } else {
                events.poll().what.run();
            }
        }
        viewerCount = viewers.size();
        for (SimulatedBroker s : simulatedBrokers) {
            fleetBytes += s.node == null ? 0 : s.node.counts().bytes;
        }
        for (SimulatedViewer v : viewers) {
            unanswered += v.name != null
                            && !v.answered
                            && now - v.askedAt > v.patience() + 50 * MILLISECOND_US
                            && v.at.alive()
                            && v.at.since <= v.askedAt
                    ? 1
                    : 0;
        }
    }

    private void lie(ByzantinePeer byzantine) {
        at(now + 10 * MILLISECOND_US, () -> lie(byzantine));
        for (SimulatedBroker s : simulatedBrokers) {
            byte[] made = byzantine.nextDatagram(now);
            if (s.me != script.byzantineBroker && s.node != null) {
                s.node.receive(now, made, s::carry);
            }
        }
    }

    private void timed(Runnable what) {
        long began = System.nanoTime();
        what.run();
        brokerCpuNanos += System.nanoTime() - began;
    }

    // ---- Viewers.

    private void arrive() {
        double t = now - START_US;
        double rate = script.arrivalsPerSecond * (t >= script.surgeFrom && t < script.surgeTo ? script.surgeFactor : 1);
        SimulatedViewer v = new SimulatedViewer();
        viewers.add(v);
        v.ask(false);
        at(now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND_US), this::arrive);
    }

    final class SimulatedViewer {
        final String id = "v" + viewers.size();
        final SessionClass cls = classes.get(random.nextDouble() < .3 ? 0 : random.nextDouble() < .36 ? 1 : 2);
        final int top = random.nextDouble() < .26 ? 2 : 4;
        final long firstTry = now;
        final long until = now + script.minStay + random.nextLong(script.extraStay);
        final RetryPolicy heeds = random.nextDouble() < script.ignoringShare
                ? RetryPolicy.IGNORES_ADVICE
                : RetryPolicy.values()[new int[] {0, 1, 3}[random.nextInt(3)]];
        int mine;
        long wait = 500 * MILLISECOND_US;
        long askedAt;
        String name;
        SimulatedBroker at;
        SimulatedEdgeServer box;
        int rung;
        boolean answered;
        boolean plays;
        boolean inSurge;

        long patience() {
            return cls.deadline();
        }

        void ask(boolean again) {
            if (now > until - 2 * SECOND_US) {
                return;
            }
            mine++;
            requests++;
            int sec = (int) ((now - START_US) / SECOND_US);
            if (sec < requestsBySecond.length) {
                requestsBySecond[sec]++;
            }
            askedAt = now;
            answered = false;
            SimulatedBroker to = simulatedBrokers.get(random.nextInt(script.brokers));
            if (!to.admitted()) { // the front has noticed: another one
                List<SimulatedBroker> up = simulatedBrokers.stream()
                        .filter(SimulatedBroker::admitted)
                        .toList();
                to = up.isEmpty() ? to : up.get(random.nextInt(up.size()));
            }
            at = to;
            inSurge = cls.effect() != Effect.SAFE
                    && mine == 1
                    && now - START_US >= script.surgeFrom
                    && now - START_US < script.surgeTo;
            paidRequests += inSurge ? 1 : 0;
            name = String.format("%016x", ++names);
            if (!to.alive()) {
                name = null;
                back(740 * MILLISECOND_US + random.nextLong(2_160 * MILLISECOND_US)); // the connection is refused
                return;
            }
            String asked = name;
            timed(() -> at.ask(this, again));
            at(now + patience(), () -> {
                if (!answered && asked.equals(name)) {
                    if (at.alive()) {
                        at.broker.cancel(now, asked);
                    }
                    ended();
                    if (cls.effect() == Effect.SAFE) {
                        back(740 * MILLISECOND_US + random.nextLong(2_160 * MILLISECOND_US));
                    }
                }
            });
        }

        void back(long after) {
            at(now + after, () -> ask(true));
        }

        void refused(long comeBack) {
            answered = true;
            refused++;
            int sec = (int) ((now - START_US) / SECOND_US);
            refusalsBySecond[Math.min(sec, refusalsBySecond.length - 1)]++;
            ended();
            long own = 740 * MILLISECOND_US + random.nextLong(2_160 * MILLISECOND_US);
            if (random.nextDouble() < 0.1) {
                return; // stays away
            }
            long jitter = random.nextLong(30 * MILLISECOND_US);
            switch (heeds) {
                case ADVISED_MILLIS -> back(comeBack > 0 ? comeBack + jitter : own);
                case ADVISED_SECONDS ->
                    back(comeBack > 0 ? Math.max(1, Math.round(comeBack / 1e6)) * SECOND_US + jitter : own);
                case IGNORES_ADVICE -> back(own);
                case EXPONENTIAL_BACKOFF -> {
                    back(wait + jitter);
                    wait = Math.min(wait * 2, 8 * SECOND_US);
                }
            }
        }

        /** The session, or the request, is no more. */
        void ended() {
            if (box != null) {
                box.load.remove(name);
            }
            plays = false;
            box = null;
            name = null;
        }

        /** Its broker or box was lost under it. */
        void cut() {
            boolean mayHaveRun = !answered && cls.effect() != Effect.SAFE;
            ended();
            answered = true;
            if (!mayHaveRun && random.nextDouble() < .9) {
                back(740 * MILLISECOND_US + random.nextLong(2_160 * MILLISECOND_US));
            }
        }
    }

    // ---- Boxes.

    final class SimulatedEdgeServer {
        final int number;
        final String id;
        final Map<String, SimulatedViewer> load = new LinkedHashMap<>();
        final ArrayDeque<Long> cold = new ArrayDeque<>();
        final Set<String> ran = new HashSet<>();
        long since; // of its start; 0 long ago
        boolean fallen;

        SimulatedEdgeServer(int number) {
            this.number = number;
            id = "box" + number;
        }

        double warmth() {
            return since == 0 || now - since >= 12 * SECOND_US ? 1 : 0.4 + 0.6 * (now - since) / (12.0 * SECOND_US);
        }

        boolean slow() {
            long t = now - START_US;
            return number < script.slowServers && t >= script.slowFrom && t < script.slowTo;
        }

        /** Of its link. */
        double gives() {
            return warmth() * (slow() ? 1 / 3.0 : 1);
        }

        double asked() {
            return load.values().stream()
                    .mapToDouble(v -> RATES[v.rung] * v.cls.scale())
                    .sum();
        }

        double share() {
            double gives = LINK * gives();
            return Math.min(1, gives / Math.max(1, asked()));
        }

        void restart() {
            drop();
            since = now;
            cold.clear();
            for (SimulatedBroker s : simulatedBrokers) {
                at(now + 500 * MILLISECOND_US + random.nextLong(900 * MILLISECOND_US), () -> s.told(this));
            }
        }

        void drop() {
            for (SimulatedViewer v : List.copyOf(load.values())) {
                SimulatedBroker s = v.at;
                String name = v.name;
                if (s.alive()) {
                    s.broker.ended(now, id, name, Outcome.RESET, LoadReport.NONE);
                }
            }
            load.clear();
        }

        /** A set-up reaches the box; whether it runs. */
        boolean takes(String name, SessionClass cls) {
            if (fallen) {
                return false;
            }
            if (!ran.add(name) && cls.effect() != Effect.SAFE) {
                duplicatePaidSetUps++;
            }
            if (warmth() < 1) {
                cold.add(now);
                while (cold.peekFirst() < now - 2 * SECOND_US) {
                    cold.removeFirst();
                }
                double allowed = script.streamsPerServer / 12.0 * warmth() * 2;
                coldPeakRatio = Math.max(coldPeakRatio, cold.size() / allowed);
                if (cold.size() > 2.5 * allowed + 1) {
                    fallen = true;
                    crashedServers++;
                    drop();
                    return false;
                }
            }
            return true;
        }

        Server listed() {
            return new Server(id, "east", "std", number, fallen ? State.GONE : State.UP, 1, since);
        }

        LoadReport report() {
            return new LoadReport(List.of(asked() / (LINK * gives())));
        }
    }

    private void tell() {
        at(now + TELL, this::tell);
        for (SimulatedEdgeServer b : servers) {
            double fill = b.asked() / (LINK * b.gives());
            Set<SimulatedBroker> heard = new HashSet<>();
            for (SimulatedViewer v : List.copyOf(b.load.values())) {
                SimulatedBroker s = v.at;
                String name = v.name;
                if (heard.add(s)) {
                    at(now + SEE, () -> {
                        if (s.alive()) {
                            timed(() -> s.broker.metricReceived(now, b.id, name, Metric.LINK, fill));
                        }
                    });
                }
            }
        }
    }

    // ---- Brokers.

    final class SimulatedBroker implements Front, ServerAdapter {
        final int me;
        Broker broker;
        RetryStormFilter damper;
        GossipNode node;
        AdmissionFilter admission;
        FleetSnapshot snapshot = FleetSnapshot.ALONE;
        final Map<String, Integer> attempts = new HashMap<>();
        String state = "NONE";
        TimerQueue deadlines;
        long since;
        long diedAt = Long.MIN_VALUE;
        long noticed;
        final Map<String, SimulatedViewer> asking = new HashMap<>();

        SimulatedBroker(int me) {
            this.me = me;
        }

        boolean alive() {
            return broker != null;
        }

        /** Whether the front sends viewers here: it notices a dead broker late. */
        boolean admitted() {
            return broker != null || now < noticed;
        }

        long ready() {
            long next = deadlines.nextDue();
            long stall = START_US + script.stallAt;
            return me == 0 && script.stallAt >= 0 && next >= stall && next < stall + script.stallDuration
                    ? stall + script.stallDuration
                    : next;
        }

        void start() {
            since = now;
            deadlines = new TimerQueue(t -> {});
            Settings s = new Settings(
                    me,
                    script.brokers,
                    "east",
                    classes,
                    List.of(new ServerKind("std", script.streamsPerServer)),
                    new Ladder(
                            list(RATES),
                            list(WORTHS),
                            LINK * script.servers,
                            LINK,
                            LINK * script.servers,
                            2,
                            3,
                            0,
                            STALL,
                            490 * MILLISECOND_US),
                    new Limits(5, false, true, 250 * MILLISECOND_US, script.maxReturnDelay, SEE, TELL),
                    new Rules(SECOND_US, 0.4, 12 * SECOND_US, 2.5, 2 * SECOND_US, 0, 0, 0),
                    new Prices(0, 0, 0, 0),
                    List.of(ReportField.LINK));
            long seed = random.nextLong();
            Function<Director.Actions, Director> module = a -> new Choice(s, seed, a);
            Function<Director.Actions, Director> whole = script.terms == null
                    ? module
                    : a -> {
                        Director d = RetryStormFilter.before(s, script.terms, seed ^ 0x5eed, module)
                                .apply(a);
                        damper = (RetryStormFilter) d;
                        return d;
                    };
            if (script.fleet != null) {
                node = new GossipNode(script.fleet, me, script.brokers, now / 1000, now, seed ^ 0xf1ee7);
                snapshot = FleetSnapshot.ALONE;
                broker = new Broker(
                        s,
                        a -> {
                            admission = AdmissionFilter.before(
                                            s,
                                            () -> snapshot,
                                            n -> {
                                                node.handle(now, n, this::carry);
                                                return true;
                                            },
                                            whole)
                                    .apply(a);
                            return admission;
                        },
                        this::datagram,
                        deadlines);
                beat(node);
            } else {
                broker = new Broker(s, whole, this::datagram, deadlines);
            }
            broker.serversChanged(
                    now,
                    "names",
                    now == START_US ? ListScope.SNAPSHOT : ListScope.DISK,
                    servers.stream().map(SimulatedEdgeServer::listed).toList());
            Broker mine = broker;
            if (now > START_US && script.nameServerReachable) {
                at(now + 300 * MILLISECOND_US + random.nextLong(500 * MILLISECOND_US), () -> {
                    if (broker == mine) {
                        broker.serversChanged(
                                now,
                                "names",
                                ListScope.SNAPSHOT,
                                servers.stream()
                                        .map(SimulatedEdgeServer::listed)
                                        .toList());
                    }
                });
            }
        }

        private void beat(GossipNode of) {
            if (node == of) {
                node.tick(now, this::carry);
                snapshot = node.snapshot(now);
                at(
                        Math.min(now + (script.instantExchange ? 20 : 100) * MILLISECOND_US, node.nextTickAt(now)),
                        () -> beat(of));
            }
        }

        void carry(int to, byte[] bytes) {
            SimulatedBroker s = simulatedBrokers.get(to);
            if (me == script.byzantineBroker || !script.instantExchange && random.nextDouble() < script.datagramLoss) {
                return;
            }
            at(now + (script.instantExchange ? 1 : 1_100 + random.nextLong(34 * MILLISECOND_US)), () -> {
                if (s.node != null) {
                    s.node.receive(now, bytes, s::carry);
                }
            });
        }

        private List<Double> list(double[] of) {
            List<Double> out = new ArrayList<>();
            for (double d : of) {
                out.add(d);
            }
            return out;
        }

        void die() {
            broker = null;
            damper = null;
            fleetBytes += node == null ? 0 : node.counts().bytes;
            node = null;
            admission = null;
            diedAt = now;
            noticed = now + 1_200 * MILLISECOND_US + random.nextLong(2_200 * MILLISECOND_US);
            for (SimulatedViewer v : viewers) {
                if (v.at == this && v.name != null) {
                    v.cut();
                }
            }
            asking.clear();
        }

        void told(SimulatedEdgeServer b) {
            if (broker != null) {
                broker.serversChanged(now, "names", ListScope.CHANGES, List.of(b.listed()));
            }
        }

        void ask(SimulatedViewer v, boolean again) {
            asking.put(v.name, v);
            long connection = broker.connected(now, this, h -> {});
            if (!broker.request(
                    now,
                    connection,
                    this,
                    this,
                    new SessionRequest(
                            v.name,
                            v.cls.name(),
                            v.id,
                            "lesson",
                            v.patience(),
                            (long) ((v.until - now) * (.8 + .4 * random.nextDouble())),
                            0,
                            3,
                            v.top,
                            again,
                            false,
                            again,
                            "sdp\n"))) {
                throw new IllegalStateException("a viewer's request was malformed");
            }
        }

        private void datagram(byte[] bytes) {
            if (bytes.length > 256) {
                throw new IllegalStateException("datagram too long");
            }
            for (SimulatedBroker s : simulatedBrokers) {
                if (s != this && random.nextDouble() >= script.datagramLoss) {
                    at(now + 1_100 + random.nextLong(34 * MILLISECOND_US), () -> {
                        if (s.broker != null) {
                            s.broker.peerMessageReceived(now, me, bytes);
                        }
                    });
                }
            }
        }

        // Front.
        @Override
        public void served(long connection, String name, Grant g) {
            SimulatedViewer v = asking.get(name);
            if (v == null || !name.equals(v.name)) {
                broker.answerUndelivered(now, name);
                return;
            }
            v.answered = true;
            v.plays = true;
            paidServed += v.inSurge ? 1 : 0;
            v.box = servers.get(Integer.parseInt(g.server().substring(3)));
            served++;
        }

        @Override
        public void refused(long connection, String name, long comeBack) {
            SimulatedViewer v = asking.remove(name);
            if (v != null && name.equals(v.name)) {
                paidRefusedAfterRun +=
                        v.cls.effect() != Effect.SAFE && servers.stream().anyMatch(b -> b.ran.contains(name)) ? 1 : 0;
                v.refused(comeBack);
            }
        }

        @Override
        public void failed(long connection, String name, boolean late) {
            SimulatedViewer v = asking.remove(name);
            if (v != null && name.equals(v.name)) {
                failed++;
                v.answered = true;
                v.ended();
                if (v.cls.effect() == Effect.SAFE) {
                    v.back(740 * MILLISECOND_US + random.nextLong(2_160 * MILLISECOND_US));
                }
            }
        }

        @Override
        public void sessionEnded(long connection, String name, Outcome outcome) {
            SimulatedViewer v = asking.remove(name);
            if (v != null && name.equals(v.name) && outcome != Outcome.OK) {
                v.cut();
            } else if (v != null && name.equals(v.name)) {
                v.ended();
            }
        }

        @Override
        public void moved(long connection, String name) {
            sessionEnded(connection, name, Outcome.RESET);
        }

        @Override
        public boolean needsConnection() {
            return false;
        }

        // Boxes, over a network.
        @Override
        public void setUp(String server, SetUp s) {
            SimulatedEdgeServer b = servers.get(Integer.parseInt(server.substring(3)));
            SimulatedViewer v = asking.get(s.name());
            Broker mine = broker;
            renditionsBelowFloor += s.highestRendition() < s.lowestRendition() ? 1 : 0;
            brokerRetries += attempts.merge(s.name(), 1, Integer::sum) > 1 ? 1 : 0;
            boolean noAnswer = script.lostReplyShare > 0 && random.nextDouble() < script.lostReplyShare;
            at(now + 3 * MILLISECOND_US, () -> {
                if (b.takes(s.name(), v.cls)) {
                    if (noAnswer) {
                        return; // it ran, and its answer is lost
                    }
                    at(
                            now
                                    + 15 * MILLISECOND_US
                                    + random.nextLong(25 * MILLISECOND_US)
                                    + (b.slow() ? 300 * MILLISECOND_US + random.nextLong(900 * MILLISECOND_US) : 0),
                            () -> {
                                if (broker == mine && !b.fallen && v.name != null && v.name.equals(s.name())) {
                                    v.rung = s.highestRendition();
                                    timed(() -> mine.setUpAnswered(now, server, s.name(), "sdp\n"));
                                    if (s.name().equals(v.name) && v.plays) {
                                        b.load.put(s.name(), v);
                                        broker.metricReceived(
                                                now, server, s.name(), Metric.LINK, b.asked() / (LINK * b.gives()));
                                    }
                                }
                            });
                } else if (broker == mine) {
                    broker.ended(now, server, s.name(), Outcome.CONNECT_FAILED, LoadReport.NONE);
                }
            });
        }

        @Override
        public void setRendition(String server, String name, int rung) {
            SimulatedViewer v = asking.get(name);
            if (v != null && name.equals(v.name)) {
                renditionsBelowFloor += rung < v.cls.floor() ? 1 : 0;
                v.rung = rung;
            }
        }

        @Override
        public void release(String server, String name) {
            servers.get(Integer.parseInt(server.substring(3))).load.remove(name);
        }

        @Override
        public void cancelSetUp(String server, String name) {}

        @Override
        public void setHasActiveSessions(String server, boolean sessions) {}
    }

    // ---- Measures.

    private void measure() {
        at(now + TICK, this::measure);
        int sec = (int) ((now - START_US) / SECOND_US);
        if (sec >= offeredBySecond.length) {
            return;
        }
        Map<SimulatedEdgeServer, Double> worth = new HashMap<>();
        for (SimulatedEdgeServer b : servers) {
            double share = b.share();
            worth.put(b, share >= 0.98 ? 1 : Math.max(0, 1 - STALL * (0.98 - share)));
            if (share < 0.98) {
                int n = 0;
                for (SimulatedViewer v : b.load.values()) {
                    if (n++ == 0 && v.at.alive()) {
                        String name = v.name;
                        SimulatedBroker s = v.at;
                        at(now + SEE, () -> {
                            if (s.alive() && now / SECOND_US != (now - TICK) / SECOND_US) {
                                s.broker.metricReceived(now, b.id, name, Metric.DELIVERED, share);
                            }
                        });
                    }
                }
            }
        }
        sessionsBySecond[sec] = servers.stream().mapToInt(b -> b.load.size()).sum();
        linkLoadBySecond[sec] =
                servers.stream().mapToDouble(SimulatedEdgeServer::asked).sum()
                        / (LINK
                                * servers.stream()
                                        .mapToDouble(SimulatedEdgeServer::warmth)
                                        .sum());
        meanRenditionBySecond[sec] = viewers.stream()
                .filter(v -> v.plays)
                .mapToInt(v -> v.rung)
                .average()
                .orElse(0);
        for (SimulatedViewer v : viewers) {
            if (now < v.until) {
                offeredBySecond[sec] += v.cls.worth() * WORTHS[v.top] * TICK / SECOND_US;
                earnedBySecond[sec] += v.plays && v.box != null
                        ? v.cls.worth() * WORTHS[Math.min(v.rung, v.top)] * worth.get(v.box) * TICK / SECOND_US
                        : 0;
            } else if (v.plays && v.at.alive() && v.box != null) {
                v.at.broker.ended(now, v.box.id, v.name, Outcome.OK, v.box.report());
            }
        }
        shares();
        int uncalm = 0;
        for (SimulatedBroker s : simulatedBrokers) {
            String state = s.damper == null ? "NONE" : s.damper.state();
            if (!state.equals(s.state)) {
                stormLog.add(
                        String.format(java.util.Locale.ROOT, "%.1f broker=%d %s", (now - START_US) / 1e6, s.me, state));
                s.state = state;
            }
            uncalm += s.damper != null && !s.damper.state().equals("CALM") ? 1 : 0;
        }
        calm.set((int) ((now - START_US) / TICK), uncalm == 0);
        int before = viewers.size();
        viewers.removeIf(v -> now > v.until + 5 * SECOND_US && v.name == null);
        departedViewers += before - viewers.size();
    }

    /** Looks whether shares add up, and whether a viewer is judged alike at all brokers. */
    private void shares() {
        double sum = 0;
        int under = 0;
        int asked = 0;
        boolean cut = false;
        Director.Request r = new Director.Request(
                "x",
                classes.get(random.nextInt(classes.size())).name(),
                "v" + random.nextInt(100_000),
                "lesson",
                SECOND_US,
                0,
                0,
                3,
                4,
                false,
                false,
                false);
        for (SimulatedBroker s : simulatedBrokers) {
            if (s.node != null && s.me != script.byzantineBroker) {
                sum += s.node.newSessionShare(now);
                cut |= s.snapshot.sheddingThreshold() > 0;
                under += s.admission.isShed(now, r) ? 1 : 0;
                asked++;
            }
        }
        maxShareSum = Math.max(maxShareSum, sum);
        if (cut && asked > 1) {
            shedDecisions += asked;
            agreeingShedDecisions += Math.max(under, asked - under);
        }
    }

    private int departedViewers;

    /** People who came at all. */
    public int viewerCount() {
        return viewerCount + departedViewers;
    }

    /** Seconds from a time until all brokers are calm, for a second at least; -1: never. */
    public double secondsUntilCalm(long from) {
        int second = (int) (SECOND_US / TICK);
        for (int i = (int) (from / TICK); i + second < script.duration / TICK; i++) {
            if (calm.nextClearBit(i) >= i + second) {
                return (i * TICK - from) / 1e6;
            }
        }
        return -1;
    }

    /** Worth earned over worth asked for, over a run from one second to another. */
    public double serviceRatio(int from, int to) {
        double asked = 0;
        double got = 0;
        for (int i = from; i < Math.min(to, offeredBySecond.length - 1); i++) {
            asked += offeredBySecond[i];
            got += earnedBySecond[i];
        }
        return asked == 0 ? 1 : got / asked;
    }

    /** The worst 10 s from one second on. */
    public double worstTenSeconds(int from) {
        double worst = 1;
        for (int i = from; i + 10 <= offeredBySecond.length - 1; i++) {
            worst = Math.min(worst, serviceRatio(i, i + 10));
        }
        return worst;
    }

    public List<RetryStormFilter> dampers() {
        return simulatedBrokers.stream()
                .filter(s -> s.damper != null)
                .map(s -> s.damper)
                .toList();
    }
}
