package dockshed.rollout;

/**
 * A version and its complete content, the bytes of the operator's document. Immutable. Two are equal if version and
 * digest are.
 */
public final class Configuration {
    /** Maximum length of a document in bytes. */
    public static final int MAX_BYTES = 2 * 1024;

    private final ConfigurationId id;
    private final byte[] content;

    /**
     * Creates the configuration of that version and content; throws IllegalArgumentException if the content is empty or
     * longer than {@link #MAX_BYTES}, or if the version is out of range.
     */
    public Configuration(long version, byte[] content) {
        if (content.length == 0 || content.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "configuration: expected 1 to " + MAX_BYTES + " bytes, got " + content.length);
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

    /** Bytes of the document. */
    public int length() {
        return content.length;
    }

    /** The bytes of one chunk; the last chunk may be shorter than {@code chunkBytes}. */
    byte[] chunk(int index, int chunkBytes) {
        int from = index * chunkBytes;
        return java.util.Arrays.copyOfRange(content, from, Math.min(content.length, from + chunkBytes));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration configuration && id.equals(configuration.id);
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
