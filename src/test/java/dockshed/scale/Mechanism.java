package dockshed.scale;

import dockshed.fleet.FleetSettings;
import java.util.Locale;

/** How the fleet shares its state: what is compared with what in one run. */
enum Mechanism {
    /** Each broker gossips with all others, at the usual budget of bytes. */
    FULL_MESH;

    FleetSettings settings(FleetLayout layout) {
        return FleetSettings.DEFAULTS;
    }

    /** The fleet's part of the operator's file of a real broker. */
    String operatorFile(FleetLayout layout) {
        return "fleet {\n}\n";
    }

    /** As in reports and on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Mechanism of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
