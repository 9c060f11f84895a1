package dockshed.config;

import dockshed.Director.Effect;
import dockshed.Director.Ladder;
import dockshed.Director.Limits;
import dockshed.Director.Prices;
import dockshed.Director.ReportField;
import dockshed.Director.Rules;
import dockshed.Director.ServerKind;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Converts the settings object of the configuration file, or of the simulator, into the module's settings. */
public final class SettingsReader {
    /** Stands for an uplink without a limit: no rack has that much demand. */
    static final double UNLIMITED_UPLINK_KB_S = 1e12;

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws JsonFields.InvalidInputException if a member is missing, of the wrong type or unknown
     * @throws IllegalArgumentException if a value is out of the module's range
     */
    public static Settings read(JsonFields options) {
        JsonFields family = options.object("family_info");
        JsonFields limits = options.object("limits");
        JsonFields rules = options.object("invariants");
        JsonFields prices = options.object("prices");
        Ladder ladder = new Ladder(
                family.numbers("rates_kb"),
                family.numbers("level_worth"),
                family.number("links_kb"),
                family.number("weight_kb", 0),
                uplink(family),
                family.integer("cabinets"),
                family.integer("cells"),
                family.number("guard", 0),
                family.number("stall", 0),
                Math.round(family.number("switch_cost_s", 0) * 1e6));
        return new Settings(
                options.integer("me"),
                options.integer("balancers"),
                options.text("zone", ""),
                classes(options, family),
                kinds(options, family),
                ladder,
                new Limits(
                        limits.integer("try_limit"),
                        limits.flag("probing"),
                        limits.flag("peers"),
                        limits.millisAsMicros("connect_timeout", 0),
                        limits.flag("retry_after") ? limits.millisAsMicros("max_retry_after", 0) : 0,
                        family.millisAsMicros("see", 0),
                        family.millisAsMicros("reports_every", 0)),
                new Rules(
                        rules.millisAsMicros("drain_grace", 0),
                        rules.number("cold_from", 1),
                        rules.millisAsMicros("warm_up", 0),
                        rules.number("tip_multiple", 0),
                        rules.millisAsMicros("fall", 0),
                        rules.integer("spare_attempts", 0),
                        rules.number("extra_ratio", 0),
                        rules.millisAsMicros("counted_over", 0)),
                new Prices(
                        prices.number("cross_zone", 0),
                        prices.number("moves", 0),
                        prices.number("probe", 0),
                        prices.number("handshake", 0)),
                fields(options));
    }

    /** The uplink of a rack in kB a second; 0, or an absent member, means that it has no limit. */
    private static double uplink(JsonFields family) {
        double uplink = family.number("uplink_kb", 0);
        return uplink == 0 ? UNLIMITED_UPLINK_KB_S : uplink;
    }

    /** The worth of a class without points, as a share of the lowest of the others: it is served last, but served. */
    private static final double UNPAID_WORTH_SHARE = 1e-6;

    private static List<SessionClass> classes(JsonFields options, JsonFields family) {
        List<SessionClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        List<Double> points = new ArrayList<>();
        for (Object element : options.list("classes")) {
            JsonFields sessionClass = new JsonFields(options.path() + ".classes", element);
            points.add(sessionClass.number("points", 0));
            if (points.get(points.size() - 1) < 0) {
                throw new JsonFields.InvalidInputException(sessionClass.path() + ": member 'points' is below 0");
            }
            if (!names.add(sessionClass.text("name"))) {
                throw new JsonFields.InvalidInputException(
                        sessionClass.path() + ": member 'name' is used twice: " + sessionClass.text("name"));
            }
        }
        double unpaidWorth = UNPAID_WORTH_SHARE
                * points.stream().filter(p -> p > 0).min(Double::compare).orElse(1 / UNPAID_WORTH_SHARE);
        int renditionCount = family.numbers("rates_kb").size();
        List<Double> scale = family.numbers("class_scale");
        List<Double> lowestRendition = family.numbers("lowest_rung");
        List<Double> highestRendition = family.numbers("top_by_class");
        List<Double> seats = family.numbers("class_seats");
        for (Object element : options.list("classes")) {
            JsonFields sessionClass = new JsonFields(options.path() + ".classes", element);
            int index = classes.size();
            classes.add(new SessionClass(
                    sessionClass.text("name"),
                    effect(sessionClass),
                    sessionClass.millisAsMicros("goal_time"),
                    sessionClass.millisAsMicros("deadline"),
                    points.get(index) > 0 ? points.get(index) : unpaidWorth,
                    at(family, scale, index, "class_scale"),
                    (int) at(family, lowestRendition, index, "lowest_rung"),
                    Math.min(renditionCount - 1, (int) at(family, highestRendition, index, "top_by_class")),
                    (int) at(family, seats, index, "class_seats")));
        }
        return classes;
    }

    /** The value of a class or kind in a list member, which needs one for each. */
    private static double at(JsonFields family, List<Double> list, int index, String name) {
        if (index >= list.size()) {
            throw new JsonFields.InvalidInputException(family.path() + ": member '" + name + "' is too short");
        }
        return list.get(index);
    }

    private static Effect effect(JsonFields sessionClass) {
        String text = sessionClass.text("effect");
        return switch (text) {
            case "idempotent" -> Effect.SAFE;
            case "deduplicated" -> Effect.KEYED;
            case "at_most_once" -> Effect.AT_MOST_ONCE;
            default ->
                throw new JsonFields.InvalidInputException(
                        sessionClass.path() + ": member 'effect' is unknown: " + text);
        };
    }

    private static List<ServerKind> kinds(JsonFields options, JsonFields family) {
        List<ServerKind> kinds = new ArrayList<>();
        List<Double> slots = family.numbers("kind_slots");
        for (String name : options.texts("kinds")) {
            kinds.add(new ServerKind(name, (int) at(options.object("family_info"), slots, kinds.size(), "kind_slots")));
        }
        return kinds;
    }

    private static List<ReportField> fields(JsonFields options) {
        List<ReportField> fields = new ArrayList<>();
        if (options.has("report")) {
            for (String name : options.object("report").texts("fields")) {
                fields.add(
                        switch (name) {
                            case "busy_reqs" -> ReportField.STREAMS;
                            case "cpu_share", "x0" -> ReportField.LINK;
                            case "x1" -> ReportField.UPLINK;
                            default -> ReportField.OTHER;
                        });
            }
        }
        return fields;
    }
}
