package dockshed.edge;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Takes lines, ended by a line feed, out of a stream of bytes, however the stream was cut. */
final class LineDecoder {
    /** A line that never seems to end. */
    static final class TooLong extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final int limit;
    private byte[] held = new byte[1024];
    private int from, to, scanned;

    LineDecoder(int limit) {
        this.limit = limit;
    }

    void add(byte[] bytes) {
        if (to + bytes.length > held.length) {
            byte[] kept = Arrays.copyOfRange(held, from, to);
            held = kept.length + bytes.length > held.length
                    ? new byte[Math.max(held.length * 2, kept.length + bytes.length)] : held;
            System.arraycopy(kept, 0, held, 0, kept.length);
            scanned -= from;
            from = 0;
            to = kept.length;
        }
        System.arraycopy(bytes, 0, held, to, bytes.length);
        to += bytes.length;
    }

    /** The next whole line without its end, or null. */
    String next() throws TooLong {
        while (scanned < to && held[scanned] != '\n') {
            scanned++;
        }
        if (scanned - from > limit) {
            throw new TooLong();
        }
        if (scanned == to) {
            return null;
        }
        int end = scanned > from && held[scanned - 1] == '\r' ? scanned - 1 : scanned;
        String line = new String(held, from, end - from, StandardCharsets.UTF_8);
        from = ++scanned;
        return line;
    }
}
