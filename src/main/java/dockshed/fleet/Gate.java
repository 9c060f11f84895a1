package dockshed.fleet;

import dockshed.Director;
import dockshed.Layer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fleet as the broker's loop meets it: a director that stands before the decision module (and before the storm part).
 * It refuses under the fleet's cut, counts what is told to the others, and tells the module its shares and which boxes
 * somebody is just finding out about. Without a view that holds it lets everything pass: the broker is alone.
 *
 * <p>Times are microseconds of Unix time on the process's own clock; what all brokers have to find alike (ranks and places
 * of return) needs clocks that are within a few tenths of a second of one another, and errs for some viewers otherwise.
 */
public final class Gate extends Layer {
    /** Between two hand-overs of figures; and how often it looks at all. */
    static final long EVERY = 250_000;

    private static final String KEY = "fleet";
    /** A viewer that comes so long before or after its place has kept it. */
    static final long EARLY = 250_000, LATE = 500_000, SOONEST = 250_000;
    /** Further attempts of the whole fleet, over its fresh tries; of one broker never more of its own than so much, and one. */
    static final double FURTHER = 0.15, FURTHER_OWN = 0.5;

    private static final long FURTHER_OVER = 5_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(Gate.class);

    /** Counts since the start. */
    public static final class Counts {
        public long tries, cut, taken, unfit, attempts, attemptsDenied;
    }

    private final Settings settings;
    private final Actions out;
    private final Supplier<View> fleet;
    private final Predicate<News> tell;
    private final Map<String, Integer> worths = new HashMap<>();
    private final Map<String, SessionClass> classes = new HashMap<>();
    private final Set<String> sent = new HashSet<>(); // requests with an attempt behind them; bounded by the broker's
    private final Set<String> shunned = new HashSet<>(); // bounded by the list
    private final Map<Integer, Integer> notes = new HashMap<>();
    private final ArrayDeque<Long> further = new ArrayDeque<>(), fresh = new ArrayDeque<>();
    private int[] tries = new int[Cut.STEPS];
    private int taken, unfit, attempts;
    private long now, toldAt, armedFor = Long.MAX_VALUE;
    private boolean alone = true;
    private final Counts counts = new Counts();

    /** Puts the gate between a broker's actions and the module that is built on them. */
    public static Function<Actions, Gate> before(
            Settings settings, Supplier<View> fleet, Predicate<News> tell, Function<Actions, Director> module) {
        return actions -> new Gate(settings, fleet, tell, actions, module);
    }

    Gate(
            Settings settings,
            Supplier<View> fleet,
            Predicate<News> tell,
            Actions out,
            Function<Actions, Director> module) {
        this.settings = settings;
        this.fleet = fleet;
        this.tell = tell;
        this.out = out;
        List<Double> steps = List.copyOf(new TreeSet<>(
                settings.classes().stream().map(SessionClass::worth).toList()));
        for (SessionClass c : settings.classes()) {
            classes.put(c.name(), c);
            worths.put(c.name(), Math.max(0, steps.indexOf(c.worth()) - Math.max(0, steps.size() - Cut.WORTHS)));
        }
        this.module = module.apply(new Inner());
    }

    public Counts counts() {
        return counts;
    }

    /** Whether a box is being found out about: then what can go elsewhere goes there. */
    public void shun(String server, boolean is) {
        if (is) {
            shunned.add(server);
        } else {
            shunned.remove(server);
        }
    }

    /** The view, if it holds; else none, told once. */
    private View view() {
        View v = fleet.get();
        boolean holds = v.holds(now);
        if (holds == alone) {
            alone = !holds;
            LOG.atInfo()
                    .setMessage(alone ? "fleet not heard of, on alone" : "fleet heard of")
                    .addKeyValue("view_age_ms", Math.min(1_000_000_000L, now - v.at()) / 1000)
                    .log();
        }
        return holds ? v : View.ALONE;
    }

    // ---- Requests.

    private int step(Request r) {
        int age = r.moved() || r.back() ? 2 : r.retry() && keeps(r) ? 1 : 0;
        return Cut.step(worths.getOrDefault(r.className(), 0), age);
    }

    /** The viewer's hash; one that gives no name is a new one each time. */
    private static int who(Request r) {
        return Mix.of(r.viewer() == null || r.viewer().isBlank() ? r.id() : r.viewer());
    }

    private boolean keeps(Request r) {
        long unit = Math.max(1, out.comeBackUnit(r.id()));
        return Cut.keeps(who(r), now, settings.limits().maxComeBack(), EARLY + unit, LATE + unit);
    }

    /** Whether a request that came now would be refused under the fleet's cut: alike at every broker of the same view. */
    public boolean underCut(long at, Request r) {
        begin(at);
        View v = view();
        return v.cut() > 0 && Cut.rank(step(r), who(r), now) < v.cut();
    }

