package dockshed.rtsp;

import dockshed.core.SessionRequest;
import dockshed.net.HttpStyleMessage;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The parsed contents of a viewer's SETUP.
 *
 * @param request the session asked for
 * @param playingServer the edge server where the session plays already, or null for a new session
 */
record SetUpMessage(SessionRequest request, String playingServer) {
    private static final String MEDIA_URI_PREFIX = "rtsp://media/";
    private static final Pattern TITLE_PATTERN = Pattern.compile("[!-~]{1," + SessionRequest.MAX_TITLE_LENGTH + "}");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,6}");
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    /** Throws IllegalArgumentException, naming the header or field, if one is missing or malformed. */
    static SetUpMessage parse(HttpStyleMessage message) {
        String session = message.header("session", "");
        if (session.length() != 16 || !session.chars().allMatch(digit -> Character.digit(digit, 16) >= 0)) {
            throw new IllegalArgumentException("Session: expected 16 hex digits");
        }
        if (!message.startLinePart(1).startsWith(MEDIA_URI_PREFIX)) {
            throw new IllegalArgumentException("request address: expected rtsp://media/TITLE");
        }
        String title = message.startLinePart(1).substring(MEDIA_URI_PREFIX.length());
        if (!TITLE_PATTERN.matcher(title).matches()) {
            throw new IllegalArgumentException(
                    "title in the request address: expected 1 to 256 printable ASCII characters without spaces");
        }
        Map<String, String> info = parsePairs(message.header("p-trunk-info", ""));
        String viewer = info.getOrDefault("viewer", "");
        if (viewer.length() > SessionRequest.MAX_VIEWER_LENGTH) {
            throw new IllegalArgumentException(
                    "field viewer: expected at most " + SessionRequest.MAX_VIEWER_LENGTH + " characters");
        }
        SessionRequest request = new SessionRequest(
                session,
                message.header("priority-class", ""),
                viewer,
                title,
                microsFromMillis(message, "expires-ms"),
                microsFromMillis(message, "expected-ms"),
                integer(info, "home"),
                integer(info, "copies"),
                integer(info, "top"),
                message.header("p-repeat", "0").equals("1"),
                "1".equals(info.get("moved")),
                "1".equals(info.get("again")),
                description(message));
        String playingServer = info.get("at");
        if (playingServer == null && request.clientDeadline() <= 0) {
            throw new IllegalArgumentException("Expires-Ms: expected a time above 0, as P-Trunk-Info has no field at");
        }
        return new SetUpMessage(request, playingServer);
    }

    /** Returns the body as text; one that is truncated or not text cannot be passed to an edge server. */
    private static String description(HttpStyleMessage message) {
        byte[] body = message.body();
        boolean ascii = true;
        for (byte value : body) {
            ascii &= value >= 0;
            if (value >= 0 && value < ' ' && value != '\r' && value != '\n' && value != '\t') {
                throw new IllegalArgumentException(
                        "description: control characters other than CR, LF and TAB are not allowed");
            }
        }
        if (body.length == 0 || body[body.length - 1] != '\n') {
            throw new IllegalArgumentException("description truncated: expected a line feed at its end");
        }
        return ascii ? new String(body, StandardCharsets.US_ASCII) : decode(body);
    }

    private static String decode(byte[] body) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("description: expected UTF-8 text");
        }
    }

    /** Parses {@code key:value;key:value}; parts without a key and a colon are ignored. */
    private static Map<String, String> parsePairs(String list) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : list.split(";")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                pairs.put(
                        pair.substring(0, colon).strip(),
                        pair.substring(colon + 1).strip());
            }
        }
        return pairs;
    }

    /** Converts a header in milliseconds to microseconds; 0 if it is absent. */
    private static long microsFromMillis(HttpStyleMessage message, String header) {
        String value = message.header(header);
        if (value == null) {
            return 0;
        }
        double millis = number(value, header);
        if (!(millis >= 0 && millis < 1e12)) {
            throw new IllegalArgumentException(header + " is out of range: expected at least 0 and under 1e12 ms");
        }
        return Math.round(millis * 1000);
    }

    private static int integer(Map<String, String> info, String key) {
        String value = info.get(key);
        if (value != null && !WHOLE_NUMBER.matcher(value).matches()) {
            throw new IllegalArgumentException(key + ": expected a whole number of 1 to 6 digits");
        }
        return value == null ? 0 : Integer.parseInt(value);
    }

    private static double number(String value, String header) {
        if (!DECIMAL_NUMBER.matcher(value).matches()) { // parseDouble alone would accept 0x1p3 or 5d, too
            throw new IllegalArgumentException(
                    header + ": expected a decimal number of at most 15 digits before and after the point");
        }
        return Double.parseDouble(value);
    }
}
