package dockshed.rollout;

/** What happened at this broker that an operator may want to know. */
public sealed interface RolloutEvent {
    /** A configuration came in force; {@code after}: microseconds since this broker first heard of a newer one. */
    record InForce(ConfigurationId id, long afterUs) implements RolloutEvent {}

    /** A chosen configuration cannot be used by this program; the one in force stays. */
    record Refused(ConfigurationId id, String reason) implements RolloutEvent {}

    /** The proposal made here ended. */
    record ProposalEnded(ConfigurationId id, ProposalOutcome outcome) implements RolloutEvent {}

    /** This voter begins without knowing its earlier votes and abstains for now. */
    record VoterRecovering(String reason) implements RolloutEvent {}

    /** This voter votes from now on, for versions above the one named. */
    record VoterReady(long floor) implements RolloutEvent {}

    /** A record could not be saved or read. */
    record StorageFailed(String reason) implements RolloutEvent {}

    /** Another broker announces or serves what a majority of voters does not know; it is not listened to for a while. */
    record SourceAvoided(int broker, String reason) implements RolloutEvent {}
}
