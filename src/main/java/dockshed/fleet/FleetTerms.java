package dockshed.fleet;

/**
 * What the operator's file sets for the brokers' fleet; times in microseconds.
 *
 * @param bytes     a second that a broker may send to the others, beside what {@code perSession} allows
 * @param perSession bytes that each of its sessions allows more
 * @param floor     of the whole, what is split evenly for good and never leased
 * @param shares    whether newcomers and further attempts keep to shares
 * @param cut       whether the fleet refuses under one rank
 * @param probes    whether brokers take turns at finding out about boxes
 */
public record FleetTerms(double bytes, double perSession, double floor, boolean shares, boolean cut, boolean probes) {
    public static final FleetTerms USUAL = new FleetTerms(1800, 0, 0.5, true, true, true);
}
