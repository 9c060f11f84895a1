package dockshed.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.fleet.FleetSettings;
import dockshed.topology.Zone;
import java.util.List;
import org.junit.jupiter.api.Test;

class ZoneDirectiveTest {
    private static FleetSettings read(String text, int brokers) {
        return OperatorConfig.read(ConfFile.read("x.conf", "fleet {\n" + text + "\n}\n"), brokers)
                .fleet();
    }

    private static List<String> errors(String text, int brokers) {
        JsonFields.InvalidInputException e =
                assertThrows(JsonFields.InvalidInputException.class, () -> read(text, brokers), text);
        return e.getMessage().lines().toList();
    }

    @Test
    void zonesAreReadAndRaiseTheBudgetUnlessItIsSet() {
        FleetSettings fleet = read("zone a north 0-2\nzone b south 3-5", 6);
        assertEquals(List.of(new Zone("a", "north", 0, 2), new Zone("b", "south", 3, 5)), fleet.zones());
        assertEquals(FleetSettings.ZONED_BYTES_PER_SECOND, fleet.bytesPerSecond());
        assertEquals(5000, read("zone a north 0-5\nbytes_a_second 5000", 6).bytesPerSecond());
        assertEquals(FleetSettings.DEFAULTS, read("", 6));
    }

    @Test
    void errorsNameFileLineAndKey() {
        assertEquals(
                List.of("x.conf:3: zone: expected brokers that are in no other zone, got broker 2 again"),
                errors("zone a north 0-2\nzone b south 2-5", 6));
        assertEquals(
                List.of("x.conf:3: zone: expected every broker in a zone, got none for broker 5"),
                errors("zone a north 0-2\nzone b south 3-4", 6));
        assertEquals(
                List.of("x.conf:3: zone: expected a range of broker numbers from 0 to 5, got 3-6"),
                errors("zone a north 0-2\nzone b south 3-6", 6));
        for (String line :
                List.of("zone", "zone a", "zone a north", "zone a north 0-x", "zone a north 0", "zone ? n 0-5")) {
            List<String> faults = errors(line, 6);
            assertEquals(1, faults.size());
            assertTrue(
                    faults.get(0).startsWith("x.conf:2: zone: expected a name, a region and a range"), faults.get(0));
        }
    }

    @Test
    void otherDirectivesMayNotBeRepeated() {
        assertEquals(
                List.of("x.conf:3: leases: expected it only once, first given in line 2, got it again"),
                errors("leases yes\nleases no", 6));
    }
}
