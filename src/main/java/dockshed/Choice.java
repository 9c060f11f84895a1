package dockshed;

import java.util.*;
import java.util.function.IntBinaryOperator;

/**
 * All decisions. The interface (types, events, actions, units) is in Director.java.
 * Read in a request's order: constants, admission, holder pick, rung, attempts, playing, list, health, cold
 * pace, Method II. "Room" is the kB a second that this director may still spend at a link or uplink.
 */
public final class Choice implements Director {
    // ---- Constants: unit, and why.
    static final long SECOND = 1_000_000;
    static final double FILL = 0.89; // share of a link planned for: true rates wander
    static final double WARY = 0.1; // less of one whose level is not trusted at all
    static final double FULL = 1.06; // share asked at which relief begins: less wanders back
    static final double RACK_FULL = 1.08; // the same for an uplink, which is known less well
    static final double RELIEVED = 1.0; // share asked that relief aims at: what wanders needs no more
    static final int ALPHA = 2; // sessions sub-rated for one newcomer (the paper's alpha)
    static final long SWEEP = SECOND / 2; // between looks at playing sessions
    static final long QUOTA_PERIOD = 5 * SECOND; // between recomputes of Method II
    static final double PRIOR_TRIES = 2; // the usual rate weighs as much
    static final double HELD = 10; // tries that tell how often a title is held by a server
    static final int EACH_SLOT = 64; // slots up to which each pair of quotas is tried
    static final int STEPS = 32; // of that many parts above
    static final int FEW = 12; // arrivals under which every slot stays in the pool
    static final long UP_GAP = 8 * SECOND; // from a step of a session to its next step up: steadiness
    static final double REPAY = 4; // a step up must earn its switch cost so many times over
    static final double PRIOR_STAY_S = 25, PRIOR_ENDS = 3; // seconds of stay before any was seen; its weight
    static final double PRIOR_FILL = 0.7; // fullness of a link never heard of, and of all when none was
    static final double GROWTH_MAX = 3; // sessions to come over those now, as the price heeds it
    static final double NOTHING = 1e-3; // of the highest worth: a class that earns less sets no price
    static final double PRICE_CAP = 0.98; // of what a kB earns at best in the class that earns least
    static final double RIVALS = 2; // wariness of other directors' newcomers at the same server
    static final double JUMP = 1.7; // between two readings of a link: more is the link's doing
    static final double UNKNOWN = 0.3; // trust under which a link counts as not heard of
    static final double OVERFULL = 1.5; // fullness over which one link tells no more of the others
    static final double PRIOR_HEARD = 2; // links that the assumed fullness weighs as much as
    static final double UPLINK_HOPE = 1.2; // told uplink is tried so far up where only shortage can tell
    static final int MANY_DIRECTORS = 6; // so many would try it at once and learn too late: none does
    static final double UPLINK_RISE = 0.03; // of the told uplink that a lowered estimate regains a second
    static final long PAUSE = 3 * SECOND; // after failures at a server
    static final int STRIKES = 3; // attempts in a row without an answer that make it failing
    static final long LINE_KEPT = 15 * SECOND; // a line without sessions is there for so long at least
    static final double TRY_SHARE = 0.5; // share of the goal time for an attempt if another can follow

    // ---- State.
    /** A request, then its attempt, then the session that plays. */
    private static final class Session {
        final Request req;
        final SessionClass c;
        final int top;
        final long deadline;
        final List<Node> tried = new ArrayList<>();
        Node node; // where an attempt is out or the session plays
        int attempts, errors;
        boolean playing, ran, noted, settles, degraded;
        int rung, asked; // in force; before sub-rating
        long sentAt, startAt, steppedAt;

        Session(Request req, SessionClass c, long now) {
            this.req = req;
            this.c = c;
            top = Math.max(c.floor(), Math.min(req.top(), c.top()));
            deadline = now + req.patience();
            startAt = now;
        }
    }

    private record Change(long at, double by) {}

    /** A server's link or a rack's uplink: what was read of it, and what this director has there. */
    private static class Link {
        double told; // kB a second that it carries, as told (a server: when warm)
        double level; // kB asked there at sampledAt
        double trust; // in that level: 1 when read, falls as sessions come and go
        double own, pending, changed; // kB: own sessions; set up now; since the reading
        long sampledAt = Long.MIN_VALUE, relievedAt, shortAt = -SECOND;
        final ArrayDeque<Change> changes = new ArrayDeque<>();

        /** A reading: own changes from before it are changes no more. */
        void sample(double read, long at) {
            level = read;
            trust = 1;
            sampledAt = at;
            while (!changes.isEmpty() && changes.peekFirst().at() <= at) changes.removeFirst();
            changed = changedBy(Long.MAX_VALUE);
        }

        double changedBy(long at) {
            return changes.stream()
                    .filter(c -> c.at() <= at)
                    .mapToDouble(Change::by)
                    .sum();
        }

        /** Books a playing session's change of rate, or a set-up's begin and end. */
        void book(long now, double playing, double setUp) {
            own += playing + setUp;
            pending += setUp;
            changed += playing;
            if (playing != 0) changes.add(new Change(now, playing));
        }
    }

    private static final class Node extends Link {
        Server info;
        Rack rack;
        boolean listed, gone; // is up; has left the list: forgotten once nothing of it is left here
        double gives = 1; // share of its link that it gives, as learnt from jumps
        int streams = 1;
        double dice = 1; // one throw a reading: spends a whole rung for its part of the room
        final LinkedHashMap<String, Session> mine = new LinkedHashMap<>();
        int strikes; // attempts in a row that came to nothing
        long pausedUntil, coldSince = Long.MIN_VALUE, lastSentAt = -60 * SECOND;
        boolean maybe; // cold only for lack of news
        double holds = -1; // of the latest tries: the part whose title it holds; -1: none was
        final ArrayDeque<Change> chances = new ArrayDeque<>(); // set-ups expected of this director
        int quotaHigh, quotaLow; // Method II's reserves in slots of the asked rung
    }

