package dockshed.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The load header of Open Request Cost Aggregation, {@code endpoint-load-metrics}, in its TEXT and JSON forms. Of its
 * fields those that can tell of the link are read, the most particular first; the binary form is passed over.
 */
public final class OrcaReport {
    public static final String HEADER = "endpoint-load-metrics";
    /** Longer than any report of sense: what is longer is passed over unread. */
    static final int MAX_HEADER_CHARS = 4096;

    private static final List<String> LINK_FIELDS = List.of(
            "utilization.link", "named_metrics.link_utilization", "named_metrics.link", "application_utilization");

    private OrcaReport() {}

    /** The share of the link that is asked, as the header says; empty where it does not, or cannot be read. */
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
            JsonElement read = JsonParser.parseString(body);
            for (String field : LINK_FIELDS) {
                JsonElement at = read;
                for (String part : field.split("\\.")) {
                    at = at instanceof JsonObject o ? o.get(part) : null;
                }
                if (at != null && at.isJsonPrimitive()) {
                    return parseUtilization(at.getAsString());
                }
            }
        } catch (JsonParseException e) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.empty();
    }

    private static OptionalDouble parseUtilization(String text) {
        if (!text.matches("[0-9]{1,9}(\\.[0-9]{1,18})?([eE]-?[0-9]{1,2})?")) {
            return OptionalDouble.empty(); // a sign, NaN or Infinity is no utilization
        }
        return OptionalDouble.of(Double.parseDouble(text));
    }
}
