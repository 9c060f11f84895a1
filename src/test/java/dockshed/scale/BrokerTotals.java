package dockshed.scale;

/**
 * What a broker's control part has used since its process or simulation began, over all of its lives. Bytes are of
 * datagrams' payloads; those that a fault swallowed count as sent.
 *
 * @param cpuNanos processor time of the control part's thread; {@link #UNMEASURED} where it is not told
 */
record BrokerTotals(int broker, long bytesSent, long bytesReceived, long cpuNanos) {
    static final long UNMEASURED = -1;

    long bytes() {
        return bytesSent + bytesReceived;
    }
}
