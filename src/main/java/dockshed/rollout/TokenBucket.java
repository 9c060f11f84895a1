package dockshed.rollout;

/** A token bucket: so much a second, and so much at once after a rest. */
final class TokenBucket {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledAt;

    TokenBucket(long now, double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        tokens = burst;
        refilledAt = now;
    }

    /** Whether an amount is there. */
    boolean hasTokens(long now, double amount) {
        tokens = Math.min(burst, tokens + (now - refilledAt) * perSecond / 1e6);
        refilledAt = now;
        return tokens >= amount;
    }

    /** Takes an amount if it is there. */
    boolean tryTake(long now, double amount) {
        if (!hasTokens(now, amount)) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
