package dockshed.names;

import dockshed.names.Dns.Record;
import java.util.HashMap;
import java.util.Map;

/**
 * What the TXT record of an edge server tells of it. A member that the record does not name is null.
 *
 * @param kind of server
 * @param cell determines the titles that the server holds
 * @param startedUs when its process started, in microseconds; 0: long ago
 */
record ServerAttributes(String kind, Integer cell, Long startedUs) {
    private static final int MICROS_PER_MILLI = 1000;

    /** Reads the texts of a TXT record, each of the form NAME=VALUE; others are ignored. */
    static ServerAttributes parse(Record text) throws Dns.MalformedMessageException {
        Map<String, String> values = new HashMap<>();
        for (String pair : text.texts()) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        try {
            return new ServerAttributes(values.get("kind"), cell(values.get("cell")), started(values.get("started")));
        } catch (NumberFormatException e) {
            throw new Dns.MalformedMessageException(
                    "expected numbers in the TXT record of " + text.name() + ": " + e.getMessage());
        }
    }

    private static Integer cell(String value) {
        return value == null ? null : Integer.valueOf(value);
    }

    private static Long started(String millis) {
        return millis == null ? null : (Long) Math.round(Double.parseDouble(millis) * MICROS_PER_MILLI);
    }
}
