package dockshed.rollout;

/** An event at this broker that an operator may need to know of. */
public sealed interface RolloutEvent {
    /**
     * A configuration was applied; {@code afterUs}: microseconds since this broker was first notified of a newer one, 0
     * at the start.
     */
    record InForce(ConfigurationId id, long afterUs) implements RolloutEvent {}

    /** A chosen configuration cannot be used by this program; the previous one stays in force. */
    record Refused(ConfigurationId id, String reason) implements RolloutEvent {}

    /** The proposal made at this broker ended. */
    record ProposalEnded(ConfigurationId id, ProposalOutcome outcome) implements RolloutEvent {}

    /** This voter starts without knowing its earlier votes and abstains for now. */
    record VoterRecovering(String reason) implements RolloutEvent {}

    /** This voter votes from now on, for versions above {@code floor}. */
    record VoterReady(long floor) implements RolloutEvent {}

    /** A record could not be saved or read. */
    record StorageFailed(String reason) implements RolloutEvent {}

    /**
     * Another broker announces a version that no voter knows, or served a content with a wrong digest; it is ignored
     * for {@link SourceTable#AVOID_TIME_US}.
     */
    record SourceAvoided(int broker, String reason) implements RolloutEvent {}
}
