package dockshed.rollout;

/**
 * What a broker announces about itself in every gossip datagram. It is only a hint: it makes receivers ask the voters,
 * and names a source of chunks; no configuration is applied because of it alone.
 *
 * @param version      in force at the sender; 0: none
 * @param digestPrefix of that version's content
 * @param chosen       the highest version that the sender knows to be chosen; it may still be downloading or have
 *     refused it
 * @param refused      whether the sender's program could not use that version
 */
record Announcement(long version, long digestPrefix, long chosen, boolean refused) {
    /** Announces no configuration. */
    static final Announcement NONE = new Announcement(0, 0, 0, false);

    /** Whether that configuration is the one in force at the sender. */
    boolean matches(ConfigurationId id) {
        return version == id.version() && digestPrefix == id.digest().prefix();
    }

    /** The highest version that the announcement mentions. */
    long highest() {
        return Math.max(version, chosen);
    }
}
