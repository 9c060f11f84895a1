package dockshed.fleet;

/**
 * Another protocol that travels in the gossip's datagrams: within the same envelope, from the same socket and out of the
 * same byte budget. It may talk to every broker of the fleet, also of other scopes. Calls come from the gossip's thread,
 * with a time that never goes back; what arrives may be repeated, late, or made up.
 */
public interface GossipExtension {
    /** Bytes of a body at most: with it a datagram is full. */
    int MAX_BODY_BYTES = Envelope.MAX_BYTES - Envelope.HEADER_BYTES - Envelope.ITEM_HEADER_BYTES;
    /** Bytes of an announcement at most. */
    int MAX_ANNOUNCEMENT_BYTES = 24;

    /** Takes a body that another broker's extension sent. */
    void receive(long now, int from, byte[] body);

    /** Takes the announcement that came with another broker's datagram. */
    void receiveAnnouncement(long now, int from, byte[] announcement);

    /** Does what is due. */
    void tick(long now);

    /** When {@link #tick} is to be called at the latest. */
    long nextTickAt(long now);

    /** What goes along with every datagram that has room for it: at most {@link #MAX_ANNOUNCEMENT_BYTES}; empty: nothing. */
    byte[] announcement();

    /** A gossip without an extension. */
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
