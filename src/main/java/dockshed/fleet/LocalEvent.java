package dockshed.fleet;

/** An event at this broker that the broker's loop passes to the fleet's loop; contains copies only. */
public sealed interface LocalEvent {
    /**
     * The load since the previous sample.
     *
     * @param requests number of requests by priority step
     * @param accepted requests that got a server
     * @param rejected requests for which the decision module found no capacity
     * @param retries  attempts after the first ones of requests
     * @param micros   length of the sample in microseconds
     */
    record LoadSample(int[] requests, int accepted, int rejected, int retries, long micros) implements LocalEvent {}

    /** This broker's own health probe found an edge server up or down; {@code server} is the hash of its id. */
    record HealthReport(int server, boolean up) implements LocalEvent {}

    /** A message of the storm part for all other brokers. */
    record StormMessage(byte[] bytes) implements LocalEvent {}

    /** A graceful shutdown has begun. */
    record Leaving() implements LocalEvent {}
}
