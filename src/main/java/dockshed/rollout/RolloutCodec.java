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
 * Messages and announcements as bytes. A body is a format, a kind and the kind's fields; a later format or an unknown kind
 * is passed over, anything else that is not exactly a message is malformed.
 */
final class RolloutCodec {
    static final int FORMAT = 1;
    /** Bytes of a chunk; the last of a content may be shorter. */
    static final int CHUNK_BYTES = 200;
    /** Chunks of a content at most. */
    static final int MAX_CHUNKS = (Configuration.MAX_BYTES + CHUNK_BYTES - 1) / CHUNK_BYTES;

    private static final int MISSING_MASK_BYTES = (MAX_CHUNKS + 7) / 8;
    private static final int REPORT_REQUEST = 1;
    private static final int REPORT = 2;
    private static final int PROPOSAL = 3;
    private static final int CHUNK_REQUEST = 4;
    private static final int CHUNK = 5;
    private static final int UNAVAILABLE = 6;

    private RolloutCodec() {}

    /** Of a later program: not read, and nothing is wrong with it. */
    static final class PassedOverException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    /** Not a message, or cut off, or too long. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    // ---- Messages.

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

    private static void writeReport(ByteBuffer out, Report m) {
        out.putInt(m.round()).put((byte) m.phase().ordinal()).put((byte) (m.invalid() ? 1 : 0));
        putVersion(out, m.highest());
        out.put((byte) m.known().size());
        m.known().forEach(id -> putId(out, id));
    }

    static RolloutMessage read(byte[] body) throws PassedOverException, MalformedException {
        if (body.length < 2 || body.length > RolloutNode.MAX_BODY_BYTES) {
            throw new MalformedException(body.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        checkFormat(in);
        int kind = in.get() & 0xFF;
        try {
            RolloutMessage message = read(kind, in);
            if (in.hasRemaining()) {
                throw new MalformedException(in.remaining() + " bytes behind a message of kind " + kind);
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new MalformedException("a message of kind " + kind + " is cut off");
        }
    }

    private static void checkFormat(ByteBuffer in) throws PassedOverException, MalformedException {
        int format = in.get() & 0xFF;
        if (format == 0) {
            throw new MalformedException("format 0");
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
            throw new MalformedException("phase " + phase);
        }
        boolean invalid = readFlag(in);
        long highest = readVersion(in);
        int count = in.get() & 0xFF;
        if (count > Report.MAX_KNOWN) {
            throw new MalformedException(count + " versions in a report");
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
            throw new MalformedException("chunk " + index + " of " + length + " bytes");
        }
        if (bytes.length != Math.min(CHUNK_BYTES, length - index * CHUNK_BYTES)) {
            throw new MalformedException("chunk " + index + " of " + length + " bytes has " + bytes.length);
        }
        return new Chunk(request, version, length, index, bytes);
    }

    /** Chunks of a content of that many bytes. */
    static int chunkCount(int length) {
        return (length + CHUNK_BYTES - 1) / CHUNK_BYTES;
    }

    private static boolean readFlag(ByteBuffer in) throws MalformedException {
        byte flag = in.get();
        if (flag != 0 && flag != 1) {
            throw new MalformedException("flag " + flag);
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
            throw new MalformedException("version " + version);
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
            throw new MalformedException("version 0 has no content");
        }
        return new ConfigurationId(version, ContentDigest.fromBytes(digest));
    }

    private static byte[] toBytes(ByteBuffer out) {
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    // ---- Announcements.

    static byte[] write(Announcement a) {
        ByteBuffer out = ByteBuffer.allocate(RolloutNode.MAX_ANNOUNCEMENT_BYTES).put((byte) FORMAT);
        putVersion(out, a.version());
        out.putLong(a.digestPrefix());
        putVersion(out, a.chosen());
        out.put((byte) (a.refused() ? 1 : 0));
        return toBytes(out);
    }

    static Announcement readAnnouncement(byte[] body) throws PassedOverException, MalformedException {
        if (body.length < 1 || body.length > RolloutNode.MAX_ANNOUNCEMENT_BYTES) {
            throw new MalformedException("announcement of " + body.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        checkFormat(in);
        try {
            Announcement a = new Announcement(readVersion(in), in.getLong(), readVersion(in), readFlag(in));
            if (in.hasRemaining()) {
                throw new MalformedException(in.remaining() + " bytes behind an announcement");
            }
            return a;
        } catch (BufferUnderflowException e) {
            throw new MalformedException("an announcement is cut off");
        }
    }
}
