package dockshed.core;

/** The other brokers of the tier. */
public interface Peers {
    void broadcast(byte[] message);
}
