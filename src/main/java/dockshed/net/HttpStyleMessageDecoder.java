package dockshed.net;

import dockshed.net.HttpStyleMessage.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Takes {@link HttpStyleMessage} messages out of a stream of bytes, however the stream was cut. A body is as long as its
 * Content-Length says or comes in chunks; a message without either has none.
 */
public final class HttpStyleMessageDecoder {
    private final int limit;
    private byte[] held = new byte[1024];
    private int from;
    private int to;
    private int scanned;
    private HttpStyleMessage head; // read already, its body still to come
    private int length; // of that body; -1: chunked
    private final ByteArrayOutputStream chunks = new ByteArrayOutputStream();
    private int chunk = -1; // bytes left of the chunk in hand, with its line end; -1: a size line is next
    private boolean trailer;

    /** {@code limit}: bytes that a message may have in all. */
    public HttpStyleMessageDecoder(int limit) {
        this.limit = limit;
    }

    public void add(byte[] bytes, int offset, int count) {
        if (to + count > held.length) {
            int kept = to - from;
            byte[] room = kept + count > held.length ? new byte[Math.max(held.length * 2, kept + count)] : held;
            System.arraycopy(held, from, room, 0, kept);
            held = room;
            scanned -= from;
            from = 0;
            to = kept;
        }
        System.arraycopy(bytes, offset, held, to, count);
        to += count;
    }

    /** Whether a message has begun and is not whole. */
    public boolean hasPartialMessage() {
        return head != null || to > from;
    }

    /** The next whole message, or null. */
    public HttpStyleMessage next() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return null;
        }
        if (length < 0) {
            return readChunks();
        }
        if (to - from < length) {
            return null;
        }
        HttpStyleMessage whole =
                new HttpStyleMessage(head.startLine(), head.headers(), Arrays.copyOfRange(held, from, from + length));
        from += length;
        return done(whole);
    }

    private HttpStyleMessage done(HttpStyleMessage whole) {
        head = null;
        scanned = from;
        return whole;
    }

    private boolean readHead() throws MalformedMessageException {
        while (from < to && scanned <= from && (held[from] == '\r' || held[from] == '\n')) {
            from++; // empty lines between messages
            scanned = from;
        }
        int end = -1;
        int i = Math.max(scanned, from);
        for (; i < to && end < 0; i++) {
            if (held[i] == '\n'
                    && i > from
                    && (held[i - 1] == '\n' || held[i - 1] == '\r' && i - 1 > from && held[i - 2] == '\n')) {
                end = i + 1;
            }
        }
        scanned = i;
        if ((end < 0 ? to : end) - from > limit) {
            throw new MalformedMessageException("message too long");
        }
        if (end < 0) {
            return false;
        }
        HttpStyleMessage read =
                HttpStyleMessage.parse(new String(held, from, end - from, StandardCharsets.UTF_8), new byte[0]);
        int size = end - from;
        from = end;
        boolean chunked = read.header("transfer-encoding", "").equalsIgnoreCase("chunked");
        length = chunked ? -1 : length(read.header("content-length", "0"));
        if (length > limit - size) {
            throw new MalformedMessageException("message too long");
        }
        head = read;
        return true;
    }

    private static int length(String value) throws MalformedMessageException {
        if (value.isEmpty() || value.length() > 9 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException("Content-Length is no number");
        }
        return Integer.parseInt(value);
    }

    private HttpStyleMessage readChunks() throws MalformedMessageException {
        while (true) {
            if (chunk > 0) {
                if (to - from < chunk) {
                    return null;
                }
                chunks.write(held, from, chunk - 2);
                if (held[from + chunk - 2] != '\r' || held[from + chunk - 1] != '\n') {
                    throw new MalformedMessageException("chunk without an end");
                }
                from += chunk;
                chunk = -1;
            }
            int end = from;
            while (end < to && held[end] != '\n') {
                end++;
            }
            if (end == to) {
                if (to - from > 256) {
                    throw new MalformedMessageException("chunk line too long");
                }
                return null;
            }
            String line = new String(held, from, end - from, StandardCharsets.UTF_8).strip();
            from = end + 1;
            if (trailer) {
                if (line.isEmpty()) {
                    HttpStyleMessage whole =
                            new HttpStyleMessage(head.startLine(), head.headers(), chunks.toByteArray());
                    chunks.reset();
                    trailer = false;
                    return done(whole);
                }
                continue;
            }
            int size = size(line.split(";", 2)[0].strip());
            if (size > limit - chunks.size()) {
                throw new MalformedMessageException("message too long");
            }
            trailer = size == 0;
            chunk = trailer ? -1 : size + 2;
        }
    }

    private static int size(String hex) throws MalformedMessageException {
        if (hex.isEmpty() || hex.length() > 7 || !hex.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new MalformedMessageException("chunk without a size");
        }
        return Integer.parseInt(hex, 16);
    }
}
