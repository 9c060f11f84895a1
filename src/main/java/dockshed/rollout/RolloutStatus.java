package dockshed.rollout;

/**
 * The state of the rollout at this broker.
 *
 * @param inForce    null: no configuration yet
 * @param refused    the highest version that this program could not use; null: none
 * @param voterPhase null: this broker is no voter
 * @param announcers brokers with a current announcement
 * @param behind     those of them that have an older version in force than this broker
 */
public record RolloutStatus(
        ConfigurationId inForce, ConfigurationId refused, VoterPhase voterPhase, int announcers, int behind) {}