    private static final class Rack extends Link {
        double uplink; // as learnt
        long confirmedAt = -SECOND;
        final List<Node> nodes = new ArrayList<>();
    }

    /** One rung change that would free room. */
    private record Drop(Session s, int rung, double freed, double cost) {}

    private final Settings set;
    private final Actions act;
    private final Random random;
    private final double[] rate, worth;
    private final double switchS, leastWorth;
    private final Map<String, Integer> classOf = new HashMap<>();
    private final LinkedHashMap<String, Session> sessions = new LinkedHashMap<>();
    private final LinkedHashMap<String, Node> nodes = new LinkedHashMap<>();
    private final Rack[] racks;
    private final ArrayDeque<Long> extraAttempts = new ArrayDeque<>(), taken = new ArrayDeque<>();
    private final ArrayDeque<Long> tries = new ArrayDeque<>(), sends = new ArrayDeque<>(); // the latest
    private final double[] count; // requests since the start, by class
    private double tried; // attempts since the start, refused ones too
    private int listed; // servers that are up, by the list
    private double playedS = PRIOR_STAY_S * PRIOR_ENDS, ends = PRIOR_ENDS;
    private double price; // worth that a kB must earn, see going()
    private long bootAt = Long.MIN_VALUE, quotasAt;
    private double newcomerPart; // of the headroom that rival newcomers leave
    private double priorFill = PRIOR_FILL, rackFill = PRIOR_FILL; // mean fullness of what was heard of
    private double ownKb, openKb, links; // own sessions; handed over at the start; all links as told
    private final boolean tellsUplink;

    public Choice(Settings settings, long seed, Actions actions) {
        set = settings;
        act = actions;
        random = new Random(seed);
        rate = settings.ladder().rates().stream()
                .mapToDouble(Double::doubleValue)
                .toArray();
        worth = settings.ladder().worths().stream()
                .mapToDouble(Double::doubleValue)
                .toArray();
        switchS = settings.ladder().switchCost() / (double) SECOND;
        double most = settings.classes().stream()
                .mapToDouble(SessionClass::worth)
                .max()
                .orElse(1);
        leastWorth = settings.classes().stream()
                .mapToDouble(SessionClass::worth)
                .filter(w -> w > NOTHING * most)
                .min()
                .orElse(1);
        for (SessionClass c : settings.classes()) classOf.put(c.name(), classOf.size());
        count = new double[settings.classes().size()];
        racks = new Rack[settings.ladder().racks()];
        for (int i = 0; i < racks.length; i++) racks[i] = new Rack();
        tellsUplink = settings.reportFields().contains(Field.UPLINK);
        newcomerPart = Math.max(1.0 / settings.balancers(), 1 / (1 + RIVALS));
    }

    // ---- Admission.
    @Override
    public void request(long now, Request request) {
        start(now);
        Integer cls = classOf.get(request.className());
        if (cls == null) {
            act.fail(request.id());
            return;
        }
        Session s = new Session(request, set.classes().get(cls), now);
        sessions.put(request.id(), s);
        if (set.rules().countedOver() > 0) taken.add(now);
        count[cls]++;
        place(now, s);
    }

    /** Finds a holder and a rung, or ends the request at once: nothing waits. */
    private void place(long now, Session s) {
        tried++;
        tries.add(now);
        List<Node> holders = holders(now, s);
        if (!s.tried.isEmpty() && !mayTryAgain(now, s) || !seatFree(s) || holders.isEmpty()) {
            giveUp(s);
            return;
        }
        List<Node> open = new ArrayList<>();
        for (Node n : holders) if (room(now, n, s, newcomerPart) >= kb(s, s.c.floor())) open.add(n);
        // At size each director has few sessions at a server: a line to one more is a handshake more.
        if (set.prices().handshake() > 0) {
            double wanted = kb(s, asked(s.c, s.top));
            List<Node> met = new ArrayList<>();
            for (Node n : open) if (met(now, n) && room(now, n, s, newcomerPart) >= wanted) met.add(n);
            if (met.size() > 1) open = met;
        }
        List<Node> pick = new ArrayList<>(twoOf(open.isEmpty() ? holders : open, now));
        // At size the two seldom hold an own session to sub-rate: then where own sessions play.
        boolean none = pick.stream().allMatch(n -> n.mine.isEmpty());
        for (Node n : holders) if (none && !n.mine.isEmpty() && warmth(now, n) >= 1) pick.add(n);
        if (pick.stream().noneMatch(n -> admit(now, s, n))) giveUp(s);
    }

    /** Admits at the rung that earns most after the price of its room and the drops that make it. */
    private boolean admit(long now, Session s, Node n) {
        double room = room(now, n, s, newcomerPart);
        double stay = stay(now, s);
        double best = 0;
        int rung = -1;
        List<Drop> drops = List.of();
        List<Drop> all = kb(s, s.top) > room ? lowDrops(now, n, s) : List.of();
        for (int r = s.c.floor(); r <= s.top; r++) {
            double net = stay * net(s.c, r);
            if (net <= best) continue;
            double need = kb(s, r) - room;
            List<Drop> made = need <= 0 ? List.of() : subRate(all, need);
            if (made == null) continue;
            for (Drop d : made) net -= d.cost();
            if (net > best) {
                best = net;
                rung = r;
                drops = made;
            }
        }
        if (rung < 0) return false;
        for (Drop d : drops) {
            d.s().degraded = true;
            d.s().asked = d.s().rung;
            step(now, d.s(), d.rung());
        }
        s.rung = rung;
        send(now, s, n);
        return true;
    }

