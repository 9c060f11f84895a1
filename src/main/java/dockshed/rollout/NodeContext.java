package dockshed.rollout;

import java.util.SplittableRandom;

/** What the parts of a {@link RolloutNode} share. */
record NodeContext(
        RolloutSettings settings,
        SplittableRandom random,
        MessageSender sender,
        VoteStorage storage,
        ConfigurationApplier applier,
        RolloutListener listener,
        RolloutCounts counts) {
    /** Sends messages to brokers, this one included. */
    interface MessageSender {
        void send(long now, int to, RolloutMessage message);
    }

    /** A random time between half of {@code micros} and all of it. */
    long jitter(long micros) {
        return micros / 2 + random.nextLong(micros / 2 + 1);
    }

    /** Passes an event to the listener. */
    void notifyListener(long now, RolloutEvent event) {
        listener.onEvent(now, event);
    }
}
