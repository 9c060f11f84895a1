package dockshed.scale;

/**
 * One broker's list of those that are there has changed.
 *
 * @param atMillis Unix time at which the change was seen
 * @param observer the broker whose list it is
 * @param lost     those listed no more, as {@link BrokerRanges}
 * @param found    those listed anew
 */
record MembershipChange(long atMillis, int observer, String lost, String found) {}
