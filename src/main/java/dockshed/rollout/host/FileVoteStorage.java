package dockshed.rollout.host;

import dockshed.rollout.Configuration;
import dockshed.rollout.ConfigurationId;
import dockshed.rollout.ContentDigest;
import dockshed.rollout.VoteStorage;
import dockshed.rollout.VoterRecord;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Stores records in a directory, one file each. A file is written completely under a temporary name, forced to disk and
 * renamed, and the rename is forced to disk too; so the file of a record is always an old or a new version, never a
 * part of one. A checksum detects damaged files, and the broker's number detects files of another broker.
 */
public final class FileVoteStorage implements VoteStorage {
    /** Name of the voter's record in the directory. */
    static final String VOTER_FILE = "voter";
    /** Name of the configuration in force in the directory. */
    static final String IN_FORCE_FILE = "in-force";
    /** Maximum length of a file: anything longer is not a record. */
    static final int MAX_RECORD_BYTES = Configuration.MAX_BYTES + 4096;

    private static final int MAGIC = 0xD0C5_0B01;
    private static final int FORMAT = 1;
    /** Magic number, format and broker number. */
    private static final int HEADER_BYTES = 4 + 2 + 4;

    private static final int CHECKSUM_BYTES = 4;

    private interface BodyWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private interface BodyReader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private final Path directory;
    private final int broker;

    /**
     * Opens the records of one broker in a directory, which is created if it does not exist; throws StorageException if
     * it cannot be created.
     */
    public FileVoteStorage(Path directory, int broker) throws StorageException {
        this.directory = directory;
        this.broker = broker;
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new StorageException(directory + ": cannot create directory: " + e, e);
        }
    }

    @Override
    public Optional<VoterRecord> loadVoter() throws StorageException {
        return load(VOTER_FILE, FileVoteStorage::readVoter);
    }

    @Override
    public void saveVoter(VoterRecord record) throws StorageException {
        save(VOTER_FILE, out -> writeVoter(record, out));
    }

    @Override
    public Optional<Configuration> loadInForce() throws StorageException {
        return load(IN_FORCE_FILE, FileVoteStorage::readConfiguration);
    }

    @Override
    public void saveInForce(Configuration configuration) throws StorageException {
        save(IN_FORCE_FILE, out -> writeConfiguration(configuration, out));
    }

    // ---- Encoding.

    private static void writeVoter(VoterRecord record, DataOutputStream out) throws IOException {
        out.writeBoolean(record.joined());
        out.writeLong(record.floor());
        out.writeByte(record.votes().size());
        for (ConfigurationId vote : record.votes()) {
            out.writeLong(vote.version());
            out.write(vote.digest().toBytes());
        }
        out.writeBoolean(record.content() != null);
        if (record.content() != null) {
            writeConfiguration(record.content(), out);
        }
    }

    private static VoterRecord readVoter(DataInputStream in) throws IOException {
        boolean joined = in.readBoolean();
        long floor = in.readLong();
        int count = in.readUnsignedByte();
        List<ConfigurationId> votes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long version = in.readLong();
            byte[] digest = new byte[ContentDigest.BYTES];
            in.readFully(digest);
            votes.add(new ConfigurationId(version, ContentDigest.fromBytes(digest)));
        }
        Configuration content = in.readBoolean() ? readConfiguration(in) : null;
        return new VoterRecord(joined, floor, votes, content);
    }

    private static void writeConfiguration(Configuration configuration, DataOutputStream out) throws IOException {
        out.writeLong(configuration.version());
        out.writeShort(configuration.length());
        out.write(configuration.content());
    }

    private static Configuration readConfiguration(DataInputStream in) throws IOException {
        long version = in.readLong();
        byte[] content = new byte[in.readUnsignedShort()];
        in.readFully(content);
        return new Configuration(version, content);
    }

    // ---- Files.

    private void save(String name, BodyWriter body) throws StorageException {
        Path temporary = directory.resolve(name + ".new");
        try {
            write(temporary, encode(body));
            Files.move(
                    temporary,
                    directory.resolve(name),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
                names.force(true);
            }
        } catch (IOException e) {
            throw new StorageException(directory.resolve(name) + ": cannot save record: " + e, e);
        }
    }

    private byte[] encode(BodyWriter body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(MAGIC);
        out.writeShort(FORMAT);
        out.writeInt(broker);
        body.write(out);
        out.writeInt(checksum(bytes.toByteArray(), bytes.size()));
        return bytes.toByteArray();
    }

    private static void write(Path file, byte[] bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                channel.write(left);
            }
            channel.force(true);
        }
    }

    private <T> Optional<T> load(String name, BodyReader<T> reader) throws StorageException {
        Path file = directory.resolve(name);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            if (Files.size(file) > MAX_RECORD_BYTES) {
                throw new IOException("expected at most " + MAX_RECORD_BYTES + " bytes, got more");
            }
            byte[] bytes = Files.readAllBytes(file);
            checkHeader(bytes);
            int bodyBytes = bytes.length - HEADER_BYTES - CHECKSUM_BYTES;
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, HEADER_BYTES, bodyBytes));
            T record = reader.read(in);
            if (in.available() > 0) {
                throw new IOException(in.available() + " unexpected bytes after the record");
            }
            return Optional.of(record);
        } catch (IOException | IllegalArgumentException e) {
            throw new StorageException(file + ": cannot use record: " + e.getMessage(), e);
        }
    }

    private void checkHeader(byte[] bytes) throws IOException {
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw new IOException("truncated after " + bytes.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int covered = bytes.length - CHECKSUM_BYTES;
        if (in.getInt(covered) != checksum(bytes, covered)) {
            throw new IOException("checksum does not match");
        }
        if (in.getInt() != MAGIC || in.getShort() != FORMAT) {
            throw new IOException("expected a record of format " + FORMAT + ", got another magic number or format");
        }
        int owner = in.getInt();
        if (owner != broker) {
            throw new IOException("it belongs to broker " + owner + ", and this one is " + broker);
        }
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
