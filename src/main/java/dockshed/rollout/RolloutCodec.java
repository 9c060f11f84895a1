package dockshed.rollout;

import dockshed.rollout.RolloutMessage.Chunk;
import dockshed.rollout.RolloutMessage.ChunkRequest;
import dockshed.rollout.RolloutMessage.Proposal;
import dockshed.rollout.RolloutMessage.Report;
import dockshed.rollout.RolloutMessage.ReportRequest;
import dockshed.rollout.RolloutMessage.Unavailable;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Encodes and decodes messages and announcements. A body consists of a format, a kind and the fields of the kind. Later
 * formats and unknown kinds are passed over; everything else that is not exactly one message is malformed.
 */
final class RolloutCodec {
    /** The format that this program writes and reads. */
    static final int FORMAT = 1;
    /** Length of a chunk in bytes; the last chunk of a content may be shorter. */
    static final int CHUNK_BYTES = 200;
    /** Maximum number of chunks of a content. */
    static final int MAX_CHUNKS = (Configuration.MAX_BYTES + CHUNK_BYTES - 1) / CHUNK_BYTES;

    private static final int MISSING_MASK_BYTES = (MAX_CHUNKS + 7) / 8;
    /** Kinds of message, as sent. */
    private static final int REPORT_REQUEST = 1;

    private static final int REPORT = 2;
    private static final int PROPOSAL = 3;
    private static final int CHUNK_REQUEST = 4;
    private static final int CHUNK = 5;
    private static final int UNAVAILABLE = 6;

    private RolloutCodec() {}

    /** A message of a later program: not decoded, but not an error. */
    static final class PassedOverException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    /** Not a message, truncated, or too long. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    // ---- Messages.

    /** Encodes a message. */
    static byte[] write(RolloutMessage message) {
        ByteBuffer out = ByteBuffer.allocate(RolloutNode.MAX_BODY_BYTES).put((byte) FORMAT);
        if (message instanceof ReportRequest m) {
            out.put((byte) REPORT_REQUEST).putInt(m.round());
            putVersion(out, m.above());
        } else if (message instanceof Report m) {
            writeReport(out.put((byte) REPORT), m);
        } else if (message instanceof Proposal m) {
            out.put((byte) PROPOSAL).putInt(m.round());
            putVersion(out, m.above());
            putId(out, m.id());
        } else if (message instanceof ChunkRequest m) {
            out.put((byte) CHUNK_REQUEST).putInt(m.request());
            putVersion(out, m.version());
            out.putLong(m.digestPrefix()).put(missingMask(m.missing()));
        } else if (message instanceof Chunk m) {
            out.put((byte) CHUNK).putInt(m.request());
            putVersion(out, m.version());
            out.putShort((short) m.length()).put((byte) m.index()).put(m.bytes());
        } else if (message instanceof Unavailable m) {
            out.put((byte) UNAVAILABLE).putInt(m.request());
            putVersion(out, m.version());
            out.put((byte) (m.busy() ? 1 : 0));
        }
        return toBytes(out);
    }

    private static void writeReport(ByteBuffer out, Report report) {
        out.putInt(report.round()).put((byte) report.phase().ordinal()).put((byte) (report.invalid() ? 1 : 0));
        putVersion(out, report.highest());
        out.put((byte) report.known().size());
        report.known().forEach(id -> putId(out, id));
    }

