package dockshed.scale;

/**
 * Time limits and sizes of the scenes.
 *
 * @param startMaxMillis        wait at most so long after the start until all brokers list all
 * @param windowMillis          length of the scenes that await no event
 * @param detectMaxMillis       wait at most so long until no broker lists the lost ones
 * @param healMaxMillis         wait at most so long after a fault until all brokers list all
 * @param changeCount           number of changes published in the scene of changes
 * @param changeMaxMillis       wait at most so long until all brokers know of the last change
 * @param restartIntervalMillis from one restart to the next
 */
record ScriptTimes(
        long startMaxMillis,
        long windowMillis,
        long detectMaxMillis,
        long healMaxMillis,
        int changeCount,
        long changeMaxMillis,
        long restartIntervalMillis) {
    /** For measurements. */
    static final ScriptTimes FULL = new ScriptTimes(60_000, 15_000, 45_000, 45_000, 3, 12_000, 400);
    /** For a trial of the benchmark itself. */
    static final ScriptTimes QUICK = new ScriptTimes(15_000, 3_000, 22_000, 10_000, 1, 6_000, 100);
}
