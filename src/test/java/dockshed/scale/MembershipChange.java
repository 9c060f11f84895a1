package dockshed.scale;

import java.util.BitSet;

/**
 * One broker's list of those that are there has changed.
 *
 * @param atMillis Unix time at which the change was seen
 * @param observer the broker whose list it is
 * @param lost     subjects listed no more, numbered as {@link Visibility} says, in the form of {@link BrokerRanges}
 * @param found    those listed anew
 */
record MembershipChange(long atMillis, int observer, String lost, String found) {
    static MembershipChange of(long atMillis, int observer, BitSet before, BitSet after) {
        return new MembershipChange(
                atMillis,
                observer,
                BrokerRanges.format(BrokerRanges.minus(before, after)),
                BrokerRanges.format(BrokerRanges.minus(after, before)));
    }
}
