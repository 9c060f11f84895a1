package dockshed.rollout;

/** A version with its whole content: the bytes of the operator's document. Immutable. */
public final class Configuration {
    /** Bytes of a document at most. */
    public static final int MAX_BYTES = 2 * 1024;

    private final ConfigurationId id;
    private final byte[] content;

    /** The configuration of that version and content. Throws IllegalArgumentException where it is empty or too long. */
    public Configuration(long version, byte[] content) {
        if (content.length == 0 || content.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "a configuration has 1 to " + MAX_BYTES + " bytes, not " + content.length);
        }
        this.content = content.clone();
        this.id = new ConfigurationId(version, ContentDigest.of(this.content));
    }

    public ConfigurationId id() {
        return id;
    }

    public long version() {
        return id.version();
    }

    /** A copy of the document's bytes. */
    public byte[] content() {
        return content.clone();
    }

    public int length() {
        return content.length;
    }

    /** The bytes of one chunk. */
    byte[] chunk(int index, int chunkBytes) {
        int from = index * chunkBytes;
        return java.util.Arrays.copyOfRange(content, from, Math.min(content.length, from + chunkBytes));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration c && id.equals(c.id);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    @Override
    public String toString() {
        return "version " + id.version() + " digest " + id.digest();
    }
}
