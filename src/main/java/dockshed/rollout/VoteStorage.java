package dockshed.rollout;

import java.util.Optional;

/**
 * What outlives the process. A record is written whole or not at all: what is read back is the last one saved, or it is
 * told to be unusable. Calls return once the record is durable.
 */
public interface VoteStorage {
    /** A record could not be written, or what is there cannot be used (torn, foreign, of a later program). */
    final class StorageException extends Exception {
        private static final long serialVersionUID = 1L;

        public StorageException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The voter's record; empty: there is none. */
    Optional<VoterRecord> loadVoter() throws StorageException;

    /** Makes the voter's record durable. */
    void saveVoter(VoterRecord record) throws StorageException;

    /** The configuration last in force here; empty: none was saved. */
    Optional<Configuration> loadInForce() throws StorageException;

    /** Makes the configuration in force durable. */
    void saveInForce(Configuration configuration) throws StorageException;
}
