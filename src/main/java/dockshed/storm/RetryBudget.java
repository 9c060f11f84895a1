package dockshed.storm;

/**
 * How many further attempts the broker may make: a share of the fresh requests of the last seconds, and a few in any
 * case, so that viewers' and brokers' retries do not multiply. Attempts of requests that came again earn nothing.
 */
final class RetryBudget {
    /** Fresh requests count for so long. */
    static final long WINDOW_US = 10_000_000;

    private final Terms terms;
    private final SlidingWindowCounter fresh = new SlidingWindowCounter(250_000, WINDOW_US);
    private final SlidingWindowCounter spent = new SlidingWindowCounter(250_000, WINDOW_US);
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

    boolean mayRetry(long now) {
        double budget = terms.retryShare() * fresh.sum(now, WINDOW_US) + terms.retryLeast() * WINDOW_US / 1e6;
        boolean may = spent.sum(now, WINDOW_US) + 1 <= budget;
        denied += may ? 0 : 1;
        return may;
    }
}
