package dockshed.choice;

import static dockshed.choice.Choice.SECOND_US;

import dockshed.model.EdgeServer;
import dockshed.model.Session;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Steps of playing sessions from one rendition to another, down for what is asked too much and up as room allows. */
record Steps(Context context, Pricing pricing, Headroom headroom) {
    private static final long MIN_STEP_UP_INTERVAL_US =
            8 * SECOND_US; // from a step of a session to its next step up: steadiness

    private void step(long now, Session session, int rendition) {
        session.step(now, rendition);
        context.actions().setRendition(session.id(), rendition);
    }

    /** For a newcomer; the session steps up again to where it was once a premium session has left. */
    void subRate(long now, SubRating drop) {
        drop.session().markSubRated();
        step(now, drop.session(), drop.rendition());
    }

    /** All lower renditions of a session. */
    Stream<SubRating> drops(long now, Session session) {
        return IntStream.range(session.floor(), session.rendition())
                .mapToObj(r -> new SubRating(session, r, -session.moreKb(r), pricing.dropCost(now, session, r)));
    }

    /** Whole renditions for this director's part of an excess; the last at random, or all would overshoot. */
    void shed(long now, Collection<Session> among, double excess) {
        List<SubRating> all = among.stream()
                .filter(Session::playing)
                .flatMap(session -> drops(now, session))
                .sorted(Comparator.comparingDouble(drop -> drop.cost() / drop.freedKb()))
                .toList();
        double left = excess;
        for (SubRating drop : all) {
            Session session = drop.session();
            double freed = drop.freedKb();
            boolean stands = session.rendition() > drop.rendition() && freed == -session.moreKb(drop.rendition());
            if (left > 0 && stands) {
                if (left < freed && context.random().nextDouble() > left / freed) {
                    return;
                }
                left -= freed;
                step(now, session, drop.rendition());
            }
        }
    }

    /** Steps up as headroom and price allow, where the stay repays it. */
    void stepUp(long now, EdgeServer server) {
        List.copyOf(server.sessions()).stream()
                .filter(s -> now - s.steppedAt() >= MIN_STEP_UP_INTERVAL_US
                        && server.load().trust() > Headroom.MIN_TRUST)
                .forEach(s -> stepUp(now, s, s.top(), 0));
    }

    /** Steps sub-rated sessions up to where they were: a premium session has left. */
    void restoreSubRated(long now, EdgeServer server) {
        List.copyOf(server.sessions()).stream()
                .filter(Session::subRated)
                .forEach(s -> stepUp(now, s, s.renditionBeforeSubRating(), 0));
    }

    /** A newcomer takes its rendition by its own set-up's reading, which tells nobody else. */
    void stepUpNewcomer(long now, Session session) {
        stepUp(now, session, session.top(), 1);
    }

    private void stepUp(long now, Session session, int top, double part) {
        if (!session.playing() || session.rendition() >= top) {
            return;
        }
        double room = headroom.forSession(now, session.server(), session, part);
        double whole = headroom.forSession(now, session.server(), session, 1);
        double luck = session.server().readingDraw();
        int best = session.rendition();
        for (int r = session.rendition() + 1; r <= top; r++) {
            double more = session.moreKb(r);
            boolean fits = more <= room || more <= whole && more * luck < room;
            best = fits && pricing.netWorth(session, r) > pricing.netWorth(session, best) ? r : best;
        }
        if (best > session.rendition() && pricing.repays(now, session, best)) {
            session.clearSubRated();
            step(now, session, best);
        }
    }
}
