package dockshed.fleet;

/** An event on this broker that the broker's loop hands to the fleet's loop; holds copies only. */
public sealed interface LocalEvent {
    /**
     * The load since the previous sample.
     *
     * @param requests by priority step
     * @param accepted requests that got a server
     * @param rejected requests that the decision module found no room for
     * @param retries  further attempts of requests
     * @param micros   the length of the sample
     */
    record LoadSample(int[] requests, int accepted, int rejected, int retries, long micros) implements LocalEvent {}

    /** This broker's own health probe found an edge server (by the hash of its id) up or down. */
    record HealthReport(int server, boolean up) implements LocalEvent {}

    /** A message of the retry-storm part for all other brokers. */
    record StormMessage(byte[] bytes) implements LocalEvent {}

    /** A graceful shutdown has begun. */
    record Leaving() implements LocalEvent {}
}
