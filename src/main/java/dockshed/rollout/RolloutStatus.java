package dockshed.rollout;

/**
 * Where this broker stands.
 *
 * @param inForce    null: none yet
 * @param refused    the highest version that this program could not use; null: none
 * @param voterPhase null: this broker is no voter
 * @param announcers      brokers whose announcement was heard lately
 * @param behind     of them, those with an older version in force than this broker
 */
public record RolloutStatus(
        ConfigurationId inForce, ConfigurationId refused, VoterPhase voterPhase, int announcers, int behind) {}
