package dockshed.config;

import dockshed.fleet.FleetSettings;
import dockshed.storm.Terms;
import java.nio.file.Path;
import java.util.Map;

/** What the operator's file switches on and sets; {@code storm} or {@code fleet} null: without that part. */
public record OperatorConfig(Terms storm, FleetSettings fleet) {
    private static final long MS = 1000, S = 1_000_000;

    /** Directives of the fleet section that earlier versions had, with the names that they have now. */
    private static final Map<String, String> RENAMED_FLEET_DIRECTIVES = Map.of(
            "floor", "guaranteed_share",
            "shares", "leases",
            "cut", "load_shedding",
            "probes", "health_probes");

    public static final OperatorConfig NONE = new OperatorConfig(null, null);

    public static OperatorConfig load(String file) {
        return read(ConfFile.load(Path.of(file)));
    }

    static OperatorConfig read(ConfFile file) {
        boolean named = file.root().has("storm");
        ConfFile.Section s = file.root().section("storm");
        boolean on = s.flag("enabled", true);
        Terms terms = storm(s);
        s.end();
        boolean fleetNamed = file.root().has("fleet");
        ConfFile.Section f = file.root().section("fleet");
        boolean fleetOn = f.flag("enabled", true);
        FleetSettings fleet = fleet(f);
        f.end();
        file.root().end();
        file.check();
        return new OperatorConfig(named && on ? terms : null, fleetNamed && fleetOn ? fleet : null);
    }

    private static FleetSettings fleet(ConfFile.Section s) {
        s.renamed(RENAMED_FLEET_DIRECTIVES);
        FleetSettings defaults = FleetSettings.DEFAULTS;
        return new FleetSettings(
                s.multiple("bytes_a_second", defaults.bytesPerSecond(), 100, 100_000),
                s.multiple("bytes_a_session", defaults.bytesPerSession(), 0, 100_000),
                s.share("guaranteed_share", defaults.guaranteedShare(), 0, 1),
                s.flag("leases", defaults.leases()),
                s.flag("load_shedding", defaults.loadShedding()),
                s.flag("health_probes", defaults.healthProbes()));
    }

    private static Terms storm(ConfFile.Section s) {
        Terms u = Terms.USUAL;
        Terms t = new Terms(
                s.word("returns", u.returns(), Terms.Returns.class),
                s.duration("soonest", u.soonest(), 10 * MS, 60 * S),
                s.duration("longest", u.longest(), 100 * MS, 600 * S),
                s.duration("slot", u.slot(), 50 * MS, 5 * S),
                s.duration("early", u.early(), 0, 5 * S),
                s.duration("remember", u.remember(), S, 3600 * S),
                s.duration("hold", u.hold(), 0, S),
                s.count("waiting", u.waiting(), 1, 8192),
                s.multiple("rush", u.rush(), 1.1, 100),
                s.share("repeats", u.repeats(), 0.01, 1),
                s.share("trouble", u.trouble(), 0.01, 1),
                s.duration("calm_after", u.calmAfter(), 500 * MS, 60 * S),
                s.share("retry_share", u.retryShare(), 0, 1),
                s.perSecond("retry_least", u.retryLeast(), 0, 1000),
                s.multiple("cold_aim", u.coldAim(), 0.1, 2),
                s.duration("notes_every", u.notesEvery(), 0, 10 * S));
        if (t.longest() > 0 && t.soonest() > t.longest()) {
            s.contradicts("soonest", "at most longest");
        }
        if (t.notesEvery() > 0 && t.notesEvery() < 250 * MS) {
            s.contradicts("notes_every", "0s, or 250ms and more");
        }
        return t;
    }
}
