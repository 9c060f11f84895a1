package dockshed.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Bytes that were received on a connection and are not decoded yet; an index counts from the first of them. Memory that
 * a large read took is given back by {@link #trim}.
 */
public final class ReceiveBuffer {
    /** Capacity that is kept where nothing is left, so that small messages need no allocation. */
    static final int MIN_CAPACITY = 1024;

    private byte[] bytes = new byte[MIN_CAPACITY];
    private int start;
    private int end;

    /** Appends bytes of an array. */
    public void append(byte[] source, int offset, int count) {
        if (end + count > bytes.length) {
            int kept = size();
            byte[] target = kept + count > bytes.length ? new byte[Math.max(bytes.length * 2, kept + count)] : bytes;
            System.arraycopy(bytes, start, target, 0, kept);
            bytes = target;
            start = 0;
            end = kept;
        }
        System.arraycopy(source, offset, bytes, end, count);
        end += count;
    }

    /** Number of bytes that are not consumed. */
    public int size() {
        return end - start;
    }

    public boolean isEmpty() {
        return end == start;
    }

    public byte at(int index) {
        return bytes[start + index];
    }

    /** Removes the first bytes. */
    public void consume(int count) {
        start += count;
    }

    /** The first bytes as text in UTF-8; what is not valid is replaced. */
    public String text(int count) {
        return new String(bytes, start, count, StandardCharsets.UTF_8);
    }

    /** A view of the first bytes, valid until the buffer is changed. */
    public ByteBuffer view(int count) {
        return ByteBuffer.wrap(bytes, start, count);
    }

    /** A copy of the first bytes. */
    public byte[] copy(int count) {
        return Arrays.copyOfRange(bytes, start, start + count);
    }

    /** Bytes of memory that the buffer takes. */
    public int capacity() {
        return bytes.length;
    }

    /** Gives back the memory beyond what the remaining bytes need. */
    public void trim() {
        int needed = Math.max(MIN_CAPACITY, size());
        if (bytes.length > 2 * needed) {
            bytes = Arrays.copyOfRange(bytes, start, start + needed);
            end -= start;
            start = 0;
        }
    }

    /** Drops all bytes. */
    public void clear() {
        start = 0;
        end = 0;
        trim();
    }
}
