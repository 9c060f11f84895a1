package dockshed.hls;

import dockshed.Director.SessionClass;
import dockshed.core.SessionRequest;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads a viewer's request for a lesson from the address of its GET. A request is read whole before anything is done
 * for it, so that one with a faulty value changes nothing.
 */
final class LessonRequestParser {
    private final Map<String, SessionClass> classes;
    private final int cells;

    /**
     * Creates a parser.
     *
     * @param classes the classes of the settings by name
     * @param cells   number of cells of the site, which hold a title unless the query says otherwise
     */
    LessonRequestParser(Map<String, SessionClass> classes, int cells) {
        this.classes = classes;
        this.cells = cells;
    }

    /**
     * Parses the encoded title and the query of an address, as a request for a session of this name.
     *
     * @throws IllegalArgumentException if a value is missing or not of its form; the message names it
     */
    SessionRequest parse(String name, String rawTitle, String rawQuery) {
        String title = URLDecoder.decode(rawTitle.replace("+", "%2B"), StandardCharsets.UTF_8);
        Map<String, String> query = parseQuery(rawQuery);
        String viewer = query.getOrDefault("viewer", "");
        SessionClass sessionClass = classes.get(query.getOrDefault("class", ""));
        if (title.isEmpty() || viewer.isEmpty() || sessionClass == null) {
            throw new IllegalArgumentException(
                    "title or query parameter viewer is missing, or class is missing or unknown");
        }
        if (title.length() > SessionRequest.MAX_TITLE_LENGTH || viewer.length() > SessionRequest.MAX_VIEWER_LENGTH) {
            throw new IllegalArgumentException("title: expected at most " + SessionRequest.MAX_TITLE_LENGTH
                    + " characters, and viewer at most " + SessionRequest.MAX_VIEWER_LENGTH);
        }
        long clientDeadline =
                Math.min(sessionClass.deadline(), microsFromMillis(query, "expires_ms", sessionClass.deadline()));
        if (clientDeadline <= 0) {
            throw new IllegalArgumentException("expires_ms: expected a time above 0");
        }
        return new SessionRequest(
                name,
                sessionClass.name(),
                viewer,
                title,
                clientDeadline,
                microsFromMillis(query, "expected_ms", 0),
                (int) wholeNumber(query, "home", 0),
                (int) wholeNumber(query, "copies", cells),
                (int) wholeNumber(query, "top", sessionClass.highestRendition()),
                "1".equals(query.get("repeat")),
                false,
                "1".equals(query.get("again")),
                "");
    }

    private static Map<String, String> parseQuery(String rawQuery) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : rawQuery == null ? new String[0] : rawQuery.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                parameters.put(
                        URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    private static long wholeNumber(Map<String, String> query, String key, long absent) {
        String value = query.get(key);
        if (value == null) {
            return absent;
        }
        if (!value.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(key + ": expected a whole number of 1 to 9 digits");
        }
        return Long.parseLong(value);
    }

    private static long microsFromMillis(Map<String, String> query, String key, long absent) {
        return query.containsKey(key) ? wholeNumber(query, key, 0) * 1000 : absent;
    }
}
