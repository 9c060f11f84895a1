package dockshed.queueing;

/**
 * Method II of dynamic quota admission with sub-rating (the paper, section 5): what two classes of sessions earn at one
 * server whose slots are split into a reserve for each and a pool for both.
 *
 * @param highArrivals arrivals a second of the class worth more
 * @param lowArrivals arrivals a second of the class worth less
 * @param departureRate ends a second of each session
 * @param highWorth worth a second of a session of the first
 * @param lowWorth worth a second of a session of the second; a refusal costs as much as a session is worth
 * @param maxSubRated sessions that may be sub-rated for one newcomer (the paper's alpha)
 */
public record QuotaOptimizer(
        double highArrivals,
        double lowArrivals,
        double departureRate,
        double highWorth,
        double lowWorth,
        int maxSubRated) {

    /** Slots up to which each pair of quotas is tried. */
    private static final int MAX_EXHAUSTIVE_SLOTS = 64;

    /** Of more slots, pairs of so many parts are tried first. */
    private static final int COARSE_STEPS = 32;

    /** By how much a payoff must be higher to be better: less is rounding. */
    private static final double PAYOFF_TOLERANCE = 1e-9;

    /** Slots reserved for each class. */
    public record Quotas(int high, int low) {
        public static final Quotas NONE = new Quotas(0, 0);
    }

    /** The number of slots that stands for this one: of large servers a few sizes stand for all. */
    public static int representativeSlots(int slots) {
        return slots > MAX_EXHAUSTIVE_SLOTS ? slots - slots % (slots / COARSE_STEPS) : slots;
    }

    /** The quotas of the highest payoff. */
    public Quotas best(int slots) {
        return new Search(slots).best();
    }

    /** (2) + (3) + (7) + (11) - (9); the inner sum of (7) runs over j. */
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

    /** (7) + (11) - (9) over the departures, at what both reserves leave to the pool. */
    private double poolPayoff(int pool, ErlangLoss high, ErlangLoss low) {
        double sum = 0;
        for (int i = 0; i <= pool; i++) {
            double busy = high.probability(i, pool);
            double full = busy * low.blockingProbability(pool - i);
            int squeezed = (pool - i) / maxSubRated;
            sum += busy * (i * highWorth + low.carriedLoad(pool - i) * lowWorth);
            sum += full
                    * ((highWorth - lowWorth) * high.carriedLoad(squeezed)
                            - high.offeredLoad() * highWorth * high.blockingProbability(squeezed));
            sum -= full * low.offeredLoad() * lowWorth;
        }
        return sum;
    }

    /**
     * Enumeration of the pairs of quotas. Many slots are gone through in steps, then finer round the best: all pairs
     * would cost the cube of the slots. Tables are shared by all pairs with the same reserve.
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
