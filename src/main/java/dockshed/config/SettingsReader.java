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

/** The wire's settings as the module's. */
public final class SettingsReader {
    /** kB a second that no rack asks for. */
    static final double UNLIMITED_UPLINK_KB_S = 1e12;

    private SettingsReader() {}

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

    /** 0, or none told: racks have no uplink that could be short. */
    private static double uplink(JsonFields family) {
        double told = family.number("uplink_kb", 0);
        return told == 0 ? UNLIMITED_UPLINK_KB_S : told;
    }

    /** What a class without points is worth, of the least that another is: it is served last, and served. */
    private static final double UNPAID_WORTH_SHARE = 1e-6;

    private static List<SessionClass> classes(JsonFields options, JsonFields family) {
        List<SessionClass> out = new ArrayList<>();
        Set<String> names = new HashSet<>();
        List<Double> points = new ArrayList<>();
        for (Object each : options.list("classes")) {
            JsonFields c = new JsonFields(options.path() + ".classes", each);
            points.add(c.number("points", 0));
            if (points.get(points.size() - 1) < 0) {
                throw new JsonFields.InvalidInputException(c.path() + ": member 'points' is under 0");
            }
            if (!names.add(c.text("name"))) {
                throw new JsonFields.InvalidInputException(
                        c.path() + ": member 'name' is there twice: " + c.text("name"));
            }
        }
        double unpaid = UNPAID_WORTH_SHARE
                * points.stream().filter(p -> p > 0).min(Double::compare).orElse(1 / UNPAID_WORTH_SHARE);
        int rungs = family.numbers("rates_kb").size();
        List<Double> scale = family.numbers("class_scale");
        List<Double> floor = family.numbers("lowest_rung");
        List<Double> top = family.numbers("top_by_class");
        List<Double> seats = family.numbers("class_seats");
        for (Object each : options.list("classes")) {
            JsonFields c = new JsonFields(options.path() + ".classes", each);
            int i = out.size();
            out.add(new SessionClass(
                    c.text("name"),
                    effect(c),
                    c.millisAsMicros("goal_time"),
                    c.millisAsMicros("deadline"),
                    points.get(i) > 0 ? points.get(i) : unpaid,
                    at(family, scale, i, "class_scale"),
                    (int) at(family, floor, i, "lowest_rung"),
                    Math.min(rungs - 1, (int) at(family, top, i, "top_by_class")),
                    (int) at(family, seats, i, "class_seats")));
        }
        return out;
    }

    private static double at(JsonFields family, List<Double> list, int i, String name) {
        if (i >= list.size()) {
            throw new JsonFields.InvalidInputException(family.path() + ": member '" + name + "' is too short");
        }
        return list.get(i);
    }

    private static Effect effect(JsonFields c) {
        String word = c.text("effect");
        return switch (word) {
            case "idempotent" -> Effect.SAFE;
            case "deduplicated" -> Effect.KEYED;
            case "at_most_once" -> Effect.AT_MOST_ONCE;
            default -> throw new JsonFields.InvalidInputException(c.path() + ": member 'effect' is unknown: " + word);
        };
    }

    private static List<ServerKind> kinds(JsonFields options, JsonFields family) {
        List<ServerKind> out = new ArrayList<>();
        List<Double> slots = family.numbers("kind_slots");
        for (String name : options.texts("kinds")) {
            out.add(new ServerKind(name, (int) at(options.object("family_info"), slots, out.size(), "kind_slots")));
        }
        return out;
    }

    private static List<ReportField> fields(JsonFields options) {
        List<ReportField> out = new ArrayList<>();
        if (options.has("report")) {
            for (String name : options.object("report").texts("fields")) {
                out.add(
                        switch (name) {
                            case "busy_reqs" -> ReportField.STREAMS;
                            case "cpu_share", "x0" -> ReportField.LINK;
                            case "x1" -> ReportField.UPLINK;
                            default -> ReportField.OTHER;
                        });
            }
        }
        return out;
    }
}
