package dockshed.topology;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The zone and the scope of each broker of a fleet. Invariants: every broker is in exactly one scope; a scope lies
 * within one zone; if zones are given, no scope has more than {@link #MAX_BROKERS_PER_SCOPE} brokers. So what a broker
 * stores and sends for its own scope is bounded, whatever the size of the fleet.
 */
public final class ZoneMap {
    /** Maximum number of brokers in a scope: a larger zone is divided evenly into cells. */
    public static final int MAX_BROKERS_PER_SCOPE = 96;
    /** Maximum number of scopes in a fleet: 24,000 brokers in full scopes. */
    public static final int MAX_SCOPES = 255;

    /** Name of the zone and the region of an undivided fleet. */
    private static final String UNDIVIDED_NAME = "all";

    private final int brokers;
    private final boolean zoned;
    private final List<Zone> zones;
    private final List<Scope> scopes;
    private final int[] scopeOf;

    private ZoneMap(int brokers, boolean zoned, List<Zone> zones, List<Scope> scopes) {
        this.brokers = brokers;
        this.zoned = zoned;
        this.zones = List.copyOf(zones);
        this.scopes = List.copyOf(scopes);
        scopeOf = new int[brokers];
        for (Scope scope : scopes) {
            scope.brokers().forEach(broker -> scopeOf[broker] = scope.number());
        }
    }

    /** A fleet without zones: one scope of all brokers, whatever their number. */
    public static ZoneMap undivided(int brokers) {
        Zone all = new Zone(UNDIVIDED_NAME, UNDIVIDED_NAME, 0, brokers - 1);
        return new ZoneMap(brokers, false, List.of(all), List.of(new Scope(0, all, 0, brokers)));
    }

    /**
     * The zone map of a fleet of that many brokers; without any zone the fleet is undivided. Throws
     * InvalidZonesException if the zones do not cover each broker exactly once, share a name or need too many scopes.
     */
    public static ZoneMap of(List<Zone> zones, int brokers) throws InvalidZonesException {
        if (zones.isEmpty()) {
            return undivided(brokers);
        }
        check(zones, brokers);
        List<Zone> ordered = new ArrayList<>(zones);
        ordered.sort(Comparator.comparingInt(Zone::first));
        List<Scope> scopes = new ArrayList<>();
        for (Zone zone : ordered) {
            divide(zone, scopes);
        }
        return new ZoneMap(brokers, true, ordered, scopes);
    }

    private static void divide(Zone zone, List<Scope> scopes) {
        int cells = (zone.size() + MAX_BROKERS_PER_SCOPE - 1) / MAX_BROKERS_PER_SCOPE;
        for (int cell = 0; cell < cells; cell++) {
            int from = zone.first() + zone.size() * cell / cells;
            int to = zone.first() + zone.size() * (cell + 1) / cells;
            scopes.add(new Scope(scopes.size(), zone, from, to - from));
        }
    }

    private static void check(List<Zone> zones, int brokers) throws InvalidZonesException {
        checkRanges(zones, brokers);
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, zones.size()).boxed().toList());
        order.sort(Comparator.comparingInt(index -> zones.get(index).first()));
        int next = 0;
        int scopes = 0;
        for (int index : order) {
            Zone zone = zones.get(index);
            if (zone.first() < next) {
                throw new InvalidZonesException(
                        index, "brokers that are in no other zone", "broker " + zone.first() + " again");
            }
            if (zone.first() > next) {
                throw new InvalidZonesException(
                        index,
                        "every broker in a zone",
                        "none for broker" + (zone.first() - 1 > next ? "s " + next + "-" : " ") + (zone.first() - 1));
            }
            next = zone.last() + 1;
            scopes += (zone.size() + MAX_BROKERS_PER_SCOPE - 1) / MAX_BROKERS_PER_SCOPE;
            if (scopes > MAX_SCOPES) {
                throw new InvalidZonesException(index, "at most " + MAX_SCOPES + " scopes", scopes + " and more");
            }
        }
        if (next < brokers) {
            throw new InvalidZonesException(
                    order.get(order.size() - 1),
                    "every broker in a zone",
                    "none for broker" + (brokers - 1 > next ? "s " + next + "-" : " ") + (brokers - 1));
        }
    }

    private static void checkRanges(List<Zone> zones, int brokers) throws InvalidZonesException {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < zones.size(); index++) {
            Zone zone = zones.get(index);
            if (!names.add(zone.name())) {
                throw new InvalidZonesException(index, "a name of its own", zone.name() + " again");
            }
            if (zone.first() < 0 || zone.last() < zone.first() || zone.last() >= brokers) {
                throw new InvalidZonesException(
                        index,
                        "a range of broker numbers from 0 to " + (brokers - 1),
                        zone.first() + "-" + zone.last());
            }
        }
    }

    /** Number of configured brokers in the whole fleet. */
    public int brokers() {
        return brokers;
    }

    /** Whether the operator gave zones; a fleet without zones is one scope of any size. */
    public boolean zoned() {
        return zoned;
    }

    /** The zones in the order of their broker numbers. */
    public List<Zone> zones() {
        return zones;
    }

    /** The scopes by their numbers. */
    public List<Scope> scopes() {
        return scopes;
    }

    /** The scope of a broker; the number must be one of this fleet. */
    public Scope scopeOf(int broker) {
        return scopes.get(scopeOf[broker]);
    }

    /** Whether a broker of this fleet has that number. */
    public boolean contains(int broker) {
        return broker >= 0 && broker < brokers;
    }

    /**
     * A hash that is the same for maps that divide the fleet in the same way, whatever the zones are called: brokers
     * with other zones must not vote for one another.
     */
    public int layoutHash() {
        int hash = brokers;
        for (Scope scope : scopes) {
            hash = hash * 31 + scope.first();
        }
        return hash;
    }

    @Override
    public String toString() {
        return zoned ? zones.size() + " zones in " + scopes.size() + " scopes" : "undivided";
    }
}
