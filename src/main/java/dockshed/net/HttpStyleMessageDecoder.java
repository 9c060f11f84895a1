package dockshed.net;

import dockshed.net.HttpStyleMessage.MalformedMessageException;
import java.io.ByteArrayOutputStream;

/**
 * Decodes a stream of bytes, however it is divided into reads, into {@link HttpStyleMessage}s. A body is as long as its
 * Content-Length says or is sent in chunks; a message without either has none. Trailers of a chunked body are ignored.
 */
public final class HttpStyleMessageDecoder {
    /** Most header lines of a message: parsed, a line takes many times its length, so the size alone is no limit. */
    static final int MAX_HEADER_LINES = 128;
    /** Longest line with the size of a chunk, and longest trailer line. */
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    private final int maxBytes;
    private final ReceiveBuffer buffer = new ReceiveBuffer();
    private int scanIndex; // where the search for the end of the head continues
    private HttpStyleMessage head; // of the message whose body is being read; null: a head is next
    private int headSize; // of that message
    private int bodyLength; // of that message; -1: chunked
    private ByteArrayOutputStream chunkedBody; // null: no chunk has arrived
    private int chunkRemaining = -1; // bytes of the current chunk, with its line end; -1: a size line is next
    private boolean inTrailer;

    /** {@code maxBytes} is the size of the largest message accepted, head and body together. */
    public HttpStyleMessageDecoder(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends received bytes; {@link #next} then returns the messages that are complete. */
    public void add(byte[] bytes, int offset, int count) {
        buffer.append(bytes, offset, count);
    }

    /** Whether part of a message has arrived. */
    public boolean hasPartialMessage() {
        return head != null || !buffer.isEmpty();
    }

    /** Bytes of memory that an incomplete message takes; 0 if there is none. */
    public long incompleteBytes() {
        if (!hasPartialMessage()) {
            return 0;
        }
        long body = chunkedBody == null ? 0 : chunkedBody.size();
        return buffer.capacity() + headSize + body;
    }

    /** Drops what has arrived of a message; the decoder is of no further use. */
    public void clear() {
        buffer.clear();
        head = null;
        headSize = 0;
        chunkedBody = null;
    }

    /**
     * The next complete message, or null where more bytes are needed.
     *
     * @throws MalformedMessageException if the stream is not such messages; the decoder is of no further use then
     */
    public HttpStyleMessage next() throws MalformedMessageException {
        HttpStyleMessage message = decodeNext();
        if (message == null) {
            buffer.trim();
        }
        return message;
    }

    private HttpStyleMessage decodeNext() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return null;
        }
        if (bodyLength < 0) {
            return readChunks();
        }
        if (buffer.size() < bodyLength) {
            return null;
        }
        HttpStyleMessage complete = new HttpStyleMessage(head.startLine(), head.headers(), buffer.copy(bodyLength));
        buffer.consume(bodyLength);
        return finish(complete);
    }

    /** Prepares for the next message and returns the one that is complete. */
    private HttpStyleMessage finish(HttpStyleMessage complete) {
        head = null;
        headSize = 0;
        scanIndex = 0;
        return complete;
    }

    /** Reads the start line and headers of the next message; false where more bytes are needed. */
    private boolean readHead() throws MalformedMessageException {
        skipEmptyLines();
        int size = findHeadEnd();
        if ((size < 0 ? buffer.size() : size) > maxBytes) {
            throw new MalformedMessageException("message exceeds the limit");
        }
        if (size < 0) {
            return false;
        }
        HttpStyleMessage read = HttpStyleMessage.parse(buffer.text(size), new byte[0], MAX_HEADER_LINES);
        buffer.consume(size);
        boolean chunked = read.header("transfer-encoding", "").equalsIgnoreCase("chunked");
        bodyLength = chunked ? -1 : bodyLength(read.header("content-length", "0"));
        if (bodyLength > maxBytes - size) {
            throw new MalformedMessageException("message exceeds the limit");
        }
        head = read;
        headSize = size;
        return true;
    }

    /** Skips empty lines between messages. */
    private void skipEmptyLines() {
        while (scanIndex == 0 && !buffer.isEmpty() && (buffer.at(0) == '\r' || buffer.at(0) == '\n')) {
            buffer.consume(1);
        }
    }

    /** The size of the head with the empty line that ends it; -1 if it is not complete. */
    private int findHeadEnd() {
        for (; scanIndex < buffer.size(); scanIndex++) {
            if (buffer.at(scanIndex) == '\n' && isEmptyLineEnd(scanIndex)) {
                return scanIndex + 1;
            }
        }
        return -1;
    }

    /** Whether the line feed at this index ends an empty line. */
    private boolean isEmptyLineEnd(int index) {
        return index > 0 && buffer.at(index - 1) == '\n'
                || index > 1 && buffer.at(index - 1) == '\r' && buffer.at(index - 2) == '\n';
    }

    private static int bodyLength(String value) throws MalformedMessageException {
        if (value.isEmpty() || value.length() > 9 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException("Content-Length is not a number of up to 9 digits");
        }
        return Integer.parseInt(value);
    }

    /** Reads what has arrived of a chunked body; null where more bytes are needed. */
    private HttpStyleMessage readChunks() throws MalformedMessageException {
        if (chunkedBody == null) {
            chunkedBody = new ByteArrayOutputStream();
        }
        while (true) {
            if (chunkRemaining > 0) {
                if (buffer.size() < chunkRemaining) {
                    return null;
                }
                readChunk();
            }
            String line = readChunkLine();
            if (line == null) {
                return null;
            }
            if (inTrailer) {
                if (line.isEmpty()) {
                    HttpStyleMessage complete =
                            new HttpStyleMessage(head.startLine(), head.headers(), chunkedBody.toByteArray());
                    chunkedBody = null;
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

    /** Reads a chunk that has arrived with its line end. */
    private void readChunk() throws MalformedMessageException {
        chunkedBody.write(buffer.copy(chunkRemaining - 2), 0, chunkRemaining - 2);
        if (buffer.at(chunkRemaining - 2) != '\r' || buffer.at(chunkRemaining - 1) != '\n') {
            throw new MalformedMessageException("chunk does not end in CRLF");
        }
        buffer.consume(chunkRemaining);
        chunkRemaining = -1;
    }

    /** Reads a line with the size of a chunk or a trailer; null where more bytes are needed. */
    private String readChunkLine() throws MalformedMessageException {
        int lineEnd = 0;
        while (lineEnd < buffer.size() && buffer.at(lineEnd) != '\n') {
            lineEnd++;
        }
        if (lineEnd == buffer.size()) {
            if (lineEnd > MAX_CHUNK_LINE_BYTES) {
                throw new MalformedMessageException("chunk size line or trailer line exceeds 256 bytes");
            }
            return null;
        }
        String line = buffer.text(lineEnd).strip();
        buffer.consume(lineEnd + 1);
        return line;
    }

    private static int parseChunkSize(String hex) throws MalformedMessageException {
        if (hex.isEmpty() || hex.length() > 7 || !hex.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new MalformedMessageException("chunk size is not a hex number of up to 7 digits");
        }
        return Integer.parseInt(hex, 16);
    }
}
