package dockshed.fleet;

import dockshed.topology.InvalidZonesException;
import dockshed.topology.Zone;
import dockshed.topology.ZoneMap;
import java.util.List;

/**
 * The {@code fleet} section of the operator's file.
 *
 * @param bytesPerSecond  that a broker may send to the others, in addition to what {@code bytesPerSession} allows
 * @param bytesPerSession bytes that each new session adds to the budget
 * @param guaranteedShare part of the shared capacity, of 1, that is split evenly among all brokers and never leased
 * @param leases          whether new sessions and retries are limited by leased shares
 * @param loadShedding    whether all brokers refuse requests below one priority threshold in an overload
 * @param healthProbes    whether brokers take turns at probing edge servers
 * @param zones           that divide the fleet; empty: the fleet is not divided
 */
public record FleetSettings(
        double bytesPerSecond,
        double bytesPerSession,
        double guaranteedShare,
        boolean leases,
        boolean loadShedding,
        boolean healthProbes,
        List<Zone> zones) {
    /** Values of the directives that the file leaves out. */
    public static final FleetSettings DEFAULTS = new FleetSettings(1800, 0, 0.5, true, true, true);
    /** Default for {@code bytesPerSecond} if the fleet has zones: a round of pushes to 72 peers takes about 0.8 s. */
    public static final double ZONED_BYTES_PER_SECOND = 12_000;

    /** Creates the settings of a fleet without zones. */
    public FleetSettings(
            double bytesPerSecond,
            double bytesPerSession,
            double guaranteedShare,
            boolean leases,
            boolean loadShedding,
            boolean healthProbes) {
        this(bytesPerSecond, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, List.of());
    }

    /** The same settings with zones. */
    public FleetSettings withZones(List<Zone> newZones) {
        return new FleetSettings(
                bytesPerSecond, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, newZones);
    }

    /** The same settings with another byte budget. */
    public FleetSettings withBytesPerSecond(double bytes) {
        return new FleetSettings(bytes, bytesPerSession, guaranteedShare, leases, loadShedding, healthProbes, zones);
    }

    /**
     * The zone map of a fleet of that many brokers; throws IllegalArgumentException if the zones do not fit such a
     * fleet.
     */
    public ZoneMap zoneMap(int brokers) {
        try {
            return ZoneMap.of(zones, brokers);
        } catch (InvalidZonesException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
