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
import dockshed.storm.Damper;
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
public final class World {
    public static final long MS = 1000;
    public static final long S = 1_000_000;
    public static final long START = 1_000_000 * S;
    private static final double[] RATES = {255, 425, 706, 1174, 1951};
    private static final double[] WORTHS = {.17, .41, .62, .81, 1};
    private static final double STALL = 7;
    private static final double LINK = 30_000;
    private static final long SEE = S;
    private static final long TELL = 2_750 * MS;
    private static final long TICK = 100 * MS;

    /** What viewers heed of a refusal's advice. */
    public enum Heeds {
        MILLIS,
        SECONDS,
        NOTHING,
        DOUBLES
    }

    /** What happens, all of it set before the run. */
    public static final class Script {
        public int brokers = 3;
        public int boxes = 16;
        public int streams = 110;
        public double arrivals = 12;
        public double surge = 1;
        public long surgeFrom;
        public long surgeTo;
        public long length = 60 * S;
        public long longest = 2 * S;
        public double ignore = 0.2; // of the viewers; of the rest a third each heeds one way
        public double lostReplies; // set-ups that run and whose answer is lost
        public double datagramLoss = 0.05;
        public Terms terms; // null: without the part
        public FleetSettings fleet; // null: without the part
        public boolean atOnce; // all brokers are told everything without loss or delay
        public int liar = -1; // a byzantine broker, at full rate
        public long stayLeast = 22 * S; // of viewers, evenly between the one and both
        public long stayMore = 40 * S;
        public int slow; // so many boxes give a third of their links, between these times
        public long slowFrom;
        public long slowTo;
        public boolean namesReachable = true;
        final List<long[]> outages = new ArrayList<>(); // broker, from, to
        final List<long[]> restarts = new ArrayList<>(); // box, at
        long stallAt = -1;
        long stallFor;

        public Script outage(int broker, long from, long to) {
            outages.add(new long[] {broker, from, to});
            return this;
        }

        public Script restart(int box, long at) {
            restarts.add(new long[] {box, at});
            return this;
        }

        /** Broker 0's loop stands still. */
        public Script stall(long at, long micros) {
            stallAt = at;
            stallFor = micros;
            return this;
        }
    }

