/**
 * Ties {@link dockshed.rollout.RolloutNode} to the gossip, the disk and the log: the thin host of a package that has none
 * of these.
 */
package dockshed.rollout.host;
