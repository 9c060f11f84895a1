package dockshed.scale;

/**
 * Network traffic and CPU time of a broker's control code since its hollow process or simulation began, restarts of the
 * broker included. Bytes are datagram payloads; datagrams dropped by an injected fault count as sent.
 *
 * @param broker        the broker's number
 * @param bytesSent     payload bytes sent
 * @param bytesReceived payload bytes received
 * @param cpuNanos      CPU time of the control thread in nanoseconds, or {@link #UNMEASURED}
 */
record BrokerTotals(int broker, long bytesSent, long bytesReceived, long cpuNanos) {
    /** {@link #cpuNanos} of a fleet that does not measure CPU time. */
    static final long UNMEASURED = -1;

    /** Payload bytes sent and received. */
    long bytes() {
        return bytesSent + bytesReceived;
    }
}
