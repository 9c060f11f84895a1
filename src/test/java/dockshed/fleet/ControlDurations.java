package dockshed.fleet;

/**
 * Durations of the parts of a measurement, in microseconds of virtual time.
 *
 * @param warmUp       until all brokers know one another; a round of pushes to all peers is added
 * @param brokerTime   for bytes and processor time: the measured window times the number of brokers, so that each size
 *     gives the same amount to measure
 * @param reports      number of health reports whose propagation is timed, one after another
 * @param reportLimit  for the propagation of one report: health reports expire after 10 s
 * @param failureLimit until all know that the killed brokers have failed
 */
public record ControlDurations(long warmUp, long brokerTime, int reports, long reportLimit, long failureLimit) {
    private static final long SECOND_US = FleetSimulation.SECOND_US;

    /** For figures that are kept. */
    public static final ControlDurations FULL =
            new ControlDurations(20 * SECOND_US, 2_000 * SECOND_US, 3, 10 * SECOND_US, 60 * SECOND_US);
    /** For a first look, and for tests. */
    public static final ControlDurations QUICK =
            new ControlDurations(6 * SECOND_US, 100 * SECOND_US, 2, 5 * SECOND_US, 30 * SECOND_US);

    /** Minimum length of the measured window, in microseconds. */
    private static final long MIN_WINDOW_US = 5 * SECOND_US;

    /** The window in which bytes and processor time are measured, in microseconds. */
    long window(int brokers) {
        return Math.max(MIN_WINDOW_US, brokerTime / brokers);
    }
}
