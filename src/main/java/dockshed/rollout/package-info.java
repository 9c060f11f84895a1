/**
 * Spread of configuration: a numbered document that the operator changes at one broker and that comes in force at all.
 *
 * <p>A few brokers named by the operator, the voters, decide which content a version has: each votes for one content of a
 * version, durably, and a majority chooses it ({@link dockshed.rollout.Voter}, {@link dockshed.rollout.Proposer}). All
 * brokers learn it ({@link dockshed.rollout.Learner}): they hear of a newer version by the gossip, have it confirmed by a
 * majority of the voters, fetch the content in chunks from whoever has it, check its digest, validate it and put it in
 * force.
 *
 * <p>No class here has a thread, socket, file, clock or log. Time (microseconds of a clock that never goes back within the
 * process), messages and random numbers are arguments; what goes out goes through {@link dockshed.rollout.Outbox},
 * {@link dockshed.rollout.VoteStorage}, {@link dockshed.rollout.ConfigurationApplier} and
 * {@link dockshed.rollout.RolloutListener}.
 */
package dockshed.rollout;
