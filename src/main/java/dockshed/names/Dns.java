package dockshed.names;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The part of RFC 1035 and RFC 2782 that the fleet's list needs. */
final class Dns {
    static final int A = 1;
    static final int SOA = 6;
    static final int TXT = 16;
    static final int SRV = 33;
    /** The response code of a name that has no records (RFC 1035, 4.1.1). */
    static final int NXDOMAIN = 3;

    /** Bytes that are no answer that can be used. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String why) {
            super(why);
        }
    }

    /** A record; of {@code priority} to {@code serial} only what belongs to its type is set. */
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

    /** {@code code}: the response code; {@code cut}: the answer did not fit. */
    record Answer(int id, int responseCode, boolean truncated, String question, int type, List<Record> records) {}

    private Dns() {}

    static byte[] query(int id, String name, int type) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int part : new int[] {id, 0x0100, 1, 0, 0, 0}) {
            out.write(part >> 8);
            out.write(part);
        }
        for (String label : name.split("\\.")) {
            byte[] bytes = label.getBytes(StandardCharsets.US_ASCII);
            if (bytes.length == 0 || bytes.length > 63) {
                throw new IllegalArgumentException("name with a bad label: " + name);
            }
            out.write(bytes.length);
            out.writeBytes(bytes);
        }
        out.writeBytes(new byte[] {0, 0, (byte) type, 0, 1});
        return out.toByteArray();
    }

    static Answer parse(byte[] packet) throws MalformedMessageException {
        return new Reader(packet).readAnswer();
    }

    private static final class Reader {
        private final byte[] packet;
        private int position;

        Reader(byte[] in) {
            this.packet = in;
        }

        Answer readAnswer() throws MalformedMessageException {
            int id = readU16();
            int flags = readU16();
            if ((flags & 0x8000) == 0) {
                throw new MalformedMessageException("not an answer");
            }
            int questions = readU16();
            int records = readU16() + readU16() + readU16();
            if (questions != 1) {
                throw new MalformedMessageException("questions: " + questions);
            }
            String question = readName();
            int type = readU16();
            readU16();
            List<Record> out = new ArrayList<>();
            boolean cut = (flags & 0x0200) != 0;
            for (int i = 0; i < records && !(cut && position >= packet.length); i++) {
                try {
                    out.add(readRecord());
                } catch (MalformedMessageException e) {
                    if (!cut) {
                        throw e;
                    }
                    break; // cut within a record: those before it are whole
                }
            }
            return new Answer(id, flags & 15, cut, question, type, out);
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
                throw new MalformedMessageException("record beyond the end");
            }
            Record r =
                    switch (type) {
                        case SRV ->
                            new Record(name, type, readU16(), readU16(), readU16(), readName(), null, List.of(), 0);
                        case A -> {
                            if (length != 4) {
                                throw new MalformedMessageException("address of " + length + " bytes");
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
                                    throw new MalformedMessageException("text beyond its record");
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
                throw new MalformedMessageException("record longer than it says");
            }
            position = end;
            return r;
        }

        /** A name, followed through its pointers, which must lead backwards; in lower case. */
        private String readName() throws MalformedMessageException {
            StringBuilder out = new StringBuilder();
            int here = position;
            int least = position;
            boolean jumped = false;
            while (true) {
                if (here >= packet.length) {
                    throw new MalformedMessageException("name beyond the end");
                }
                int length = packet[here] & 0xff;
                if (length == 0) {
                    if (!jumped) {
                        position = here + 1;
                    }
                    return out.toString();
                }
                if (length >= 0xc0) {
                    if (here + 1 >= packet.length) {
                        throw new MalformedMessageException("name beyond the end");
                    }
                    int to = (length & 0x3f) << 8 | packet[here + 1] & 0xff;
                    if (!jumped) {
                        position = here + 2;
                    }
                    jumped = true;
                    if (to >= least) {
                        throw new MalformedMessageException("pointer that does not lead back");
                    }
                    least = to;
                    here = to;
                    continue;
                }
                if (length > 63 || here + 1 + length > packet.length || out.length() + length > 255) {
                    throw new MalformedMessageException("bad label");
                }
                out.append(out.length() == 0 ? "" : ".")
                        .append(new String(packet, here + 1, length, StandardCharsets.US_ASCII)
                                .toLowerCase(Locale.ROOT));
                here += 1 + length;
            }
        }

        private int readU8() throws MalformedMessageException {
            if (position >= packet.length) {
                throw new MalformedMessageException("ends early");
            }
            return packet[position++] & 0xff;
        }

        private int readU16() throws MalformedMessageException {
            return readU8() << 8 | readU8();
        }
    }
}