    /** The drops that may make room for a newcomer: of low sessions, each once. */
    private List<Drop> lowDrops(long now, Node n, Session newcomer) {
        List<Drop> all = new ArrayList<>();
        for (Session s : n.mine.values()) {
            if (s.playing && !s.degraded && s.c.worth() <= Math.max(leastWorth, newcomer.c.worth())) {
                drops(now, s, all);
            }
        }
        return all;
    }

    /** The cheapest drops of at most ALPHA sessions that free the room needed, or null. */
    private static List<Drop> subRate(List<Drop> all, double need) {
        List<Drop> best = null;
        double least = Double.MAX_VALUE;
        for (Drop a : all) {
            if (a.cost() >= least) continue;
            for (Drop b : all) { // b == a: that one alone
                if (b != a && (ALPHA < 2 || b.s() == a.s())) continue;
                double freed = a.freed() + (b == a ? 0 : b.freed());
                double cost = a.cost() + (b == a ? 0 : b.cost());
                if (freed < need || cost >= least) continue;
                best = b == a ? List.of(a) : List.of(a, b);
                least = cost;
            }
        }
        return best;
    }

    private void drops(long now, Session s, List<Drop> into) {
        for (int r = s.c.floor(); r < s.rung; r++) {
            into.add(new Drop(
                    s,
                    r,
                    kb(s, s.rung) - kb(s, r),
                    s.c.worth() * ((worth[s.rung] - worth[r]) * stay(now, s) + 2 * switchS)));
        }
    }

    private boolean seatFree(Session s) {
        if (s.c.seats() == 0) return true;
        return s.c.seats()
                > sessions.values().stream()
                        .filter(o ->
                                o.node != null && o.c == s.c && o.req.title().equals(s.req.title()))
                        .count();
    }

    /** The final answer, at once, for a request that is not served. Rule 2: refuse only if none ran. */
    private void giveUp(Session s) {
        sessions.remove(s.req.id());
        if (s.ran && s.c.effect() != Effect.SAFE) act.fail(s.req.id());
        else act.refuse(s.req.id(), set.limits().maxComeBack());
    }

    // ---- Holder pick.
    private List<Node> holders(long now, Session s) {
        List<Node> out = new ArrayList<>(), cold = new ArrayList<>();
        double usual = Math.min(1, s.req.copies() / (double) set.ladder().cells());
        for (Node n : nodes.values()) {
            if (!n.listed) continue;
            int row = Math.floorMod(n.info.cell() - s.req.home(), set.ladder().cells());
            boolean holds = row < s.req.copies();
            n.holds = n.holds < 0 ? usual : n.holds;
            n.holds += ((holds ? 1 : 0) - n.holds) / HELD;
            if (warmth(now, n) < 1) cold.add(n);
            if (holds && usable(now, n) && !s.tried.contains(n)) out.add(n);
        }
        List<Node> clear = new ArrayList<>(out);
        clear.removeIf(n -> act.shunned(n.info.id()));
        if (!clear.isEmpty()) out = clear; // else the request itself finds out
        double picked = cold.isEmpty() ? 1 : picked(now, s, out);
        for (Node n : cold) if (!thawed(now, n, picked * n.holds)) out.remove(n);
        return out;
    }

    /** The chance at most that an open cold server is picked, of those with room. */
    private double picked(long now, Session s, List<Node> from) {
        boolean lines = set.prices().handshake() > 0;
        double least = kb(s, lines ? asked(s.c, s.top) : s.c.floor());
        int warm = 0;
        for (Node n : from) {
            if (warmth(now, n) < 1 || lines && !met(now, n)) continue;
            if (room(now, n, s, newcomerPart) >= least) warm++;
        }
        return Math.min(1, 2.0 / (1 + warm));
    }

    /** Whether a line to the server is probably up. */
    private static boolean met(long now, Node n) {
        return !n.mine.isEmpty() || now - n.lastSentAt < LINE_KEPT;
    }

    /** Two at random, the less loaded first; a foreign zone counts as load by its price. */
    private List<Node> twoOf(List<Node> from, long now) {
        Node a = from.get(random.nextInt(from.size()));
        if (from.size() == 1) return List.of(a);
        Node b = a;
        while (b == a) b = from.get(random.nextInt(from.size()));
        return burden(now, a) <= burden(now, b) ? List.of(a, b) : List.of(b, a);
    }

    private double burden(long now, Node n) {
        double foreign = n.info.zone().equals(set.zone()) ? 0 : 3 * set.prices().crossZone();
        return Math.max(load(n) / capacity(now, n), load(n.rack) / n.rack.uplink) + foreign;
    }

    // ---- Rung and room.
    private double kb(SessionClass c, int rung) {
        return rate[rung] * c.scale();
    }

    private double kb(Session s, int rung) {
        return kb(s.c, rung);
    }

    /** What is asked there but for own changes since the last reading: that one as far as it is trusted. */
    private double base(Link l) {
        if (l instanceof Node n) {
            if (!n.listed && n.mine.isEmpty()) return 0;
            return n.trust * n.level + (1 - n.trust) * Math.max(priorFill * n.told, n.own - n.pending);
        }
        Rack r = (Rack) l;
        if (tellsUplink) return r.trust * r.level + (1 - r.trust) * rackFill * r.uplink;
        return r.nodes.stream().mapToDouble(this::base).sum();
    }

    /** What this director has added there since the last reading, set-ups included. */
    private double changed(Link l) {
        if (tellsUplink || l instanceof Node) return l.trust * l.changed + l.pending;
        return ((Rack) l).nodes.stream().mapToDouble(this::changed).sum();
    }

    private double load(Link l) {
        return Math.max(0, base(l) + changed(l));
    }

    private static void book(long now, Node n, double playing, double setUp) {
        n.book(now, playing, setUp);
        n.rack.book(now, playing, setUp);
    }

