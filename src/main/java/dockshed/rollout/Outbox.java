package dockshed.rollout;

/** Where messages to other brokers go: they may be lost, repeated, late and out of order. */
public interface Outbox {
    /** Sends a body of at most {@link RolloutNode#MAX_BODY_BYTES} bytes to a broker. */
    void send(int to, byte[] body);
}
