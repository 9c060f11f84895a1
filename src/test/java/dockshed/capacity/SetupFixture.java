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
 * The decision module with a steady load: so many edge servers, lessons and playing sessions. Each set-up that is
 * begun ends the oldest session, virtual time goes on by {@link #BETWEEN_SET_UPS}, and sweeps run when they are due. Each
 * lesson is held by every server, the most that can be asked of the module; a rack has {@link #SERVERS_OF_A_RACK}.
 */
final class SetupFixture {
    /** Sizes of one measurement; {@code uplinkTold}: edge servers report how full their rack's uplink is. */
    record Size(int servers, int lessons, int sessions, boolean uplinkTold) {}

    /** What one batch of set-ups cost on the calling thread. */
    record BatchCost(double requestNanos, double playNanos, double endNanos, double allocatedBytes) {
        double setupNanos() {
            return requestNanos + playNanos + endNanos;
        }
    }

    static final long SECOND = 1_000_000;
    /** Microseconds of virtual time from one set-up to the next. */
    static final long BETWEEN_SET_UPS = 10_000;

    /** Set-ups that are timed together, as a clock read costs as much as a part of one. */
    static final int BATCH = 20;

    /** One broker alone has all of the headroom: with many, its part is refused at rates that no broker sees. */
    private static final int BROKERS = 1;

    private static final int SERVERS_OF_A_RACK = 9;
    private static final double LINK_KB = 100_000;
    private static final int STREAMS = 100;
    private static final double LINK_USED = 0.5;
    private static final List<Double> RATES = List.of(200.0, 340.0, 600.0, 1000.0, 1700.0);
    private static final List<Double> WORTHS = List.of(0.2, 0.42, 0.62, 0.81, 1.0);
    private static final String CLASS = "film";
    private static final long SEED = 42;

    private record Playing(String request, String server) {}

    /** Keeps what a measurement needs of the module's actions. */
    private static final class Recorder implements Director.Actions {
        String sentTo;
        long refused;
        long timerAt = Long.MAX_VALUE;
        String timerKey;

        @Override
        public void send(String request, String server, long allow) {
            sentTo = server;
        }

        @Override
        public void refuse(String request, long comeBack) {
            refused++;
        }

        @Override
        public void fail(String request) {
            refused++;
        }

        @Override
        public void setRendition(String request, int rung) {}

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
    private long now = 1000 * SECOND;
    private long requests;

    SetupFixture(Size size, ThreadCost cost) {
        this.size = size;
        this.cost = cost;
        director = new Choice(settings(size), SEED, recorder);
        director.serversChanged(now, ListScope.DISK, servers(size.servers()));
        director.serversChanged(now, ListScope.CHANGES, List.of());
        for (int session = 0; session < size.sessions(); session++) {
            Request request = nextRequest();
            String server = serverId(session % size.servers());
            director.adoptSession(now, request, server);
            playing.add(new Playing(request.id(), server));
        }
    }

    private static Settings settings(Size size) {
        int servers = size.servers();
        double links = LINK_KB * servers;
        int racks = racks(servers);
        Ladder ladder = new Ladder(RATES, WORTHS, links, LINK_KB, links / racks, racks, racks, 0, 7, 800_000);
        return new Settings(
                0,
                BROKERS,
                "here",
                List.of(new SessionClass(CLASS, Effect.SAFE, SECOND, 4 * SECOND, 1, 1, 0, RATES.size() - 1, 0)),
                List.of(new ServerKind("box", STREAMS)),
                ladder,
                new Limits(3, false, false, 250_000, 500_000, 800_000, 3 * SECOND),
                new Rules(250_000, 0.4, 12 * SECOND, 2, 2 * SECOND, 0, 0, 0),
                new Prices(0.04, 0.05, 0, 0),
                size.uplinkTold() ? List.of(ReportField.LINK, ReportField.UPLINK) : List.of(ReportField.LINK));
    }

    private static List<Server> servers(int count) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server(serverId(i), "here", "box", i % racks(count), State.UP, 1, 0));
        }
        return servers;
    }

    private static int racks(int servers) {
        return Math.max(1, servers / SERVERS_OF_A_RACK);
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
                4 * SECOND,
                0,
                lesson % cells,
                cells,
                RATES.size() - 1,
                false,
                false,
                false);
    }

    /** Sets {@link #BATCH} sessions up, lets them play and ends as many of the oldest. */
    BatchCost batch() {
        Request[] wanted = new Request[BATCH];
        String[] sentTo = new String[BATCH];
        for (int i = 0; i < BATCH; i++) {
            wanted[i] = nextRequest();
        }
        long bytes = 0;
        long requestNanos = 0;
        long playNanos = 0;
        long endNanos = 0;

        runDueTimers();
        cost.start();
        for (int i = 0; i < BATCH; i++) {
            recorder.sentTo = null;
            director.request(now, wanted[i]);
            sentTo[i] = recorder.sentTo;
        }
        requestNanos += cost.nanos();
        bytes += cost.bytes();

        cost.start();
        for (int i = 0; i < BATCH; i++) {
            if (sentTo[i] != null) {
                director.sessionStarted(now, wanted[i].id(), 0, sentTo[i]);
                director.metricReceived(now, wanted[i].id(), sentTo[i], Metric.LINK, LINK_USED);
                if (size.uplinkTold()) {
                    director.metricReceived(now, wanted[i].id(), sentTo[i], Metric.UPLINK, LINK_USED);
                }
            }
        }
        playNanos += cost.nanos();
        bytes += cost.bytes();

        for (int i = 0; i < BATCH; i++) {
            if (sentTo[i] != null) {
                playing.add(new Playing(wanted[i].id(), sentTo[i]));
            }
        }
        now += BATCH * BETWEEN_SET_UPS;
        List<Playing> ending = new ArrayList<>();
        while (playing.size() > size.sessions()) {
            ending.add(playing.poll());
        }
        cost.start();
        for (Playing oldest : ending) {
            director.outcome(now, oldest.request(), 0, oldest.server(), Outcome.OK, true, LoadReport.NONE);
        }
        endNanos += cost.nanos();
        bytes += cost.bytes();
        return new BatchCost(
                requestNanos / (double) BATCH,
                playNanos / (double) BATCH,
                endNanos / (double) BATCH,
                bytes / (double) BATCH);
    }

    private void runDueTimers() {
        while (recorder.timerAt <= now) {
            long at = recorder.timerAt;
            recorder.timerAt = Long.MAX_VALUE;
            cost.start();
            director.timer(at, recorder.timerKey);
            sweepMicros.add(cost.nanos() / 1e3);
        }
    }

    /** Microseconds of each sweep since the last call. */
    List<Double> takeSweeps() {
        List<Double> taken = List.copyOf(sweepMicros);
        sweepMicros.clear();
        return taken;
    }

    /** Requests that were refused or failed since the start, of all that were made. */
    double refusedShare() {
        long made = requests - size.sessions();
        return made == 0 ? 0 : recorder.refused / (double) made;
    }

    int playing() {
        return playing.size();
    }
}
