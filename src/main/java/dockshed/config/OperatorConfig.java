package dockshed.config;

import dockshed.fleet.FleetSettings;
import dockshed.storm.Terms;
import dockshed.topology.InvalidZonesException;
import dockshed.topology.Zone;
import dockshed.topology.ZoneMap;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the operator's file switches on and sets; a part that is null is off. */
public record OperatorConfig(Terms storm, FleetSettings fleet, RolloutConfig rollout) {
    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;

    /** Directives of the fleet section that earlier versions had, with the names that they have now. */
    private static final Map<String, String> RENAMED_FLEET_DIRECTIVES = Map.of(
            "floor", "guaranteed_share",
            "shares", "leases",
            "cut", "load_shedding",
            "probes", "health_probes");

    public static final OperatorConfig NONE = new OperatorConfig(null, null, null);

    /** Of a line of a zone. */
    private static final String EXPECTED_ZONE =
            "a name, a region and a range of broker numbers: 'zone north-1 north 0-72'";

    private static final Pattern ZONE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,31}");
    private static final Pattern ZONE_RANGE = Pattern.compile("([0-9]{1,5})-([0-9]{1,5})");

    /** For a file by itself, whatever the number of brokers. */
    public static OperatorConfig load(String file) {
        return load(file, 0);
    }

    /** {@code brokers}: how many the configuration names; the file's zones have to be those of so many. */
    public static OperatorConfig load(String file, int brokers) {
        return read(ConfFile.load(Path.of(file)), brokers);
    }

    /** Without a number of brokers: it is what the file's zones make. */
    static OperatorConfig read(ConfFile file) {
        return read(file, 0);
    }

    static OperatorConfig read(ConfFile file, int brokers) {
        boolean named = file.root().has("storm");
        ConfFile.Section s = file.root().section("storm");
        boolean on = s.flag("enabled", true);
        Terms terms = storm(s);
        s.rejectUnknown();
        boolean fleetNamed = file.root().has("fleet");
        ConfFile.Section f = file.root().section("fleet");
        boolean fleetOn = f.flag("enabled", true);
        FleetSettings fleet = fleet(f, brokers);
        f.rejectUnknown();
        RolloutConfig rollout = RolloutConfig.read(file.root(), brokers);
        file.root().rejectUnknown();
        file.check();
        return new OperatorConfig(named && on ? terms : null, fleetNamed && fleetOn ? fleet : null, rollout);
    }

    private static List<Zone> zones(ConfFile.Section s, int brokers) {
        List<ConfFile.DirectiveLine> lines = s.lines("zone", EXPECTED_ZONE);
        List<ConfFile.DirectiveLine> read = new ArrayList<>();
        List<Zone> zones = new ArrayList<>();
        for (ConfFile.DirectiveLine line : lines) {
            Zone zone = zone(line);
            if (zone == null) {
                s.faultAt(
                        line,
                        "zone",
                        EXPECTED_ZONE,
                        line.values().isEmpty() ? "nothing" : String.join(" ", line.values()));
            } else {
                read.add(line);
                zones.add(zone);
            }
        }
        if (read.size() < lines.size()) {
            return zones; // what is missing would only be told a second time
        }
        int highest = zones.stream().mapToInt(Zone::last).max().orElse(-1);
        try {
            ZoneMap.of(zones, brokers > 0 ? brokers : highest + 1);
        } catch (InvalidZonesException e) {
            s.faultAt(read.get(e.index()), "zone", e.expected(), e.got());
        }
        return zones;
    }

    private static Zone zone(ConfFile.DirectiveLine line) {
        if (line.values().size() != 3) {
            return null;
        }
        String name = line.values().get(0);
        String region = line.values().get(1);
        Matcher range = ZONE_RANGE.matcher(line.values().get(2));
        if (!ZONE_NAME.matcher(name).matches() || !ZONE_NAME.matcher(region).matches() || !range.matches()) {
            return null;
        }
        return new Zone(name, region, Integer.parseInt(range.group(1)), Integer.parseInt(range.group(2)));
    }

    private static FleetSettings fleet(ConfFile.Section s, int brokers) {
        s.rejectRenamed(RENAMED_FLEET_DIRECTIVES);
        FleetSettings defaults = FleetSettings.DEFAULTS;
        List<Zone> zones = zones(s, brokers);
        double bytes = zones.isEmpty() ? defaults.bytesPerSecond() : FleetSettings.ZONED_BYTES_PER_SECOND;
        return new FleetSettings(
                s.decimal("bytes_a_second", bytes, 100, 100_000),
                s.decimal("bytes_a_session", defaults.bytesPerSession(), 0, 100_000),
                s.share("guaranteed_share", defaults.guaranteedShare(), 0, 1),
                s.flag("leases", defaults.leases()),
                s.flag("load_shedding", defaults.loadShedding()),
                s.flag("health_probes", defaults.healthProbes()),
                zones);
    }

    private static Terms storm(ConfFile.Section s) {
        Terms u = Terms.DEFAULTS;
        Terms t = new Terms(
                s.enumValue("returns", u.returns(), Terms.Returns.class),
                s.duration("soonest", u.soonest(), 10 * MILLISECOND_US, 60 * SECOND_US),
                s.duration("longest", u.longest(), 100 * MILLISECOND_US, 600 * SECOND_US),
                s.duration("slot", u.slot(), 50 * MILLISECOND_US, 5 * SECOND_US),
                s.duration("early", u.early(), 0, 5 * SECOND_US),
                s.duration("remember", u.remember(), SECOND_US, 3600 * SECOND_US),
                s.duration("hold", u.hold(), 0, SECOND_US),
                s.integer("waiting", u.waiting(), 1, 8192),
                s.decimal("rush", u.rush(), 1.1, 100),
                s.share("repeats", u.repeats(), 0.01, 1),
                s.share("trouble", u.trouble(), 0.01, 1),
                s.duration("calm_after", u.calmAfter(), 500 * MILLISECOND_US, 60 * SECOND_US),
                s.share("retry_share", u.retryShare(), 0, 1),
                s.perSecond("retry_least", u.retryLeast(), 0, 1000),
                s.decimal("cold_aim", u.coldAim(), 0.1, 2),
                s.duration("notes_every", u.notesEvery(), 0, 10 * SECOND_US));
        if (t.longest() > 0 && t.soonest() > t.longest()) {
            s.rejectCombination("soonest", "at most longest");
        }
        if (t.notesEvery() > 0 && t.notesEvery() < 250 * MILLISECOND_US) {
            s.rejectCombination("notes_every", "0s, or 250ms and more");
        }
        return t;
    }
}
