package dockshed;

import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Pace;
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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A scripted day of one director against modelled edge servers: arrivals, answers of every outcome, readings, short
 * deliveries, restarts and drains, all drawn from one seed. What the director does is written down with all arguments,
 * so two directors that decide alike leave the same log. The fields are the day's settings; set them before {@link #play}.
 */
final class ScriptedDay implements Director.Actions {
    private static final long S = Bench.S;
    private static final long TICK = S / 20;
    private static final long READINGS_EVERY = 3 * S;
    private static final long SEEN_AFTER = 800_000;

    /** Every action with its time and arguments. */
    final List<String> log = new ArrayList<>();

    long seed = 1;
    int seconds = 120;
    int balancers = 3;
    int servers = 8;
    int racks = 2;
    int cells = 4;
    int streams = 40;
    double linkKb = 6000;
    double uplinkKb = 30_000;
    double arrivals = 4; // a second
    double foreign = 0.4; // share of a link that other directors' sessions ask
    double troubles = 0.05; // share of attempts that end badly
    double stay = 25; // seconds, mean
    int openAtStart = 0;
    double handshake = 0;
    boolean tellsUplink = false;
    boolean coldStart = false;
    boolean restarts = false;
    boolean knownLength = false;
    boolean unlikeWeights = false;
    boolean failures = false; // links collapse and come back
    double failing = 0.3; // share that a collapsed link gives
    long reportsEvery = READINGS_EVERY;
    long attemptsWindow = 0;
    double newcomers = -1;
    boolean paced = false;
    boolean shuns = false;
    boolean budget = true;
    double coldFrom = 0.4;
    double tipMultiple = 2;
    long fall = 2 * S;
    List<SessionClass> classes = twoClasses();

    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private Random random;
    private Choice director;
    private long now = 1000 * S;
    private int numbered;

    /** One request as its edge server sees it. */
    private static final class Call {
        final Request request;
        String server;
        int rung;
        int attempt;
        boolean playing;
        long answerAt;
        long endAt;

        Call(Request request) {
            this.request = request;
        }
    }

    /** An edge server of the model. */
    private static final class Box {
        Server info;
        double gives = 1;
        double foreign;
        long toldAt;
    }

