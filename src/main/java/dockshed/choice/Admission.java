package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.model.EdgeServer;
import dockshed.model.Session;
import java.util.ArrayList;
import java.util.List;

/**
 * Admission: for each request chooses an edge server that holds the title, a rendition, and the sessions to sub-rate to
 * make room, or refuses at once. No request is queued.
 */
record Admission(
        Context context, Pricing pricing, Headroom headroom, SlowStart slowStart, Steps steps, Attempts attempts) {
    private static final double HOLDER_SHARE_MEMORY = 10; // placements that the share of held titles is averaged over
    private static final double CROSS_ZONE_LOAD_FACTOR = 3; // utilization per unit of the cross-zone price
    private static final long IDLE_CONNECTION_US = 15 * SECOND_US; // a connection is kept this long without sessions

    /** Admits the request, or ends it at once. Called for each request and again after each failed attempt. */
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

    /**
     * Ends a request that is not served. Rule 2: if a set-up may have run and must not be repeated the request fails;
     * otherwise it is refused, and the viewer may retry.
     */
    private void endUnserved(Session session) {
        context.sessions().remove(session.id());
        if (session.mustNotRepeat()) {
            context.actions().fail(session.id());
        } else {
            context.actions().refuse(session.id(), context.settings().limits().maxRetryAfter());
        }
    }

    /** Servers that hold the title and may be sent the session now; cold ones only if slow start admits it. */
    private List<EdgeServer> availableHolders(long now, Session session) {
        List<EdgeServer> eligible = new ArrayList<>();
        List<EdgeServer> cold = new ArrayList<>();
        int cells = context.settings().ladder().cells();
        for (EdgeServer server : context.servers().listed()) {
            server.recordPlacement(session.request(), cells, HOLDER_SHARE_MEMORY);
            if (server.warmth(now) < 1) {
                cold.add(server);
            }
            if (server.holds(session.request(), cells) && server.usable(now) && !session.hasTried(server)) {
                eligible.add(server);
            }
        }
        List<EdgeServer> preferred = new ArrayList<>(eligible);
        preferred.removeIf(server -> context.actions().shouldAvoid(server.id()));
        eligible = preferred.isEmpty() ? eligible : preferred; // all are to be avoided: the request tries one of them
        double probability = cold.isEmpty() ? 1 : coldPickProbability(now, session, eligible);
        cold.removeIf(server -> slowStart.admits(now, server, probability * server.holderShare()));
        eligible.removeAll(cold);
        return eligible;
    }

    /** Upper bound on the probability that an admitting cold server is picked, given the warm ones with room. */
    private double coldPickProbability(long now, Session session, List<EdgeServer> from) {
        double neededKb =
                handshakesArePriced() ? pricing.bestRateKb(session) : session.rateKb(session.lowestRendition());
        long warm = from.stream()
                .filter(server -> server.warmth(now) >= 1)
                .filter(server -> !handshakesArePriced() || server.probablyConnected(now, IDLE_CONNECTION_US))
                .filter(server -> fits(now, session, server, neededKb))
                .count();
        return Math.min(1, 2.0 / (1 + warm));
    }

    /** Whether the server has headroom of {@code kb} kB/s for the session. */
    private boolean fits(long now, Session session, EdgeServer server, double kb) {
        return headroom.forNewcomer(now, server, session) >= kb;
    }

    /** Whether a new connection to a server costs points, so that servers with a connection are preferred. */
    private boolean handshakesArePriced() {
        return context.settings().prices().handshake() > 0;
    }

    /** The servers to try, in this order. */
    private List<EdgeServer> candidates(long now, Session session, List<EdgeServer> holders) {
        List<EdgeServer> withRoom = new ArrayList<>(holders);
        withRoom.removeIf(server -> !fits(now, session, server, session.rateKb(session.lowestRendition())));
        // In a large fleet a broker has few sessions at each server, so that one more server costs one more handshake.
        if (handshakesArePriced()) {
            double bestKb = pricing.bestRateKb(session);
            List<EdgeServer> withConnection = new ArrayList<>(withRoom);
            withConnection.removeIf(server ->
                    !server.probablyConnected(now, IDLE_CONNECTION_US) || !fits(now, session, server, bestKb));
            withRoom = withConnection.size() > 1 ? withConnection : withRoom;
        }
        List<EdgeServer> picks = new ArrayList<>(pickTwo(now, withRoom.isEmpty() ? holders : withRoom));
        // In a large fleet the two rarely have an own session to sub-rate: then also try the servers that have one.
        if (picks.stream().allMatch(EdgeServer::idle)) {
            holders.stream()
                    .filter(server -> !server.idle() && server.warmth(now) >= 1)
                    .forEach(picks::add);
        }
        return picks;
    }

    /** Picks two servers at random, the less utilized first (power of two choices). */
    private List<EdgeServer> pickTwo(long now, List<EdgeServer> from) {
        EdgeServer first = from.get(context.random().nextInt(from.size()));
        EdgeServer second = first;
        while (second == first && from.size() > 1) {
            second = from.get(context.random().nextInt(from.size()));
        }
        List<EdgeServer> two = weightedUtilization(now, first) <= weightedUtilization(now, second)
                ? List.of(first, second)
                : List.of(second, first);
        return first == second ? List.of(first) : two;
    }

    /** Utilization of the server or its uplink, whichever is higher, plus the price of crossing zones. */
    private double weightedUtilization(long now, EdgeServer server) {
        boolean sameZone = server.listing().zone().equals(context.settings().zone());
        double zonePenalty = sameZone
                ? 0
                : CROSS_ZONE_LOAD_FACTOR * context.settings().prices().crossZone();
        return Math.max(headroom.utilization(now, server), headroom.utilization(now, server.rack())) + zonePenalty;
    }

    /**
     * Admits at the rendition that earns most after the price of its rate and the cost of the sub-ratings that make
     * room for it; false if none earns anything.
     */
    private boolean admit(long now, Session session, EdgeServer server) {
        double room = headroom.forNewcomer(now, server, session);
        double remainingStay = pricing.remainingStay(now, session);
        double bestNet = 0;
        int rendition = -1;
        List<SubRating> drops = List.of();
        List<SubRating> possible =
                session.rateKb(session.highestRendition()) > room ? possibleDrops(now, server, session) : List.of();
        for (int candidate = session.lowestRendition(); candidate <= session.highestRendition(); candidate++) {
            double net = remainingStay * pricing.netWorth(session, candidate);
            double missingKb = session.rateKb(candidate) - room;
            List<SubRating> chosen =
                    missingKb <= 0 ? List.of() : net > bestNet ? SubRating.cheapest(possible, missingKb) : null;
            if (chosen == null) {
                continue;
            }
            for (SubRating drop : chosen) {
                net -= drop.cost();
            }
            if (net > bestNet) {
                bestNet = net;
                rendition = candidate;
                drops = chosen;
            }
        }
        if (rendition < 0) {
            return false;
        }
        drops.forEach(drop -> steps.subRate(now, drop));
        attempts.send(now, session, server, rendition);
        return true;
    }

    /**
     * Step-downs that may make room for a newcomer: of playing sessions that are worth no more than it, or no more than
     * the least worth, and are not sub-rated yet.
     */
    private List<SubRating> possibleDrops(long now, EdgeServer server, Session newcomer) {
        return server.sessions().stream()
                .filter(session -> session.playing() && !session.subRated())
                .filter(session -> pricing.mayBeSubRatedFor(session.sessionClass(), newcomer.sessionClass()))
                .flatMap(session -> steps.drops(now, session))
                .toList();
    }
}
