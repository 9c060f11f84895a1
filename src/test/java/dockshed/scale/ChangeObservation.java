package dockshed.scale;

/**
 * A broker knows of something shared for the first time.
 *
 * @param atMillis Unix time at which it was seen
 * @param observer the broker that knows now
 * @param change   which change, by the number that the script gave it
 */
record ChangeObservation(long atMillis, int observer, int change) {}
