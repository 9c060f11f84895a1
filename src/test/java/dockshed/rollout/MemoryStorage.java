package dockshed.rollout;

import java.util.Optional;

/** Storage for tests that survives a broker's restarts, and can be full, damaged, or replaced by an empty one. */
final class MemoryStorage implements VoteStorage {
    private VoterRecord voter;
    private Configuration inForce;
    boolean full;
    boolean torn;
    /** Whether the configuration last in force could not be saved: the broker's next start cannot know it. */
    boolean lastSaveLost;

    int saves;
    /**
     * Called when a voter's record is durable and the vote is not answered yet, for example to kill the broker there.
     */
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
