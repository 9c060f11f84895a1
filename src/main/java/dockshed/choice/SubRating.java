package dockshed.choice;

import dockshed.model.Session;
import java.util.List;

/** A step of a playing session to a lower rendition: the kB a second that it frees and the worth that it costs. */
record SubRating(Session session, int rendition, double freedKb, double cost) {
    static final int MAX_PER_NEWCOMER = 2; // sessions sub-rated for one newcomer (the paper's alpha)

    /** The cheapest of at most ALPHA sessions that free what is needed, or null. */
    static List<SubRating> cheapest(List<SubRating> all, double neededKb) {
        List<SubRating> best = null;
        double least = Double.MAX_VALUE;
        for (SubRating a : all) {
            if (a.cost >= least) {
                continue;
            }
            for (SubRating b : all) { // b == a: that one alone
                double freed = a.freedKb + (b == a ? 0 : b.freedKb);
                double cost = a.cost + (b == a ? 0 : b.cost);
                boolean twice = b != a && b.session == a.session;
                if (!twice && freed >= neededKb && cost < least) {
                    best = b == a ? List.of(a) : List.of(a, b);
                    least = cost;
                }
            }
        }
        return best;
    }
}
