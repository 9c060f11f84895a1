package dockshed.fleet;

/**
 * Another protocol that is carried in the gossip's datagrams: in the same envelope, from the same socket, and with a
 * byte allowance of its own beside the gossip's. It may send to every broker of the fleet, also in other scopes. Calls
 * come from the gossip's thread, with a time that never goes back; what is received may be duplicated, delayed or
 * forged.
 */
public interface GossipExtension {
    /** Maximum length of a body: with it a datagram is full. */
    int MAX_BODY_BYTES = Envelope.MAX_BYTES - Envelope.HEADER_BYTES - Envelope.ITEM_HEADER_BYTES;
    /** Maximum length of an announcement. */
    int MAX_ANNOUNCEMENT_BYTES = 24;

    /** Handles a body sent by another broker's extension. */
    void receive(long now, int from, byte[] body);

    /** Handles the announcement that came with another broker's datagram. */
    void receiveAnnouncement(long now, int from, byte[] announcement);

    /** Does what is due. */
    void tick(long now);

    /** When {@link #tick} has to be called at the latest, in microseconds. */
    long nextTickAt(long now);

    /** Sent with every datagram that has room for it: at most {@link #MAX_ANNOUNCEMENT_BYTES}; empty: nothing. */
    byte[] announcement();

    /** Stands for no extension. */
    GossipExtension NONE = new GossipExtension() {
        @Override
        public void receive(long now, int from, byte[] body) {}

        @Override
        public void receiveAnnouncement(long now, int from, byte[] announcement) {}

        @Override
        public void tick(long now) {}

        @Override
        public long nextTickAt(long now) {
            return Long.MAX_VALUE;
        }

        @Override
        public byte[] announcement() {
            return new byte[0];
        }
    };
}