    /** What a link or uplink gives now, as far as is known. */
    private double capacity(long now, Link l) {
        return l instanceof Node n ? n.told * n.gives * (n.maybe ? 1 : warmth(now, n)) : ((Rack) l).uplink;
    }

    /** This director's part of what a link or uplink still gives; negative: its share of the excess. */
    private double part(Link l, double gives, double part) {
        double level = base(l);
        double changed = changed(l);
        double excess = Math.min(1, Math.max(0, l.own - changed) / Math.max(1, level));
        return (gives - level) * (gives >= level ? part : excess) - changed;
    }

    /** The same of what is planned for, less where the level is trusted less; silent uplinks are not read. */
    private double planned(long now, Link l, double part) {
        double fill = FILL - (l instanceof Rack && !tellsUplink ? 0 : WARY * (1 - l.trust));
        return part(l, fill * capacity(now, l), part);
    }

    /** Part of the headroom, where all directors that have sessions there read of it at the same time. */
    private double evenly(double load) {
        double usual = ownKb > 0 ? ownKb / Math.max(1, sessions.size()) : rate[rate.length / 2];
        return Math.max(1.0 / set.balancers(), Math.min(1, usual / Math.max(1, load)));
    }

    /** Room for a class, by a part or, at 0, evenly: what Method II reserves for others is not there. */
    private double room(long now, Node n, Session s, double part) {
        Rack r = n.rack;
        double room = Math.min(
                planned(now, n, part > 0 ? part : evenly(load(n))), planned(now, r, part > 0 ? part : evenly(load(r))));
        // Against a fresh director that refuses all: one modest set-up at a time finds out an unknown link.
        if (n.trust < UNKNOWN && n.mine.isEmpty()) room = Math.max(room, kb(s, modest(s.c)));
        boolean over = load(n) > capacity(now, n) || tellsUplink && load(r) > r.uplink;
        if (over || n.mine.size() >= n.streams) room = Math.min(room, 0);
        boolean high = s.c.worth() > leastWorth;
        long used = n.mine.values().stream()
                .filter(o -> o.c.worth() > leastWorth != high)
                .count();
        double kept = Math.max(0, (double) (high ? n.quotaLow : n.quotaHigh) / set.balancers() - used);
        return room - kept * slotKb();
    }

    private double slotKb() {
        SessionClass c = set.classes().get(0);
        return kb(c, asked(c, Math.min(c.top(), rate.length - 1)));
    }

    /** The rung that earns most at the going price. */
    private int asked(SessionClass c, int top) {
        int best = c.floor();
        for (int r = best + 1; r <= top; r++) best = net(c, r) > net(c, best) ? r : best;
        return best;
    }

    /** The rung that earns most a kB. */
    private int modest(SessionClass c) {
        int best = c.floor();
        for (int r = best + 1; r < rate.length; r++) {
            best = worth[r] / rate[r] > worth[best] / rate[best] ? r : best;
        }
        return best;
    }

    private double net(SessionClass c, int rung) {
        return c.worth() * worth[rung] - price * kb(c, rung);
    }

    /** The going price of a kB: at it this director's sessions, each at its best rung, fill its room. */
    private void going(long now) {
        double part = 1.0 / set.balancers();
        double budget = 0;
        for (Rack r : racks) {
            double all = 0;
            for (Node n : r.nodes) {
                if (usable(now, n) || !n.mine.isEmpty()) all += n.own + planned(now, n, part);
            }
            budget += Math.min(all, r.own + planned(now, r, part));
        }
        double growth = Math.max(1, Math.min(GROWTH_MAX, trying(now) * playedS / ends / Math.max(1, sessions.size())));
        double low = 0;
        double high = Double.MAX_VALUE; // a newcomer of any class is welcome where there is room
        for (SessionClass c : set.classes()) {
            if (c.worth() < leastWorth) continue; // comes in where room costs nothing
            int r = modest(c);
            high = Math.min(high, PRICE_CAP * c.worth() * worth[r] / kb(c, r));
        }
        for (int i = 0; i < 24; i++) {
            price = (low + high) / 2;
            double asked = 0;
            for (Session s : sessions.values()) asked += kb(s, asked(s.c, s.top));
            if (asked * growth > budget) low = price;
            else high = price;
        }
        price = low;
    }

    /** Seconds that a session will probably still play. */
    private double stay(long now, Session s) {
        double mean = playedS / ends;
        if (s.req.length() <= 0) return mean;
        double left = (s.startAt + s.req.length() - now) / (double) SECOND;
        return Math.max(left, mean / 4);
    }

    // ---- Attempts.
    private void send(long now, Session s, Node n) {
        if (s.attempts > 0 && set.rules().countedOver() > 0) extraAttempts.add(now);
        s.attempts++;
        s.tried.add(n);
        s.node = n;
        s.sentAt = now;
        n.mine.put(s.req.id(), s);
        book(now, n, 0, kb(s, s.rung));
        n.lastSentAt = now;
        sends.add(now);
        act.rate(s.req.id(), s.rung);
        long left = s.deadline - now;
        boolean again = s.c.effect() == Effect.SAFE && s.attempts < set.limits().attempts();
        act.send(s.req.id(), n.info.id(), again ? Math.min(left, (long) (TRY_SHARE * s.c.goalTime())) : left);
    }

    /** Rules 2 and 6, and the site's limit of attempts. */
    private boolean mayTryAgain(long now, Session s) {
        Rules rules = set.rules();
        if (s.attempts >= set.limits().attempts() || now >= s.deadline) return false;
        if (s.ran && s.c.effect() != Effect.SAFE) return false;
        if (!act.mayTryAgain()) return false; // the budget that all requests share
        if (rules.countedOver() == 0) return true;
        extraAttempts.removeIf(at -> at < now - rules.countedOver());
        taken.removeIf(at -> at < now - rules.countedOver() + SECOND / 100);
        return extraAttempts.size() + 1 <= rules.spareAttempts() + rules.extraRatio() * taken.size();
    }

