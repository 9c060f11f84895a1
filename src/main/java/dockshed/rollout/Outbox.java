package dockshed.rollout;

/** Sends messages to other brokers; they may be lost, duplicated, delayed and reordered. */
public interface Outbox {
    /** Sends a body of at most {@link RolloutNode#MAX_BODY_BYTES} bytes to a broker. */
    void send(int to, byte[] body);
}
