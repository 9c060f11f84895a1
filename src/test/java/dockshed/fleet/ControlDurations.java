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
    private static final long SECOND_US = FleetSimulation.SECOND_US;

    /** For figures that are kept. */
    public static final ControlDurations FULL =
            new ControlDurations(20 * SECOND_US, 2_000 * SECOND_US, 3, 10 * SECOND_US, 60 * SECOND_US);
    /** For a look, and for tests. */
    public static final ControlDurations QUICK =
            new ControlDurations(6 * SECOND_US, 100 * SECOND_US, 2, 5 * SECOND_US, 30 * SECOND_US);

    private static final long MIN_WINDOW_US = 5 * SECOND_US;

    /** The window in which bytes and processor time are measured. */
    long window(int brokers) {
        return Math.max(MIN_WINDOW_US, brokerTime / brokers);
    }
}
