package dockshed.topology;

/**
 * A failure domain as the operator names it: a range of broker numbers.
 *
 * @param name   unique among the zones
 * @param region to which the zone belongs
 * @param first  lowest broker number in the zone
 * @param last   highest broker number in the zone
 */
public record Zone(String name, String region, int first, int last) {
    /** Number of configured brokers in the zone. */
    public int size() {
        return last - first + 1;
    }
}
