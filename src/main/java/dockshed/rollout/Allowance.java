package dockshed.rollout;

/** A token bucket: so much a second, and so much at once after a rest. */
final class Allowance {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long at;

    Allowance(long now, double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        tokens = burst;
        at = now;
    }

    /** Whether an amount is there. */
    boolean has(long now, double amount) {
        tokens = Math.min(burst, tokens + (now - at) * perSecond / 1e6);
        at = now;
        return tokens >= amount;
    }

    /** Takes an amount if it is there. */
    boolean take(long now, double amount) {
        if (!has(now, amount)) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