    @Override
    public void first(long now, String request, int attempt, String server) {
        Session s = sessions.get(request);
        if (s == null || s.node == null || !s.node.info.id().equals(server)) return;
        s.playing = true;
        s.node.strikes = 0;
        s.startAt = now;
        s.steppedAt = now;
        book(now, s.node, kb(s, s.rung), -kb(s, s.rung));
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String server, Outcome outcome, boolean last, LoadReport report) {
        Node n = nodes.get(server);
        if (n != null) read(now, n, report);
        Session s = sessions.get(request);
        if (s == null || s.node == null || !s.node.info.id().equals(server)) return;
        boolean played = s.playing;
        leave(now, s);
        boolean gone = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET && played;
        if (gone) n.coldSince = now; // its process may be gone, and start anew (rule 4)
        // One lost or late answer tells of its connection or of this director's hurry, not of the server.
        if (!played && (gone || outcome == Outcome.TIMEOUT || outcome == Outcome.RESET)) n.strikes++;
        if (gone || outcome == Outcome.FULL || n.strikes >= STRIKES) n.pausedUntil = now + PAUSE;
        if (played || last) {
            sessions.remove(request);
            if (played) {
                playedS += (now - s.startAt) / (double) SECOND;
                ends += outcome == Outcome.OK ? 1 : 0;
            }
            if (!last) act.fail(request);
            return;
        }
        s.ran |= outcome != Outcome.FULL && outcome != Outcome.CONNECT_FAILED && outcome != Outcome.MOOT;
        // Two servers in a row seldom err by chance: the request is at fault, and would be at every other.
        if (outcome == Outcome.ERROR) s.errors++;
        if (s.errors >= 2 || outcome == Outcome.TIMEOUT && now + SECOND / 1000 >= s.deadline) {
            sessions.remove(request);
            act.fail(request);
        } else {
            place(now, s);
        }
    }

    /** Takes a session off its server's account. */
    private void leave(long now, Session s) {
        Node n = s.node;
        n.mine.remove(s.req.id());
        book(now, n, s.playing ? -kb(s, s.rung) : 0, s.playing ? 0 : -kb(s, s.rung));
        if (s.playing && s.c.worth() > leastWorth) raise(now, n, true);
        s.node = null;
    }

    @Override
    public void gone(long now, String request) {
        Session s = sessions.remove(request);
        if (s != null && s.node != null) leave(now, s);
    }

    // ---- Playing.
    @Override
    public void open(long now, Request request, String server) {
        start(now);
        Integer cls = classOf.get(request.className());
        Node n = nodes.get(server);
        if (cls == null || n == null) return;
        Session s = new Session(request, set.classes().get(cls), now);
        s.playing = true;
        s.noted = true;
        s.node = n;
        s.rung = s.c.floor();
        s.attempts = 1;
        sessions.put(request.id(), s);
        n.mine.put(request.id(), s);
        book(now, n, kb(s, s.rung), 0);
        openKb += kb(s, s.rung);
        for (Node o : nodes.values()) { // all has been running for long
            o.coldSince = Long.MIN_VALUE;
            o.maybe = false;
        }
    }

    @Override
    public void note(long now, String request, String server, Topic topic, double value) {
        Node n = nodes.get(server);
        Session s = sessions.get(request);
        if (n == null) return;
        switch (topic) {
            case RUNG -> {
                if (s != null && s.playing && value >= 0 && value < rate.length) {
                    double more = kb(s, (int) value) - kb(s, s.rung);
                    s.rung = (int) value;
                    book(now, n, more, 0);
                    openKb += s.sentAt == 0 ? more : 0;
                }
            }
            case LINK -> {
                boolean setUp = s != null && !s.noted;
                if (s != null) s.noted = true;
                long at = setUp ? now : now - set.limits().see();
                jump(n, value, (n.level + n.changedBy(at)) / Math.max(1e-3, value * capacity(now, n)));
                sample(n, value * capacity(now, n), at);
                relieve(now, n);
                // A set-up's own reading is of now and tells nobody else: the newcomer takes its rung by it.
                if (setUp && tellsUplink) s.settles = true; // once its uplink is told too
                else if (setUp) raise(now, s, s.top, 1);
            }
            case UPLINK -> {
                n.rack.sample(value * n.rack.uplink, n.sampledAt);
                relieve(now, n);
                if (s != null && s.settles) {
                    s.settles = false;
                    raise(now, s, s.top, 1);
                }
            }
            case DELIVERED -> {
                if (value < 0.98 && value > 0) shortOf(now, n, value);
            }
        }
    }

    /** A link asked a multiple of what it was, which nobody can have added since, gives less; and back. */
    private void jump(Node n, double value, double ratio) {
        if (n.trust > UNKNOWN && n.level > 0.05 * n.told && (ratio < 1 / JUMP && value > 1 || ratio > JUMP)) {
            n.gives = Math.max(0.05, Math.min(1, n.gives * ratio));
        }
    }

    private void sample(Node n, double level, long at) {
        n.sample(level, at);
        n.dice = random.nextDouble();
    }

    /** Load reports are later and noisier than notes: used only where no note has come for long. */
    private void read(long now, Node n, LoadReport report) {
        int i = set.reportFields().indexOf(Field.LINK);
        if (i >= 0
                && i < report.values().size()
                && now - n.sampledAt > 2 * set.limits().tell()) {
            sample(n, report.values().get(i) * capacity(now, n), now - SECOND / 2);
        }
    }

