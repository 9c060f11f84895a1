package dockshed.scale;

/**
 * A broker was first seen to know of a published change.
 *
 * @param atMillis time of the observation, milliseconds of the fleet's clock
 * @param observer the broker that knows of the change
 * @param change   the change's number, assigned by {@link SceneScript}
 */
record ChangeObservation(long atMillis, int observer, int change) {}
