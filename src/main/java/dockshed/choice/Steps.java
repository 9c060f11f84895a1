package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.model.EdgeServer;
import dockshed.model.Session;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Steps playing sessions from one rendition to another: down where a link is overloaded, up as headroom allows. */
record Steps(Context context, Pricing pricing, Headroom headroom) {
    /** Least time between a step of a session and its next step up, so that sessions don't oscillate. */
    private static final long MIN_STEP_UP_INTERVAL_US = 8 * SECOND_US;

    /** Steps a session to a rendition, here and at its server. */
    private void step(long now, Session session, int rendition) {
        session.step(now, rendition);
        context.actions().setRendition(session.id(), rendition);
    }

    /** Sub-rates a session for a newcomer; it steps up again once a premium session has left. */
    void subRate(long now, SubRating drop) {
        drop.session().markSubRated();
        step(now, drop.session(), drop.rendition());
    }

    /** Step-downs of a session to each lower rendition. */
    Stream<SubRating> drops(long now, Session session) {
        return IntStream.range(session.lowestRendition(), session.rendition())
                .mapToObj(rendition -> new SubRating(
                        session, rendition, -session.moreKb(rendition), pricing.dropCost(now, session, rendition)));
    }

    /**
     * Steps sessions down for this broker's share of an excess, the cheapest per kB first. The last step is taken with
     * a probability equal to the needed part of what it frees: steps are whole renditions, and if every broker rounded
     * up they would shed too much together.
     *
     * @param excessKb in kB/s
     */
    void shed(long now, Collection<Session> among, double excessKb) {
        List<SubRating> possible = among.stream()
                .filter(Session::playing)
                .flatMap(session -> drops(now, session))
                .sorted(Comparator.comparingDouble(drop -> drop.cost() / drop.freedKb()))
                .toList();
        double remainingKb = excessKb;
        for (SubRating drop : possible) {
            Session session = drop.session();
            double freedKb = drop.freedKb();
            boolean stillValid = session.rendition() > drop.rendition() && freedKb == -session.moreKb(drop.rendition());
            if (remainingKb > 0 && stillValid) {
                if (remainingKb < freedKb && context.random().nextDouble() > remainingKb / freedKb) {
                    return;
                }
                remainingKb -= freedKb;
                step(now, session, drop.rendition());
            }
        }
    }

    /** Steps the server's sessions up as headroom and price allow, where the remaining stay repays the switch. */
    void stepUp(long now, EdgeServer server) {
        List.copyOf(server.sessions()).stream()
                .filter(session -> now - session.steppedAt() >= MIN_STEP_UP_INTERVAL_US
                        && server.load().trust() > Headroom.MIN_TRUST)
                .forEach(session -> stepUp(now, session, session.highestRendition(), 0));
    }

    /** Steps sub-rated sessions up to their former rendition, after a premium session has left. */
    void restoreSubRated(long now, EdgeServer server) {
        List.copyOf(server.sessions()).stream()
                .filter(Session::subRated)
                .forEach(session -> stepUp(now, session, session.renditionBeforeSubRating(), 0));
    }

    /**
     * Steps a newcomer up by the reading of its own set-up. No other broker gets that reading, so it need not be
     * shared.
     */
    void stepUpNewcomer(long now, Session session) {
        stepUp(now, session, session.highestRendition(), 1);
    }

    /**
     * Steps a session up to the rendition that earns most, if it fits the headroom. Beyond this broker's share it is
     * taken with a probability, so that all brokers together use the headroom.
     *
     * @param share of the headroom; 0 means the even share
     */
    private void stepUp(long now, Session session, int highestRendition, double share) {
        if (!session.playing() || session.rendition() >= highestRendition) {
            return;
        }
        double room = headroom.forSession(now, session.server(), session, share);
        double unsharedRoom = headroom.forSession(now, session.server(), session, 1);
        double draw = session.server().readingDraw();
        int target = session.rendition();
        for (int rendition = session.rendition() + 1; rendition <= highestRendition; rendition++) {
            double more = session.moreKb(rendition);
            boolean fits = more <= room || more <= unsharedRoom && more * draw < room;
            target = fits && pricing.netWorth(session, rendition) > pricing.netWorth(session, target)
                    ? rendition
                    : target;
        }
        if (target > session.rendition() && pricing.repays(now, session, target)) {
            session.clearSubRated();
            step(now, session, target);
        }
    }
}
