package dockshed.fleet;

/** A broker as holder of a lease: asks for one by its demand, renews it in time, and counts it from its request. */
final class LeaseHolder {
    /** A lease is renewed once this part of it is over. */
    private static final double RENEWAL_FRACTION = 0.65;

    private static final int NOBODY = -1;

    /** What is leased at most, of 1. */
    private final double leasable;

    private ResourceAmounts demand = ResourceAmounts.NONE;
    private ResourceAmounts held = ResourceAmounts.NONE;
    private long heldSince;
    private long heldUntil = Long.MIN_VALUE / 2;
    private int request;
    private long requestedAt = Long.MIN_VALUE / 2;
    private int requestedOf = NOBODY;
    private boolean granted;

    /**
     * @param leasable     what is leased of the whole, of 1
     * @param firstRequest differs from that of every earlier incarnation
     */
    LeaseHolder(double leasable, int firstRequest) {
        this.leasable = leasable;
        request = firstRequest;
    }

    /** Sets what this broker wants a second of each resource. */
    void demand(ResourceAmounts wanted) {
        demand = wanted;
    }

    ResourceAmounts demand() {
        return demand;
    }

    /** What is held by a lease now, of 1. */
    double held(long now, SharedResource resource) {
        return isLeased(now) ? held.get(resource) : 0;
    }

    boolean isLeased(long now) {
        return now < heldUntil;
    }

    long leasedUntil() {
        return heldUntil;
    }

    /** When the next request is due: a renewal, or another try. */
    long nextRequestAt() {
        long renewal = (long) (RENEWAL_FRACTION * Math.max(1, heldUntil - heldSince));
        return requestedAt + (granted ? renewal : LeasedShares.REQUEST_RETRY_DELAY_US);
    }

    /** Begins a request to a coordinator and returns its number. */
    int startRequest(long now, int coordinator) {
        requestedAt = now;
        requestedOf = coordinator;
        granted = false;
        return ++request;
    }

    /** Makes a request under way void, and the next one due: this process stalled since. */
    void voidRequest() {
        request++;
        requestedAt = Long.MIN_VALUE / 2;
    }

    /** A lease arrived; it counts only as the first answer to the latest request. */
    void granted(int from, int answered, LeaseCoordinator.Grant grant) {
        if (answered != request || granted || from != requestedOf) {
            return;
        }
        granted = true;
        heldSince = requestedAt;
        heldUntil = requestedAt + Math.min(grant.micros(), LeasedShares.MAX_LEASE_US);
        held = grant.shares().atMost(leasable);
    }
}
