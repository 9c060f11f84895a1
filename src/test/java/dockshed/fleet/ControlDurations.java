package dockshed.fleet;

/**
 * How long the parts of a measurement take, in microseconds of virtual time.
 *
 * @param warmUp       until all know of one another; a round of pushes to all peers comes on top
 * @param brokerTime   for bytes and processor time: a window of so many microseconds over the number of brokers, so that each
 *                     size gives as much to measure
 * @param reports      health reports whose spread is timed, one after another
 * @param reportLimit  for the spread of one: health reports expire after 10 s
 * @param failureLimit until all know of the brokers that were killed
 */
public record ControlDurations(long warmUp, long brokerTime, int reports, long reportLimit, long failureLimit) {
    private static final long SECOND = FleetSimulation.S;

    /** For figures that are kept. */
    public static final ControlDurations FULL =
            new ControlDurations(20 * SECOND, 2_000 * SECOND, 3, 10 * SECOND, 60 * SECOND);
    /** For a look, and for tests. */
    public static final ControlDurations QUICK =
            new ControlDurations(6 * SECOND, 100 * SECOND, 2, 5 * SECOND, 30 * SECOND);

    private static final long SHORTEST_WINDOW = 5 * SECOND;

    /** The window in which bytes and processor time are measured. */
    long window(int brokers) {
        return Math.max(SHORTEST_WINDOW, brokerTime / brokers);
    }
}
