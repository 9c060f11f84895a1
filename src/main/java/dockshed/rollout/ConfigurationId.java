package dockshed.rollout;

/**
 * Which configuration: its version and the digest of its content. Version 0 is the state before the first one.
 *
 * @param version from 1 to {@link #MAX_VERSION}
 * @param digest  of the content's bytes
 */
public record ConfigurationId(long version, ContentDigest digest) {
    /** Versions take six bytes on the wire; half of that is out of reach of any operator. */
    public static final long MAX_VERSION = (1L << 47) - 1;

    public ConfigurationId {
        if (version < 1 || version > MAX_VERSION) {
            throw new IllegalArgumentException("version " + version);
        }
    }
}
