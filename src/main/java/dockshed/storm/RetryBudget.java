package dockshed.storm;

/**
 * Limits the broker's own retries to a share of the first requests within the window, plus a constant rate, so that
 * retries of viewers and retries of brokers do not multiply. Returning requests add nothing to the budget.
 */
final class RetryBudget {
    /** Time for which first requests and retries are counted. */
    static final long WINDOW_US = 10_000_000;

    private final Terms terms;
    private final SlidingWindowCounter firstRequests = new SlidingWindowCounter(250_000, WINDOW_US);
    private final SlidingWindowCounter retries = new SlidingWindowCounter(250_000, WINDOW_US);
    /** Retries that the budget did not allow, since the start. */
    long denied;

    RetryBudget(Terms terms) {
        this.terms = terms;
    }

    void recordFirstRequest(long now) {
        firstRequests.add(now, 1);
    }

    void recordRetry(long now) {
        retries.add(now, 1);
    }

    /** Whether one more retry is within the budget; a refusal is counted in {@link #denied}. */
    boolean mayRetry(long now) {
        double budget = terms.retryShare() * firstRequests.sum(now, WINDOW_US) + terms.retryLeast() * WINDOW_US / 1e6;
        boolean allowed = retries.sum(now, WINDOW_US) + 1 <= budget;
        denied += allowed ? 0 : 1;
        return allowed;
    }
}
