package dockshed.rollout;

import java.util.Optional;

/**
 * State that survives the process. A record is written completely or not at all: a read returns the last record saved,
 * or reports it as unusable. Calls return once the record is durable.
 */
public interface VoteStorage {
    /**
     * A record could not be written, or the stored one cannot be used: truncated, of another broker, or written by a
     * later program.
     */
    final class StorageException extends Exception {
        private static final long serialVersionUID = 1L;

        public StorageException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Reads the voter's record; empty if there is none. */
    Optional<VoterRecord> loadVoter() throws StorageException;

    /** Makes the voter's record durable. */
    void saveVoter(VoterRecord record) throws StorageException;

    /** Reads the configuration that was last in force here; empty if none was saved. */
    Optional<Configuration> loadInForce() throws StorageException;

    /** Makes the configuration in force durable. */
    void saveInForce(Configuration configuration) throws StorageException;
}
