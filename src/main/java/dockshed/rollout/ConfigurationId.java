package dockshed.rollout;

/**
 * Identifies a configuration by its version and the digest of its content. Version 0 stands for the time before the
 * first configuration and has no identity.
 *
 * @param version from 1 to {@link #MAX_VERSION}; others throw IllegalArgumentException
 * @param digest  of the content's bytes
 */
public record ConfigurationId(long version, ContentDigest digest) {
    /**
     * Highest version: versions take six bytes on the wire, and half of their range is more than any operator will use.
     */
    public static final long MAX_VERSION = (1L << 47) - 1;

    public ConfigurationId {
        if (version < 1 || version > MAX_VERSION) {
            throw new IllegalArgumentException("version: expected 1 to " + MAX_VERSION + ", got " + version);
        }
    }
}
