package dockshed.scale;

import java.util.BitSet;

/** Sets of broker numbers as text, such as {@code 0-72,80}: the form of the line protocol and of observations. */
final class BrokerRanges {
    private BrokerRanges() {}

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

    /** Throws NumberFormatException where the text is no set of ranges. */
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

    static BitSet between(int first, int end) {
        BitSet set = new BitSet();
        set.set(first, end);
        return set;
    }

    static BitSet minus(BitSet all, BitSet but) {
        BitSet rest = (BitSet) all.clone();
        rest.andNot(but);
        return rest;
    }
}
