package dockshed.scale;

import java.util.Locale;

/** What a scene yields; the name in lower case is the CSV's column. */
enum Metric {
    /** Brokers that ran and are counted, at the scene's end. */
    OBSERVERS,
    /** Payload bytes sent and received, a second and hollow broker: the mean, and the broker with most. */
    BYTES_S,
    BYTES_S_MAX,
    /** Of those, sent. */
    SENT_BYTES_S,
    /** Processor time of the control part's thread, as a share of a core: the mean, and the broker with most. */
    CPU,
    CPU_MAX,
    /** Heap of the control part alone, kB a broker. */
    MEMORY_KB,
    /** From the fault until a running broker lists a lost one no more, over all pairs, in seconds. */
    DETECT_P50_S,
    DETECT_P99_S,
    /** Until no running broker lists any of the lost ones. */
    GONE_S,
    /** From the end of the fault until all running brokers list all. */
    HEAL_S,
    /** The same for 99 in 100 pairs. */
    HEAL_P99_S,
    /** Ages of the figures held of the others of the own scope, in seconds: of all brokers where there are no zones. */
    FIGURE_AGE_MEAN_S,
    FIGURE_AGE_P99_S,
    /** Ages of the summaries of other zones. */
    SUMMARY_AGE_P99_S,
    /** Share of both that is not held at all. */
    FIGURES_MISSING,
    /** From a change at one broker until another knows it, over all pairs, in seconds; infinite: not within the scene. */
    CHANGE_P50_S,
    CHANGE_P99_S,
    /** Share of the pairs of a change and a broker that met within the scene. */
    CHANGE_REACHED,
    /** Brokers that somebody listed no more while they ran and were reachable. */
    FALSE_DEAD,
    /** Brokers that somebody listed no more shortly after they were back. */
    LATE_DEAD,
    /** Zones, or cells of one, of which somebody knew nothing any more while some of their brokers were reachable. */
    SCOPES_LOST,
    /** Pairs of brokers that hold different content under one version, or an older over a newer. */
    DISAGREE,
    /** Connections held by viewers of real brokers, and the share of a core that a real broker's whole process takes. */
    CONNECTIONS,
    REAL_CPU;

    String column() {
        return name().toLowerCase(Locale.ROOT);
    }
}
