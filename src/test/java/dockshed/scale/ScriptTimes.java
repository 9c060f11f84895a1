package dockshed.scale;

/**
 * How long the scenes of a run may take, in milliseconds.
 *
 * @param startMost   until all brokers list all
 * @param window      of the scenes in which nothing is awaited
 * @param detectMost  until those that are gone are listed no more
 * @param healMost    until all list all again
 * @param changes     of what is shared, in their scene
 * @param changeMost  until all know the last of them
 * @param restartGap  between two restarts in a row
 */
record ScriptTimes(
        long startMost, long window, long detectMost, long healMost, int changes, long changeMost, long restartGap) {
    static final ScriptTimes FULL = new ScriptTimes(60_000, 15_000, 45_000, 45_000, 3, 12_000, 400);
    static final ScriptTimes QUICK = new ScriptTimes(15_000, 3_000, 22_000, 10_000, 1, 6_000, 100);
}
