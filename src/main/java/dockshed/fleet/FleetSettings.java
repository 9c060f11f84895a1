package dockshed.fleet;

/**
 * The {@code fleet} section of the operator's file.
 *
 * @param bytesPerSecond  that a broker may send to the others, beside what {@code bytesPerSession} allows
 * @param bytesPerSession that each new session allows in addition
 * @param guaranteedShare part of the shared capacity that is split evenly among all brokers and never leased
 * @param leases          whether new sessions and retries keep to leased shares
 * @param loadShedding    whether all brokers refuse below one priority threshold in an overload
 * @param healthProbes    whether brokers take turns at probing edge servers
 */
public record FleetSettings(
        double bytesPerSecond,
        double bytesPerSession,
        double guaranteedShare,
        boolean leases,
        boolean loadShedding,
        boolean healthProbes) {
    /** What holds for each directive that the file leaves out. */
    public static final FleetSettings DEFAULTS = new FleetSettings(1800, 0, 0.5, true, true, true);
}
