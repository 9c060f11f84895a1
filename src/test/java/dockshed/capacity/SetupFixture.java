package dockshed.capacity;

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
import dockshed.Director.Request;
import dockshed.Director.Rules;
import dockshed.Director.Server;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.Director.State;
import dockshed.choice.Choice;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The decision module under a steady load, with a given number of edge servers, lessons and playing sessions. Each new
 * session ends the oldest one. Virtual time advances by {@link #SETUP_INTERVAL_US} per set-up, and sweeps run when they are
 * due. Every server holds every lesson, which is the most work for the module.
 */
final class SetupFixture {
    /**
     * The sizes of one measurement.
     *
     * @param servers number of edge servers
     * @param lessons number of lessons
     * @param sessions number of playing sessions
     * @param uplinkReported whether edge servers report the load of their rack's uplink
     */
    record Size(int servers, int lessons, int sessions, boolean uplinkReported) {}

    /** Mean cost of a set-up in one batch on the calling thread: CPU time in nanoseconds, and bytes allocated. */
    record BatchCost(double requestNanos, double playNanos, double endNanos, double allocatedBytes) {
        /** CPU time of a whole set-up: request, start and end of the session. */
        double setupNanos() {
            return requestNanos + playNanos + endNanos;
        }
    }

    /** A second of virtual time, in microseconds. */
    static final long SECOND_US = 1_000_000;
    /** Virtual time from one set-up to the next. */
    static final long SETUP_INTERVAL_US = 10_000;

    /** Set-ups that are timed together, because reading the clock costs a noticeable part of one. */
    static final int SETUPS_PER_BATCH = 20;

    /**
     * A single broker has all of the headroom. One of several would have only its share, and would refuse requests, because
     * they come at a rate here that no broker sees.
     */
    private static final int BROKERS = 1;

    private static final int SERVERS_PER_RACK = 9;
    private static final double LINK_KB_PER_SECOND = 100_000;
    private static final int STREAMS_PER_SERVER = 100;
    private static final double LINK_LOAD_SHARE = 0.5;
    private static final List<Double> RATES_KB_PER_SECOND = List.of(200.0, 340.0, 600.0, 1000.0, 1700.0);
    private static final List<Double> WORTHS = List.of(0.2, 0.42, 0.62, 0.81, 1.0);
    private static final String CLASS = "film";
    private static final long SEED = 42;

    /** A playing session, by the id of its request. */
    private record Playing(String request, String server) {}

    /** Records those actions of the module that a measurement needs. */
    private static final class Recorder implements Director.Actions {
        String sentTo;
        long refused;
        long timerAt = Long.MAX_VALUE;
        String timerKey;

        @Override
        public void send(String request, String server, long timeLimit) {
            sentTo = server;
        }

        @Override
        public void refuse(String request, long retryAfter) {
            refused++;
        }

        @Override
        public void fail(String request) {
            refused++;
        }

        @Override
        public void setRendition(String request, int rendition) {}

        @Override
        public void move(String request) {}

        @Override
        public void probe(String server) {}

        @Override
        public void broadcast(byte[] message) {}

        @Override
        public void scheduleTimer(String key, long at) {
            timerKey = key;
            timerAt = at;
        }
    }

    private final Size size;
    private final Recorder recorder = new Recorder();
    private final Director director;
    private final ThreadCost cost;
    private final ArrayDeque<Playing> playing = new ArrayDeque<>();
    private final List<Double> sweepMicros = new ArrayList<>();
    private long nowMicros = 1000 * SECOND_US;
    private long requests;

    /** Makes a module in which all sessions of the size play. */
    SetupFixture(Size size, ThreadCost cost) {
        this.size = size;
        this.cost = cost;
        director = new Choice(settings(size), SEED, recorder);
        director.serversChanged(nowMicros, ListScope.DISK, servers(size.servers()));
        director.serversChanged(nowMicros, ListScope.CHANGES, List.of());
        for (int session = 0; session < size.sessions(); session++) {
            Request request = nextRequest();
            String server = serverId(session % size.servers());
            director.adoptSession(nowMicros, request, server);
            playing.add(new Playing(request.id(), server));
        }
    }

    private static Settings settings(Size size) {
        int servers = size.servers();
        double links = LINK_KB_PER_SECOND * servers;
        int racks = racks(servers);
        Ladder ladder = new Ladder(
                RATES_KB_PER_SECOND, WORTHS, links, LINK_KB_PER_SECOND, links / racks, racks, racks, 0, 7, 800_000);
        return new Settings(
                0,
                BROKERS,
                "here",
                List.of(new SessionClass(
                        CLASS, Effect.SAFE, SECOND_US, 4 * SECOND_US, 1, 1, 0, RATES_KB_PER_SECOND.size() - 1, 0)),
                List.of(new ServerKind("box", STREAMS_PER_SERVER)),
                ladder,
                new Limits(3, false, false, 250_000, 500_000, 800_000, 3 * SECOND_US),
                new Rules(250_000, 0.4, 12 * SECOND_US, 2, 2 * SECOND_US, 0, 0, 0),
                new Prices(0.04, 0.05, 0, 0),
                size.uplinkReported() ? List.of(ReportField.LINK, ReportField.UPLINK) : List.of(ReportField.LINK));
    }

    private static List<Server> servers(int count) {
        List<Server> servers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            servers.add(new Server(serverId(number), "here", "box", number % racks(count), State.UP, 1, 0));
        }
        return servers;
    }

    private static int racks(int servers) {
        return Math.max(1, servers / SERVERS_PER_RACK);
    }

    private static String serverId(int number) {
        return String.format("s-%08x", number);
    }

    private Request nextRequest() {
        long number = requests++;
        int lesson = (int) (number * 7919 % size.lessons());
        int cells = racks(size.servers());
        return new Request(
                "r" + number,
                CLASS,
                "v" + number,
                "lesson-" + lesson,
                4 * SECOND_US,
                0,
                lesson % cells,
                cells,
                RATES_KB_PER_SECOND.size() - 1,
                false,
                false,
                false);
    }

    /** Requests and starts {@link #SETUPS_PER_BATCH} sessions and ends as many of the oldest. */
    BatchCost batch() {
        Request[] requested = new Request[SETUPS_PER_BATCH];
        String[] sentTo = new String[SETUPS_PER_BATCH];
        for (int setup = 0; setup < SETUPS_PER_BATCH; setup++) {
            requested[setup] = nextRequest();
        }
        long bytes = 0;
        long requestNanos = 0;
        long playNanos = 0;
        long endNanos = 0;

        runDueTimers();
        cost.start();
        for (int setup = 0; setup < SETUPS_PER_BATCH; setup++) {
            recorder.sentTo = null;
            director.request(nowMicros, requested[setup]);
            sentTo[setup] = recorder.sentTo;
        }
        requestNanos += cost.nanos();
        bytes += cost.bytes();

        cost.start();
        for (int setup = 0; setup < SETUPS_PER_BATCH; setup++) {
            if (sentTo[setup] != null) {
                director.sessionStarted(nowMicros, requested[setup].id(), 0, sentTo[setup]);
                director.metricReceived(nowMicros, requested[setup].id(), sentTo[setup], Metric.LINK, LINK_LOAD_SHARE);
                if (size.uplinkReported()) {
                    director.metricReceived(
                            nowMicros, requested[setup].id(), sentTo[setup], Metric.UPLINK, LINK_LOAD_SHARE);
                }
            }
        }
        playNanos += cost.nanos();
        bytes += cost.bytes();

        for (int setup = 0; setup < SETUPS_PER_BATCH; setup++) {
            if (sentTo[setup] != null) {
                playing.add(new Playing(requested[setup].id(), sentTo[setup]));
            }
        }
        nowMicros += SETUPS_PER_BATCH * SETUP_INTERVAL_US;
        List<Playing> ending = new ArrayList<>();
        while (playing.size() > size.sessions()) {
            ending.add(playing.poll());
        }
        cost.start();
        for (Playing oldest : ending) {
            director.outcome(nowMicros, oldest.request(), 0, oldest.server(), Outcome.OK, true, LoadReport.NONE);
        }
        endNanos += cost.nanos();
        bytes += cost.bytes();
        return new BatchCost(
                requestNanos / (double) SETUPS_PER_BATCH,
                playNanos / (double) SETUPS_PER_BATCH,
                endNanos / (double) SETUPS_PER_BATCH,
                bytes / (double) SETUPS_PER_BATCH);
    }

    private void runDueTimers() {
        while (recorder.timerAt <= nowMicros) {
            long at = recorder.timerAt;
            recorder.timerAt = Long.MAX_VALUE;
            cost.start();
            director.timer(at, recorder.timerKey);
            sweepMicros.add(cost.nanos() / 1e3);
        }
    }

    /** CPU time of each sweep since the last call, in microseconds. */
    List<Double> drainSweepMicros() {
        List<Double> drained = List.copyOf(sweepMicros);
        sweepMicros.clear();
        return drained;
    }

    /** The share of requests so far that were refused or failed, 0 to 1. */
    double refusedShare() {
        long answered = requests - size.sessions();
        return answered == 0 ? 0 : recorder.refused / (double) answered;
    }

    /** Number of playing sessions. */
    int playing() {
        return playing.size();
    }
}
