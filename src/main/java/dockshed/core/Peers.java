package dockshed.core;

/** The other brokers of the tier. */
public interface Peers {
    void tell(byte[] message);
}