    /** Decodes a message; chunk indexes and lengths are checked, identities and versions are in range. */
    static RolloutMessage read(byte[] body) throws PassedOverException, MalformedException {
        if (body.length < 2 || body.length > RolloutNode.MAX_BODY_BYTES) {
            throw new MalformedException(
                    "message: expected 2 to " + RolloutNode.MAX_BODY_BYTES + " bytes, got " + body.length);
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        checkFormat(in);
        int kind = in.get() & 0xFF;
        try {
            RolloutMessage message = read(kind, in);
            if (in.hasRemaining()) {
                throw new MalformedException(in.remaining() + " unexpected bytes after a message of kind " + kind);
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new MalformedException("truncated message of kind " + kind);
        }
    }

    private static void checkFormat(ByteBuffer in) throws PassedOverException, MalformedException {
        int format = in.get() & 0xFF;
        if (format == 0) {
            throw new MalformedException("format: expected at least 1, got 0");
        }
        if (format > FORMAT) {
            throw new PassedOverException();
        }
    }

    private static RolloutMessage read(int kind, ByteBuffer in) throws PassedOverException, MalformedException {
        return switch (kind) {
            case REPORT_REQUEST -> new ReportRequest(in.getInt(), readVersion(in));
            case REPORT -> readReport(in);
            case PROPOSAL -> new Proposal(in.getInt(), readVersion(in), readId(in));
            case CHUNK_REQUEST -> new ChunkRequest(in.getInt(), readVersion(in), in.getLong(), readMissing(in));
            case CHUNK -> readChunk(in);
            case UNAVAILABLE -> new Unavailable(in.getInt(), readVersion(in), readFlag(in));
            default -> throw new PassedOverException();
        };
    }

    private static Report readReport(ByteBuffer in) throws MalformedException {
        int round = in.getInt();
        int phase = in.get() & 0xFF;
        if (phase >= VoterPhase.values().length) {
            throw new MalformedException("voter's phase: expected a known one, got " + phase);
        }
        boolean invalid = readFlag(in);
        long highest = readVersion(in);
        int count = in.get() & 0xFF;
        if (count > Report.MAX_KNOWN) {
            throw new MalformedException(
                    "versions in a report: expected at most " + Report.MAX_KNOWN + ", got " + count);
        }
        List<ConfigurationId> known = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            known.add(readId(in));
        }
        return new Report(round, VoterPhase.values()[phase], invalid, highest, known);
    }

    private static Chunk readChunk(ByteBuffer in) throws MalformedException {
        int request = in.getInt();
        long version = readVersion(in);
        int length = in.getShort() & 0xFFFF;
        int index = in.get() & 0xFF;
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        if (length < 1 || length > Configuration.MAX_BYTES || index >= chunkCount(length)) {
            throw new MalformedException("chunk: got index " + index + " of a content of " + length + " bytes");
        }
        if (bytes.length != Math.min(CHUNK_BYTES, length - index * CHUNK_BYTES)) {
            throw new MalformedException("chunk " + index + " of a content of " + length
                    + " bytes has an unexpected length: " + bytes.length);
        }
        return new Chunk(request, version, length, index, bytes);
    }

    /** Number of chunks of a content of that many bytes. */
    static int chunkCount(int length) {
        return (length + CHUNK_BYTES - 1) / CHUNK_BYTES;
    }

    private static boolean readFlag(ByteBuffer in) throws MalformedException {
        byte flag = in.get();
        if (flag != 0 && flag != 1) {
            throw new MalformedException("flag: expected 0 or 1, got " + flag);
        }
        return flag == 1;
    }

    private static byte[] missingMask(BitSet set) {
        byte[] out = new byte[MISSING_MASK_BYTES];
        byte[] all = set.toByteArray();
        System.arraycopy(all, 0, out, 0, Math.min(all.length, MISSING_MASK_BYTES));
        return out;
    }

    private static BitSet readMissing(ByteBuffer in) {
        byte[] bytes = new byte[MISSING_MASK_BYTES];
        in.get(bytes);
        return BitSet.valueOf(bytes);
    }

    private static void putVersion(ByteBuffer out, long version) {
        out.putShort((short) (version >>> 32)).putInt((int) version);
    }

    private static long readVersion(ByteBuffer in) throws MalformedException {
        long version = (long) (in.getShort() & 0xFFFF) << 32 | in.getInt() & 0xFFFFFFFFL;
        if (version > ConfigurationId.MAX_VERSION) {
            throw new MalformedException(
                    "version: expected at most " + ConfigurationId.MAX_VERSION + ", got " + version);
        }
        return version;
    }

    private static void putId(ByteBuffer out, ConfigurationId id) {
        putVersion(out, id.version());
        out.put(id.digest().toBytes());
    }

    private static ConfigurationId readId(ByteBuffer in) throws MalformedException {
        long version = readVersion(in);
        byte[] digest = new byte[ContentDigest.BYTES];
        in.get(digest);
        if (version == 0) {
            throw new MalformedException("version of a content: expected at least 1, got 0");
        }
        return new ConfigurationId(version, ContentDigest.fromBytes(digest));
    }

    private static byte[] toBytes(ByteBuffer out) {
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    // ---- Announcements.

    /** Encodes an announcement. */
    static byte[] write(Announcement announcement) {
        ByteBuffer out = ByteBuffer.allocate(RolloutNode.MAX_ANNOUNCEMENT_BYTES).put((byte) FORMAT);
        putVersion(out, announcement.version());
        out.putLong(announcement.digestPrefix());
        putVersion(out, announcement.chosen());
        out.put((byte) (announcement.refused() ? 1 : 0));
        return toBytes(out);
    }

    /** Decodes an announcement. */
    static Announcement readAnnouncement(byte[] body) throws PassedOverException, MalformedException {
        if (body.length < 1 || body.length > RolloutNode.MAX_ANNOUNCEMENT_BYTES) {
            throw new MalformedException(
                    "announcement: expected 1 to " + RolloutNode.MAX_ANNOUNCEMENT_BYTES + " bytes, got " + body.length);
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        checkFormat(in);
        try {
            Announcement announcement = new Announcement(readVersion(in), in.getLong(), readVersion(in), readFlag(in));
            if (in.hasRemaining()) {
                throw new MalformedException(in.remaining() + " unexpected bytes after an announcement");
            }
            return announcement;
        } catch (BufferUnderflowException e) {
            throw new MalformedException("truncated announcement");
        }
    }
}
