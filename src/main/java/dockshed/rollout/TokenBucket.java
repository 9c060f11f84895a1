package dockshed.rollout;

/** A token bucket: a rate per second, and a burst that may be used at once after an idle time. */
final class TokenBucket {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledAt;

    /** Creates a full bucket of {@code burst} tokens, refilled with {@code perSecond} tokens per second. */
    TokenBucket(long now, double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        tokens = burst;
        refilledAt = now;
    }

    /** Whether that many tokens are available. */
    boolean hasTokens(long now, double amount) {
        tokens = Math.min(burst, tokens + (now - refilledAt) * perSecond / 1e6);
        refilledAt = now;
        return tokens >= amount;
    }

    /** Takes that many tokens if they are available. */
    boolean tryTake(long now, double amount) {
        if (!hasTokens(now, amount)) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
