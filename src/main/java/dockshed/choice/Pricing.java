package dockshed.choice;

import dockshed.Director.SessionClass;
import dockshed.model.RenditionLadder;
import dockshed.model.Session;
import dockshed.queueing.Bisection;
import java.util.List;

/** The going price of a kB: at it this director's sessions, each at its best rendition, fill its headroom. */
final class Pricing {
    private static final double MIN_WORTH_SHARE = 1e-3; // of the highest worth: a class that earns less sets no price
    private static final double MAX_PRICE_SHARE = 0.98; // of what a kB earns at best in the class that earns least
    private static final double MAX_GROWTH = 3; // sessions to come over those now, as the price heeds it
    static final double PRIOR_STAY_S = 25; // seconds of stay before any was seen
    private static final double PRIOR_RATE_WEIGHT = 2; // tries that the usual rate weighs as much as
    private static final double MIN_SWITCH_RETURN = 4; // a step up must earn its switch cost so many times over
    private static final double MIN_STAY_SHARE = 0.25; // of the mean: a session stays at least so long
    private static final int BISECTION_STEPS = 24; // in the search for the price

    private final Context context;
    private final RenditionLadder ladder;
    private final List<SessionClass> classes;
    private final double leastWorth;
    private double price; // worth that a kB must earn

    Pricing(Context context) {
        this.context = context;
        ladder = context.ladder();
        classes = context.settings().classes();
        double most = classes.stream().mapToDouble(SessionClass::worth).max().orElse(1);
        leastWorth = classes.stream()
                .mapToDouble(SessionClass::worth)
                .filter(worth -> worth > MIN_WORTH_SHARE * most)
                .min()
                .orElse(1);
    }

    boolean isPremium(SessionClass c) {
        return c.worth() > leastWorth;
    }

    /** Whether a newcomer may push a session of that class down. */
    boolean mayBeSubRatedFor(SessionClass c, SessionClass newcomer) {
        return c.worth() <= Math.max(leastWorth, newcomer.worth());
    }

    double netWorth(Session session, int rendition) {
        return ladder.netWorth(session.sessionClass(), rendition, price);
    }

    /** The rate of the rendition that earns most. */
    double bestRateKb(Session session) {
        return session.rateKb(ladder.bestRendition(session.sessionClass(), session.top(), price));
    }

    /** A slot of Method II: the rate that the first class asks. */
    double slotKb() {
        SessionClass c = classes.get(0);
        int top = Math.min(c.top(), ladder.count() - 1);
        return ladder.rateKb(c, ladder.bestRendition(c, top, price));
    }

    /** Seconds that a session will probably still play. */
    double remainingStay(long now, Session session) {
        return context.sessions().remainingStay(now, session, MIN_STAY_SHARE);
    }

    /** What a step down costs over the rest of the stay, with the switches down and up again. */
    double dropCost(long now, Session session, int rendition) {
        double less = -session.moreWorth(rendition) * remainingStay(now, session);
        return session.sessionClass().worth() * (less + 2 * ladder.switchSeconds());
    }

    /** Whether a step up earns enough over the rest of the stay. */
    boolean repays(long now, Session session, int rendition) {
        double worth = session.sessionClass().worth();
        double more = worth * session.moreWorth(rendition) - price / 2 * session.moreKb(rendition);
        return more * remainingStay(now, session) > MIN_SWITCH_RETURN * worth * ladder.switchSeconds();
    }

    /** Finds the price for a budget of kB a second. */
    void updatePrice(long now, double budget) {
        int directors = context.settings().brokers();
        double usual = context.servers().linksKb() / (ladder.middleRateKb() * PRIOR_STAY_S) / directors;
        double tries = context.rates().placementsPerSecond(now, usual, PRIOR_RATE_WEIGHT);
        int sessions = Math.max(1, context.sessions().size());
        double growth =
                Math.max(1, Math.min(MAX_GROWTH, context.sessions().stays().concurrentSessions(tries) / sessions));
        price = Bisection.largest(0, maxPrice(), BISECTION_STEPS, candidate -> demandKb(candidate) * growth > budget);
    }

    /** What all sessions would ask at another price. */
    private double demandKb(double price) {
        double asked = 0;
        for (Session session : context.sessions().all()) {
            asked += session.rateKb(ladder.bestRendition(session.sessionClass(), session.top(), price));
        }
        return asked;
    }

    /** A newcomer of any class is welcome where there is room; those that earn nothing where room costs nothing. */
    private double maxPrice() {
        double highest = Double.MAX_VALUE;
        for (SessionClass c : classes) {
            int r = ladder.mostEfficientRendition(c);
            double most = MAX_PRICE_SHARE * c.worth() * ladder.worth(r) / ladder.rateKb(c, r);
            highest = c.worth() < leastWorth ? highest : Math.min(highest, most);
        }
        return highest;
    }
}
