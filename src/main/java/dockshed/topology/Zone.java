package dockshed.topology;

/**
 * A failure domain as the operator names it: a run of broker numbers.
 *
 * @param name   unique among the zones
 * @param region in which the zone lies
 * @param first  lowest broker number in the zone
 * @param last   highest broker number in the zone
 */
public record Zone(String name, String region, int first, int last) {
    /** How many brokers are configured in the zone. */
    public int size() {
        return last - first + 1;
    }
}
