package dockshed.net;

/** Tells the time: Unix time in microseconds. */
public interface Clock {
    long now();
}
