package dockshed.rtsp;

import dockshed.core.SessionRequest;
import dockshed.net.HttpStyleMessage;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** What a viewer's SETUP says. {@code at}: the server where the session plays already, or null. */
record SetUpMessage(SessionRequest request, String playingServer) {
    private static final String MEDIA_URI_PREFIX = "rtsp://media/";
    private static final Pattern TITLE_PATTERN = Pattern.compile("[!-~]{1,256}");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,6}");
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    /** Throws IllegalArgumentException where something is missing or no number. */
    static SetUpMessage parse(HttpStyleMessage m) {
        String session = m.header("session", "");
        if (session.length() != 16 || !session.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new IllegalArgumentException("Session is not 16 hex digits");
        }
        if (!m.startLinePart(1).startsWith(MEDIA_URI_PREFIX)) {
            throw new IllegalArgumentException("address names no title");
        }
        String title = m.startLinePart(1).substring(MEDIA_URI_PREFIX.length());
        if (!TITLE_PATTERN.matcher(title).matches()) {
            throw new IllegalArgumentException("title is no word");
        }
        Map<String, String> info = parsePairs(m.header("p-trunk-info", ""));
        SessionRequest wish = new SessionRequest(
                session,
                m.header("priority-class", ""),
                info.getOrDefault("viewer", ""),
                title,
                microsFromMillis(m, "expires-ms"),
                microsFromMillis(m, "expected-ms"),
                integer(info, "home"),
                integer(info, "copies"),
                integer(info, "top"),
                m.header("p-repeat", "0").equals("1"),
                "1".equals(info.get("moved")),
                "1".equals(info.get("again")),
                description(m));
        String at = info.get("at");
        if (at == null && wish.clientDeadline() <= 0) {
            throw new IllegalArgumentException("Expires-Ms is missing");
        }
        return new SetUpMessage(wish, at);
    }

    /** The description as text; one that is cut, or no text, is of no use to an edge server. */
    private static String description(HttpStyleMessage m) {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(m.body()))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("description is no text");
        }
        if (!text.endsWith("\n")) {
            throw new IllegalArgumentException("description is cut off");
        }
        if (text.chars().anyMatch(c -> c < ' ' && c != '\r' && c != '\n' && c != '\t')) {
            throw new IllegalArgumentException("description with control characters");
        }
        return text;
    }

    private static Map<String, String> parsePairs(String list) {
        Map<String, String> out = new HashMap<>();
        for (String pair : list.split(";")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                out.put(
                        pair.substring(0, colon).strip(),
                        pair.substring(colon + 1).strip());
            }
        }
        return out;
    }

    private static long microsFromMillis(HttpStyleMessage m, String header) {
        String value = m.header(header);
        if (value == null) {
            return 0;
        }
        double millis = number(value, header);
        if (!(millis >= 0 && millis < 1e12)) {
            throw new IllegalArgumentException(header + " is out of range");
        }
        return Math.round(millis * 1000);
    }

    private static int integer(Map<String, String> info, String key) {
        String value = info.get(key);
        if (value != null && !WHOLE_NUMBER.matcher(value).matches()) {
            throw new IllegalArgumentException(key + " is no whole number in range");
        }
        return value == null ? 0 : Integer.parseInt(value);
    }

    private static double number(String value, String what) {
        if (!DECIMAL_NUMBER.matcher(value).matches()) { // Java's own forms, such as 0x1p3 or 5d, are nobody else's
            throw new IllegalArgumentException(what + " is no number");
        }
        return Double.parseDouble(value);
    }
}
