package dockshed.storm;

/**
 * How many further attempts the broker may make: a share of the fresh requests of the last seconds, and a few in any
 * case, so that viewers' and brokers' retries do not multiply. Attempts of requests that came again earn nothing.
 */
final class RetryBudget {
    /** Fresh requests count for so long. */
    static final long SPAN = 10_000_000;

    private final Terms terms;
    private final Window fresh = new Window(250_000, SPAN);
    private final Window spent = new Window(250_000, SPAN);
    long denied;

    RetryBudget(Terms terms) {
        this.terms = terms;
    }

    void fresh(long now) {
        fresh.add(now, 1);
    }

    void spent(long now) {
        spent.add(now, 1);
    }

    boolean may(long now) {
        double budget = terms.retryShare() * fresh.sum(now, SPAN) + terms.retryLeast() * SPAN / 1e6;
        boolean may = spent.sum(now, SPAN) + 1 <= budget;
        denied += may ? 0 : 1;
        return may;
    }
}
