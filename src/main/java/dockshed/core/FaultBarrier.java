package dockshed.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs steps that call parts outside the broker. One that throws is logged and does not keep those after it from running:
 * other requests are still answered, and what the same request is owed is still done.
 */
final class FaultBarrier {
    private static final Logger LOG = LoggerFactory.getLogger(Broker.class);

    private FaultBarrier() {}

    /** Runs a step; returns whether it did not throw. */
    static boolean run(Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException e) {
            LOG.error("internal error while handling an event; continuing with the next one", e);
            return false;
        }
    }
}
