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
 * Simulated viewers, edge servers, name server and network on a virtual clock, around real brokers with the real decision
 * module. The same seed replays the same run. Times are microseconds and rates kB a second unless a comment says otherwise.
 */
public final class BrokerSimulation {
    public static final long MS = 1000; // microseconds in a millisecond
    public static final long SECOND_US = 1_000_000;
    public static final long START_US = 1_000_000 * SECOND_US;
    private static final double[] RATES = {255, 425, 706, 1174, 1951};
    private static final double[] WORTHS = {.17, .41, .62, .81, 1};
    private static final double STALL_PENALTY = 7; // of its worth, per share of a rendition's rate that doesn't arrive
    private static final double LINK_KB_S = 30_000; // of each edge server
    private static final long REPORT_DELAY_US = SECOND_US; // until a measured load reaches the brokers
    private static final long REPORT_INTERVAL_US = 2_750 * MS;
    private static final long TICK_US = 100 * MS; // time between measurements

    /** When a refused viewer returns: after the advised milliseconds or whole seconds, or as it chooses itself. */
    public enum RetryPolicy {
        ADVISED_MILLIS,
        ADVISED_SECONDS,
        IGNORES_ADVICE,
        EXPONENTIAL_BACKOFF
    }

    /** Load and faults of a run, set before it starts; times are from its start. */
    public static final class Scenario {
        public int brokers = 3;
        public int servers = 16;
        public int streamsPerServer = 110;
        public double arrivalsPerSecond = 12;
        public double surgeFactor = 1; // of the arrivals, from surgeFrom to surgeTo
        public long surgeFrom;
        public long surgeTo;
        public long duration = 60 * SECOND_US;
        public long maxReturnDelay = 2 * SECOND_US; // the longest return time that brokers may advise
        public double ignoringShare = 0.2; // of the viewers; a third of the others follows each other retry policy
        public double lostReplyShare; // share of set-ups that run and whose answer is lost
        public double datagramLoss = 0.05; // share of datagrams between brokers
        public Terms terms; // null: without the retry storm filter
        public FleetSettings fleet; // null: without membership and admission control of the fleet
        public boolean instantExchange; // brokers exchange everything without loss or delay
        public int byzantineBroker = -1; // a byzantine peer sends in its place at full rate; -1: none
        public long minStay = 22 * SECOND_US; // of viewers: evenly from minStay to minStay + extraStay
        public long extraStay = 40 * SECOND_US;
        public int slowServers; // deliver a third of their link, from slowFrom to slowTo
        public long slowFrom;
        public long slowTo;
        public boolean nameServerReachable = true;
        final List<long[]> outages = new ArrayList<>(); // broker, from, to
        final List<long[]> restarts = new ArrayList<>(); // edge server, time
        long stallAt = -1; // -1: no stall
        long stallDuration;

        /** Kills a broker and starts it again. */
        public Scenario outage(int broker, long from, long to) {
            outages.add(new long[] {broker, from, to});
            return this;
        }

        /** Restarts an edge server, which is cold from then on. */
        public Scenario restart(int server, long at) {
            restarts.add(new long[] {server, at});
            return this;
        }

        /** Stops the event loop of broker 0 for a time. */
        public Scenario stall(long at, long duration) {
            stallAt = at;
            stallDuration = duration;
            return this;
        }
    }

