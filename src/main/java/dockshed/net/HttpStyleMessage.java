package dockshed.net;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A message of the form that RTSP and HTTP share: a first line, headers, an empty line, a body. Header names are
 * kept in lower case; of equal ones the last counts.
 */
public record HttpStyleMessage(String startLine, Map<String, String> headers, byte[] body) {
    /** What cannot be read; the connection that brought it is of no further use. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        public MalformedMessageException(String why) {
            super(why);
        }
    }

    public String header(String name) {
        return headers.get(name);
    }

    public String header(String name, String absent) {
        return headers.getOrDefault(name, absent);
    }

    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The part of the first line at this place, or an empty text. */
    public String startLinePart(int index) {
        String[] words = startLine.split(" ", 3);
        return index < words.length ? words[index] : "";
    }

    /** The status code of an answer; -1 where there is none. */
    public int status() {
        String code = startLinePart(1);
        return code.length() == 3 && code.chars().allMatch(c -> c >= '0' && c <= '9') ? Integer.parseInt(code) : -1;
    }

    /** Lays a message out for the wire; Content-Length is added. */
    public static byte[] encode(String first, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.UTF_8);
        byte[] out = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, out, 0, bytes.length);
        System.arraycopy(body, 0, out, bytes.length, body.length);
        return out;
    }

    static HttpStyleMessage parse(String head, byte[] body) throws MalformedMessageException {
        String[] lines = head.split("\r?\n", -1);
        return new HttpStyleMessage(lines[0], fields(lines), body);
    }

    private static Map<String, String> fields(String[] lines) throws MalformedMessageException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            if (lines[i].isEmpty()) {
                continue;
            }
            int colon = lines[i].indexOf(':');
            if (colon < 1 || lines[i].charAt(colon - 1) <= ' ' || lines[i].charAt(0) <= ' ') {
                throw new MalformedMessageException("header line without a name");
            }
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        return headers;
    }
}
