package dockshed.choice;

import dockshed.Director.SessionClass;
import dockshed.model.RenditionLadder;
import dockshed.model.Session;
import dockshed.queueing.Bisection;
import java.util.List;

/** The price of a kB: the one at which this broker's sessions, each at its best rendition, use exactly its budget. */
final class Pricing {
    private static final double MIN_WORTH_SHARE = 1e-3; // of the highest worth: a class worth less does not set prices
    private static final double MAX_PRICE_SHARE = 0.98; // of the most that a kB earns in the class that earns least
    private static final double MAX_GROWTH = 3; // of expected sessions over present ones, in the price
    static final double PRIOR_STAY_S = 25; // assumed mean stay until sessions have ended
    private static final double PRIOR_RATE_WEIGHT = 2; // in observed placements
    private static final double MIN_SWITCH_RETURN = 4; // a step up must earn this multiple of its switching cost
    private static final double MIN_STAY_SHARE = 0.25; // of the mean stay: least remaining stay assumed
    private static final int BISECTION_STEPS = 24; // in the search for the price

    private final Context context;
    private final RenditionLadder ladder;
    private final List<SessionClass> classes;
    private final double leastWorth;
    private double price; // least worth that a kB must earn

    Pricing(Context context) {
        this.context = context;
        ladder = context.ladder();
        classes = context.settings().classes();
        double highestWorth =
                classes.stream().mapToDouble(SessionClass::worth).max().orElse(1);
        leastWorth = classes.stream()
                .mapToDouble(SessionClass::worth)
                .filter(worth -> worth > MIN_WORTH_SHARE * highestWorth)
                .min()
                .orElse(1);
    }

    /** Whether the class is worth more than the least of those that set prices. */
    boolean isPremium(SessionClass sessionClass) {
        return sessionClass.worth() > leastWorth;
    }

    /** Whether sessions of class {@code sessionClass} may be sub-rated for a newcomer of the other class. */
    boolean mayBeSubRatedFor(SessionClass sessionClass, SessionClass newcomer) {
        return sessionClass.worth() <= Math.max(leastWorth, newcomer.worth());
    }

    /** What the session earns per second at the rendition after the price of its rate. */
    double netWorth(Session session, int rendition) {
        return ladder.netWorth(session.sessionClass(), rendition, price);
    }

    /** Rate in kB/s of the session's rendition that earns most at the present price. */
    double bestRateKb(Session session) {
        return session.rateKb(ladder.bestRendition(session.sessionClass(), session.highestRendition(), price));
    }

    /** Rate in kB/s that one slot of Method II stands for: that of the first class. */
    double slotKb() {
        SessionClass sessionClass = classes.get(0);
        int highestRendition = Math.min(sessionClass.highestRendition(), ladder.count() - 1);
        return ladder.rateKb(sessionClass, ladder.bestRendition(sessionClass, highestRendition, price));
    }

    /** Expected remaining stay of a session in seconds. */
    double remainingStay(long now, Session session) {
        return context.sessions().remainingStay(now, session, MIN_STAY_SHARE);
    }

    /** Cost of a step down over the remaining stay, including the switches down and up again. */
    double dropCost(long now, Session session, int rendition) {
        double lostWorth = -session.moreWorth(rendition) * remainingStay(now, session);
        return session.sessionClass().worth() * (lostWorth + 2 * ladder.switchSeconds());
    }

    /** Whether a step up earns its switching cost back over the remaining stay. */
    boolean repays(long now, Session session, int rendition) {
        double worth = session.sessionClass().worth();
        double gain = worth * session.moreWorth(rendition) - price / 2 * session.moreKb(rendition);
        return gain * remainingStay(now, session) > MIN_SWITCH_RETURN * worth * ladder.switchSeconds();
    }

    /** Sets the price at which expected demand equals the budget in kB/s. */
    void updatePrice(long now, double budget) {
        int brokers = context.settings().brokers();
        double usualPerSecond = context.servers().linksKb() / (ladder.middleRateKb() * PRIOR_STAY_S) / brokers;
        double placementsPerSecond = context.rates().placementsPerSecond(now, usualPerSecond, PRIOR_RATE_WEIGHT);
        int sessions = Math.max(1, context.sessions().size());
        double growth = Math.max(
                1, Math.min(MAX_GROWTH, context.sessions().stays().concurrentSessions(placementsPerSecond) / sessions));
        price = Bisection.largest(0, maxPrice(), BISECTION_STEPS, candidate -> demandKb(candidate) * growth > budget);
    }

    /** The kB/s that all sessions would use at that price. */
    private double demandKb(double price) {
        double demand = 0;
        for (Session session : context.sessions().all()) {
            demand += session.rateKb(ladder.bestRendition(session.sessionClass(), session.highestRendition(), price));
        }
        return demand;
    }

    /**
     * Highest price considered: newcomers of every class still earn something at it where there is room. Classes worth
     * next to nothing are left out; they are served where room has no price.
     */
    private double maxPrice() {
        double highest = Double.MAX_VALUE;
        for (SessionClass sessionClass : classes) {
            int rendition = ladder.mostEfficientRendition(sessionClass);
            double classLimit = MAX_PRICE_SHARE
                    * sessionClass.worth()
                    * ladder.worth(rendition)
                    / ladder.rateKb(sessionClass, rendition);
            highest = sessionClass.worth() < leastWorth ? highest : Math.min(highest, classLimit);
        }
        return highest;
    }
}