    private record Event(long at, long serial, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<BrokerNode> nodes = new ArrayList<>();
    private final List<EdgeServer> servers = new ArrayList<>();
    private final List<Viewer> viewers = new ArrayList<>();
    private final List<SessionClass> classes = List.of(
            new SessionClass("refresher", Effect.SAFE, 800 * MS, 3 * SECOND_US, 1, 1, 0, 4, 0),
            new SessionClass("cert-lesson", Effect.AT_MOST_ONCE, SECOND_US, 4 * SECOND_US, 3, 1, 1, 4, 0),
            new SessionClass("audio-guide", Effect.SAFE, 1500 * MS, 3 * SECOND_US, 1, .7, 0, 4, 0));
    private long eventSerial;
    private long lastRequestId;
    private long now = START_US;

    // Results; arrays hold a value per second of the run.
    public final double[] offeredBySecond; // worth of the sessions that viewers want
    public final double[] earnedBySecond; // worth of the sessions that play, less the stall penalty
    public final int[] requestsBySecond;
    public final int[] refusalsBySecond;
    public final int[] sessionsBySecond;
    public final double[] linkLoadBySecond; // demand on all links over their capacity
    public final double[] meanRenditionBySecond;
    public int requests;
    public int viewerCount;
    public int refused;
    public int failed;
    public int served;
    public int unanswered; // requests, at brokers that were up all the time
    public int duplicatePaidSetUps; // paid set-ups that ran a second time
    public int returnsOnTime;
    public int returnsEarly;
    public int crashedServers; // cold edge servers that got more set-ups than they bear
    public int renditionsBelowLowest; // set-ups and changes of rendition under the lowest one of the class
    public int paidRefusedAfterRun; // paid requests refused although a set-up ran
    public double coldPeakRatio; // most set-ups in an overload window at a cold server, over those that it accepts
    public long brokerTimeNanos; // wall-clock time spent in calls of the brokers
    public int brokerRetries; // attempts after the first of a request
    public int paidRequests; // first requests of the paid class within the surge
    public int paidServed; // of paidRequests
    public double maxShareSum; // of the brokers' shares of new sessions at a time
    public double shedDecisions; // whether to shed a sample request, of all brokers
    public double agreeingShedDecisions; // of shedDecisions, those like the majority's
    public long fleetBytes; // of datagrams between the fleet's members
    private final java.util.BitSet calmTicks = new java.util.BitSet(); // by number of the tick: all brokers were calm
    public final List<String> stormLog = new ArrayList<>(); // lines such as "36.1 broker=0 RISING"

    private BrokerSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        int seconds = (int) (scenario.duration / SECOND_US) + 1;
        offeredBySecond = new double[seconds];
        earnedBySecond = new double[seconds];
        requestsBySecond = new int[seconds];
        refusalsBySecond = new int[seconds];
        sessionsBySecond = new int[seconds];
        linkLoadBySecond = new double[seconds];
        meanRenditionBySecond = new double[seconds];
    }

    /** Runs a scenario to its end and returns the results. */
    public static BrokerSimulation run(Scenario scenario, long seed) {
        BrokerSimulation simulation = new BrokerSimulation(scenario, seed);
        simulation.runScenario();
        return simulation;
    }

    private void schedule(long at, Runnable action) {
        events.add(new Event(at, eventSerial++, action));
    }

    private void runScenario() {
        for (int i = 0; i < scenario.servers; i++) {
            servers.add(new EdgeServer(i));
        }
        for (int i = 0; i < scenario.brokers; i++) {
            nodes.add(new BrokerNode(i));
            nodes.get(i).start();
        }
        for (long[] outage : scenario.outages) {
            schedule(START_US + outage[1], () -> nodes.get((int) outage[0]).kill());
            schedule(START_US + outage[2], () -> nodes.get((int) outage[0]).start());
        }
        for (long[] restart : scenario.restarts) {
            schedule(START_US + restart[1], () -> servers.get((int) restart[0]).restart());
        }
        schedule(START_US, this::addViewer);
        if (scenario.byzantineBroker >= 0) {
            ByzantinePeer byzantine =
                    new ByzantinePeer(scenario.byzantineBroker, scenario.brokers, START_US, scenario.brokers);
            schedule(START_US + 5 * SECOND_US, () -> sendByzantineDatagrams(byzantine));
        }
        schedule(START_US + TICK_US, this::measure);
        schedule(START_US + REPORT_INTERVAL_US, this::reportLoads);
        long end = START_US + scenario.duration;
        while (now < end) {
            BrokerNode due = null;
            long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
            for (BrokerNode node : nodes) {
                if (node.broker != null && node.nextDue() < next) {
                    next = node.nextDue();
                    due = node;
                }
            }
            now = Math.max(now, Math.min(next, end));
            if (next >= end) {
                break;
            }
            if (due != null) {
                Broker broker = due.broker;
                runTimed(() -> broker.runDueTimers(now));
            } else {
                events.poll().action.run();
            }
        }
        viewerCount = viewers.size();
        for (BrokerNode node : nodes) {
            fleetBytes += node.gossipNode == null ? 0 : node.gossipNode.counts().bytes;
        }
        for (Viewer viewer : viewers) {
            unanswered += viewer.requestId != null
                            && !viewer.answered
                            && now - viewer.requestedAt > viewer.clientDeadline() + 50 * MS
                            && viewer.node.isUp()
                            && viewer.node.startedAt <= viewer.requestedAt
                    ? 1
                    : 0;
        }
    }

