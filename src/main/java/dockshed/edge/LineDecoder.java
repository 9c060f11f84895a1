package dockshed.edge;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

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
    private byte[] buffer = new byte[1024];
    private int readIndex;
    private int writeIndex;
    private int scanIndex; // where the search for the next line feed continues

    /** {@code maxBytes} is the longest line accepted, without its line feed. */
    LineDecoder(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends received bytes; {@link #next} then returns the lines that are complete. */
    void add(byte[] bytes) {
        if (writeIndex + bytes.length > buffer.length) {
            byte[] kept = Arrays.copyOfRange(buffer, readIndex, writeIndex);
            buffer = kept.length + bytes.length > buffer.length
                    ? new byte[Math.max(buffer.length * 2, kept.length + bytes.length)]
                    : buffer;
            System.arraycopy(kept, 0, buffer, 0, kept.length);
            scanIndex -= readIndex;
            readIndex = 0;
            writeIndex = kept.length;
        }
        System.arraycopy(bytes, 0, buffer, writeIndex, bytes.length);
        writeIndex += bytes.length;
    }

    /** The next complete line without its line end, or null where more bytes are needed. */
    String next() throws InvalidLineException {
        while (scanIndex < writeIndex && buffer[scanIndex] != '\n') {
            scanIndex++;
        }
        if (scanIndex - readIndex > maxBytes) {
            throw new InvalidLineException("line exceeds the limit");
        }
        if (scanIndex == writeIndex) {
            return null;
        }
        int lineEnd = scanIndex > readIndex && buffer[scanIndex - 1] == '\r' ? scanIndex - 1 : scanIndex;
        try { // replacement characters would go to a viewer as if the server had sent them
            String line = utf8.decode(ByteBuffer.wrap(buffer, readIndex, lineEnd - readIndex))
                    .toString();
            readIndex = ++scanIndex;
            return line;
        } catch (CharacterCodingException e) {
            throw new InvalidLineException("line is not valid UTF-8");
        }
    }

    /** Whether part of a line has arrived. */
    boolean hasPartialLine() {
        return writeIndex > readIndex;
    }
}
