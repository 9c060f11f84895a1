package dockshed.storm;

/**
 * The operator's settings of retry storm control. Times are microseconds, rates are per second, shares are between 0 and 1.
 *
 * @param returns      how return times are chosen
 * @param soonest      the shortest return time that is advised
 * @param longest      the longest return time that is advised; 0: the maximum of the broker's settings
 * @param slot         width of a slot of the calendar
 * @param early        how long before its return time a viewer may return and still be on time
 * @param remember     time after its last request or return time at which a viewer is forgotten
 * @param hold         the longest time for which a request may be queued; 0: requests are not queued
 * @param waiting      the most requests that may be queued at a time
 * @param rush         ratio of arrivals to their baseline above which they indicate a storm
 * @param repeats      share of repeated requests among arrivals above which they indicate a storm
 * @param trouble      share of refusals and time-outs among arrivals above which they indicate a storm
 * @param calmAfter    time without a sign of a storm after which it is over
 * @param retryShare   the broker's retries over first requests that are allowed
 * @param retryLeast   the broker's retries a second that are always allowed
 * @param coldAim      set-ups sent to a freshly started edge server over those that it accepts
 * @param notesEvery   time between status messages to the other brokers; 0: none are sent
 */
public record Terms(
        Returns returns,
        long soonest,
        long longest,
        long slot,
        long early,
        long remember,
        long hold,
        int waiting,
        double rush,
        double repeats,
        double trouble,
        long calmAfter,
        double retryShare,
        double retryLeast,
        double coldAim,
        long notesEvery) {
    /** How a return time is chosen. */
    public enum Returns {
        /** The first slot with free return capacity. */
        CALENDAR,
        /** Evenly distributed between the shortest and the longest time. */
        JITTER,
        /** The longest time, for every viewer. */
        FIXED
    }

    /** Values for sessions of half a minute and client deadlines of seconds; the design note gives the reasons. */
    public static final Terms DEFAULTS = new Terms(
            Returns.CALENDAR,
            250_000,
            0,
            250_000,
            100_000,
            60_000_000,
            400_000,
            1024,
            2,
            0.3,
            0.3,
            3_000_000,
            0.2,
            1,
            1.4,
            500_000);
}
