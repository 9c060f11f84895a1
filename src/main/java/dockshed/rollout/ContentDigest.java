package dockshed.rollout;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** The SHA-256 digest of a configuration's content. */
public final class ContentDigest {
    /** Length of a digest in bytes. */
    public static final int BYTES = 32;

    private final byte[] bytes;

    private ContentDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Computes the digest of a content. */
    public static ContentDigest of(byte[] content) {
        try {
            return new ContentDigest(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Creates a digest from its {@link #BYTES} bytes; throws IllegalArgumentException for any other length. */
    public static ContentDigest fromBytes(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("digest: expected " + BYTES + " bytes, got " + bytes.length);
        }
        return new ContentDigest(bytes.clone());
    }

    /** A copy of the bytes. */
    public byte[] toBytes() {
        return bytes.clone();
    }

    /** The first eight bytes: enough to distinguish contents in an announcement, but not to trust one. */
    public long prefix() {
        return ByteBuffer.wrap(bytes).getLong();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ContentDigest digest && Arrays.equals(bytes, digest.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    /** The first eight bytes in hexadecimal, as logs and pages show them. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes, 0, 8);
    }
}
