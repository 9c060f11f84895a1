package dockshed.scale;

import java.util.Locale;

/** The scenes of the script, in the order played. */
enum SceneName {
    /** All brokers are started at once. */
    START,
    /** No faults; measures the cost of the control code. */
    STEADY,
    /** Two brokers are killed at the same time, and started again. */
    MACHINES,
    /** Brokers publish changes at thirty times the target rate. */
    CHANGES,
    /** Sixty-two announced restarts, one after another. */
    RESTARTS,
    /** Two brokers halt for five seconds at the same time: a hollow one, and a real one if the run has five or more. */
    PAUSE,
    /** All brokers of a zone are killed at the same time, and started again. */
    ZONE,
    /** The links between the regions are cut in both directions, and healed. */
    REGIONS,
    /** The links are cut from the first region to the second only, and healed. */
    REGIONS_ONE_WAY,
    /** 1% of the datagrams are lost. */
    LOSS_1,
    /** 20% of the datagrams are lost. */
    LOSS_20;

    /** The name in reports and on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
