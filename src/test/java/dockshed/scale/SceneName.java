package dockshed.scale;

import java.util.Locale;

/** The scenes, in the order played. */
enum SceneName {
    /** All brokers are started at once. */
    START,
    /** Nothing happens; what the control part costs. */
    STEADY,
    /** Two brokers are killed at once, and started again. */
    MACHINES,
    /** Changes of what is shared at thirty times the wanted rate. */
    CHANGES,
    /** Sixty-two planned restarts in a row. */
    RESTARTS,
    /** A broker stands still for five seconds, a hollow and a real one in turn. */
    PAUSE,
    /** All brokers of a zone are killed at once, and started again. */
    ZONE,
    /** Nothing comes through from either region to the other, and then all again. */
    REGIONS,
    /** Nothing comes through from the first region to the second, and then all again. */
    REGIONS_ONE_WAY,
    /** One datagram in a hundred is lost. */
    LOSS_1,
    /** One datagram in five is lost. */
    LOSS_20;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