    /** A server delivers short: its rack's uplink if most of the rack does, else its own link. */
    private void shortOf(long now, Node n, double delivered) {
        long since = set.limits().see() + SECOND;
        Rack r = n.rack;
        n.shortAt = now;
        int shorts = 0, heard = 0;
        for (Node o : r.nodes) {
            heard += o.mine.isEmpty() ? 0 : 1;
            shorts += now - o.shortAt < SECOND * 3 / 2 ? 1 : 0;
        }
        if (shorts > 1 && 2 * shorts >= heard) {
            r.confirmedAt = now;
            if (!tellsUplink && now - r.shortAt > since) {
                r.shortAt = now;
                // Set against what was asked then, not against what is left since some was shed.
                double asked = r.nodes.stream()
                        .mapToDouble(o -> base(o)
                                + o.trust * o.changedBy(now - set.limits().see()))
                        .sum();
                r.uplink = Math.min(r.uplink, Math.max(0.15 * r.told, asked * delivered));
            }
        } else if (now - n.relievedAt > since) {
            sample(
                    n,
                    Math.max(base(n), capacity(now, n) / delivered),
                    now - set.limits().see());
        }
        relieve(now, n);
    }

    /** Sub-rating for what is asked beyond a link or uplink: the same drops, as often as needed. */
    private void relieve(long now, Node n) {
        Rack r = n.rack;
        long since = set.limits().see() + SECOND / 2; // not again for readings from before the others shed
        if (load(n) > FULL * capacity(now, n) && now - n.relievedAt > since) {
            n.relievedAt = now;
            shed(now, n.mine.values(), -part(n, RELIEVED * capacity(now, n), 1));
        }
        double full = now - r.confirmedAt < SECOND ? RELIEVED : RACK_FULL; // servers deliver short too
        if (load(r) > full * r.uplink && now - r.relievedAt > since) {
            r.relievedAt = now;
            List<Session> all =
                    r.nodes.stream().flatMap(o -> o.mine.values().stream()).toList();
            shed(now, all, -part(r, RELIEVED * r.uplink, 1));
        }
    }

    /** Whole rungs for this director's part of an excess; the last at random, or all would overshoot. */
    private void shed(long now, Collection<Session> among, double left) {
        List<Drop> all = new ArrayList<>();
        for (Session s : among) if (s.playing) drops(now, s, all);
        all.sort(Comparator.comparingDouble(d -> d.cost() / d.freed()));
        for (Drop d : all) {
            if (left <= 0) return;
            if (d.s().rung > d.rung() && d.freed() == kb(d.s(), d.s().rung) - kb(d.s(), d.rung())) {
                if (left < d.freed() && random.nextDouble() > left / d.freed()) return;
                left -= d.freed();
                step(now, d.s(), d.rung());
            }
        }
    }

    private void step(long now, Session s, int rung) {
        book(now, s.node, kb(s, rung) - kb(s, s.rung), 0);
        s.steppedAt = now;
        s.rung = rung;
        act.rate(s.req.id(), rung);
    }

    private boolean repays(long now, Session s, int rung) {
        double more = s.c.worth() * (worth[rung] - worth[s.rung]) - price / 2 * (kb(s, rung) - kb(s, s.rung));
        return more * stay(now, s) > REPAY * s.c.worth() * switchS;
    }

    /** Steps up as room and price allow, where the stay repays it; regain: a premium session has left. */
    private void raise(long now, Node n, boolean regain) {
        for (Session s : List.copyOf(n.mine.values())) {
            if (regain ? s.degraded : now - s.steppedAt >= UP_GAP && n.trust > UNKNOWN) {
                raise(now, s, regain ? s.asked : s.top, 0);
            }
        }
    }

    private void raise(long now, Session s, int top, double part) {
        if (!s.playing || s.rung >= top) return;
        double room = room(now, s.node, s, part);
        double whole = room(now, s.node, s, 1);
        int best = s.rung;
        for (int r = s.rung + 1; r <= top; r++) {
            double more = kb(s, r) - kb(s, s.rung);
            if ((more <= room || more <= whole && more * s.node.dice < room) && net(s.c, r) > net(s.c, best)) best = r;
        }
        if (best > s.rung && repays(now, s, best)) {
            s.degraded = false;
            step(now, s, best);
        }
    }

    @Override
    public void timer(long now, String key) {
        act.timer(key, now + SWEEP);
        for (Rack r : racks) {
            if (now - r.shortAt > 3 * SECOND && r.uplink < r.told) {
                r.uplink = Math.min(r.told, r.uplink + UPLINK_RISE * r.told * SWEEP / SECOND);
            }
        }
        double decay = Math.exp(-SWEEP / (double) SECOND * ends / playedS);
        for (Node n : nodes.values()) n.trust *= decay;
        for (Rack r : racks) r.trust *= decay;
        double opened = Math.min(1, openKb * set.balancers() / Math.max(1, links));
        priorFill = fullness(nodes.values(), openKb > 0 ? opened : PRIOR_FILL);
        rackFill = fullness(Arrays.asList(racks), PRIOR_FILL);
        ownKb = 0;
        for (Rack r : racks) ownKb += r.own;
        double rivals = sending(now)
                * (set.balancers() - 1)
                / Math.max(1, nodes.size())
                * set.limits().tell()
                / SECOND;
        // A share that is surely its own; more where few others come to a server between two readings.
        double least = Math.max(1.0 / set.balancers(), act.newcomers());
        newcomerPart = Math.max(least, 1 / (1 + RIVALS * rivals));
        going(now);
        for (Node n : nodes.values()) raise(now, n, false);
        if (nodes.values().removeIf(n -> n.gone && n.mine.isEmpty())) measure();
        if (now >= quotasAt) {
            quotasAt = now + QUOTA_PERIOD;
            quotas(now);
        }
    }

