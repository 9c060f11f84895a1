package dockshed.rollout;

/** Proposes. */
final class Proposer {}
