package dockshed.scale;

import dockshed.fleet.FleetSettings;
import dockshed.topology.Zone;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** How the fleet shares its state; a run of the benchmark compares them. */
enum Mechanism {
    /** Each broker gossips with all others, at the default byte rate. */
    FULL_MESH,
    /** Brokers gossip within their zone; zones exchange summaries. */
    ZONED;

    /** The brokers' settings in a fleet of this layout. */
    FleetSettings settings(FleetLayout layout) {
        return this == FULL_MESH
                ? FleetSettings.DEFAULTS
                : FleetSettings.DEFAULTS
                        .withZones(zones(layout))
                        .withBytesPerSecond(FleetSettings.ZONED_BYTES_PER_SECOND);
    }

    private static List<Zone> zones(FleetLayout layout) {
        List<Zone> zones = new ArrayList<>();
        for (int zone = 0; zone < FleetLayout.ZONES; zone++) {
            String region = zone < FleetLayout.ZONES_OF_FIRST_REGION ? "north" : "south";
            zones.add(
                    new Zone(region + "-" + zone, region, layout.firstOfZone(zone), layout.firstOfZone(zone + 1) - 1));
        }
        return zones;
    }

    /** Which subjects each broker is expected to know of. */
    Visibility visibility(FleetLayout layout) {
        return new Visibility(settings(layout).zoneMap(layout.brokers()));
    }

    /** The {@code fleet} section of a real broker's operator file. */
    String operatorFile(FleetLayout layout) {
        StringBuilder file = new StringBuilder("fleet {\n");
        for (Zone zone : settings(layout).zones()) {
            file.append(String.format(
                    Locale.ROOT, "    zone %s %s %d-%d\n", zone.name(), zone.region(), zone.first(), zone.last()));
        }
        return file.append("}\n").toString();
    }

    /** The name in reports and on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Reads a label.
     *
     * @throws IllegalArgumentException if no mechanism has it
     */
    static Mechanism of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
