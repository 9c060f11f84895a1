package dockshed.choice;

import dockshed.model.Session;
import java.util.List;

/**
 * A possible step of a playing session to a lower rendition, with the kB/s that it frees and the worth that it costs.
 */
record SubRating(Session session, int rendition, double freedKb, double cost) {
    static final int MAX_PER_NEWCOMER = 2; // sessions sub-rated for one newcomer, alpha in the paper

    /** The cheapest set of at most MAX_PER_NEWCOMER sessions that frees the needed kB/s, or null. */
    static List<SubRating> cheapest(List<SubRating> candidates, double neededKb) {
        List<SubRating> best = null;
        double lowestCost = Double.MAX_VALUE;
        for (SubRating first : candidates) {
            if (first.cost >= lowestCost) {
                continue;
            }
            for (SubRating second : candidates) { // the same twice: that session alone
                double freed = first.freedKb + (second == first ? 0 : second.freedKb);
                double cost = first.cost + (second == first ? 0 : second.cost);
                boolean sameSession = second != first && second.session == first.session;
                if (!sameSession && freed >= neededKb && cost < lowestCost) {
                    best = second == first ? List.of(first) : List.of(first, second);
                    lowestCost = cost;
                }
            }
        }
        return best;
    }
}