    static List<SessionClass> twoClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, S, 4 * S, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, S, 4 * S, 2.5, 1, 0, 4, 0));
    }

    /** Every effect, a class with seats, one that earns nothing, other scales and floors. */
    static List<SessionClass> manyClasses() {
        return List.of(
                new SessionClass("plain", Effect.SAFE, S, 4 * S, 1, 1, 0, 4, 0),
                new SessionClass("premium", Effect.SAFE, 2 * S, 4 * S, 3, 1.2, 1, 4, 0),
                new SessionClass("exam", Effect.AT_MOST_ONCE, S, 4 * S, 2, 0.7, 1, 3, 0),
                new SessionClass("room", Effect.KEYED, S, 4 * S, 1.5, 1, 0, 4, 2),
                new SessionClass("free", Effect.SAFE, S, 4 * S, 1e-6, 1, 0, 4, 0));
    }

    /** Plays the whole day with a director of that seed. */
    ScriptedDay play() {
        random = new Random(seed);
        director = new Choice(settings(), seed * 31 + 7, this);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i, State.UP, coldStart && i % 2 == 0 ? now - (i % 5) * S : 0));
        }
        members(ListScope.DISK, list);
        for (int i = 0; i < openAtStart; i++) {
            openOne(list.get(i % servers).id());
        }
        members(ListScope.CHANGES, coldStart ? list.subList(0, servers / 2) : List.of());
        for (int tick = 0; tick < seconds * (S / TICK); tick++) {
            now += TICK;
            fireTimers();
            if (tick % 400 == 399) {
                change(tick / 400);
            }
            wander();
            arrive();
            answer();
            end();
            tell();
        }
        return this;
    }

    private Settings settings() {
        Ladder ladder = new Ladder(
                Bench.RATES,
                List.of(0.2, 0.42, 0.62, 0.81, 1.0),
                linkKb * servers,
                linkKb,
                uplinkKb,
                racks,
                cells,
                0,
                7,
                800_000);
        return new Settings(
                0,
                balancers,
                "here",
                classes,
                List.of(new ServerKind("box", streams), new ServerKind("tower", 2 * streams)),
                ladder,
                new Limits(3, false, false, 250_000, 500_000, SEEN_AFTER, reportsEvery),
                new Rules(250_000, coldFrom, 12 * S, tipMultiple, fall, 2, 0.1, attemptsWindow),
                new Prices(0.04, 0.05, 0, handshake),
                tellsUplink
                        ? List.of(ReportField.STREAMS, ReportField.LINK, ReportField.UPLINK)
                        : List.of(ReportField.STREAMS, ReportField.LINK, ReportField.OTHER));
    }

    private Server server(int number, State state, long upSince) {
        return new Server(
                "s" + number,
                number % 3 == 2 ? "there" : "here",
                number % 4 == 3 ? "tower" : number % 7 == 6 ? "unheard of" : "box",
                number,
                state,
                unlikeWeights ? 1 + number % 3 / 2.0 : 1,
                upSince);
    }

    private void members(ListScope scope, List<Server> list) {
        for (Server info : list) {
            boxes.computeIfAbsent(info.id(), id -> new Box()).info = info;
        }
        director.serversChanged(now, scope, list);
    }

    private Request wish(String id) {
        SessionClass c = classes.get((int) (random.nextDouble() * random.nextDouble() * classes.size()));
        return new Request(
                id,
                random.nextInt(400) == 0 ? "no such class" : c.name(),
                "v" + id,
                "title" + random.nextInt(4),
                2 * S + random.nextInt(3) * S,
                knownLength ? (long) (stay * 2 * S * random.nextDouble()) : 0,
                random.nextInt(cells),
                1 + random.nextInt(cells),
                1 + random.nextInt(4),
                false,
                false,
                false);
    }

    private void openOne(String server) {
        String id = "o" + numbered++;
        Call call = new Call(wish(id));
        call.server = server;
        call.playing = true;
        call.rung = random.nextInt(5);
        call.endAt = now + length();
        calls.put(id, call);
        director.adoptSession(now, call.request, server);
        director.metricReceived(now, id, server, Metric.RENDITION, call.rung);
    }

    private long length() {
        return (long) (-Math.log(1 - random.nextDouble()) * stay * S);
    }

    private void fireTimers() {
        while (!timers.isEmpty() && timers.firstKey() <= now) {
            for (String key : timers.pollFirstEntry().getValue()) {
                director.timer(now, key);
            }
        }
    }

    /** News of the servers: a drain, one that left, a newcomer, a restart, an error, a whole list. */
    private void change(int step) {
        int some = step % servers;
        switch (step % 6) {
            case 0 -> members(ListScope.CHANGES, List.of(server(some, State.DRAINING, 0)));
            case 1 -> members(ListScope.CHANGES, List.of(server(servers + step, State.UP, now - S)));
            case 2 -> members(ListScope.ERROR, List.of());
            case 3 -> {
                List<Server> all = new ArrayList<>();
                for (int i = 0; i < servers; i++) {
                    all.add(server(i, State.UP, restarts && i % 3 == 0 ? now - S / 2 : 0));
                }
                members(ListScope.SNAPSHOT, all);
            }
            case 4 -> members(ListScope.CHANGES, List.of(server(some, State.GONE, 0)));
            default -> members(ListScope.CHANGES, List.of(server(some, State.UP, restarts ? now : 0)));
        }
    }

    private void wander() {
        for (Box box : boxes.values()) {
            box.foreign += 0.05 * (foreign - box.foreign) + 0.02 * random.nextGaussian();
            box.foreign = Math.max(0, box.foreign);
            if (failures && random.nextInt(1500) == 0) {
                box.gives = box.gives < 1 ? 1 : failing;
            }
        }
    }

    private void arrive() {
        double due = arrivals * TICK / S * (now / (20 * S) % 3 == 2 ? 3 : 1);
        for (int i = 0; i < 8; i++) {
            if (random.nextDouble() * 8 < due) {
                String id = "r" + numbered++;
                Call call = new Call(wish(id));
                calls.put(id, call);
                director.request(now, call.request);
            }
        }
    }

    private void answer() {
        for (Call call : List.copyOf(calls.values())) {
            if (call.playing || call.server == null || now < call.answerAt) {
                continue;
            }
            String id = call.request.id();
            if (random.nextInt(60) == 0) {
                calls.remove(id);
                director.requestCancelled(now, id);
            } else if (random.nextDouble() < troubles) {
                Outcome[] bad = Outcome.values();
                Outcome outcome = bad[1 + random.nextInt(bad.length - 1)];
                String from = call.server;
                call.server = null;
                director.outcome(now, id, call.attempt, from, outcome, false, report(from));
            } else {
                call.playing = true;
                call.endAt = now + length();
                director.sessionStarted(now, id, call.attempt, call.server);
                director.metricReceived(now, id, call.server, Metric.LINK, asked(call.server));
                if (tellsUplink && calls.containsKey(id)) {
                    director.metricReceived(now, id, call.server, Metric.UPLINK, uplinkAsked(call.server));
                }
            }
        }
    }

    private void end() {
        for (Call call : List.copyOf(calls.values())) {
            if (!call.playing || now < call.endAt) {
                continue;
            }
            String id = call.request.id();
            calls.remove(id);
            int how = random.nextInt(20);
            if (how == 0) {
                director.requestCancelled(now, id);
            } else {
                Outcome outcome = how == 1 ? Outcome.RESET : how == 2 ? Outcome.ERROR : Outcome.OK;
                director.outcome(now, id, call.attempt, call.server, outcome, how != 1, report(call.server));
            }
        }
    }

    private LoadReport report(String server) {
        return random.nextInt(3) == 0 ? LoadReport.NONE : new LoadReport(List.of(1.0, asked(server), 0.5));
    }

    /** Readings of each server with sessions, and what it delivers. */
    private void tell() {
        for (Box box : boxes.values()) {
            if (now - box.toldAt < READINGS_EVERY) {
                continue;
            }
            box.toldAt = now + random.nextInt(5) * TICK;
            List<Call> here = calls.values().stream()
                    .filter(c -> c.playing && box.info.id().equals(c.server))
                    .toList();
            if (here.isEmpty()) {
                continue;
            }
            Call one = here.get(random.nextInt(here.size()));
            String id = one.request.id();
            String server = one.server;
            double asked = asked(server);
            double uplink = uplinkAsked(server);
            director.metricReceived(now, id, server, Metric.LINK, asked);
            if (tellsUplink) {
                director.metricReceived(now, id, server, Metric.UPLINK, uplink);
            }
            director.metricReceived(
                    now, id, server, Metric.DELIVERED, Math.min(1, 1 / Math.max(1e-3, Math.max(asked, uplink))));
            if (random.nextInt(10) == 0) {
                one.rung = random.nextInt(5);
                director.metricReceived(now, id, server, Metric.RENDITION, one.rung);
            }
        }
    }

    private double own(String server) {
        return calls.values().stream()
                .filter(c -> c.playing && server.equals(c.server))
                .mapToDouble(c -> Bench.RATES.get(c.rung))
                .sum();
    }

    /** What is asked at a link over what it gives. */
    private double asked(String server) {
        Box box = boxes.get(server);
        double link = linkKb * box.info.weight();
        return (box.foreign * link + own(server)) / (link * box.gives);
    }

    private double uplinkAsked(String server) {
        int rack = boxes.get(server).info.cell() % racks;
        double asked = 0;
        for (Box box : boxes.values()) {
            if (box.info.cell() % racks == rack) {
                asked += box.foreign * linkKb + own(box.info.id());
            }
        }
        return asked / uplinkKb;
    }

    long count(String action) {
        return log.stream().filter(line -> line.split(" ")[1].equals(action)).count();
    }

    private void write(Object... words) {
        log.add(now + " "
                + String.join(" ", Arrays.stream(words).map(String::valueOf).toList()));
    }

    @Override
    public void send(String request, String server, long allow) {
        write("send", request, server, allow);
        Call call = calls.get(request);
        call.server = server;
        call.attempt++;
        call.answerAt = now + (1 + random.nextInt(6)) * TICK;
    }

    @Override
    public void refuse(String request, long comeBack) {
        write("refuse", request, comeBack);
        calls.remove(request);
    }

    @Override
    public void fail(String request) {
        write("fail", request);
        calls.remove(request);
    }

    @Override
    public void setRendition(String request, int rung) {
        write("rate", request, rung);
        calls.get(request).rung = rung;
    }

    @Override
    public void move(String request) {
        write("move", request);
    }

    @Override
    public void probe(String server) {
        write("probe", server);
    }

    @Override
    public void broadcast(byte[] message) {
        write("tell", Arrays.toString(message));
    }

    @Override
    public void timer(String key, long at) {
        write("timer", key, at);
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(key);
    }

    @Override
    public boolean mayRetry() {
        return budget || now / S % 3 != 0;
    }

    @Override
    public Pace pace(String server) {
        if (!paced) {
            return Pace.UNKNOWN;
        }
        return Pace.values()[(int) ((now / (S / 2) + server.hashCode()) % 3)];
    }

    @Override
    public double newSessionShare() {
        return newcomers;
    }

    @Override
    public boolean shouldAvoid(String server) {
        return shuns && (now / (4 * S) + server.hashCode()) % 5 == 0;
    }
}
