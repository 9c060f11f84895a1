package dockshed.fleet;

/** A broker as the holder of a lease: requests one by its demand, renews it in time, and counts it from its request. */
final class LeaseHolder {
    /** A lease is renewed after this part of its length. */
    private static final double RENEWAL_FRACTION = 0.65;

    private static final int NOBODY = -1;

    /** Upper limit of a lease's shares, of 1. */
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
     * Creates a holder without a lease.
     *
     * @param leasable     part of the whole that is leased, of 1
     * @param firstRequest number that differs from those of every earlier incarnation
     */
    LeaseHolder(double leasable, int firstRequest) {
        this.leasable = leasable;
        request = firstRequest;
    }

    /** Sets this broker's demand for each resource, per second. */
    void demand(ResourceAmounts wanted) {
        demand = wanted;
    }

    /** This broker's demand for each resource, per second. */
    ResourceAmounts demand() {
        return demand;
    }

    /** The leased share of a resource now, of 1. */
    double held(long now, SharedResource resource) {
        return isLeased(now) ? held.get(resource) : 0;
    }

    boolean isLeased(long now) {
        return now < heldUntil;
    }

    /** When the latest lease ends or ended, in microseconds. */
    long leasedUntil() {
        return heldUntil;
    }

    /** When the next request is due: a renewal, or a retry. */
    long nextRequestAt() {
        long renewal = (long) (RENEWAL_FRACTION * Math.max(1, heldUntil - heldSince));
        return requestedAt + (granted ? renewal : LeasedShares.REQUEST_RETRY_DELAY_US);
    }

    /** Starts a request to a coordinator and returns its number. */
    int startRequest(long now, int coordinator) {
        requestedAt = now;
        requestedOf = coordinator;
        granted = false;
        return ++request;
    }

    /** Invalidates the request in progress, since this process has stalled, and makes the next one due. */
    void voidRequest() {
        request++;
        requestedAt = Long.MIN_VALUE / 2;
    }

    /** Handles a grant; it counts only as the first answer to the latest request. */
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
