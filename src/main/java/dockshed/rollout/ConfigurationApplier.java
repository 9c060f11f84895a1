package dockshed.rollout;

import java.util.Optional;

/** Validates configurations and applies them; called on the thread that calls {@link RolloutNode}. */
public interface ConfigurationApplier {
    /** Why this program cannot use the configuration, with line and key; empty if it can. Has no effect. */
    Optional<String> validate(Configuration configuration);

    /** Applies a configuration that {@link #validate} accepted. */
    void apply(Configuration configuration);
}
