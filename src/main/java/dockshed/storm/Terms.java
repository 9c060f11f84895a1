package dockshed.storm;

/**
 * The operator's figures of the storm part; times are microseconds, rates a second, shares of 1.
 *
 * @param returns      how return times are laid out
 * @param soonest      no viewer is told to come back sooner
 * @param longest      nor later; 0: the settings' longest time
 * @param slot         a slot of the calendar
 * @param early        an appointment counts as kept from so long before its time
 * @param remember     a viewer that stays away so long is forgotten
 * @param hold         a request may wait so long for room; 0: none waits
 * @param waiting      requests that may wait at once
 * @param rush         arrivals over the usual that tell of a storm
 * @param repeats      share of repeats among arrivals that does
 * @param trouble      share of refusals and time-outs that does
 * @param calmAfter    so long without a sign ends a storm
 * @param retryShare   further attempts over fresh requests
 * @param retryLeast   further attempts a second that are always allowed
 * @param coldAim      set-ups to a freshly started box, over what it can take
 * @param notesEvery   between notes to the other brokers; 0: none are sent
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
    /** CALENDAR: by the room expected; JITTER: anywhere up to the longest time; FIXED: the longest time for all. */
    public enum Returns {
        CALENDAR,
        JITTER,
        FIXED
    }

    /** Figures that suit sessions of half a minute and patience of seconds; the note on design has their reasons. */
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
