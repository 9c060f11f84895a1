package dockshed.rollout;

/** Learns. */
final class Learner {}
