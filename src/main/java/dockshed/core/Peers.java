package dockshed.core;

/** The other brokers. */
public interface Peers {
    /** Sends a message to every other broker. */
    void broadcast(byte[] message);
}
