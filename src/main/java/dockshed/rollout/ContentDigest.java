package dockshed.rollout;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** The SHA-256 digest of a configuration's bytes. */
public final class ContentDigest {
    /** Bytes of a digest. */
    public static final int BYTES = 32;

    private final byte[] bytes;

    private ContentDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    /** The digest of a content. */
    public static ContentDigest of(byte[] content) {
        try {
            return new ContentDigest(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** A digest from its {@link #BYTES} bytes. */
    public static ContentDigest fromBytes(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("a digest has " + BYTES + " bytes, not " + bytes.length);
        }
        return new ContentDigest(bytes.clone());
    }

    /** A copy of the bytes. */
    public byte[] toBytes() {
        return bytes.clone();
    }

    /** The first eight bytes: enough to tell contents apart in an announcement, never enough to trust one. */
    public long prefix() {
        return ByteBuffer.wrap(bytes).getLong();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ContentDigest d && Arrays.equals(bytes, d.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    /** The first eight bytes in hex, as logs and pages show it. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes, 0, 8);
    }
}