    private void sendByzantineDatagrams(ByzantinePeer peer) {
        schedule(now + 10 * MS, () -> sendByzantineDatagrams(peer));
        for (BrokerNode node : nodes) {
            byte[] datagram = peer.nextDatagram(now);
            if (node.number != scenario.byzantineBroker && node.gossipNode != null) {
                node.gossipNode.receive(now, datagram, node::sendToPeer);
            }
        }
    }

    private void runTimed(Runnable action) {
        long startedAt = System.nanoTime();
        action.run();
        brokerTimeNanos += System.nanoTime() - startedAt;
    }

    // ---- Viewers.
    private void addViewer() {
        double elapsed = now - START_US;
        double rate = scenario.arrivalsPerSecond
                * (elapsed >= scenario.surgeFrom && elapsed < scenario.surgeTo ? scenario.surgeFactor : 1);
        Viewer viewer = new Viewer();
        viewers.add(viewer);
        viewer.sendRequest(false);
        schedule(now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND_US), this::addViewer);
    }

    /** A viewer who wants one session and requests it again until it plays or the viewer's time is over. */
    final class Viewer {
        final String id = "v" + viewers.size();
        final SessionClass sessionClass = classes.get(random.nextDouble() < .3 ? 0 : random.nextDouble() < .36 ? 1 : 2);
        final int highestRendition = random.nextDouble() < .26 ? 2 : 4;
        final long firstRequestAt = now;
        final long leavesAt = now + scenario.minStay + random.nextLong(scenario.extraStay);
        final RetryPolicy retryPolicy = random.nextDouble() < scenario.ignoringShare
                ? RetryPolicy.IGNORES_ADVICE
                : RetryPolicy.values()[new int[] {0, 1, 3}[random.nextInt(3)]];
        int requestsSent;
        long backoff = 500 * MS;
        long requestedAt;
        String requestId;
        BrokerNode node;
        EdgeServer server;
        int rendition;
        boolean answered;
        boolean playing;
        boolean inSurge;

        long clientDeadline() {
            return sessionClass.deadline();
        }

        void sendRequest(boolean isRetry) {
            if (now > leavesAt - 2 * SECOND_US) {
                return;
            }
            requestsSent++;
            requests++;
            int second = (int) ((now - START_US) / SECOND_US);
            if (second < requestsBySecond.length) {
                requestsBySecond[second]++;
            }
            requestedAt = now;
            answered = false;
            BrokerNode target = nodes.get(random.nextInt(scenario.brokers));
            if (!target.receivesViewers()) { // the failure has been noticed
                List<BrokerNode> alive =
                        nodes.stream().filter(BrokerNode::receivesViewers).toList();
                target = alive.isEmpty() ? target : alive.get(random.nextInt(alive.size()));
            }
            node = target;
            inSurge = sessionClass.effect() != Effect.SAFE
                    && requestsSent == 1
                    && now - START_US >= scenario.surgeFrom
                    && now - START_US < scenario.surgeTo;
            paidRequests += inSurge ? 1 : 0;
            requestId = String.format("%016x", ++lastRequestId);
            if (!target.isUp()) {
                requestId = null;
                retryAfter(740 * MS + random.nextLong(2_160 * MS)); // the connection is refused
                return;
            }
            String sentId = requestId;
            runTimed(() -> node.acceptRequest(this, isRetry));
            schedule(now + clientDeadline(), () -> {
                if (!answered && sentId.equals(requestId)) {
                    if (node.isUp()) {
                        node.broker.cancel(now, sentId);
                    }
                    forgetRequest();
                    if (sessionClass.effect() == Effect.SAFE) {
                        retryAfter(740 * MS + random.nextLong(2_160 * MS));
                    }
                }
            });
        }

        void retryAfter(long delay) {
            schedule(now + delay, () -> sendRequest(true));
        }

        void refused(long advised) {
            answered = true;
            refused++;
            int second = (int) ((now - START_US) / SECOND_US);
            refusalsBySecond[Math.min(second, refusalsBySecond.length - 1)]++;
            forgetRequest();
            long ownDelay = 740 * MS + random.nextLong(2_160 * MS);
            if (random.nextDouble() < 0.1) {
                return; // the viewer leaves
            }
            long jitter = random.nextLong(30 * MS);
            switch (retryPolicy) {
                case ADVISED_MILLIS -> retryAfter(advised > 0 ? advised + jitter : ownDelay);
                case ADVISED_SECONDS ->
                    retryAfter(advised > 0 ? Math.max(1, Math.round(advised / 1e6)) * SECOND_US + jitter : ownDelay);
                case IGNORES_ADVICE -> retryAfter(ownDelay);
                case EXPONENTIAL_BACKOFF -> {
                    retryAfter(backoff + jitter);
                    backoff = Math.min(backoff * 2, 8 * SECOND_US);
                }
            }
        }

        /** Ends the session or request on the viewer's side. */
        void forgetRequest() {
            if (server != null) {
                server.sessions.remove(requestId);
            }
            playing = false;
            server = null;
            requestId = null;
        }

        /** The session or request was lost with its broker or edge server. */
        void connectionLost() {
            boolean mayHaveRun = !answered && sessionClass.effect() != Effect.SAFE;
            forgetRequest();
            answered = true;
            if (!mayHaveRun && random.nextDouble() < .9) {
                retryAfter(740 * MS + random.nextLong(2_160 * MS));
            }
        }
    }

    // ---- Edge servers.

    /** An edge server, which is cold after a start and crashes under too many set-ups. */
    final class EdgeServer {
        final int index;
        final String id;
        final Map<String, Viewer> sessions = new LinkedHashMap<>();
        final ArrayDeque<Long> recentSetUps = new ArrayDeque<>();
        final Set<String> executedSetUps = new HashSet<>();
        long startedAt; // 0: long ago
        boolean crashed;

        EdgeServer(int index) {
            this.index = index;
            id = "box" + index;
        }

        double warmth() {
            return startedAt == 0 || now - startedAt >= 12 * SECOND_US
                    ? 1
                    : 0.4 + 0.6 * (now - startedAt) / (12.0 * SECOND_US);
        }

        boolean isSlow() {
            long elapsed = now - START_US;
            return index < scenario.slowServers && elapsed >= scenario.slowFrom && elapsed < scenario.slowTo;
        }

        /** Share of its link that it delivers. */
        double capacityShare() {
            return warmth() * (isSlow() ? 1 / 3.0 : 1);
        }

        double demandKb() {
            return sessions.values().stream()
                    .mapToDouble(viewer -> RATES[viewer.rendition] * viewer.sessionClass.rateScale())
                    .sum();
        }

        double deliveredShare() {
            double capacity = LINK_KB_S * capacityShare();
            return Math.min(1, capacity / Math.max(1, demandKb()));
        }

        void restart() {
            resetSessions();
            startedAt = now;
            recentSetUps.clear();
            for (BrokerNode node : nodes) {
                schedule(now + 500 * MS + random.nextLong(900 * MS), () -> node.sendListChange(this));
            }
        }

        void resetSessions() {
            for (Viewer viewer : List.copyOf(sessions.values())) {
                BrokerNode node = viewer.node;
                String requestId = viewer.requestId;
                if (node.isUp()) {
                    node.broker.ended(now, id, requestId, Outcome.RESET, LoadReport.NONE);
                }
            }
            sessions.clear();
        }

        /** Receives a set-up; returns whether it runs. */
        boolean acceptSetUp(String requestId, SessionClass sessionClass) {
            if (crashed) {
                return false;
            }
            if (!executedSetUps.add(requestId) && sessionClass.effect() != Effect.SAFE) {
                duplicatePaidSetUps++;
            }
            if (warmth() < 1) {
                recentSetUps.add(now);
                while (recentSetUps.peekFirst() < now - 2 * SECOND_US) {
                    recentSetUps.removeFirst();
                }
                double allowed = scenario.streamsPerServer / 12.0 * warmth() * 2;
                coldPeakRatio = Math.max(coldPeakRatio, recentSetUps.size() / allowed);
                if (recentSetUps.size() > 2.5 * allowed + 1) {
                    crashed = true;
                    crashedServers++;
                    resetSessions();
                    return false;
                }
            }
            return true;
        }

        Server listEntry() {
            return new Server(id, "east", "std", index, crashed ? State.GONE : State.UP, 1, startedAt);
        }

        LoadReport loadReport() {
            return new LoadReport(List.of(demandKb() / (LINK_KB_S * capacityShare())));
        }
    }

    private void reportLoads() {
        schedule(now + REPORT_INTERVAL_US, this::reportLoads);
        for (EdgeServer server : servers) {
            double linkLoad = server.demandKb() / (LINK_KB_S * server.capacityShare());
            Set<BrokerNode> reported = new HashSet<>();
            for (Viewer viewer : List.copyOf(server.sessions.values())) {
                BrokerNode node = viewer.node;
                String requestId = viewer.requestId;
                if (reported.add(node)) {
                    schedule(now + REPORT_DELAY_US, () -> {
                        if (node.isUp()) {
                            runTimed(
                                    () -> node.broker.metricReceived(now, server.id, requestId, Metric.LINK, linkLoad));
                        }
                    });
                }
            }
        }
    }

    // ---- Brokers.

    /** A broker and its surroundings: its front and its connections to the edge servers. */
    final class BrokerNode implements Front, ServerAdapter {
        final int number;
        Broker broker;
        RetryStormFilter filter;
        GossipNode gossipNode;
        AdmissionFilter admissionFilter;
        FleetSnapshot snapshot = FleetSnapshot.ALONE;
        final Map<String, Integer> attemptsByRequest = new HashMap<>();
        String loggedState = "NONE";
        TimerQueue timers;
        long startedAt;
        long killedAt = Long.MIN_VALUE;
        long failureNoticedAt;
        final Map<String, Viewer> viewersByRequest = new HashMap<>();

        BrokerNode(int number) {
            this.number = number;
        }

        boolean isUp() {
            return broker != null;
        }

        /** Whether viewers still send requests here: they notice late that a broker was killed. */
        boolean receivesViewers() {
            return broker != null || now < failureNoticedAt;
        }

        /** Time at which the broker's next timer is due; during a stall, its end. */
        long nextDue() {
            long due = timers.nextDue();
            long stallAt = START_US + scenario.stallAt;
            return number == 0 && scenario.stallAt >= 0 && due >= stallAt && due < stallAt + scenario.stallDuration
                    ? stallAt + scenario.stallDuration
                    : due;
        }

        void start() {
            startedAt = now;
            timers = new TimerQueue(at -> {});
            Settings settings = new Settings(
                    number,
                    scenario.brokers,
                    "east",
                    classes,
                    List.of(new ServerKind("std", scenario.streamsPerServer)),
                    new Ladder(
                            toList(RATES),
                            toList(WORTHS),
                            LINK_KB_S * scenario.servers,
                            LINK_KB_S,
                            LINK_KB_S * scenario.servers,
                            2,
                            3,
                            0,
                            STALL_PENALTY,
                            490 * MS),
                    new Limits(5, false, true, 250 * MS, scenario.maxReturnDelay, REPORT_DELAY_US, REPORT_INTERVAL_US),
                    new Rules(SECOND_US, 0.4, 12 * SECOND_US, 2.5, 2 * SECOND_US, 0, 0, 0),
                    new Prices(0, 0, 0, 0),
                    List.of(ReportField.LINK));
            long seed = random.nextLong();
            Function<Director.Actions, Director> module = actions -> new Choice(settings, seed, actions);
            Function<Director.Actions, Director> withFilter = scenario.terms == null
                    ? module
                    : actions -> {
                        Director director = RetryStormFilter.before(settings, scenario.terms, seed ^ 0x5eed, module)
                                .apply(actions);
                        filter = (RetryStormFilter) director;
                        return director;
                    };
            if (scenario.fleet != null) {
                gossipNode = new GossipNode(scenario.fleet, number, scenario.brokers, now / 1000, now, seed ^ 0xf1ee7);
                snapshot = FleetSnapshot.ALONE;
                broker = new Broker(
                        settings,
                        actions -> {
                            admissionFilter = AdmissionFilter.before(
                                            settings,
                                            () -> snapshot,
                                            message -> {
                                                gossipNode.handle(now, message, this::sendToPeer);
                                                return true;
                                            },
                                            withFilter)
                                    .apply(actions);
                            return admissionFilter;
                        },
                        this::broadcast,
                        timers);
                gossip(gossipNode);
            } else {
                broker = new Broker(settings, withFilter, this::broadcast, timers);
            }
            broker.serversChanged(
                    now,
                    "names",
                    now == START_US ? ListScope.SNAPSHOT : ListScope.DISK,
                    servers.stream().map(EdgeServer::listEntry).toList());
            Broker started = broker;
            if (now > START_US && scenario.nameServerReachable) {
                schedule(now + 300 * MS + random.nextLong(500 * MS), () -> {
                    if (broker == started) {
                        broker.serversChanged(
                                now,
                                "names",
                                ListScope.SNAPSHOT,
                                servers.stream().map(EdgeServer::listEntry).toList());
                    }
                });
            }
        }

        private void gossip(GossipNode startedNode) {
            if (gossipNode == startedNode) {
                gossipNode.tick(now, this::sendToPeer);
                snapshot = gossipNode.snapshot(now);
                schedule(
                        Math.min(now + (scenario.instantExchange ? 20 : 100) * MS, gossipNode.nextTickAt(now)),
                        () -> gossip(startedNode));
            }
        }

        void sendToPeer(int to, byte[] bytes) {
            BrokerNode peer = nodes.get(to);
            if (number == scenario.byzantineBroker
                    || !scenario.instantExchange && random.nextDouble() < scenario.datagramLoss) {
                return;
            }
            schedule(now + (scenario.instantExchange ? 1 : 1_100 + random.nextLong(34 * MS)), () -> {
                if (peer.gossipNode != null) {
                    peer.gossipNode.receive(now, bytes, peer::sendToPeer);
                }
            });
        }

        private List<Double> toList(double[] values) {
            List<Double> list = new ArrayList<>();
            for (double value : values) {
                list.add(value);
            }
            return list;
        }

        void kill() {
            broker = null;
            filter = null;
            fleetBytes += gossipNode == null ? 0 : gossipNode.counts().bytes;
            gossipNode = null;
            admissionFilter = null;
            killedAt = now;
            failureNoticedAt = now + 1_200 * MS + random.nextLong(2_200 * MS);
            for (Viewer viewer : viewers) {
                if (viewer.node == this && viewer.requestId != null) {
                    viewer.connectionLost();
                }
            }
            viewersByRequest.clear();
        }

        void sendListChange(EdgeServer server) {
            if (broker != null) {
                broker.serversChanged(now, "names", ListScope.CHANGES, List.of(server.listEntry()));
            }
        }

        void acceptRequest(Viewer viewer, boolean isRetry) {
            viewersByRequest.put(viewer.requestId, viewer);
            long connection = broker.connected(now, this, handle -> {});
            if (!broker.request(
                    now,
                    connection,
                    this,
                    this,
                    new SessionRequest(
                            viewer.requestId,
                            viewer.sessionClass.name(),
                            viewer.id,
                            "lesson",
                            viewer.clientDeadline(),
                            (long) ((viewer.leavesAt - now) * (.8 + .4 * random.nextDouble())),
                            0,
                            3,
                            viewer.highestRendition,
                            isRetry,
                            false,
                            isRetry,
                            "sdp\n"))) {
                throw new IllegalStateException("broker rejected a viewer's request as malformed");
            }
        }

        private void broadcast(byte[] bytes) {
            if (bytes.length > 256) {
                throw new IllegalStateException("datagram between brokers exceeds 256 bytes");
            }
            for (BrokerNode peer : nodes) {
                if (peer != this && random.nextDouble() >= scenario.datagramLoss) {
                    schedule(now + 1_100 + random.nextLong(34 * MS), () -> {
                        if (peer.broker != null) {
                            peer.broker.peerMessageReceived(now, number, bytes);
                        }
                    });
                }
            }
        }

        // From the broker to its viewers.
        @Override
        public void served(long connection, String requestId, Grant grant) {
            Viewer viewer = viewersByRequest.get(requestId);
            if (viewer == null || !requestId.equals(viewer.requestId)) {
                broker.answerUndelivered(now, requestId);
                return;
            }
            viewer.answered = true;
            viewer.playing = true;
            paidServed += viewer.inSurge ? 1 : 0;
            viewer.server = servers.get(Integer.parseInt(grant.server().substring(3)));
            served++;
        }

        @Override
        public void refused(long connection, String requestId, long retryAfter) {
            Viewer viewer = viewersByRequest.remove(requestId);
            if (viewer != null && requestId.equals(viewer.requestId)) {
                paidRefusedAfterRun += viewer.sessionClass.effect() != Effect.SAFE
                                && servers.stream().anyMatch(server -> server.executedSetUps.contains(requestId))
                        ? 1
                        : 0;
                viewer.refused(retryAfter);
            }
        }

        @Override
        public void failed(long connection, String requestId, boolean late) {
            Viewer viewer = viewersByRequest.remove(requestId);
            if (viewer != null && requestId.equals(viewer.requestId)) {
                failed++;
                viewer.answered = true;
                viewer.forgetRequest();
                if (viewer.sessionClass.effect() == Effect.SAFE) {
                    viewer.retryAfter(740 * MS + random.nextLong(2_160 * MS));
                }
            }
        }

        @Override
        public void sessionEnded(long connection, String requestId, Outcome outcome) {
            Viewer viewer = viewersByRequest.remove(requestId);
            if (viewer != null && requestId.equals(viewer.requestId) && outcome != Outcome.OK) {
                viewer.connectionLost();
            } else if (viewer != null && requestId.equals(viewer.requestId)) {
                viewer.forgetRequest();
            }
        }

        @Override
        public void moved(long connection, String requestId) {
            sessionEnded(connection, requestId, Outcome.RESET);
        }

        @Override
        public boolean needsConnection() {
            return false;
        }

        // From the broker to the edge servers, over a network.
        @Override
        public void setUp(String serverId, SetUp setUp) {
            EdgeServer server = servers.get(Integer.parseInt(serverId.substring(3)));
            Viewer viewer = viewersByRequest.get(setUp.name());
            Broker sender = broker;
            renditionsBelowLowest += setUp.highestRendition() < setUp.lowestRendition() ? 1 : 0;
            brokerRetries += attemptsByRequest.merge(setUp.name(), 1, Integer::sum) > 1 ? 1 : 0;
            boolean noAnswer = scenario.lostReplyShare > 0 && random.nextDouble() < scenario.lostReplyShare;
            schedule(now + 3 * MS, () -> {
                if (server.acceptSetUp(setUp.name(), viewer.sessionClass)) {
                    if (noAnswer) {
                        return; // the set-up ran, its answer is lost
                    }
                    schedule(
                            now
                                    + 15 * MS
                                    + random.nextLong(25 * MS)
                                    + (server.isSlow() ? 300 * MS + random.nextLong(900 * MS) : 0),
                            () -> {
                                if (broker == sender
                                        && !server.crashed
                                        && viewer.requestId != null
                                        && viewer.requestId.equals(setUp.name())) {
                                    viewer.rendition = setUp.highestRendition();
                                    runTimed(() -> sender.setUpAnswered(now, serverId, setUp.name(), "sdp\n"));
                                    if (setUp.name().equals(viewer.requestId) && viewer.playing) {
                                        server.sessions.put(setUp.name(), viewer);
                                        broker.metricReceived(
                                                now,
                                                serverId,
                                                setUp.name(),
                                                Metric.LINK,
                                                server.demandKb() / (LINK_KB_S * server.capacityShare()));
                                    }
                                }
                            });
                } else if (broker == sender) {
                    broker.ended(now, serverId, setUp.name(), Outcome.CONNECT_FAILED, LoadReport.NONE);
                }
            });
        }

        @Override
        public void setRendition(String serverId, String requestId, int rendition) {
            Viewer viewer = viewersByRequest.get(requestId);
            if (viewer != null && requestId.equals(viewer.requestId)) {
                renditionsBelowLowest += rendition < viewer.sessionClass.lowestRendition() ? 1 : 0;
                viewer.rendition = rendition;
            }
        }

        @Override
        public void release(String serverId, String requestId) {
            servers.get(Integer.parseInt(serverId.substring(3))).sessions.remove(requestId);
        }

        @Override
        public void cancelSetUp(String serverId, String requestId) {}

        @Override
        public void setHasActiveSessions(String serverId, boolean active) {}
    }

    // ---- Measurements.

    private void measure() {
        schedule(now + TICK_US, this::measure);
        int second = (int) ((now - START_US) / SECOND_US);
        if (second >= offeredBySecond.length) {
            return;
        }
        Map<EdgeServer, Double> deliveredWorth = new HashMap<>();
        for (EdgeServer server : servers) {
            double share = server.deliveredShare();
            deliveredWorth.put(server, share >= 0.98 ? 1 : Math.max(0, 1 - STALL_PENALTY * (0.98 - share)));
            if (share < 0.98) {
                int count = 0;
                for (Viewer viewer : server.sessions.values()) {
                    if (count++ == 0 && viewer.node.isUp()) {
                        String requestId = viewer.requestId;
                        BrokerNode node = viewer.node;
                        schedule(now + REPORT_DELAY_US, () -> {
                            if (node.isUp() && now / SECOND_US != (now - TICK_US) / SECOND_US) {
                                node.broker.metricReceived(now, server.id, requestId, Metric.DELIVERED, share);
                            }
                        });
                    }
                }
            }
        }
        sessionsBySecond[second] =
                servers.stream().mapToInt(server -> server.sessions.size()).sum();
        linkLoadBySecond[second] = servers.stream()
                        .mapToDouble(EdgeServer::demandKb)
                        .sum()
                / (LINK_KB_S * servers.stream().mapToDouble(EdgeServer::warmth).sum());
        meanRenditionBySecond[second] = viewers.stream()
                .filter(viewer -> viewer.playing)
                .mapToInt(viewer -> viewer.rendition)
                .average()
                .orElse(0);
        for (Viewer viewer : viewers) {
            if (now < viewer.leavesAt) {
                offeredBySecond[second] +=
                        viewer.sessionClass.worth() * WORTHS[viewer.highestRendition] * TICK_US / SECOND_US;
                earnedBySecond[second] += viewer.playing && viewer.server != null
                        ? viewer.sessionClass.worth()
                                * WORTHS[Math.min(viewer.rendition, viewer.highestRendition)]
                                * deliveredWorth.get(viewer.server)
                                * TICK_US
                                / SECOND_US
                        : 0;
            } else if (viewer.playing && viewer.node.isUp() && viewer.server != null) {
                viewer.node.broker.ended(
                        now, viewer.server.id, viewer.requestId, Outcome.OK, viewer.server.loadReport());
            }
        }
        measureShares();
        int notCalm = 0;
        for (BrokerNode node : nodes) {
            String state = node.filter == null ? "NONE" : node.filter.state();
            if (!state.equals(node.loggedState)) {
                stormLog.add(String.format(
                        java.util.Locale.ROOT, "%.1f broker=%d %s", (now - START_US) / 1e6, node.number, state));
                node.loggedState = state;
            }
            notCalm += node.filter != null && !node.filter.state().equals("CALM") ? 1 : 0;
        }
        calmTicks.set((int) ((now - START_US) / TICK_US), notCalm == 0);
        int before = viewers.size();
        viewers.removeIf(viewer -> now > viewer.leavesAt + 5 * SECOND_US && viewer.requestId == null);
        departedViewers += before - viewers.size();
    }

    /** Measures the sum of the brokers' shares, and whether all brokers shed or admit the same sample request. */
    private void measureShares() {
        double shareSum = 0;
        int shedding = 0;
        int decisions = 0;
        boolean anyShedding = false;
        Director.Request request = new Director.Request(
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
        for (BrokerNode node : nodes) {
            if (node.gossipNode != null && node.number != scenario.byzantineBroker) {
                shareSum += node.gossipNode.newSessionShare(now);
                anyShedding |= node.snapshot.sheddingThreshold() > 0;
                shedding += node.admissionFilter.isShed(now, request) ? 1 : 0;
                decisions++;
            }
        }
        maxShareSum = Math.max(maxShareSum, shareSum);
        if (anyShedding && decisions > 1) {
            shedDecisions += decisions;
            agreeingShedDecisions += Math.max(shedding, decisions - shedding);
        }
    }

    private int departedViewers;

    /** Viewers that arrived, including those that have left. */
    public int viewerCount() {
        return viewerCount + departedViewers;
    }

    /** Seconds from a time until all brokers are calm for at least a second; -1 if they never are. */
    public double secondsUntilCalm(long from) {
        int ticksPerSecond = (int) (SECOND_US / TICK_US);
        for (int tick = (int) (from / TICK_US); tick + ticksPerSecond < scenario.duration / TICK_US; tick++) {
            if (calmTicks.nextClearBit(tick) >= tick + ticksPerSecond) {
                return (tick * TICK_US - from) / 1e6;
            }
        }
        return -1;
    }

    /** Worth earned over worth offered, from one second of the run to another (exclusive). */
    public double serviceRatio(int from, int to) {
        double offered = 0;
        double earned = 0;
        for (int second = from; second < Math.min(to, offeredBySecond.length - 1); second++) {
            offered += offeredBySecond[second];
            earned += earnedBySecond[second];
        }
        return offered == 0 ? 1 : earned / offered;
    }

    /** The lowest service ratio of any 10 s from a second of the run on. */
    public double worstTenSeconds(int from) {
        double worst = 1;
        for (int second = from; second + 10 <= offeredBySecond.length - 1; second++) {
            worst = Math.min(worst, serviceRatio(second, second + 10));
        }
        return worst;
    }

    /** Filters of the brokers that are up. */
    public List<RetryStormFilter> stormFilters() {
        return nodes.stream()
                .filter(node -> node.filter != null)
                .map(node -> node.filter)
                .toList();
    }
}
