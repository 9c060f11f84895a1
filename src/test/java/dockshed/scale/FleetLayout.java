package dockshed.scale;

import java.util.BitSet;

/**
 * Zones and regions of the fleet under test: seven zones in two regions of four and three, broker numbers running through
 * the zones in order. The first zones have one broker more where the number does not divide evenly.
 *
 * @param brokers in all
 */
public record FleetLayout(int brokers) {
    static final int ZONES = 7;
    static final int ZONES_OF_FIRST_REGION = 4;

    /** The lowest broker number of a zone; for {@link #ZONES} the number of brokers. */
    int firstOfZone(int zone) {
        return zone * (brokers / ZONES) + Math.min(zone, brokers % ZONES);
    }

    BitSet zone(int zone) {
        return BrokerRanges.between(firstOfZone(zone), firstOfZone(zone + 1));
    }

    BitSet firstRegion() {
        return BrokerRanges.between(0, firstOfZone(ZONES_OF_FIRST_REGION));
    }

    BitSet secondRegion() {
        return BrokerRanges.between(firstOfZone(ZONES_OF_FIRST_REGION), brokers);
    }

    BitSet all() {
        return BrokerRanges.between(0, brokers);
    }

    /** Numbers of the real brokers: the first of each zone, then the second of each, and so on. */
    BitSet spreadOverZones(int count) {
        BitSet chosen = new BitSet();
        for (int i = 0; i < count; i++) {
            chosen.set(firstOfZone(i % ZONES) + i / ZONES);
        }
        return chosen;
    }
}
