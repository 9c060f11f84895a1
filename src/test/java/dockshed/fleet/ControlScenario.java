package dockshed.fleet;

/**
 * The conditions of one measurement of control traffic.
 *
 * @param mechanism        by which the brokers share their state
 * @param brokers          number of brokers in the fleet
 * @param loss             part of the datagrams that is lost
 * @param changesPerMinute health reports per minute in the whole fleet
 * @param entriesPerOwner  lasting entries that each broker owns, in addition to those that the mechanism writes
 * @param seed             of the network and the brokers
 */
public record ControlScenario(
        ControlMechanism mechanism, int brokers, double loss, double changesPerMinute, int entriesPerOwner, long seed) {
    /** Maximum number of lasting entries per owner: two places remain for its load figures and its health reports. */
    public static final int MAX_ENTRIES_PER_OWNER = EntryStore.MAX_ENTRIES_PER_OWNER - 2;
}
