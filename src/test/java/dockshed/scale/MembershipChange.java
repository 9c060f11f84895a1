package dockshed.scale;

import java.util.BitSet;

/**
 * A change of the subjects that one broker lists as present. Subjects are numbered as {@link Visibility} describes and
 * written in the form of {@link BrokerRanges}.
 *
 * @param atMillis time of the observation, milliseconds of the fleet's clock
 * @param observer the broker whose list changed
 * @param lost     subjects that it no longer lists
 * @param found    subjects that it lists now and did not before
 */
record MembershipChange(long atMillis, int observer, String lost, String found) {
    /** The difference of two sets of listed subjects. */
    static MembershipChange of(long atMillis, int observer, BitSet before, BitSet after) {
        return new MembershipChange(
                atMillis,
                observer,
                BrokerRanges.format(BrokerRanges.minus(before, after)),
                BrokerRanges.format(BrokerRanges.minus(after, before)));
    }
}
