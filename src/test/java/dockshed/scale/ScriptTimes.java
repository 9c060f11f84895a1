package dockshed.scale;

/**
 * How long the scenes of a run may take, in milliseconds.
 *
 * @param startMaxMillis   until all brokers list all
 * @param windowMillis      of the scenes in which nothing is awaited
 * @param detectMaxMillis  until those that are gone are listed no more
 * @param healMaxMillis    until all list all again
 * @param changeCount     of what is shared, in their scene
 * @param changeMaxMillis  until all know the last of them
 * @param restartIntervalMillis  between two restarts in a row
 */
record ScriptTimes(
        long startMaxMillis,
        long windowMillis,
        long detectMaxMillis,
        long healMaxMillis,
        int changeCount,
        long changeMaxMillis,
        long restartIntervalMillis) {
    static final ScriptTimes FULL = new ScriptTimes(60_000, 15_000, 45_000, 45_000, 3, 12_000, 400);
    static final ScriptTimes QUICK = new ScriptTimes(15_000, 3_000, 22_000, 10_000, 1, 6_000, 100);
}
