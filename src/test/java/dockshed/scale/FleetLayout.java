package dockshed.scale;

import java.util.BitSet;

/**
 * Zones and regions of the fleet under test: seven zones, four in the first region and three in the second. Broker numbers
 * ascend zone by zone; if the brokers do not divide evenly, the first zones have one more.
 *
 * @param brokers number of brokers in the fleet
 */
public record FleetLayout(int brokers) {
    static final int ZONES = 7;
    static final int ZONES_OF_FIRST_REGION = 4;

    /** The lowest broker number of a zone; for zone {@link #ZONES}, the number of brokers. */
    int firstOfZone(int zone) {
        return zone * (brokers / ZONES) + Math.min(zone, brokers % ZONES);
    }

    /** The brokers of a zone, numbered from 0. */
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

    /** Chooses brokers zone by zone: the first of each zone, then the second of each, and so on. */
    BitSet spreadOverZones(int count) {
        BitSet chosen = new BitSet();
        for (int index = 0; index < count; index++) {
            chosen.set(firstOfZone(index % ZONES) + index / ZONES);
        }
        return chosen;
    }
}
