package dockshed.topology;

import java.util.stream.IntStream;

/**
 * A group of brokers that know one another in full: a zone, or a cell of a zone that is too large for one scope.
 *
 * @param number of the scope in the fleet, from 0
 * @param zone   to which the scope belongs
 * @param first  lowest broker number in the scope
 * @param size   number of configured brokers, at least 1
 */
public record Scope(int number, Zone zone, int first, int size) {
    public boolean contains(int broker) {
        return broker >= first && broker < first + size;
    }

    /** The numbers of the scope's brokers, in ascending order. */
    public IntStream brokers() {
        return IntStream.range(first, first + size);
    }
}