    private record Event(long at, long serial, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(serial, o.serial);
        }
    }

    private final Script script;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Station> stations = new ArrayList<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<Viewer> viewers = new ArrayList<>();
    private final List<SessionClass> classes = List.of(
            new SessionClass("refresher", Effect.SAFE, 800 * MS, 3 * S, 1, 1, 0, 4, 0),
            new SessionClass("cert-lesson", Effect.AT_MOST_ONCE, S, 4 * S, 3, 1, 1, 4, 0),
            new SessionClass("audio-guide", Effect.SAFE, 1500 * MS, 3 * S, 1, .7, 0, 4, 0));
    private long serials;
    private long names;
    private long now = START;

    // What is measured.
    public final double[] offered; // worth by second
    public final double[] earned;
    public final int[] came; // requests and refusals, by second
    public final int[] refusedIn;
    public final int[] playing; // sessions, by second
    public final double[] fill; // asked of all links over what they give; mean rung
    public final double[] rungs;
    public int tries;
    public int people;
    public int refused;
    public int failed;
    public int served;
    public int lost;
    public int paidTwice;
    public int keptTimes;
    public int earlyTimes;
    public int boxesFallen;
    public int belowFloor;
    public int refusedAfterRun;
    public double coldPeak; // most set-ups within the rule's window at a cold box, over its allowed ones
    public long brokerNanos; // processor's time in the brokers
    public int furtherAttempts; // the last two: first tries within the surge
    public int paidAsked;
    public int paidServed;
    public double shareSumMax;
    public double judged;
    public double judgedAlike;
    public long fleetBytes;
    private final java.util.BitSet calm = new java.util.BitSet(); // by tick: every broker is calm
    public final List<String> stormLog = new ArrayList<>();

    private World(Script script, long seed) {
        this.script = script;
        random = new SplittableRandom(seed);
        int seconds = (int) (script.length / S) + 1;
        offered = new double[seconds];
        earned = new double[seconds];
        came = new int[seconds];
        refusedIn = new int[seconds];
        playing = new int[seconds];
        fill = new double[seconds];
        rungs = new double[seconds];
    }

    public static World run(Script script, long seed) {
        World w = new World(script, seed);
        w.play();
        return w;
    }

    private void at(long when, Runnable what) {
        events.add(new Event(when, serials++, what));
    }

    private void play() {
        for (int i = 0; i < script.boxes; i++) {
            boxes.add(new Box(i));
        }
        for (int i = 0; i < script.brokers; i++) {
            stations.add(new Station(i));
            stations.get(i).start();
        }
        for (long[] o : script.outages) {
            at(START + o[1], () -> stations.get((int) o[0]).die());
            at(START + o[2], () -> stations.get((int) o[0]).start());
        }
        for (long[] r : script.restarts) {
            at(START + r[1], () -> boxes.get((int) r[0]).restart());
        }
        at(START, this::arrive);
        if (script.liar >= 0) {
            ByzantinePeer byzantine = new ByzantinePeer(script.liar, script.brokers, START, script.brokers);
            at(START + 5 * S, () -> lie(byzantine));
        }
        at(START + TICK, this::measure);
        at(START + TELL, this::tell);
        long end = START + script.length;
        while (now < end) {
            Station due = null;
            long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
            for (Station s : stations) {
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
        people = viewers.size();
        for (Station s : stations) {
            fleetBytes += s.node == null ? 0 : s.node.counts().bytes;
        }
        for (Viewer v : viewers) {
            lost += v.name != null
                            && !v.answered
                            && now - v.askedAt > v.patience() + 50 * MS
                            && v.at.alive()
                            && v.at.since <= v.askedAt
                    ? 1
                    : 0;
        }
    }

    private void lie(ByzantinePeer byzantine) {
        at(now + 10 * MS, () -> lie(byzantine));
        for (Station s : stations) {
            byte[] made = byzantine.next(now);
            if (s.me != script.liar && s.node != null) {
                s.node.receive(now, made, s::carry);
            }
        }
    }

    private void timed(Runnable what) {
        long began = System.nanoTime();
        what.run();
        brokerNanos += System.nanoTime() - began;
    }

    // ---- Viewers.

    private void arrive() {
        double t = now - START;
        double rate = script.arrivals * (t >= script.surgeFrom && t < script.surgeTo ? script.surge : 1);
        Viewer v = new Viewer();
        viewers.add(v);
        v.ask(false);
        at(now + (long) (-Math.log(1 - random.nextDouble()) / rate * S), this::arrive);
    }

    final class Viewer {
        final String id = "v" + viewers.size();
        final SessionClass cls = classes.get(random.nextDouble() < .3 ? 0 : random.nextDouble() < .36 ? 1 : 2);
        final int top = random.nextDouble() < .26 ? 2 : 4;
        final long firstTry = now;
        final long until = now + script.stayLeast + random.nextLong(script.stayMore);
        final Heeds heeds = random.nextDouble() < script.ignore
                ? Heeds.NOTHING
                : Heeds.values()[new int[] {0, 1, 3}[random.nextInt(3)]];
        int mine;
        long wait = 500 * MS;
        long askedAt;
        String name;
        Station at;
        Box box;
        int rung;
        boolean answered;
        boolean plays;
        boolean inSurge;

        long patience() {
            return cls.deadline();
        }

        void ask(boolean again) {
            if (now > until - 2 * S) {
                return;
            }
            mine++;
            tries++;
            int sec = (int) ((now - START) / S);
            if (sec < came.length) {
                came[sec]++;
            }
            askedAt = now;
            answered = false;
            Station to = stations.get(random.nextInt(script.brokers));
            if (!to.admitted()) { // the front has noticed: another one
                List<Station> up = stations.stream().filter(Station::admitted).toList();
                to = up.isEmpty() ? to : up.get(random.nextInt(up.size()));
            }
            at = to;
            inSurge = cls.effect() != Effect.SAFE
                    && mine == 1
                    && now - START >= script.surgeFrom
                    && now - START < script.surgeTo;
            paidAsked += inSurge ? 1 : 0;
            name = String.format("%016x", ++names);
            if (!to.alive()) {
                name = null;
                back(740 * MS + random.nextLong(2_160 * MS)); // the connection is refused
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
                        back(740 * MS + random.nextLong(2_160 * MS));
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
            int sec = (int) ((now - START) / S);
            refusedIn[Math.min(sec, refusedIn.length - 1)]++;
            ended();
            long own = 740 * MS + random.nextLong(2_160 * MS);
            if (random.nextDouble() < 0.1) {
                return; // stays away
            }
            long jitter = random.nextLong(30 * MS);
            switch (heeds) {
                case MILLIS -> back(comeBack > 0 ? comeBack + jitter : own);
                case SECONDS -> back(comeBack > 0 ? Math.max(1, Math.round(comeBack / 1e6)) * S + jitter : own);
                case NOTHING -> back(own);
                case DOUBLES -> {
                    back(wait + jitter);
                    wait = Math.min(wait * 2, 8 * S);
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
                back(740 * MS + random.nextLong(2_160 * MS));
            }
        }
    }

    // ---- Boxes.

    final class Box {
        final int number;
        final String id;
        final Map<String, Viewer> load = new LinkedHashMap<>();
        final ArrayDeque<Long> cold = new ArrayDeque<>();
        final Set<String> ran = new HashSet<>();
        long since; // of its start; 0 long ago
        boolean fallen;

        Box(int number) {
            this.number = number;
            id = "box" + number;
        }

        double warmth() {
            return since == 0 || now - since >= 12 * S ? 1 : 0.4 + 0.6 * (now - since) / (12.0 * S);
        }

        boolean slow() {
            long t = now - START;
            return number < script.slow && t >= script.slowFrom && t < script.slowTo;
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
            for (Station s : stations) {
                at(now + 500 * MS + random.nextLong(900 * MS), () -> s.told(this));
            }
        }

        void drop() {
            for (Viewer v : List.copyOf(load.values())) {
                Station s = v.at;
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
                paidTwice++;
            }
            if (warmth() < 1) {
                cold.add(now);
                while (cold.peekFirst() < now - 2 * S) {
                    cold.removeFirst();
                }
                double allowed = script.streams / 12.0 * warmth() * 2;
                coldPeak = Math.max(coldPeak, cold.size() / allowed);
                if (cold.size() > 2.5 * allowed + 1) {
                    fallen = true;
                    boxesFallen++;
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
        for (Box b : boxes) {
            double fill = b.asked() / (LINK * b.gives());
            Set<Station> heard = new HashSet<>();
            for (Viewer v : List.copyOf(b.load.values())) {
                Station s = v.at;
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

    final class Station implements Front, ServerAdapter {
        final int me;
        Broker broker;
        Damper damper;
        GossipNode node;
        AdmissionFilter admission;
        FleetSnapshot snapshot = FleetSnapshot.ALONE;
        final Map<String, Integer> attempts = new HashMap<>();
        String state = "NONE";
        TimerQueue deadlines;
        long since;
        long diedAt = Long.MIN_VALUE;
        long noticed;
        final Map<String, Viewer> asking = new HashMap<>();

        Station(int me) {
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
            long stall = START + script.stallAt;
            return me == 0 && script.stallAt >= 0 && next >= stall && next < stall + script.stallFor
                    ? stall + script.stallFor
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
                    List.of(new ServerKind("std", script.streams)),
                    new Ladder(
                            list(RATES),
                            list(WORTHS),
                            LINK * script.boxes,
                            LINK,
                            LINK * script.boxes,
                            2,
                            3,
                            0,
                            STALL,
                            490 * MS),
                    new Limits(5, false, true, 250 * MS, script.longest, SEE, TELL),
                    new Rules(S, 0.4, 12 * S, 2.5, 2 * S, 0, 0, 0),
                    new Prices(0, 0, 0, 0),
                    List.of(ReportField.LINK));
            long seed = random.nextLong();
            Function<Director.Actions, Director> module = a -> new Choice(s, seed, a);
            Function<Director.Actions, Director> whole = script.terms == null
                    ? module
                    : a -> {
                        Director d = Damper.before(s, script.terms, seed ^ 0x5eed, module)
                                .apply(a);
                        damper = (Damper) d;
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
                    now == START ? ListScope.SNAPSHOT : ListScope.DISK,
                    boxes.stream().map(Box::listed).toList());
            Broker mine = broker;
            if (now > START && script.namesReachable) {
                at(now + 300 * MS + random.nextLong(500 * MS), () -> {
                    if (broker == mine) {
                        broker.serversChanged(
                                now,
                                "names",
                                ListScope.SNAPSHOT,
                                boxes.stream().map(Box::listed).toList());
                    }
                });
            }
        }

        private void beat(GossipNode of) {
            if (node == of) {
                node.tick(now, this::carry);
                snapshot = node.snapshot(now);
                at(Math.min(now + (script.atOnce ? 20 : 100) * MS, node.next(now)), () -> beat(of));
            }
        }

        void carry(int to, byte[] bytes) {
            Station s = stations.get(to);
            if (me == script.liar || !script.atOnce && random.nextDouble() < script.datagramLoss) {
                return;
            }
            at(now + (script.atOnce ? 1 : 1_100 + random.nextLong(34 * MS)), () -> {
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
            noticed = now + 1_200 * MS + random.nextLong(2_200 * MS);
            for (Viewer v : viewers) {
                if (v.at == this && v.name != null) {
                    v.cut();
                }
            }
            asking.clear();
        }

        void told(Box b) {
            if (broker != null) {
                broker.serversChanged(now, "names", ListScope.CHANGES, List.of(b.listed()));
            }
        }

        void ask(Viewer v, boolean again) {
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
            for (Station s : stations) {
                if (s != this && random.nextDouble() >= script.datagramLoss) {
                    at(now + 1_100 + random.nextLong(34 * MS), () -> {
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
            Viewer v = asking.get(name);
            if (v == null || !name.equals(v.name)) {
                broker.answerUndelivered(now, name);
                return;
            }
            v.answered = true;
            v.plays = true;
            paidServed += v.inSurge ? 1 : 0;
            v.box = boxes.get(Integer.parseInt(g.server().substring(3)));
            served++;
        }

        @Override
        public void refused(long connection, String name, long comeBack) {
            Viewer v = asking.remove(name);
            if (v != null && name.equals(v.name)) {
                refusedAfterRun +=
                        v.cls.effect() != Effect.SAFE && boxes.stream().anyMatch(b -> b.ran.contains(name)) ? 1 : 0;
                v.refused(comeBack);
            }
        }

        @Override
        public void failed(long connection, String name, boolean late) {
            Viewer v = asking.remove(name);
            if (v != null && name.equals(v.name)) {
                failed++;
                v.answered = true;
                v.ended();
                if (v.cls.effect() == Effect.SAFE) {
                    v.back(740 * MS + random.nextLong(2_160 * MS));
                }
            }
        }

        @Override
        public void sessionEnded(long connection, String name, Outcome outcome) {
            Viewer v = asking.remove(name);
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
            Box b = boxes.get(Integer.parseInt(server.substring(3)));
            Viewer v = asking.get(s.name());
            Broker mine = broker;
            belowFloor += s.highestRendition() < s.lowestRendition() ? 1 : 0;
            furtherAttempts += attempts.merge(s.name(), 1, Integer::sum) > 1 ? 1 : 0;
            boolean noAnswer = script.lostReplies > 0 && random.nextDouble() < script.lostReplies;
            at(now + 3 * MS, () -> {
                if (b.takes(s.name(), v.cls)) {
                    if (noAnswer) {
                        return; // it ran, and its answer is lost
                    }
                    at(
                            now
                                    + 15 * MS
                                    + random.nextLong(25 * MS)
                                    + (b.slow() ? 300 * MS + random.nextLong(900 * MS) : 0),
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
            Viewer v = asking.get(name);
            if (v != null && name.equals(v.name)) {
                belowFloor += rung < v.cls.floor() ? 1 : 0;
                v.rung = rung;
            }
        }

        @Override
        public void release(String server, String name) {
            boxes.get(Integer.parseInt(server.substring(3))).load.remove(name);
        }

        @Override
        public void cancelSetUp(String server, String name) {}

        @Override
        public void setHasActiveSessions(String server, boolean sessions) {}
    }

    // ---- Measures.

    private void measure() {
        at(now + TICK, this::measure);
        int sec = (int) ((now - START) / S);
        if (sec >= offered.length) {
            return;
        }
        Map<Box, Double> worth = new HashMap<>();
        for (Box b : boxes) {
            double share = b.share();
            worth.put(b, share >= 0.98 ? 1 : Math.max(0, 1 - STALL * (0.98 - share)));
            if (share < 0.98) {
                int n = 0;
                for (Viewer v : b.load.values()) {
                    if (n++ == 0 && v.at.alive()) {
                        String name = v.name;
                        Station s = v.at;
                        at(now + SEE, () -> {
                            if (s.alive() && now / S != (now - TICK) / S) {
                                s.broker.metricReceived(now, b.id, name, Metric.DELIVERED, share);
                            }
                        });
                    }
                }
            }
        }
        playing[sec] = boxes.stream().mapToInt(b -> b.load.size()).sum();
        fill[sec] = boxes.stream().mapToDouble(Box::asked).sum()
                / (LINK * boxes.stream().mapToDouble(Box::warmth).sum());
        rungs[sec] = viewers.stream()
                .filter(v -> v.plays)
                .mapToInt(v -> v.rung)
                .average()
                .orElse(0);
        for (Viewer v : viewers) {
            if (now < v.until) {
                offered[sec] += v.cls.worth() * WORTHS[v.top] * TICK / S;
                earned[sec] += v.plays && v.box != null
                        ? v.cls.worth() * WORTHS[Math.min(v.rung, v.top)] * worth.get(v.box) * TICK / S
                        : 0;
            } else if (v.plays && v.at.alive() && v.box != null) {
                v.at.broker.ended(now, v.box.id, v.name, Outcome.OK, v.box.report());
            }
        }
        shares();
        int uncalm = 0;
        for (Station s : stations) {
            String state = s.damper == null ? "NONE" : s.damper.state();
            if (!state.equals(s.state)) {
                stormLog.add(
                        String.format(java.util.Locale.ROOT, "%.1f broker=%d %s", (now - START) / 1e6, s.me, state));
                s.state = state;
            }
            uncalm += s.damper != null && !s.damper.state().equals("CALM") ? 1 : 0;
        }
        calm.set((int) ((now - START) / TICK), uncalm == 0);
        int before = viewers.size();
        viewers.removeIf(v -> now > v.until + 5 * S && v.name == null);
        gone += before - viewers.size();
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
                S,
                0,
                0,
                3,
                4,
                false,
                false,
                false);
        for (Station s : stations) {
            if (s.node != null && s.me != script.liar) {
                sum += s.node.newSessionShare(now);
                cut |= s.snapshot.sheddingThreshold() > 0;
                under += s.admission.isShed(now, r) ? 1 : 0;
                asked++;
            }
        }
        shareSumMax = Math.max(shareSumMax, sum);
        if (cut && asked > 1) {
            judged += asked;
            judgedAlike += Math.max(under, asked - under);
        }
    }

    private int gone;

    /** People who came at all. */
    public int people() {
        return people + gone;
    }

    /** Seconds from a time until all brokers are calm, for a second at least; -1: never. */
    public double calmAfter(long from) {
        int second = (int) (S / TICK);
        for (int i = (int) (from / TICK); i + second < script.length / TICK; i++) {
            if (calm.nextClearBit(i) >= i + second) {
                return (i * TICK - from) / 1e6;
            }
        }
        return -1;
    }

    /** Worth earned over worth asked for, over a run from one second to another. */
    public double service(int from, int to) {
        double asked = 0;
        double got = 0;
        for (int i = from; i < Math.min(to, offered.length - 1); i++) {
            asked += offered[i];
            got += earned[i];
        }
        return asked == 0 ? 1 : got / asked;
    }

    /** The worst 10 s from one second on. */
    public double worst(int from) {
        double worst = 1;
        for (int i = from; i + 10 <= offered.length - 1; i++) {
            worst = Math.min(worst, service(i, i + 10));
        }
        return worst;
    }

    public List<Damper> dampers() {
        return stations.stream()
                .filter(s -> s.damper != null)
                .map(s -> s.damper)
                .toList();
    }
}
