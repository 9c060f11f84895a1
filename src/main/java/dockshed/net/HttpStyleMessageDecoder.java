package dockshed.net;

import dockshed.net.HttpStyleMessage.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decodes a stream of bytes, however it is divided into reads, into {@link HttpStyleMessage}s. A body is as long as its
 * Content-Length says or is sent in chunks; a message without either has none. Trailers of a chunked body are ignored.
 */
public final class HttpStyleMessageDecoder {
    private final int maxBytes;
    private byte[] buffer = new byte[1024];
    private int readIndex;
    private int writeIndex;
    private int scanIndex; // where the search for the end of the head continues
    private HttpStyleMessage head; // of the message whose body is being read; null: a head is next
    private int bodyLength; // of that message; -1: chunked
    private final ByteArrayOutputStream chunkedBody = new ByteArrayOutputStream();
    private int chunkRemaining = -1; // bytes of the current chunk, with its line end; -1: a size line is next
    private boolean inTrailer;

    /** {@code maxBytes} is the size of the largest message accepted, head and body together. */
    public HttpStyleMessageDecoder(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends received bytes; {@link #next} then returns the messages that are complete. */
    public void add(byte[] bytes, int offset, int count) {
        if (writeIndex + count > buffer.length) {
            int kept = writeIndex - readIndex;
            byte[] target = kept + count > buffer.length ? new byte[Math.max(buffer.length * 2, kept + count)] : buffer;
            System.arraycopy(buffer, readIndex, target, 0, kept);
            buffer = target;
            scanIndex -= readIndex;
            readIndex = 0;
            writeIndex = kept;
        }
        System.arraycopy(bytes, offset, buffer, writeIndex, count);
        writeIndex += count;
    }

    /** Whether part of a message has arrived. */
    public boolean hasPartialMessage() {
        return head != null || writeIndex > readIndex;
    }

    /**
     * The next complete message, or null where more bytes are needed.
     *
     * @throws MalformedMessageException if the stream is not such messages; the decoder is of no further use then
     */
    public HttpStyleMessage next() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return null;
        }
        if (bodyLength < 0) {
            return readChunks();
        }
        if (writeIndex - readIndex < bodyLength) {
            return null;
        }
        HttpStyleMessage complete = new HttpStyleMessage(
                head.startLine(), head.headers(), Arrays.copyOfRange(buffer, readIndex, readIndex + bodyLength));
        readIndex += bodyLength;
        return finish(complete);
    }

    /** Prepares for the next message and returns the one that is complete. */
    private HttpStyleMessage finish(HttpStyleMessage complete) {
        head = null;
        scanIndex = readIndex;
        return complete;
    }

    /** Reads the start line and headers of the next message; false where more bytes are needed. */
    private boolean readHead() throws MalformedMessageException {
        while (readIndex < writeIndex
                && scanIndex <= readIndex
                && (buffer[readIndex] == '\r' || buffer[readIndex] == '\n')) {
            readIndex++; // empty lines between messages
            scanIndex = readIndex;
        }
        int headEnd = -1;
        int i = Math.max(scanIndex, readIndex);
        for (; i < writeIndex && headEnd < 0; i++) {
            if (buffer[i] == '\n'
                    && i > readIndex
                    && (buffer[i - 1] == '\n' || buffer[i - 1] == '\r' && i - 1 > readIndex && buffer[i - 2] == '\n')) {
                headEnd = i + 1;
            }
        }
        scanIndex = i;
        if ((headEnd < 0 ? writeIndex : headEnd) - readIndex > maxBytes) {
            throw new MalformedMessageException("message exceeds the limit");
        }
        if (headEnd < 0) {
            return false;
        }
        HttpStyleMessage read = HttpStyleMessage.parse(
                new String(buffer, readIndex, headEnd - readIndex, StandardCharsets.UTF_8), new byte[0]);
        int headSize = headEnd - readIndex;
        readIndex = headEnd;
        boolean chunked = read.header("transfer-encoding", "").equalsIgnoreCase("chunked");
        bodyLength = chunked ? -1 : bodyLength(read.header("content-length", "0"));
        if (bodyLength > maxBytes - headSize) {
            throw new MalformedMessageException("message exceeds the limit");
        }
        head = read;
        return true;
    }

    private static int bodyLength(String value) throws MalformedMessageException {
        if (value.isEmpty() || value.length() > 9 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException("Content-Length is not a number of up to 9 digits");
        }
        return Integer.parseInt(value);
    }

    /** Reads what has arrived of a chunked body; null where more bytes are needed. */
    private HttpStyleMessage readChunks() throws MalformedMessageException {
        while (true) {
            if (chunkRemaining > 0) {
                if (writeIndex - readIndex < chunkRemaining) {
                    return null;
                }
                chunkedBody.write(buffer, readIndex, chunkRemaining - 2);
                if (buffer[readIndex + chunkRemaining - 2] != '\r' || buffer[readIndex + chunkRemaining - 1] != '\n') {
                    throw new MalformedMessageException("chunk does not end in CRLF");
                }
                readIndex += chunkRemaining;
                chunkRemaining = -1;
            }
            int lineEnd = readIndex;
            while (lineEnd < writeIndex && buffer[lineEnd] != '\n') {
                lineEnd++;
            }
            if (lineEnd == writeIndex) {
                if (writeIndex - readIndex > 256) {
                    throw new MalformedMessageException("chunk size line or trailer line exceeds 256 bytes");
                }
                return null;
            }
            String line = new String(buffer, readIndex, lineEnd - readIndex, StandardCharsets.UTF_8).strip();
            readIndex = lineEnd + 1;
            if (inTrailer) {
                if (line.isEmpty()) {
                    HttpStyleMessage complete =
                            new HttpStyleMessage(head.startLine(), head.headers(), chunkedBody.toByteArray());
                    chunkedBody.reset();
                    inTrailer = false;
                    return finish(complete);
                }
                continue;
            }
            int size = parseChunkSize(line.split(";", 2)[0].strip());
            if (size > maxBytes - chunkedBody.size()) {
                throw new MalformedMessageException("message exceeds the limit");
            }
            inTrailer = size == 0;
            chunkRemaining = inTrailer ? -1 : size + 2;
        }
    }

    private static int parseChunkSize(String hex) throws MalformedMessageException {
        if (hex.isEmpty() || hex.length() > 7 || !hex.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new MalformedMessageException("chunk size is not a hex number of up to 7 digits");
        }
        return Integer.parseInt(hex, 16);
    }
}
