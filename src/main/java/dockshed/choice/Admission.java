package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.model.EdgeServer;
import dockshed.model.Session;
import java.util.ArrayList;
import java.util.List;

/** Admission: a holder of the title, a rendition, and the sub-ratings that make room; or a refusal. Nothing waits. */
record Admission(
        Context context, Pricing pricing, Headroom headroom, SlowStart slowStart, Steps steps, Attempts attempts) {
    private static final double HOLDER_SHARE_MEMORY = 10; // tries that tell how often a title is held by a server
    private static final double CROSS_ZONE_LOAD_FACTOR = 3; // load that another zone counts as, over its price
    private static final long IDLE_CONNECTION_US = 15 * SECOND_US; // one without sessions is there for so long at least

    /** Admits the request, or ends it at once. */
    void place(long now, Session session) {
        context.rates().recordPlacement(now);
        List<EdgeServer> holders = availableHolders(now, session);
        if (session.attempts() > 0 && !attempts.mayRetry(now, session)
                || !context.sessions().hasFreeSeat(session)
                || holders.isEmpty()
                || candidates(now, session, holders).stream().noneMatch(server -> admit(now, session, server))) {
            endUnserved(session);
        }
    }

    /** The final answer, at once, for a request that is not served. Rule 2: refuse only if none ran. */
    private void endUnserved(Session session) {
        context.sessions().remove(session.id());
        if (session.mustNotRepeat()) {
            context.actions().fail(session.id());
        } else {
            context.actions().refuse(session.id(), context.settings().limits().maxRetryAfter());
        }
    }

    /** Holders of the title that may be sent the session now; of cold ones those that stand open. */
    private List<EdgeServer> availableHolders(long now, Session session) {
        List<EdgeServer> out = new ArrayList<>();
        List<EdgeServer> cold = new ArrayList<>();
        int cells = context.settings().ladder().cells();
        for (EdgeServer server : context.servers().listed()) {
            server.recordPlacement(session.request(), cells, HOLDER_SHARE_MEMORY);
            if (server.warmth(now) < 1) {
                cold.add(server);
            }
            if (server.holds(session.request(), cells) && server.usable(now) && !session.tried(server)) {
                out.add(server);
            }
        }
        List<EdgeServer> clear = new ArrayList<>(out);
        clear.removeIf(server -> context.actions().shouldAvoid(server.id()));
        out = clear.isEmpty() ? out : clear; // else the request itself finds out
        double chance = cold.isEmpty() ? 1 : coldPickProbability(now, session, out);
        cold.removeIf(server -> slowStart.admits(now, server, chance * server.holderShare()));
        out.removeAll(cold);
        return out;
    }

    /** The chance at most that an open cold server is picked, of those with room. */
    private double coldPickProbability(long now, Session session, List<EdgeServer> from) {
        double least = handshakesArePriced() ? pricing.bestRateKb(session) : session.rateKb(session.floor());
        long warm = from.stream()
                .filter(server -> server.warmth(now) >= 1)
                .filter(server -> !handshakesArePriced() || server.probablyConnected(now, IDLE_CONNECTION_US))
                .filter(server -> fits(now, session, server, least))
                .count();
        return Math.min(1, 2.0 / (1 + warm));
    }

    private boolean fits(long now, Session session, EdgeServer server, double kb) {
        return headroom.forNewcomer(now, server, session) >= kb;
    }

    private boolean handshakesArePriced() {
        return context.settings().prices().handshake() > 0;
    }

    /** The servers to be tried in turn. */
    private List<EdgeServer> candidates(long now, Session session, List<EdgeServer> holders) {
        List<EdgeServer> open = new ArrayList<>(holders);
        open.removeIf(server -> !fits(now, session, server, session.rateKb(session.floor())));
        // At size each director has few sessions at a server: a connection to one more is a handshake more.
        if (handshakesArePriced()) {
            double wanted = pricing.bestRateKb(session);
            List<EdgeServer> connected = new ArrayList<>(open);
            connected.removeIf(s -> !s.probablyConnected(now, IDLE_CONNECTION_US) || !fits(now, session, s, wanted));
            open = connected.size() > 1 ? connected : open;
        }
        List<EdgeServer> picks = new ArrayList<>(pickTwo(now, open.isEmpty() ? holders : open));
        // At size the two seldom hold an own session to sub-rate: then where own sessions play.
        if (picks.stream().allMatch(EdgeServer::idle)) {
            holders.stream()
                    .filter(server -> !server.idle() && server.warmth(now) >= 1)
                    .forEach(picks::add);
        }
        return picks;
    }

    /** Two at random, the less loaded first; a foreign zone counts as load by its price. */
    private List<EdgeServer> pickTwo(long now, List<EdgeServer> from) {
        EdgeServer a = from.get(context.random().nextInt(from.size()));
        EdgeServer b = a;
        while (b == a && from.size() > 1) {
            b = from.get(context.random().nextInt(from.size()));
        }
        List<EdgeServer> two =
                weightedUtilization(now, a) <= weightedUtilization(now, b) ? List.of(a, b) : List.of(b, a);
        return a == b ? List.of(a) : two;
    }

    private double weightedUtilization(long now, EdgeServer server) {
        boolean near = server.info().zone().equals(context.settings().zone());
        double foreign =
                near ? 0 : CROSS_ZONE_LOAD_FACTOR * context.settings().prices().crossZone();
        return Math.max(headroom.utilization(now, server), headroom.utilization(now, server.rack())) + foreign;
    }

    /** Admits at the rendition that earns most after the price of its room and the drops that make it. */
    private boolean admit(long now, Session session, EdgeServer server) {
        double room = headroom.forNewcomer(now, server, session);
        double stay = pricing.remainingStay(now, session);
        double best = 0;
        int rendition = -1;
        List<SubRating> drops = List.of();
        List<SubRating> all = session.rateKb(session.top()) > room ? possibleDrops(now, server, session) : List.of();
        for (int r = session.floor(); r <= session.top(); r++) {
            double net = stay * pricing.netWorth(session, r);
            double need = session.rateKb(r) - room;
            List<SubRating> made = need <= 0 ? List.of() : net > best ? SubRating.cheapest(all, need) : null;
            if (made == null) {
                continue;
            }
            for (SubRating drop : made) {
                net -= drop.cost();
            }
            if (net > best) {
                best = net;
                rendition = r;
                drops = made;
            }
        }
        if (rendition < 0) {
            return false;
        }
        drops.forEach(drop -> steps.subRate(now, drop));
        attempts.send(now, session, server, rendition);
        return true;
    }

    /** The drops that may make room for a newcomer: of low sessions, each once. */
    private List<SubRating> possibleDrops(long now, EdgeServer server, Session newcomer) {
        return server.sessions().stream()
                .filter(s -> s.playing() && !s.subRated())
                .filter(s -> pricing.mayBeSubRatedFor(s.sessionClass(), newcomer.sessionClass()))
                .flatMap(s -> steps.drops(now, s))
                .toList();
    }
}
