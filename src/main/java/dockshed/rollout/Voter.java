package dockshed.rollout;

/** Votes. */
final class Voter {}
