package dockshed.fleet;

/**
 * What a fleet is put to in one measurement of its control traffic.
 *
 * @param mechanism        how the brokers share their state
 * @param brokers          in the fleet
 * @param loss             part of the datagrams that is lost
 * @param changesPerMinute health reports a minute of the whole fleet
 * @param entriesPerOwner  lasting entries that each broker owns, beside those that the mechanism writes
 * @param seed             of the network and the brokers
 */
public record ControlScenario(
        ControlMechanism mechanism, int brokers, double loss, double changesPerMinute, int entriesPerOwner, long seed) {
    /** Entries an owner at most: two places stay for its figures and its health reports. */
    public static final int MAX_ENTRIES_PER_OWNER = EntryStore.MAX_ENTRIES_PER_OWNER - 2;
}
