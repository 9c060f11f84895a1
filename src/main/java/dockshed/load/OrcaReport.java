package dockshed.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The load header of Open Request Cost Aggregation (ORCA), {@code endpoint-load-metrics}, in its TEXT and JSON formats.
 * Of the fields that may describe the link, the most specific one present is used; the binary format is ignored.
 */
public final class OrcaReport {
    public static final String HEADER = "endpoint-load-metrics";
    /** A longer header is ignored unread; no sensible report is that long. */
    static final int MAX_HEADER_CHARS = 4096;

    /** The most specific first. */
    private static final List<String> LINK_FIELDS = List.of(
            "utilization.link", "named_metrics.link_utilization", "named_metrics.link", "application_utilization");

    private OrcaReport() {}

    /** The demand on the link that the header states, as a share of 1; empty if it states none or is malformed. */
    public static OptionalDouble linkShare(String header) {
        if (header == null || header.length() > MAX_HEADER_CHARS) {
            return OptionalDouble.empty();
        }
        if (header.startsWith("JSON ")) {
            return parseJson(header.substring(5));
        }
        return header.startsWith("TEXT ") ? parseText(header.substring(5)) : OptionalDouble.empty();
    }

    private static OptionalDouble parseText(String pairs) {
        for (String field : LINK_FIELDS) {
            for (String pair : pairs.split(",")) {
                int equals = pair.indexOf('=');
                if (equals > 0 && pair.substring(0, equals).strip().equals(field)) {
                    return parseUtilization(pair.substring(equals + 1).strip());
                }
            }
        }
        return OptionalDouble.empty();
    }

    private static OptionalDouble parseJson(String body) {
        try {
            JsonElement parsed = JsonParser.parseString(body);
            for (String field : LINK_FIELDS) {
                JsonElement element = parsed;
                for (String part : field.split("\\.")) {
                    element = element instanceof JsonObject object ? object.get(part) : null;
                }
                if (element != null && element.isJsonPrimitive()) {
                    return parseUtilization(element.getAsString());
                }
            }
        } catch (JsonParseException e) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.empty();
    }

    private static OptionalDouble parseUtilization(String text) {
        if (!text.matches("[0-9]{1,9}(\\.[0-9]{1,18})?([eE]-?[0-9]{1,2})?")) {
            return OptionalDouble.empty(); // a signed number, NaN or Infinity is not a utilization
        }
        return OptionalDouble.of(Double.parseDouble(text));
    }
}
