package dockshed.queueing;

/**
 * Method II of dynamic quota admission with sub-rating (section 5 of the paper): the payoff of two classes of sessions
 * at one server whose slots are split into a reserve for each class and a pool for both, and the split that maximizes
 * it.
 *
 * @param highArrivals arrivals per second of the class worth more
 * @param lowArrivals arrivals per second of the class worth less
 * @param departureRate ends per second of each session
 * @param highWorth worth per second of a session of the first class
 * @param lowWorth worth per second of a session of the second class; a refusal costs as much as a session is worth
 * @param maxSubRated sessions that may be sub-rated for one newcomer (alpha in the paper)
 */
public record QuotaOptimizer(
        double highArrivals,
        double lowArrivals,
        double departureRate,
        double highWorth,
        double lowWorth,
        int maxSubRated) {

    /** Up to this number of slots every pair of quotas is tried. */
    private static final int MAX_EXHAUSTIVE_SLOTS = 64;

    /** With more slots, the first search tries multiples of one of so many parts. */
    private static final int COARSE_STEPS = 32;

    /** A payoff must be higher by this much to be better; less is rounding. */
    private static final double PAYOFF_TOLERANCE = 1e-9;

    /** Slots reserved for each class. */
    public record Quotas(int high, int low) {
        /** Nothing reserved. */
        public static final Quotas NONE = new Quotas(0, 0);
    }

    /** Rounds a large number of slots down, so that servers of similar size share one search. */
    public static int representativeSlots(int slots) {
        return slots > MAX_EXHAUSTIVE_SLOTS ? slots - slots % (slots / COARSE_STEPS) : slots;
    }

    /** The quotas with the highest payoff for a server of {@code slots} slots. */
    public Quotas best(int slots) {
        return new Search(slots).best();
    }

    /** Payoff per second by the paper's formulas: (2) + (3) + (7) + (11) - (9); the inner sum of (7) runs over j. */
    public double payoff(int high, int low, int pool) {
        ErlangLoss highReserve = new ErlangLoss(highArrivals / departureRate, high);
        ErlangLoss lowReserve = new ErlangLoss(lowArrivals / departureRate, low);
        ErlangLoss highInPool =
                new ErlangLoss(highArrivals * highReserve.blockingProbability(high) / departureRate, pool);
        ErlangLoss lowInPool = new ErlangLoss(lowArrivals * lowReserve.blockingProbability(low) / departureRate, pool);
        return departureRate
                * (highWorth * highReserve.carriedLoad(high)
                        + lowWorth * lowReserve.carriedLoad(low)
                        + poolPayoff(pool, highInPool, lowInPool));
    }

    /** (7) + (11) - (9) divided by the departure rate, for the loads that both reserves overflow to the pool. */
    private double poolPayoff(int pool, ErlangLoss high, ErlangLoss low) {
        double sum = 0;
        for (int i = 0; i <= pool; i++) {
            double highBusy = high.probability(i, pool);
            double allBusy = highBusy * low.blockingProbability(pool - i);
            int freedSlots = (pool - i) / maxSubRated;
            sum += highBusy * (i * highWorth + low.carriedLoad(pool - i) * lowWorth);
            sum += allBusy
                    * ((highWorth - lowWorth) * high.carriedLoad(freedSlots)
                            - high.offeredLoad() * highWorth * high.blockingProbability(freedSlots));
            sum -= allBusy * low.offeredLoad() * lowWorth;
        }
        return sum;
    }

    /**
     * Search over the pairs of quotas. Many slots are searched in steps, then more finely around the best pair: trying
     * all pairs would take time cubic in the slots. All pairs with the same reserve share their tables.
     */
    private final class Search {
        private final int slots;
        private final ErlangLoss highReserve;
        private final ErlangLoss lowReserve;
        private final ErlangLoss[] highInPool;
        private final ErlangLoss[] lowInPool;
        private Quotas best = Quotas.NONE;
        private double bestPayoff = Double.NEGATIVE_INFINITY;

        Search(int slots) {
            this.slots = slots;
            highReserve = new ErlangLoss(highArrivals / departureRate, slots);
            lowReserve = new ErlangLoss(lowArrivals / departureRate, slots);
            highInPool = new ErlangLoss[slots + 1];
            lowInPool = new ErlangLoss[slots + 1];
        }

        Quotas best() {
            int step = slots <= MAX_EXHAUSTIVE_SLOTS ? 1 : (slots + COARSE_STEPS - 1) / COARSE_STEPS;
            for (int high = 0; high <= slots; high += step) {
                for (int low = 0; low + high <= slots; low += step) {
                    tryQuotas(high, low);
                }
            }
            while (step > 1) {
                step = (step + 1) / 2;
                tryNeighbours(best, step);
            }
            return best;
        }

        private void tryNeighbours(Quotas centre, int step) {
            for (int high = -1; high <= 1; high++) {
                for (int low = -1; low <= 1; low++) {
                    tryQuotas(centre.high() + high * step, centre.low() + low * step);
                }
            }
        }

        private void tryQuotas(int high, int low) {
            if (high < 0 || low < 0 || high + low > slots) {
                return;
            }
            if (highInPool[high] == null) {
                highInPool[high] =
                        new ErlangLoss(highArrivals * highReserve.blockingProbability(high) / departureRate, slots);
            }
            if (lowInPool[low] == null) {
                lowInPool[low] =
                        new ErlangLoss(lowArrivals * lowReserve.blockingProbability(low) / departureRate, slots);
            }
            double payoff = departureRate
                    * (highWorth * highReserve.carriedLoad(high)
                            + lowWorth * lowReserve.carriedLoad(low)
                            + poolPayoff(slots - high - low, highInPool[high], lowInPool[low]));
            if (payoff > bestPayoff + PAYOFF_TOLERANCE) {
                bestPayoff = payoff;
                best = new Quotas(high, low);
            }
        }
    }
}