    @Override
    public void request(long at, Request r) {
        begin(at);
        if (!classes.containsKey(r.className())) {
            module.request(at, r); // the module's to fail
            return;
        }
        counts.tries++;
        tries[step(r)]++;
        if (underCut(at, r)) {
            counts.cut++;
            long unit = Math.max(1, out.comeBackUnit(r.id()));
            long longest = settings.limits().maxComeBack();
            long back = Cut.appointment(who(r), now, SOONEST, longest);
            out.refuse(r.id(), longest < unit ? 0 : Math.max(unit, Math.min(longest, back) / unit * unit));
            return;
        }
        fresh.add(at);
        module.request(at, r);
    }

    // ---- Time.

    @Override
    protected void begin(long at) {
        now = Math.max(now, at);
        if (armedFor == Long.MAX_VALUE) {
            arm(now + EVERY);
        }
    }

    private void arm(long at) {
        armedFor = at;
        out.timer(KEY, at);
    }

    @Override
    public void timer(long at, String key) {
        begin(at);
        if (!key.equals(KEY)) {
            module.timer(at, key);
            return;
        }
        figures();
        View v = view();
        v.notes().forEach((from, row) -> {
            Integer had = notes.put(from, row.counter());
            if (had == null || had != row.counter()) {
                module.told(now, from, row.value());
            }
        });
        arm(now + EVERY);
    }

    private void figures() {
        if (toldAt > 0) {
            tell.test(new News.Figures(tries, taken, unfit, attempts, Math.max(1, now - toldAt)));
        }
        forget();
        toldAt = now;
        tries = new int[Cut.STEPS];
        taken = 0;
        unfit = 0;
        attempts = 0;
    }

    // ---- What the module may do.

    private final class Inner extends Through {
        Inner() {
            super(Gate.this.out);
        }

        @Override
        public void send(String request, String server, long allow) {
            if (!sent.add(request)) {
                attempts++;
                counts.attempts++;
                further.add(now);
            }
            out.send(request, server, allow);
        }

        @Override
        public void refuse(String request, long comeBack) {
            if (!sent.remove(request)) {
                unfit++;
                counts.unfit++;
            }
            out.refuse(request, comeBack);
        }

        @Override
        public void fail(String request) {
            sent.remove(request);
            out.fail(request);
        }

        @Override
        public boolean mayTryAgain() {
            return affordable() && out.mayTryAgain();
        }

        @Override
        public double newcomers() {
            return view().newcomers(now);
        }

        @Override
        public boolean shunned(String server) {
            return shunned.contains(server) || foundDown(server);
        }
    }

    /** Whether another broker has lately found a box down: a word that costs at most a choice between boxes. */
    private boolean foundDown(String server) {
        View v = view();
        if (v.words().isEmpty()) {
            return false;
        }
        boolean down = false;
        for (Row w : v.words().getOrDefault(Mix.of(server), List.of())) {
            if (now - w.born() < Probes.HOLD && w.value().length > 0) {
                if (w.value()[0] == Probes.UP) {
                    return false;
                }
                down = true;
            }
        }
        return down;
    }

    /** Of tries and further attempts, what is older than it counts. */
    private void forget() {
        while (!further.isEmpty() && further.peekFirst() < now - FURTHER_OVER) {
            further.removeFirst();
        }
        while (!fresh.isEmpty() && fresh.peekFirst() < now - FURTHER_OVER) {
            fresh.removeFirst();
        }
    }

    /**
     * Whether one further attempt more is within this broker's share of the fleet's, which is by the fleet's tries as told,
     * and within what its own fresh ones bear: made-up figures of others allow no more than that.
     */
    private boolean affordable() {
        View v = view();
        double share = v.attempts(now);
        if (share < 0) {
            return true;
        }
        forget();
        double whole = FURTHER * Math.max(fresh.size(), v.tries() * FURTHER_OVER / 1e6);
        boolean may = further.size() + 1 <= Math.min(1 + share * whole, 1 + FURTHER_OWN * fresh.size());
        counts.attemptsDenied += may ? 0 : 1;
        return may;
    }

    // ---- Events that pass through.

    @Override
    public void first(long at, String request, int attempt, String server) {
        begin(at);
        if (sent.remove(request)) {
            taken++;
            counts.taken++;
        }
        module.first(at, request, attempt, server);
    }

    @Override
    public void outcome(
            long at, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        begin(at);
        if (last) {
            sent.remove(request);
        }
        module.outcome(at, request, attempt, server, outcome, last, report);
    }

    @Override
    public void gone(long at, String request) {
        begin(at);
        sent.remove(request);
        module.gone(at, request);
    }

    @Override
    public void members(long at, Scope scope, List<Server> servers) {
        begin(at);
        servers.stream().filter(s -> s.state() == State.GONE).forEach(s -> shunned.remove(s.id()));
        module.members(at, scope, servers);
    }
}
