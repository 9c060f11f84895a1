package dockshed.topology;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards the division of a fleet: each broker in exactly one scope of bounded size, and zones that do not fit are
 * rejected with the fault named.
 */
class ZoneMapTest {
    private static Zone zone(String name, int first, int last) {
        return new Zone(name, "north", first, last);
    }

    private static InvalidZonesException refused(int brokers, Zone... zones) {
        return assertThrows(InvalidZonesException.class, () -> ZoneMap.of(List.of(zones), brokers));
    }

    /** Consecutive zones of those sizes. */
    private static List<Zone> consecutive(List<Integer> sizes) {
        List<Zone> zones = new ArrayList<>();
        int first = 0;
        for (int size : sizes) {
            zones.add(zone("z" + zones.size(), first, first + size - 1));
            first += size;
        }
        return zones;
    }

    @Property(seed = "20261202", tries = 300)
    void everyBrokerIsInExactlyOneScopeOfItsZoneAndScopesAreBounded(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 400) Integer> sizes, @ForAll long order)
            throws InvalidZonesException {
        List<Zone> zones = consecutive(sizes);
        int brokers = sizes.stream().mapToInt(size -> size).sum();
        Collections.shuffle(zones, new Random(order));
        ZoneMap map = ZoneMap.of(zones, brokers);
        for (int broker = 0; broker < brokers; broker++) {
            int number = broker;
            List<Scope> holding =
                    map.scopes().stream().filter(s -> s.contains(number)).toList();
            assertEquals(List.of(map.scopeOf(broker)), holding);
            Zone zone = holding.get(0).zone();
            assertTrue(zone.first() <= broker && broker <= zone.last());
        }
        int smallest = ZoneMap.MAX_BROKERS_PER_SCOPE;
        for (Scope scope : map.scopes()) {
            assertTrue(scope.size() >= 1 && scope.size() <= ZoneMap.MAX_BROKERS_PER_SCOPE, scope.toString());
            smallest = Math.min(smallest, scope.size());
            assertEquals(scope, map.scopes().get(scope.number()));
        }
        assertTrue(map.zoned());
    }

    @Property(seed = "20261202", tries = 200)
    void theCellsOfAZoneDifferByOneBrokerAtMost(@ForAll @IntRange(min = 1, max = 5000) int size)
            throws InvalidZonesException {
        ZoneMap map = ZoneMap.of(List.of(zone("a", 0, size - 1)), size);
        int least = map.scopes().stream().mapToInt(Scope::size).min().orElseThrow();
        int most = map.scopes().stream().mapToInt(Scope::size).max().orElseThrow();
        assertTrue(most - least <= 1, least + " to " + most);
    }

    @Test
    void theWantedSizeHasSevenScopesAndTwiceThatFourteen() throws InvalidZonesException {
        assertEquals(
                7,
                ZoneMap.of(consecutive(List.of(73, 73, 73, 73, 73, 73, 72)), 510)
                        .scopes()
                        .size());
        assertEquals(
                14,
                ZoneMap.of(consecutive(List.of(146, 146, 146, 146, 146, 146, 144)), 1020)
                        .scopes()
                        .size());
    }

    @Test
    void withoutZonesTheFleetIsOneScopeOfAnySize() throws InvalidZonesException {
        ZoneMap map = ZoneMap.of(List.of(), 2000);
        assertFalse(map.zoned());
        assertEquals(1, map.scopes().size());
        assertEquals(2000, map.scopeOf(1999).size());
        assertTrue(map.contains(1999));
        assertFalse(map.contains(2000));
        assertFalse(map.contains(-1));
    }

    @Test
    void faultsNameTheZoneWhatWasExpectedAndWhatWasFound() {
        InvalidZonesException twice = refused(10, zone("a", 0, 5), zone("b", 5, 9));
        assertEquals(1, twice.index());
        assertEquals("broker 5 again", twice.got());
        InvalidZonesException gap = refused(10, zone("a", 0, 3), zone("b", 6, 9));
        assertEquals("none for brokers 4-5", gap.got());
        InvalidZonesException end = refused(10, zone("b", 5, 8), zone("a", 0, 4));
        assertEquals(0, end.index());
        assertEquals("none for broker 9", end.got());
        InvalidZonesException beyond = refused(10, zone("a", 0, 10));
        assertEquals("a range of broker numbers from 0 to 9", beyond.expected());
        assertEquals("0-10", beyond.got());
        assertEquals("5-4", refused(10, zone("a", 5, 4)).got());
        assertEquals("a again", refused(10, zone("a", 0, 4), zone("a", 5, 9)).got());
        int brokers = (ZoneMap.MAX_SCOPES + 1) * ZoneMap.MAX_BROKERS_PER_SCOPE;
        assertEquals(
                "at most 255 scopes",
                refused(brokers, zone("a", 0, brokers - 1)).expected());
    }

    @Test
    void theLayoutIsTheSameWhateverZonesAreCalledAndAnotherWhereTheyAreCutOtherwise() throws InvalidZonesException {
        int layout = ZoneMap.of(List.of(zone("a", 0, 4), zone("b", 5, 9)), 10).layoutHash();
        assertEquals(
                layout,
                ZoneMap.of(List.of(zone("d", 5, 9), zone("c", 0, 4)), 10).layoutHash());
        assertNotEquals(
                layout,
                ZoneMap.of(List.of(zone("a", 0, 3), zone("b", 4, 9)), 10).layoutHash());
        assertNotEquals(layout, ZoneMap.undivided(10).layoutHash());
    }
}
