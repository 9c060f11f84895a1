package dockshed.rollout;

import java.util.SplittableRandom;

/**
 * One broker's part in the spread of configuration. Calls come from one thread, with a time that never goes back.
 *
 * <p>The gossip carries {@link #announcement()} in every datagram and hands what it receives to {@link
 * #heardAnnouncement}; bodies of {@link Outbox} travel in datagrams of their own and arrive at {@link #receive}. Both may
 * be lost, repeated, late or made up.
 */
public final class RolloutNode {
    /** Bytes of a body at most. */
    public static final int MOST_BODY = 240;
    /** Bytes of an announcement at most. */
    public static final int MOST_ANNOUNCEMENT = 24;

    /** Begins with what the storage holds; puts the configuration in force that it held, if this program can use it. */
    public RolloutNode(
            RolloutSettings settings,
            long now,
            SplittableRandom random,
            Outbox outbox,
            VoteStorage storage,
            ConfigurationApplier applier,
            RolloutListener listener) {}

    /** Takes a body that another broker sent. Never throws, whatever it holds. */
    public void receive(long now, int from, byte[] body) {}

    /** Does what is due; may be called early. */
    public void tick(long now) {}

    /** When {@link #tick} is to be called at the latest. */
    public long next(long now) {
        return now + 100_000;
    }

    /** What every datagram of the gossip carries: at most {@link #MOST_ANNOUNCEMENT} bytes; never empty. */
    public byte[] announcement() {
        return new byte[0];
    }

    /** Takes an announcement that came with another broker's datagram. Never throws, whatever it holds. */
    public void heardAnnouncement(long now, int from, byte[] body) {}

    /** Proposes a configuration; the listener hears how it ends. */
    public void propose(long now, Configuration configuration) {}

    public RolloutStatus status(long now) {
        return null;
    }

    public RolloutCounts counts() {
        return null;
    }
}