    /** Mean fullness of what was heard of, each by its trust, and of what is assumed. */
    private double fullness(Collection<? extends Link> of, double assumed) {
        double heard = PRIOR_HEARD;
        double full = PRIOR_HEARD * assumed;
        for (Link l : of) {
            heard += l.trust;
            double gives = Math.max(1, l instanceof Rack r ? r.uplink : l.told);
            full += l.trust * Math.min(OVERFULL, load(l) / gives);
        }
        return full / heard;
    }

    private void start(long now) {
        if (bootAt == Long.MIN_VALUE) {
            bootAt = now;
            quotasAt = now + QUOTA_PERIOD;
            act.timer("sweep", now + SWEEP);
        }
    }

    // ---- The list.
    @Override
    public void members(long now, Scope scope, List<Server> servers) {
        start(now);
        if (scope == Scope.ERROR) return;
        for (Node n : nodes.values()) {
            n.listed &= scope == Scope.CHANGES;
            n.gone |= scope != Scope.CHANGES; // unless it is named below
            if (scope != Scope.DISK && n.maybe) {
                n.maybe = false; // fresh news names all that changed since the list was kept
                n.coldSince = n.info.upSince() > 0 ? n.info.upSince() : Long.MIN_VALUE;
            }
        }
        for (Server info : servers) {
            Node n = nodes.computeIfAbsent(info.id(), id -> new Node());
            boolean restarted = n.info != null && info.upSince() > n.info.upSince();
            boolean isNew = n.info == null;
            n.info = info;
            n.listed = info.state() == State.UP;
            n.gone = info.state() == State.GONE;
            if (scope == Scope.DISK) {
                n.coldSince = now; // may have restarted since the list was kept
                n.maybe = true;
            } else if (isNew || restarted) {
                n.coldSince = info.upSince() > 0 ? info.upSince() : Long.MIN_VALUE;
                if (restarted) {
                    n.pausedUntil = 0;
                    n.strikes = 0;
                    n.gives = 1;
                    sample(n, 0, now);
                }
            }
        }
        listed = (int) nodes.values().stream().filter(n -> n.listed).count();
        measure();
    }

    /** Servers known, for tests. */
    int known() {
        return nodes.size();
    }

    /** Links as told: by weight, or by streams where all weights are alike. */
    private void measure() {
        double streams = 0;
        boolean alike = nodes.values().stream()
                        .mapToDouble(n -> n.info.weight())
                        .distinct()
                        .count()
                < 2;
        int least = set.kinds().stream().mapToInt(Kind::streams).min().orElse(1);
        for (Node n : nodes.values()) {
            n.streams = least; // a kind not told of runs what every kind does
            for (Kind k : set.kinds()) n.streams = k.name().equals(n.info.kind()) ? k.streams() : n.streams;
            streams += n.streams;
        }
        links = 0;
        for (Rack r : racks) r.nodes.clear();
        for (Node n : nodes.values()) {
            double unit = set.ladder().weightKb() * n.info.weight();
            n.told = Math.max(1, alike && streams > 0 ? unit * n.streams * nodes.size() / streams : unit);
            n.rack = racks[Math.floorMod(n.info.cell(), racks.length)];
            n.rack.nodes.add(n);
            links += n.told;
        }
        for (Rack r : racks) {
            if (r.told > 0 || r.nodes.isEmpty()) continue; // stays as it is when servers come and go
            double part = r.nodes.stream().mapToDouble(n -> n.told).sum() / links;
            boolean hope = !tellsUplink && set.balancers() < MANY_DIRECTORS;
            r.told = set.ladder().uplinkKb() * racks.length * part * (hope ? UPLINK_HOPE : 1);
            r.uplink = r.told;
        }
    }

    // ---- Health.
    /** Rule 3: nothing goes to a server from the moment that it is told to drain or to be gone. */
    private boolean usable(long now, Node n) {
        return n.listed && now >= n.pausedUntil;
    }

    @Override
    public void probed(long now, String server, boolean healthy, LoadReport report) {} // none is sent

    @Override
    public void told(long now, int from, byte[] message) {} // nothing is asked of the other directors

    // ---- Cold pace (rule 4).
    private double warmth(long now, Node n) {
        if (n.coldSince == Long.MIN_VALUE || now - n.coldSince >= set.rules().warmUp()) return 1;
        return set.rules().coldFrom()
                + (1 - set.rules().coldFrom())
                        * Math.max(0, now - n.coldSince)
                        / (double) set.rules().warmUp();
    }

    /**
     * Whether a cold server stands open to a try that would go there with that chance. Few directors keep to
     * their part of its pace; of many, each may be expected to send its part (docs/design/cold-ramp.md).
     */
    private boolean thawed(long now, Node n, double chance) {
        Pace pace = act.pace(n.info.id());
        if (pace != Pace.UNKNOWN) return pace == Pace.WITHIN;
        double takes = n.streams * warmth(now, n) / Math.max(1, set.rules().warmUp());
        double budget = set.rules().tipMultiple() * takes * set.rules().fall();
        int all = set.balancers();
        double each = Math.max(1, Math.floor(takes * set.rules().fall() / all));
        if (budget > 0 && all <= budget)
            return (now - n.lastSentAt) * each >= set.rules().fall();
        if ((now - n.lastSentAt) * takes <= Math.min(2, all)) return false; // its own rush
        if (budget <= 0) return true; // the settings name no fall
        n.chances.removeIf(c -> c.at() <= now - set.rules().fall());
        double left = Rules.borne(budget) / all
                - n.chances.stream().mapToDouble(Change::by).sum();
        double open = Math.min(1, left / Math.max(1e-9, chance));
        if (open < 1e-6) return false;
        n.chances.add(new Change(now, open * chance));
        return random.nextDouble() < open;
    }

    /** Own set-ups a second lately: refused tries take no room, and counting them shuts what there is. */
    private double sending(long now) {
        sends.removeIf(at -> at < now - 2 * SECOND);
        return sends.size() / 2.0;
    }

