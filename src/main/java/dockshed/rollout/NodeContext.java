package dockshed.rollout;

import java.util.SplittableRandom;

/** What the parts of a node share. */
record NodeContext(
        RolloutSettings settings,
        SplittableRandom random,
        MessageSender sender,
        VoteStorage storage,
        ConfigurationApplier applier,
        RolloutListener listener,
        RolloutCounts counts) {
    /** Sends a message to a broker, which may be this one. */
    interface MessageSender {
        void send(long now, int to, RolloutMessage message);
    }

    /** A time between half of one given and all of it. */
    long jitter(long micros) {
        return micros / 2 + random.nextLong(micros / 2 + 1);
    }

    void notifyListener(long now, RolloutEvent event) {
        listener.onEvent(now, event);
    }
}
