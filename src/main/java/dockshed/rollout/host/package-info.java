/**
 * Connects {@link dockshed.rollout.RolloutNode} to the gossip, the disk and the log, none of which that package
 * accesses itself.
 */
package dockshed.rollout.host;
