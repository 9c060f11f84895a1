package dockshed.rollout;

import java.util.Optional;

/** A disk for tests: outlives its broker's lives, and can be full, torn, or replaced by an empty one. */
final class MemoryStorage implements VoteStorage {
    private VoterRecord voter;
    private Configuration inForce;
    boolean full;
    boolean torn;
    /** Whether what was in force last could not be saved: the next life cannot know of it. */
    boolean lastSaveLost;

    int saves;
    /** Runs after a voter's record is durable and before the vote is answered: a place to be killed at. */
    Runnable afterSave = () -> {};

    @Override
    public Optional<VoterRecord> loadVoter() throws StorageException {
        if (torn) {
            throw new StorageException("voter: checksum does not match", null);
        }
        return Optional.ofNullable(voter);
    }

    @Override
    public void saveVoter(VoterRecord record) throws StorageException {
        if (full) {
            throw new StorageException("voter: no space left", null);
        }
        voter = record;
        torn = false;
        saves++;
        afterSave.run();
    }

    @Override
    public Optional<Configuration> loadInForce() {
        return Optional.ofNullable(inForce);
    }

    @Override
    public void saveInForce(Configuration configuration) throws StorageException {
        lastSaveLost = full;
        if (full) {
            throw new StorageException("in_force: no space left", null);
        }
        inForce = configuration;
    }

    void loseAll() {
        voter = null;
        inForce = null;
        torn = false;
    }

    VoterRecord voter() {
        return voter;
    }
}
