package dockshed.net;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A message in the format that RTSP and HTTP/1.1 share: a start line, headers, an empty line and a body.
 *
 * @param startLine the request line or status line
 * @param headers   values by header name in lower case; of headers with the same name the last one is kept
 */
public record HttpStyleMessage(String startLine, Map<String, String> headers, byte[] body) {
    /** Input is not a message of this format; the connection that it arrived on is of no further use. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        public MalformedMessageException(String why) {
            super(why);
        }
    }

    /** The value of a header, its name given in lower case; null if absent. */
    public String header(String name) {
        return headers.get(name);
    }

    /** The value of a header, its name given in lower case; {@code defaultValue} if absent. */
    public String header(String name, String defaultValue) {
        return headers.getOrDefault(name, defaultValue);
    }

    /** The body, decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** One of the up to three parts of the start line, counted from 0; an empty text if there is none. */
    public String startLinePart(int index) {
        String[] words = startLine.split(" ", 3);
        return index < words.length ? words[index] : "";
    }

    /** The status code of a response; -1 if the start line has none. */
    public int status() {
        String code = startLinePart(1);
        return code.length() == 3 && code.chars().allMatch(c -> c >= '0' && c <= '9') ? Integer.parseInt(code) : -1;
    }

    /** Encodes a message as sent over a connection; adds the Content-Length header. */
    public static byte[] encode(String startLine, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.UTF_8);
        byte[] out = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, out, 0, bytes.length);
        System.arraycopy(body, 0, out, bytes.length, body.length);
        return out;
    }

    /** This message with only those of its headers that have one of these names, in lower case, and without its body. */
    public HttpStyleMessage onlyHeaders(Set<String> names) {
        Map<String, String> kept = new LinkedHashMap<>(headers);
        kept.keySet().retainAll(names);
        return new HttpStyleMessage(startLine, kept, new byte[0]);
    }

    /** Parses a start line and up to {@code maxLines} header lines. */
    static HttpStyleMessage parse(String head, byte[] body, int maxLines) throws MalformedMessageException {
        Map<String, String> headers = new LinkedHashMap<>();
        int start = head.indexOf('\n') + 1;
        String startLine = start == 0 ? head : line(head, 0, start - 1);
        int lines = 0;
        while (start < head.length()) {
            int feed = head.indexOf('\n', start);
            int end = feed < 0 ? head.length() : feed;
            String line = line(head, start, end);
            start = end + 1;
            if (!line.isEmpty()) {
                if (++lines > maxLines) {
                    throw new MalformedMessageException("more than " + maxLines + " header lines");
                }
                addHeader(headers, line);
            }
        }
        return new HttpStyleMessage(startLine, headers, body);
    }

    /** The line between two indexes, without a carriage return at its end. */
    private static String line(String head, int start, int end) {
        return head.substring(start, end > start && head.charAt(end - 1) == '\r' ? end - 1 : end);
    }

    private static void addHeader(Map<String, String> headers, String line) throws MalformedMessageException {
        int colon = line.indexOf(':');
        if (colon < 1 || line.charAt(colon - 1) <= ' ' || line.charAt(0) <= ' ') {
            throw new MalformedMessageException("expected a header line 'name: value', got one without a name");
        }
        headers.put(
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).strip());
    }
}
