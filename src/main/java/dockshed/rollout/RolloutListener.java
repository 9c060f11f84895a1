package dockshed.rollout;

/** Receives events, in the order in which they happen, on the thread that calls {@link RolloutNode}. */
public interface RolloutListener {
    void onEvent(long now, RolloutEvent event);
}
