package dockshed.fleet;

import dockshed.topology.InvalidZonesException;
import dockshed.topology.Zone;
import dockshed.topology.ZoneMap;
import java.util.List;

/**
 * The {@code fleet} section of the operator's file.
 *
 * @param bytesPerSecond  that a broker may send to the others, beside what {@code bytesPerSession} allows
 * @param bytesPerSession that each new session allows in addition
 * @param guaranteedShare part of the shared capacity that is split evenly among all brokers and never leased
 * @param leases          whether new sessions and retries keep to leased shares
 * @param loadShedding    whether all brokers refuse below one priority threshold in an overload
 * @param healthProbes    whether brokers take turns at probing edge servers
 * @param zones           in which each broker is; none: the fleet is not divided
 */
public record FleetSettings(
        double bytesPerSecond,
        double bytesPerSession,
        double guaranteedShare,
        boolean leases,
        boolean loadShedding,
        boolean healthProbes,
        List<Zone> zones) {
    /** What holds for each directive that the file leaves out. */
    public static final FleetSettings DEFAULTS = new FleetSettings(1800, 0, 0.5, true, true, true);
    /** Bytes a second where the fleet has zones: a round of pushes to 72 peers takes some 0.8 s. */
    public static final double ZONED_BYTES_PER_SECOND = 12_000;

    /** Settings of a fleet without zones. */
    public FleetSettings(
            double bytesPerSecond,
            double bytesPerSession,
            double guaranteedShare,
            boolean leases,
            boolean loadShedding,
            boolean healthProbes) {
        this(bytesPerSecond, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, List.of());
    }

    /** The same with zones. */
    public FleetSettings withZones(List<Zone> divided) {
        return new FleetSettings(
                bytesPerSecond, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, divided);
    }

    /** The same with another budget. */
    public FleetSettings withBytesPerSecond(double bytes) {
        return new FleetSettings(bytes, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, zones);
    }

    /** The zones of a fleet of that many brokers. Throws IllegalArgumentException if they are not those of such a fleet. */
    public ZoneMap zoneMap(int brokers) {
        try {
            return ZoneMap.of(zones, brokers);
        } catch (InvalidZonesException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
