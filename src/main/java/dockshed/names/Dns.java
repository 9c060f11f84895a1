package dockshed.names;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** DNS messages, as far as the list of edge servers needs RFC 1035 and RFC 2782. */
final class Dns {
    static final int A = 1;
    static final int SOA = 6;
    static final int TXT = 16;
    static final int SRV = 33;
    /** The response code for an answer without an error (RFC 1035, 4.1.1). */
    static final int NO_ERROR = 0;
    /** The response code for a name that does not exist (RFC 1035, 4.1.1). */
    static final int NXDOMAIN = 3;

    /** A datagram is not a DNS answer that can be used. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String why) {
            super(why);
        }
    }

    /** A resource record; of {@code priority} to {@code serial} only those of its type are set. */
    record Record(
            String name,
            int type,
            int priority,
            int weight,
            int port,
            String target,
            String address,
            List<String> texts,
            long serial) {}

    /**
     * An answer with the records of all its sections.
     *
     * @param id        of the query
     * @param truncated whether the answer did not fit into the datagram; only the complete records are listed
     * @param question  the name asked for, in lower case
     * @param type      the record type asked for
     */
    record Answer(int id, int responseCode, boolean truncated, String question, int type, List<Record> records) {
        /** Whether the name server failed to answer: neither records nor their absence can be taken from this. */
        boolean isFailure() {
            return responseCode != NO_ERROR && responseCode != NXDOMAIN;
        }

        /** Whether a record that is not in this answer does not exist. */
        boolean isWhole() {
            return !truncated && !isFailure();
        }
    }

    private Dns() {}

    /** Encodes a query for the records of a name. */
    static byte[] query(int id, String name, int type) {
        ByteArrayOutputStream query = new ByteArrayOutputStream();
        for (int part : new int[] {id, 0x0100, 1, 0, 0, 0}) {
            query.write(part >> 8);
            query.write(part);
        }
        for (String label : name.split("\\.")) {
            byte[] bytes = label.getBytes(StandardCharsets.US_ASCII);
            if (bytes.length == 0 || bytes.length > 63) {
                throw new IllegalArgumentException("expected labels of 1 to 63 bytes, got name " + name);
            }
            query.write(bytes.length);
            query.writeBytes(bytes);
        }
        query.writeBytes(new byte[] {0, 0, (byte) type, 0, 1});
        return query.toByteArray();
    }

    /** Parses an answer with exactly one question. */
    static Answer parse(byte[] packet) throws MalformedMessageException {
        return new Reader(packet).readAnswer();
    }

    private static final class Reader {
        private final byte[] packet;
        private int position;

        Reader(byte[] packet) {
            this.packet = packet;
        }

        Answer readAnswer() throws MalformedMessageException {
            int id = readU16();
            int flags = readU16();
            if ((flags & 0x8000) == 0) {
                throw new MalformedMessageException("expected an answer, got a query");
            }
            int questions = readU16();
            int records = readU16() + readU16() + readU16();
            if (questions != 1) {
                throw new MalformedMessageException("expected one question, got " + questions);
            }
            String question = readName();
            int type = readU16();
            readU16();
            List<Record> parsed = new ArrayList<>();
            boolean truncated = (flags & 0x0200) != 0;
            for (int i = 0; i < records && !(truncated && position >= packet.length); i++) {
                try {
                    parsed.add(readRecord());
                } catch (MalformedMessageException e) {
                    if (!truncated) {
                        throw e;
                    }
                    break; // truncated within a record: those before it are complete
                }
            }
            return new Answer(id, flags & 15, truncated, question, type, parsed);
        }

        private Record readRecord() throws MalformedMessageException {
            String name = readName();
            int type = readU16();
            readU16();
            readU16();
            readU16();
            int length = readU16();
            int end = position + length;
            if (end > packet.length) {
                throw new MalformedMessageException("record extends beyond the end of the datagram");
            }
            Record record =
                    switch (type) {
                        case SRV ->
                            new Record(name, type, readU16(), readU16(), readU16(), readName(), null, List.of(), 0);
                        case A -> {
                            if (length != 4) {
                                throw new MalformedMessageException(
                                        "expected an address of 4 bytes, got " + length + " bytes");
                            }
                            yield new Record(
                                    name,
                                    type,
                                    0,
                                    0,
                                    0,
                                    null,
                                    readU8() + "." + readU8() + "." + readU8() + "." + readU8(),
                                    List.of(),
                                    0);
                        }
                        case TXT -> {
                            List<String> texts = new ArrayList<>();
                            while (position < end) {
                                int size = readU8();
                                if (position + size > end) {
                                    throw new MalformedMessageException("text extends beyond its record");
                                }
                                texts.add(new String(packet, position, size, StandardCharsets.UTF_8));
                                position += size;
                            }
                            yield new Record(name, type, 0, 0, 0, null, null, texts, 0);
                        }
                        case SOA -> {
                            readName();
                            readName();
                            yield new Record(
                                    name, type, 0, 0, 0, null, null, List.of(), (long) readU16() << 16 | readU16());
                        }
                        default -> new Record(name, type, 0, 0, 0, null, null, List.of(), 0);
                    };
            if (position > end) {
                throw new MalformedMessageException("record data extends beyond its stated length");
            }
            position = end;
            return record;
        }

        /**
         * Reads a name in lower case and follows its compression pointers. Each pointer must lead further back than the
         * one before, so that a loop is refused.
         */
        private String readName() throws MalformedMessageException {
            StringBuilder name = new StringBuilder();
            int offset = position;
            int lowestOffset = position;
            boolean jumped = false;
            while (true) {
                if (offset >= packet.length) {
                    throw new MalformedMessageException("name extends beyond the end of the datagram");
                }
                int length = packet[offset] & 0xff;
                if (length == 0) {
                    if (!jumped) {
                        position = offset + 1;
                    }
                    return name.toString();
                }
                if (length >= 0xc0) {
                    if (offset + 1 >= packet.length) {
                        throw new MalformedMessageException("name extends beyond the end of the datagram");
                    }
                    int target = (length & 0x3f) << 8 | packet[offset + 1] & 0xff;
                    if (!jumped) {
                        position = offset + 2;
                    }
                    jumped = true;
                    if (target >= lowestOffset) {
                        throw new MalformedMessageException("compression pointer does not lead further back");
                    }
                    lowestOffset = target;
                    offset = target;
                    continue;
                }
                if (length > 63 || offset + 1 + length > packet.length || name.length() + length > 255) {
                    throw new MalformedMessageException("label or name too long");
                }
                name.append(name.length() == 0 ? "" : ".")
                        .append(new String(packet, offset + 1, length, StandardCharsets.US_ASCII)
                                .toLowerCase(Locale.ROOT));
                offset += 1 + length;
            }
        }

        private int readU8() throws MalformedMessageException {
            if (position >= packet.length) {
                throw new MalformedMessageException("datagram ends within a field");
            }
            return packet[position++] & 0xff;
        }

        private int readU16() throws MalformedMessageException {
            return readU8() << 8 | readU8();
        }
    }
}
