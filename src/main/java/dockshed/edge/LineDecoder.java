package dockshed.edge;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Takes lines, ended by a line feed, out of a stream of bytes, however the stream was cut. */
final class LineDecoder {
    /** A line that never seems to end, or that is no text. */
    static final class InvalidLineException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidLineException(String why) {
            super(why);
        }
    }

    private final CharsetDecoder text = StandardCharsets.UTF_8.newDecoder();
    private final int limit;
    private byte[] held = new byte[1024];
    private int from;
    private int to;
    private int scanned;

    LineDecoder(int limit) {
        this.limit = limit;
    }

    void add(byte[] bytes) {
        if (to + bytes.length > held.length) {
            byte[] kept = Arrays.copyOfRange(held, from, to);
            held = kept.length + bytes.length > held.length
                    ? new byte[Math.max(held.length * 2, kept.length + bytes.length)]
                    : held;
            System.arraycopy(kept, 0, held, 0, kept.length);
            scanned -= from;
            from = 0;
            to = kept.length;
        }
        System.arraycopy(bytes, 0, held, to, bytes.length);
        to += bytes.length;
    }

    /** The next whole line without its end, or null. */
    String next() throws InvalidLineException {
        while (scanned < to && held[scanned] != '\n') {
            scanned++;
        }
        if (scanned - from > limit) {
            throw new InvalidLineException("line too long");
        }
        if (scanned == to) {
            return null;
        }
        int end = scanned > from && held[scanned - 1] == '\r' ? scanned - 1 : scanned;
        try { // bytes put in the place of others would go to a viewer as if the server had sent them
            String line = text.decode(ByteBuffer.wrap(held, from, end - from)).toString();
            from = ++scanned;
            return line;
        } catch (CharacterCodingException e) {
            throw new InvalidLineException("line is no text");
        }
    }

    /** Whether a line has begun and is not whole. */
    boolean hasPartialLine() {
        return to > from;
    }
}
