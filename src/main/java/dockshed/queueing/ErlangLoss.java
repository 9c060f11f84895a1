package dockshed.queueing;

/** Erlang's loss system M/M/n/n at one offered load, for each number of slots up to a most. */
public final class ErlangLoss {
    /** The first term: only ratios of terms count, and so small a one leaves room for large loads in a double. */
    private static final double FIRST_TERM = 1e-290;

    private final double offered;
    private final double[] term;
    private final double[] sum;
    private final double[] mean;
    private final double[] loss;

    /** Tables for a load offered, in erlangs, of 0 to {@code slots} slots. */
    public ErlangLoss(double offered, int slots) {
        this.offered = offered;
        term = new double[slots + 1];
        sum = new double[slots + 1];
        mean = new double[slots + 1];
        loss = new double[slots + 1];
        double next = FIRST_TERM;
        double all = 0;
        double weighted = 0;
        for (int i = 0; i <= slots; i++) {
            all += next;
            weighted += i * next;
            term[i] = next;
            sum[i] = all;
            mean[i] = weighted / all;
            loss[i] = next / all;
            next *= offered / (i + 1);
        }
    }

    /** The load offered, in erlangs. */
    public double offered() {
        return offered;
    }

    /** The chance that so many of {@code slots} slots are busy. */
    public double probability(int busy, int slots) {
        return term[busy] / sum[slots];
    }

    /** The mean of busy slots: the load carried. */
    public double mean(int slots) {
        return mean[slots];
    }

    /** Erlang B: the chance that all slots are busy. */
    public double loss(int slots) {
        return loss[slots];
    }
}
