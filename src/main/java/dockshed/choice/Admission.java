package dockshed.choice;

import static dockshed.choice.Choice.SECOND;

import dockshed.model.EdgeServer;
import dockshed.model.Session;
import java.util.ArrayList;
import java.util.List;

/** Admission: a holder of the title, a rendition, and the sub-ratings that make room; or a refusal. Nothing waits. */
record Admission(
        Context context, Pricing pricing, Headroom headroom, SlowStart slowStart, Steps steps, Attempts attempts) {
    private static final double HELD = 10; // tries that tell how often a title is held by a server
    private static final double ZONE_WEIGHT = 3; // load that another zone counts as, over its price
    private static final long CONNECTION_KEPT = 15 * SECOND; // one without sessions is there for so long at least

    /** Admits the request, or ends it at once. */
    void place(long now, Session session) {
        context.rates().tried(now);
        List<EdgeServer> holders = holders(now, session);
        if (session.attempts() > 0 && !attempts.mayTryAgain(now, session)
                || !context.sessions().seatFree(session)
                || holders.isEmpty()
                || picks(now, session, holders).stream().noneMatch(server -> admit(now, session, server))) {
            giveUp(session);
        }
    }

    /** The final answer, at once, for a request that is not served. Rule 2: refuse only if none ran. */
    private void giveUp(Session session) {
        context.sessions().remove(session.id());
        if (session.paid()) {
            context.actions().fail(session.id());
        } else {
            context.actions().refuse(session.id(), context.settings().limits().maxRetryAfter());
        }
    }

    /** Holders of the title that may be sent the session now; of cold ones those that stand open. */
    private List<EdgeServer> holders(long now, Session session) {
        List<EdgeServer> out = new ArrayList<>();
        List<EdgeServer> cold = new ArrayList<>();
        int cells = context.settings().ladder().cells();
        for (EdgeServer server : context.servers().listed()) {
            server.tried(session.request(), cells, HELD);
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
        double chance = cold.isEmpty() ? 1 : coldChance(now, session, out);
        cold.removeIf(server -> slowStart.open(now, server, chance * server.holderShare()));
        out.removeAll(cold);
        return out;
    }

    /** The chance at most that an open cold server is picked, of those with room. */
    private double coldChance(long now, Session session, List<EdgeServer> from) {
        double least = connectionsCost() ? pricing.wantedKb(session) : session.kb(session.floor());
        long warm = from.stream()
                .filter(server -> server.warmth(now) >= 1)
                .filter(server -> !connectionsCost() || server.connected(now, CONNECTION_KEPT))
                .filter(server -> fits(now, session, server, least))
                .count();
        return Math.min(1, 2.0 / (1 + warm));
    }

    private boolean fits(long now, Session session, EdgeServer server, double kb) {
        return headroom.forNewcomer(now, server, session) >= kb;
    }

    private boolean connectionsCost() {
        return context.settings().prices().handshake() > 0;
    }

    /** The servers to be tried in turn. */
    private List<EdgeServer> picks(long now, Session session, List<EdgeServer> holders) {
        List<EdgeServer> open = new ArrayList<>(holders);
        open.removeIf(server -> !fits(now, session, server, session.kb(session.floor())));
        // At size each director has few sessions at a server: a connection to one more is a handshake more.
        if (connectionsCost()) {
            double wanted = pricing.wantedKb(session);
            List<EdgeServer> connected = new ArrayList<>(open);
            connected.removeIf(s -> !s.connected(now, CONNECTION_KEPT) || !fits(now, session, s, wanted));
            open = connected.size() > 1 ? connected : open;
        }
        List<EdgeServer> picks = new ArrayList<>(twoOf(now, open.isEmpty() ? holders : open));
        // At size the two seldom hold an own session to sub-rate: then where own sessions play.
        if (picks.stream().allMatch(EdgeServer::idle)) {
            holders.stream()
                    .filter(server -> !server.idle() && server.warmth(now) >= 1)
                    .forEach(picks::add);
        }
        return picks;
    }

    /** Two at random, the less loaded first; a foreign zone counts as load by its price. */
    private List<EdgeServer> twoOf(long now, List<EdgeServer> from) {
        EdgeServer a = from.get(context.random().nextInt(from.size()));
        EdgeServer b = a;
        while (b == a && from.size() > 1) {
            b = from.get(context.random().nextInt(from.size()));
        }
        List<EdgeServer> two = burden(now, a) <= burden(now, b) ? List.of(a, b) : List.of(b, a);
        return a == b ? List.of(a) : two;
    }

    private double burden(long now, EdgeServer server) {
        boolean near = server.info().zone().equals(context.settings().zone());
        double foreign = near ? 0 : ZONE_WEIGHT * context.settings().prices().crossZone();
        return Math.max(headroom.full(now, server), headroom.full(now, server.rack())) + foreign;
    }

    /** Admits at the rendition that earns most after the price of its room and the drops that make it. */
    private boolean admit(long now, Session session, EdgeServer server) {
        double room = headroom.forNewcomer(now, server, session);
        double stay = pricing.stay(now, session);
        double best = 0;
        int rendition = -1;
        List<SubRating> drops = List.of();
        List<SubRating> all = session.kb(session.top()) > room ? lowDrops(now, server, session) : List.of();
        for (int r = session.floor(); r <= session.top(); r++) {
            double net = stay * pricing.net(session, r);
            double need = session.kb(r) - room;
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
    private List<SubRating> lowDrops(long now, EdgeServer server, Session newcomer) {
        return server.sessions().stream()
                .filter(s -> s.playing() && !s.subRated())
                .filter(s -> pricing.yields(s.sessionClass(), newcomer.sessionClass()))
                .flatMap(s -> steps.drops(now, s))
                .toList();
    }
}
