/**
 * Distribution of the shared configuration: a versioned document that the operator changes at one broker and that all
 * brokers then apply.
 *
 * <p>A few brokers named by the operator, the voters, decide which content a version has: each votes for one content of
 * a version, durably, and a majority chooses it ({@link dockshed.rollout.Voter}, {@link dockshed.rollout.Proposer}).
 * Every broker learns it ({@link dockshed.rollout.Learner}): it is notified of a newer version by the gossip, has it
 * confirmed by a majority of the voters, downloads the content in chunks from any broker that has it, checks the
 * digest, validates the content and applies it.
 *
 * <p>No class here has a thread, socket, file, clock or logger. Time (microseconds of a clock that never goes back
 * within the process), messages and random numbers are arguments; all output goes through {@link
 * dockshed.rollout.Outbox}, {@link dockshed.rollout.VoteStorage}, {@link dockshed.rollout.ConfigurationApplier} and
 * {@link dockshed.rollout.RolloutListener}.
 */
package dockshed.rollout;
