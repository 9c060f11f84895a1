package dockshed.rollout.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rollout.Configuration;
import dockshed.rollout.VoteStorage.StorageException;
import dockshed.rollout.VoterRecord;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the voter's record against crashes and damaged disks: a record is read back complete or reported as unusable,
 * never used in part.
 */
class FileVoteStorageTest {
    private static final Configuration ONE = configuration(1, "version 1\n");
    private static final Configuration TWO = configuration(2, "version 2\n");
    private static final VoterRecord VOTED = new VoterRecord(true, 2, List.of(TWO.id(), ONE.id()), TWO);

    @TempDir
    Path dir;

    private static Configuration configuration(long version, String text) {
        return new Configuration(version, text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void savedRecordsAreReadAfterARestart() throws Exception {
        FileVoteStorage first = new FileVoteStorage(dir.resolve("state"), 3);
        assertEquals(Optional.empty(), first.loadVoter());
        assertEquals(Optional.empty(), first.loadInForce());
        first.saveVoter(VOTED);
        first.saveInForce(ONE);
        first.saveInForce(TWO);
        FileVoteStorage later = new FileVoteStorage(dir.resolve("state"), 3);
        assertEquals(Optional.of(VOTED), later.loadVoter());
        assertEquals(Optional.of(TWO), later.loadInForce());
    }

    @Test
    void aFileTruncatedAtAnyByteOrWithAChangedByteIsReportedAsUnusable() throws Exception {
        FileVoteStorage storage = new FileVoteStorage(dir, 3);
        storage.saveVoter(VOTED);
        Path file = dir.resolve(FileVoteStorage.VOTER_FILE);
        byte[] valid = Files.readAllBytes(file);
        for (int length = 0; length < valid.length; length++) {
            Files.write(file, Arrays.copyOf(valid, length));
            assertThrows(StorageException.class, storage::loadVoter, "cut off at " + length);
        }
        for (int i = 0; i < valid.length; i++) {
            byte[] damaged = valid.clone();
            damaged[i] ^= 0x10;
            Files.write(file, damaged);
            assertThrows(StorageException.class, storage::loadVoter, "byte " + i + " changed");
        }
        Files.write(file, new byte[FileVoteStorage.MAX_RECORD_BYTES + 1]);
        assertThrows(StorageException.class, storage::loadVoter);
        storage.saveVoter(VOTED);
        assertEquals(Optional.of(VOTED), storage.loadVoter());
    }

    @Test
    void anotherBrokersRecordIsNotUsed() throws Exception {
        new FileVoteStorage(dir, 3).saveVoter(VOTED);
        StorageException e = assertThrows(StorageException.class, () -> new FileVoteStorage(dir, 4).loadVoter());
        assertTrue(e.getMessage().endsWith("it belongs to broker 3, and this one is 4"), e.getMessage());
    }

    @Test
    void aDirectoryThatCannotBeWrittenIsReportedAndTheOldRecordRemains() throws Exception {
        FileVoteStorage storage = new FileVoteStorage(dir, 3);
        storage.saveVoter(VOTED);
        Files.createDirectory(dir.resolve(FileVoteStorage.VOTER_FILE + ".new")); // no file can be written there
        assertThrows(StorageException.class, () -> storage.saveVoter(new VoterRecord(true, 9, List.of(), null)));
        assertEquals(Optional.of(VOTED), storage.loadVoter());
        Path file = Files.writeString(dir.resolve("a-file"), "x");
        assertThrows(StorageException.class, () -> new FileVoteStorage(file, 3));
    }
}