    /** Own tries a second: since the start, or within the rule's window where those are more: a rush. */
    private double trying(long now) {
        long lately = set.rules().fall();
        tries.removeIf(at -> at < now - lately);
        double usual = links / (rate[rate.length / 2] * PRIOR_STAY_S) / set.balancers();
        double ever = (tried + PRIOR_TRIES) / ((now - bootAt) / (double) SECOND + PRIOR_TRIES / usual);
        return Math.max(ever, (tries.size() - 1) * (double) SECOND / Math.max(1, lately));
    }

    // ---- Method II (the paper, section 5).
    private void quotas(long now) {
        double span = (now - bootAt) / (double) SECOND;
        double[] rates = new double[2];
        double[] worths = new double[2];
        for (int i = 0; i < count.length; i++) {
            double each = set.classes().get(i).worth();
            int high = each > leastWorth ? 1 : 0;
            rates[high] += count[i];
            worths[high] += count[i] * each;
        }
        boolean few = rates[0] + rates[1] < FEW || rates[1] == 0 || rates[0] == 0 || listed == 0;
        Map<Integer, int[]> known = new HashMap<>();
        for (Node n : nodes.values()) {
            if (few) {
                n.quotaHigh = n.quotaLow = 0;
                continue;
            }
            int slots = (int) Math.min(n.streams, n.told / slotKb());
            if (slots > EACH_SLOT) slots -= slots % (slots / STEPS); // a few sizes stand for all
            double perServer = set.balancers() / (span * listed);
            int[] best = known.computeIfAbsent(
                    slots,
                    k -> bestQuotas(
                            k,
                            rates[1] * perServer,
                            rates[0] * perServer,
                            ends / playedS,
                            worths[1] / rates[1],
                            worths[0] / rates[0]));
            n.quotaHigh = best[0];
            n.quotaLow = best[1];
        }
    }

    /**
     * The quotas (high, low) of the highest payoff, by enumeration; a refusal costs the class's worth. Many
     * slots are gone through in steps, then finer round the best: all pairs would cost the cube of the slots.
     */
    static int[] bestQuotas(int slots, double lambdaH, double lambdaL, double mu, double vH, double vL) {
        int[] best = {0, 0};
        double[] most = {Double.NEGATIVE_INFINITY};
        Erlang high = new Erlang(lambdaH / mu, slots);
        Erlang low = new Erlang(lambdaL / mu, slots);
        Erlang[] inPool = new Erlang[slots + 1]; // by the high reserve: what it leaves to the pool
        Erlang[] rest = new Erlang[slots + 1]; // by the low reserve
        IntBinaryOperator look = (h, l) -> {
            if (h < 0 || l < 0 || h + l > slots) return 0;
            if (inPool[h] == null) inPool[h] = new Erlang(lambdaH * high.loss[h] / mu, slots);
            if (rest[l] == null) rest[l] = new Erlang(lambdaL * low.loss[l] / mu, slots);
            double payoff =
                    mu * (vH * high.mean[h] + vL * low.mean[l] + pool(slots - h - l, inPool[h], rest[l], vH, vL));
            if (payoff > most[0] + 1e-9) {
                most[0] = payoff;
                best[0] = h;
                best[1] = l;
            }
            return 0;
        };
        int step = slots <= EACH_SLOT ? 1 : (slots + STEPS - 1) / STEPS;
        for (int h = 0; h <= slots; h += step) {
            for (int l = 0; l + h <= slots; l += step) look.applyAsInt(h, l);
        }
        while (step > 1) {
            step = (step + 1) / 2;
            int h = best[0], l = best[1];
            for (int i = 0; i < 9; i++) look.applyAsInt(h + (i / 3 - 1) * step, l + (i % 3 - 1) * step);
        }
        return best;
    }

    /** (2) + (3) + (7) + (11) - (9); the inner sum of (7) runs over j. */
    static double payoff(int h, int l, int pool, double lambdaH, double lambdaL, double mu, double vH, double vL) {
        Erlang high = new Erlang(lambdaH / mu, h);
        Erlang low = new Erlang(lambdaL / mu, l);
        Erlang inPool = new Erlang(lambdaH * high.loss[h] / mu, pool);
        Erlang rest = new Erlang(lambdaL * low.loss[l] / mu, pool);
        return mu * (vH * high.mean[h] + vL * low.mean[l] + pool(pool, inPool, rest, vH, vL));
    }

    /** (7) + (11) - (9) over mu, at what both reserves leave to the pool. */
    private static double pool(int pool, Erlang high, Erlang low, double vH, double vL) {
        double sum = 0;
        for (int i = 0; i <= pool; i++) {
            double busy = high.term[i] / high.sum[pool];
            double full = busy * low.loss[pool - i];
            int squeezed = (pool - i) / ALPHA;
            sum += busy * (i * vH + low.mean[pool - i] * vL);
            sum += full * ((vH - vL) * high.mean[squeezed] - high.offered * vH * high.loss[squeezed]);
            sum -= full * low.offered * vL;
        }
        return sum;
    }

    /** Busy slots at a load offered: i of k with term[i] / sum[k]; by k their mean and Erlang's loss. */
    static final class Erlang {
        final double offered;
        final double[] term, sum, mean, loss;

        Erlang(double offered, int n) {
            this.offered = offered;
            term = new double[n + 1];
            sum = new double[n + 1];
            mean = new double[n + 1];
            loss = new double[n + 1];
            double next = 1e-290, all = 0, weighted = 0; // only their ratios count: room for large loads
            for (int i = 0; i <= n; i++) {
                term[i] = next;
                sum[i] = all += next;
                mean[i] = (weighted += i * next) / all;
                loss[i] = next / all;
                next *= offered / (i + 1);
            }
        }
    }
}
