package dockshed.scale;

import java.util.Locale;

/** Figures of a scene; the name in lower case is the column of the CSV file. */
enum Metric {
    /** Brokers running at the end of the scene. */
    OBSERVERS,
    /** Payload bytes sent and received by a measured broker per second: the mean and the highest. */
    BYTES_S,
    BYTES_S_MAX,
    /** Payload bytes sent by a measured broker per second, the mean. */
    SENT_BYTES_S,
    /** CPU time of the control thread as a share of a core: the mean and the highest. */
    CPU,
    CPU_MAX,
    /** Heap of the control code alone, in kB per broker. */
    MEMORY_KB,
    /** Seconds from the fault until a running broker drops a lost one, over all pairs of the two. */
    DETECT_P50_S,
    DETECT_P99_S,
    /** Seconds from the fault until no running broker lists any of the lost ones. */
    GONE_S,
    /** Seconds from the end of the fault until all running brokers list all. */
    HEAL_S,
    /** The same for 99% of the pairs of brokers. */
    HEAL_P99_S,
    /** Ages in seconds of the figures held of other brokers in the own scope; without zones, of all brokers. */
    FIGURE_AGE_MEAN_S,
    FIGURE_AGE_P99_S,
    /** Ages in seconds of the summaries of other scopes. */
    SUMMARY_AGE_P99_S,
    /** Figures and summaries that are not held at all, divided by those that are held. */
    FIGURES_MISSING,
    /** Seconds from a change at one broker until another knows of it, over all pairs; infinite if not within the scene. */
    CHANGE_P50_S,
    CHANGE_P99_S,
    /** Share of the pairs of a change and a broker in which the broker learned of the change within the scene. */
    CHANGE_REACHED,
    /** Brokers that another broker declared dead while they were running and reachable. */
    FALSE_DEAD,
    /** Brokers that another broker declared dead shortly after their return. */
    LATE_DEAD,
    /** Scopes (zones or cells) that a broker lost while one of their brokers was reachable. */
    SCOPES_LOST,
    /** Pairs of brokers that hold different content under one version, or have replaced a newer version by an older. */
    DISAGREE,
    /** Open connections of viewers to real brokers, and the share of a core that a real broker's process uses. */
    CONNECTIONS,
    REAL_CPU;

    /** The CSV column. */
    String column() {
        return name().toLowerCase(Locale.ROOT);
    }
}
