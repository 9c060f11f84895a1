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
    private final int maxBytes;
    private byte[] buffer = new byte[1024];
    private int readIndex;
    private int writeIndex;
    private int scanIndex;
    private HttpStyleMessage head; // read already, its body still to come
    private int bodyLength; // of that body; -1: chunked
    private final ByteArrayOutputStream chunkedBody = new ByteArrayOutputStream();
    private int chunkRemaining = -1; // bytes left of the chunk in hand, with its line end; -1: a size line is next
    private boolean inTrailer;

    /** {@code limit}: bytes that a message may have in all. */
    public HttpStyleMessageDecoder(int limit) {
        this.maxBytes = limit;
    }

    public void add(byte[] bytes, int offset, int count) {
        if (writeIndex + count > buffer.length) {
            int kept = writeIndex - readIndex;
            byte[] room = kept + count > buffer.length ? new byte[Math.max(buffer.length * 2, kept + count)] : buffer;
            System.arraycopy(buffer, readIndex, room, 0, kept);
            buffer = room;
            scanIndex -= readIndex;
            readIndex = 0;
            writeIndex = kept;
        }
        System.arraycopy(bytes, offset, buffer, writeIndex, count);
        writeIndex += count;
    }

    /** Whether a message has begun and is not whole. */
    public boolean hasPartialMessage() {
        return head != null || writeIndex > readIndex;
    }

    /** The next whole message, or null. */
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
        HttpStyleMessage whole = new HttpStyleMessage(
                head.startLine(), head.headers(), Arrays.copyOfRange(buffer, readIndex, readIndex + bodyLength));
        readIndex += bodyLength;
        return finish(whole);
    }

    private HttpStyleMessage finish(HttpStyleMessage whole) {
        head = null;
        scanIndex = readIndex;
        return whole;
    }

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
                    HttpStyleMessage whole =
                            new HttpStyleMessage(head.startLine(), head.headers(), chunkedBody.toByteArray());
                    chunkedBody.reset();
                    inTrailer = false;
                    return finish(whole);
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
