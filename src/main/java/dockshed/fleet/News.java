package dockshed.fleet;

/** What the broker's loop hands over: copied figures, nothing that it goes on changing. */
public sealed interface News {
    /**
     * What came in the time since the last one: tries by step of rank, of them taken and without room, and further
     * attempts; {@code micros}: how long that time was.
     */
    record Figures(int[] tries, int taken, int unfit, int attempts, long micros) implements News {}

    /** A box was found up or down by this broker's own trial. */
    record Found(int box, boolean up) implements News {}

    /** The storm part's note, to be told to all. */
    record Note(byte[] bytes) implements News {}

    /** The planned end has begun. */
    record Leaving() implements News {}
}
