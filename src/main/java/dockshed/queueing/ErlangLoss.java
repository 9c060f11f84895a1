package dockshed.queueing;

/** Erlang's loss system M/M/n/n at one offered load, for each number of slots up to a most. */
public final class ErlangLoss {
    /** The first term: only ratios of terms count, and so small a one leaves room for large loads in a double. */
    private static final double FIRST_TERM = 1e-290;

    private final double offeredLoad;
    private final double[] terms;
    private final double[] termSums;
    private final double[] carriedLoad;
    private final double[] blockingProbability;

    /** Tables for a load offered, in erlangs, of 0 to {@code slots} slots. */
    public ErlangLoss(double offered, int slots) {
        this.offeredLoad = offered;
        terms = new double[slots + 1];
        termSums = new double[slots + 1];
        carriedLoad = new double[slots + 1];
        blockingProbability = new double[slots + 1];
        double next = FIRST_TERM;
        double all = 0;
        double weighted = 0;
        for (int i = 0; i <= slots; i++) {
            all += next;
            weighted += i * next;
            terms[i] = next;
            termSums[i] = all;
            carriedLoad[i] = weighted / all;
            blockingProbability[i] = next / all;
            next *= offered / (i + 1);
        }
    }

    /** The load offered, in erlangs. */
    public double offeredLoad() {
        return offeredLoad;
    }

    /** The chance that so many of {@code slots} slots are busy. */
    public double probability(int busy, int slots) {
        return terms[busy] / termSums[slots];
    }

    /** The mean of busy slots: the load carried. */
    public double carriedLoad(int slots) {
        return carriedLoad[slots];
    }

    /** Erlang B: the chance that all slots are busy. */
    public double blockingProbability(int slots) {
        return blockingProbability[slots];
    }
}
