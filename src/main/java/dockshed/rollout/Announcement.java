package dockshed.rollout;

/**
 * What a broker says of itself in every datagram of the gossip. It is a hint: it makes others ask the voters, and names a
 * source of chunks; nothing is put in force by it.
 *
 * @param version      in force there; 0: none
 * @param digestPrefix of its content
 * @param chosen       the highest version that it knows to be chosen, which it may still be fetching, or have refused
 * @param refused      whether its program could not use that one
 */
record Announcement(long version, long digestPrefix, long chosen, boolean refused) {
    static final Announcement NONE = new Announcement(0, 0, 0, false);

    boolean matches(ConfigurationId id) {
        return version == id.version() && digestPrefix == id.digest().prefix();
    }

    /** The highest version that it speaks of. */
    long highest() {
        return Math.max(version, chosen);
    }
}
