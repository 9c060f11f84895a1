package dockshed.queueing;

/** Erlang's loss system M/M/n/n at one offered load, for every number of slots up to a maximum. */
public final class ErlangLoss {
    /** Only ratios of terms matter; starting small keeps the sums for large loads within the range of a double. */
    private static final double FIRST_TERM = 1e-290;

    private final double offeredLoad;
    private final double[] terms;
    private final double[] termSums;
    private final double[] carriedLoad;
    private final double[] blockingProbability;

    /** Builds the tables for 0 to {@code slots} slots at an offered load in erlangs. */
    public ErlangLoss(double offered, int slots) {
        this.offeredLoad = offered;
        terms = new double[slots + 1];
        termSums = new double[slots + 1];
        carriedLoad = new double[slots + 1];
        blockingProbability = new double[slots + 1];
        double term = FIRST_TERM;
        double total = 0;
        double weightedTotal = 0;
        for (int i = 0; i <= slots; i++) {
            total += term;
            weightedTotal += i * term;
            terms[i] = term;
            termSums[i] = total;
            carriedLoad[i] = weightedTotal / total;
            blockingProbability[i] = term / total;
            term *= offered / (i + 1);
        }
    }

    /** Offered load in erlangs. */
    public double offeredLoad() {
        return offeredLoad;
    }

    /** Probability that exactly {@code busy} of {@code slots} slots are busy. */
    public double probability(int busy, int slots) {
        return terms[busy] / termSums[slots];
    }

    /** Carried load in erlangs: the mean number of busy slots. */
    public double carriedLoad(int slots) {
        return carriedLoad[slots];
    }

    /** Erlang B: the probability that all slots are busy. */
    public double blockingProbability(int slots) {
        return blockingProbability[slots];
    }
}
