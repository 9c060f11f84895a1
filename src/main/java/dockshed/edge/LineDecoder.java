package dockshed.edge;

import dockshed.net.ReceiveBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;

/** Splits a stream of bytes, however it is divided into reads, into lines of UTF-8 text that end in a line feed. */
final class LineDecoder {
    /** A line that is too long or not valid UTF-8; the stream is of no further use. */
    static final class InvalidLineException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidLineException(String why) {
            super(why);
        }
    }

    private final CharsetDecoder utf8 = StandardCharsets.UTF_8.newDecoder();
    private final int maxBytes;
    private final ReceiveBuffer buffer = new ReceiveBuffer();
    private int scanIndex; // where the search for the next line feed continues

    /** {@code maxBytes} is the longest line accepted, without its line feed. */
    LineDecoder(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends received bytes; {@link #next} then returns the lines that are complete. */
    void add(byte[] bytes) {
        buffer.append(bytes, 0, bytes.length);
    }

    /** The next complete line without its line end, or null where more bytes are needed. */
    String next() throws InvalidLineException {
        while (scanIndex < buffer.size() && buffer.at(scanIndex) != '\n') {
            scanIndex++;
        }
        if (scanIndex > maxBytes) {
            throw new InvalidLineException("line exceeds the limit");
        }
        if (scanIndex == buffer.size()) {
            buffer.trim();
            return null;
        }
        int length = scanIndex > 0 && buffer.at(scanIndex - 1) == '\r' ? scanIndex - 1 : scanIndex;
        try { // replacement characters would go to a viewer as if the server had sent them
            String line = utf8.decode(buffer.view(length)).toString();
            buffer.consume(scanIndex + 1);
            scanIndex = 0;
            return line;
        } catch (CharacterCodingException e) {
            throw new InvalidLineException("line is not valid UTF-8");
        }
    }

    /** Whether part of a line has arrived. */
    boolean hasPartialLine() {
        return !buffer.isEmpty();
    }

    /** Bytes of memory that an incomplete line takes; 0 if there is none. */
    long incompleteBytes() {
        return buffer.isEmpty() ? 0 : buffer.capacity();
    }
}
