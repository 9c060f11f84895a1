package dockshed.net;

/** A source of the current time. */
public interface Clock {
    /** Unix time in microseconds. */
    long now();
}
