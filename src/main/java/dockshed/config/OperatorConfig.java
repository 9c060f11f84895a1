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

/** The settings of the operator's file; a component that is null is switched off. */
public record OperatorConfig(Terms storm, FleetSettings fleet, RolloutConfig rollout) {
    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;

    /** Directives of the fleet section under their names of earlier versions, with their present names. */
    private static final Map<String, String> RENAMED_FLEET_DIRECTIVES = Map.of(
            "floor", "guaranteed_share",
            "shares", "leases",
            "cut", "load_shedding",
            "probes", "health_probes");

    /** Everything switched off. */
    public static final OperatorConfig NONE = new OperatorConfig(null, null, null);

    /** What an error message expects of a zone directive. */
    private static final String EXPECTED_ZONE =
            "a name, a region and a range of broker numbers: 'zone north-1 north 0-72'";

    private static final Pattern ZONE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,31}");
    private static final Pattern ZONE_RANGE = Pattern.compile("([0-9]{1,5})-([0-9]{1,5})");

    /** Reads a file without knowing the number of brokers: its zones determine it. */
    public static OperatorConfig load(String file) {
        return load(file, 0);
    }

    /**
     * Reads a file; its zones have to match the number of brokers that the configuration has, unless that is 0.
     *
     * @throws JsonFields.InvalidInputException with all errors of the file, one per line
     */
    public static OperatorConfig load(String file, int brokers) {
        return read(ConfFile.load(Path.of(file)), brokers);
    }

    /** Reads a parsed file without knowing the number of brokers. */
    static OperatorConfig read(ConfFile file) {
        return read(file, 0);
    }

    /** Reads a parsed file; {@code brokers} 0: unknown. */
    static OperatorConfig read(ConfFile file, int brokers) {
        boolean stormPresent = file.root().has("storm");
        ConfFile.Section stormSection = file.root().section("storm");
        boolean stormEnabled = stormSection.flag("enabled", true);
        Terms terms = storm(stormSection);
        stormSection.rejectUnknown();
        boolean fleetPresent = file.root().has("fleet");
        ConfFile.Section fleetSection = file.root().section("fleet");
        boolean fleetEnabled = fleetSection.flag("enabled", true);
        FleetSettings fleet = fleet(fleetSection, brokers);
        fleetSection.rejectUnknown();
        RolloutConfig rollout = RolloutConfig.read(file.root(), brokers);
        file.root().rejectUnknown();
        file.throwIfErrors();
        return new OperatorConfig(
                stormPresent && stormEnabled ? terms : null, fleetPresent && fleetEnabled ? fleet : null, rollout);
    }

    /** Reads all zone directives; errors are recorded in the section. */
    private static List<Zone> zones(ConfFile.Section section, int brokers) {
        List<ConfFile.DirectiveLine> lines = section.lines("zone", EXPECTED_ZONE);
        List<ConfFile.DirectiveLine> validLines = new ArrayList<>();
        List<Zone> zones = new ArrayList<>();
        for (ConfFile.DirectiveLine line : lines) {
            Zone zone = zone(line);
            if (zone == null) {
                section.reportErrorAt(
                        line,
                        "zone",
                        EXPECTED_ZONE,
                        line.values().isEmpty() ? "nothing" : String.join(" ", line.values()));
            } else {
                validLines.add(line);
                zones.add(zone);
            }
        }
        if (validLines.size() < lines.size()) {
            return zones; // the lines with errors are missing, which would only be reported again
        }
        int highest = zones.stream().mapToInt(Zone::last).max().orElse(-1);
        try {
            ZoneMap.of(zones, brokers > 0 ? brokers : highest + 1);
        } catch (InvalidZonesException e) {
            section.reportErrorAt(validLines.get(e.index()), "zone", e.expected(), e.got());
        }
        return zones;
    }

    /** Parses one zone directive; null if it is malformed. */
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

    private static FleetSettings fleet(ConfFile.Section section, int brokers) {
        section.rejectRenamed(RENAMED_FLEET_DIRECTIVES);
        FleetSettings defaults = FleetSettings.DEFAULTS;
        List<Zone> zones = zones(section, brokers);
        double defaultBytes = zones.isEmpty() ? defaults.bytesPerSecond() : FleetSettings.ZONED_BYTES_PER_SECOND;
        return new FleetSettings(
                section.decimal("bytes_a_second", defaultBytes, 100, 100_000),
                section.decimal("bytes_a_session", defaults.bytesPerSession(), 0, 100_000),
                section.share("guaranteed_share", defaults.guaranteedShare(), 0, 1),
                section.flag("leases", defaults.leases()),
                section.flag("load_shedding", defaults.loadShedding()),
                section.flag("health_probes", defaults.healthProbes()),
                zones);
    }

    private static Terms storm(ConfFile.Section section) {
        Terms defaults = Terms.DEFAULTS;
        Terms terms = new Terms(
                section.enumValue("returns", defaults.returns(), Terms.Returns.class),
                section.duration("soonest", defaults.soonest(), 10 * MILLISECOND_US, 60 * SECOND_US),
                section.duration("longest", defaults.longest(), 100 * MILLISECOND_US, 600 * SECOND_US),
                section.duration("slot", defaults.slot(), 50 * MILLISECOND_US, 5 * SECOND_US),
                section.duration("early", defaults.early(), 0, 5 * SECOND_US),
                section.duration("remember", defaults.remember(), SECOND_US, 3600 * SECOND_US),
                section.duration("hold", defaults.hold(), 0, SECOND_US),
                section.integer("waiting", defaults.waiting(), 1, 8192),
                section.decimal("rush", defaults.rush(), 1.1, 100),
                section.share("repeats", defaults.repeats(), 0.01, 1),
                section.share("trouble", defaults.trouble(), 0.01, 1),
                section.duration("calm_after", defaults.calmAfter(), 500 * MILLISECOND_US, 60 * SECOND_US),
                section.share("retry_share", defaults.retryShare(), 0, 1),
                section.perSecond("retry_least", defaults.retryLeast(), 0, 1000),
                section.decimal("cold_aim", defaults.coldAim(), 0.1, 2),
                section.duration("notes_every", defaults.notesEvery(), 0, 10 * SECOND_US));
        if (terms.longest() > 0 && terms.soonest() > terms.longest()) {
            section.rejectCombination("soonest", "at most longest");
        }
        if (terms.notesEvery() > 0 && terms.notesEvery() < 250 * MILLISECOND_US) {
            section.rejectCombination("notes_every", "0s, or 250ms and more");
        }
        return terms;
    }
}
