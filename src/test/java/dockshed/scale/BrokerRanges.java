package dockshed.scale;

import java.util.BitSet;

/** Sets of broker numbers, written as ranges such as {@code 0-72,80} in commands to hollow processes and in observations. */
final class BrokerRanges {
    private BrokerRanges() {}

    /** Writes a set as ranges, ascending; an empty set is an empty text. */
    static String format(BitSet brokers) {
        StringBuilder text = new StringBuilder();
        for (int first = brokers.nextSetBit(0); first >= 0; ) {
            int last = brokers.nextClearBit(first) - 1;
            text.append(text.length() == 0 ? "" : ",").append(first);
            if (last > first) {
                text.append('-').append(last);
            }
            first = brokers.nextSetBit(last + 1);
        }
        return text.toString();
    }

    /**
     * Reads a set of ranges.
     *
     * @throws NumberFormatException if a bound of a range is not an integer
     */
    static BitSet parse(String text) {
        BitSet brokers = new BitSet();
        if (text.isEmpty()) {
            return brokers;
        }
        for (String range : text.split(",")) {
            int dash = range.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
            int last = dash < 0 ? first : Integer.parseInt(range.substring(dash + 1));
            brokers.set(first, last + 1);
        }
        return brokers;
    }

    static BitSet of(int... brokers) {
        BitSet set = new BitSet();
        for (int broker : brokers) {
            set.set(broker);
        }
        return set;
    }

    /** The numbers from {@code first} up to but not including {@code end}. */
    static BitSet between(int first, int end) {
        BitSet set = new BitSet();
        set.set(first, end);
        return set;
    }

    /** The numbers of {@code all} that are not in {@code excluded}; neither argument changes. */
    static BitSet minus(BitSet all, BitSet excluded) {
        BitSet rest = (BitSet) all.clone();
        rest.andNot(excluded);
        return rest;
    }
}
