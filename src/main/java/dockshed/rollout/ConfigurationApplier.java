package dockshed.rollout;

import java.util.Optional;

/** Validates configurations and puts them in force; called on the thread that calls {@link RolloutNode}. */
public interface ConfigurationApplier {
    /** Why this program cannot use the configuration, with line and key; empty: it can. Changes nothing. */
    Optional<String> validate(Configuration configuration);

    /** Puts a configuration in force that {@link #validate} found good. */
    void apply(Configuration configuration);
}
