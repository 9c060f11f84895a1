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
        return new Reader(packet).answer();
    }

    private static final class Reader {
        private final byte[] in;
        private int at;

        Reader(byte[] in) {
            this.in = in;
        }

        Answer answer() throws MalformedMessageException {
            int id = u16();
            int flags = u16();
            if ((flags & 0x8000) == 0) {
                throw new MalformedMessageException("not an answer");
            }
            int questions = u16();
            int records = u16() + u16() + u16();
            if (questions != 1) {
                throw new MalformedMessageException("questions: " + questions);
            }
            String question = name();
            int type = u16();
            u16();
            List<Record> out = new ArrayList<>();
            boolean cut = (flags & 0x0200) != 0;
            for (int i = 0; i < records && !(cut && at >= in.length); i++) {
                try {
                    out.add(record());
                } catch (MalformedMessageException e) {
                    if (!cut) {
                        throw e;
                    }
                    break; // cut within a record: those before it are whole
                }
            }
            return new Answer(id, flags & 15, cut, question, type, out);
        }

        private Record record() throws MalformedMessageException {
            String name = name();
            int type = u16();
            u16();
            u16();
            u16();
            int length = u16();
            int end = at + length;
            if (end > in.length) {
                throw new MalformedMessageException("record beyond the end");
            }
            Record r =
                    switch (type) {
                        case SRV -> new Record(name, type, u16(), u16(), u16(), name(), null, List.of(), 0);
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
                                    u8() + "." + u8() + "." + u8() + "." + u8(),
                                    List.of(),
                                    0);
                        }
                        case TXT -> {
                            List<String> texts = new ArrayList<>();
                            while (at < end) {
                                int size = u8();
                                if (at + size > end) {
                                    throw new MalformedMessageException("text beyond its record");
                                }
                                texts.add(new String(in, at, size, StandardCharsets.UTF_8));
                                at += size;
                            }
                            yield new Record(name, type, 0, 0, 0, null, null, texts, 0);
                        }
                        case SOA -> {
                            name();
                            name();
                            yield new Record(name, type, 0, 0, 0, null, null, List.of(), (long) u16() << 16 | u16());
                        }
                        default -> new Record(name, type, 0, 0, 0, null, null, List.of(), 0);
                    };
            if (at > end) {
                throw new MalformedMessageException("record longer than it says");
            }
            at = end;
            return r;
        }

        /** A name, followed through its pointers, which must lead backwards; in lower case. */
        private String name() throws MalformedMessageException {
            StringBuilder out = new StringBuilder();
            int here = at;
            int least = at;
            boolean jumped = false;
            while (true) {
                if (here >= in.length) {
                    throw new MalformedMessageException("name beyond the end");
                }
                int length = in[here] & 0xff;
                if (length == 0) {
                    if (!jumped) {
                        at = here + 1;
                    }
                    return out.toString();
                }
                if (length >= 0xc0) {
                    if (here + 1 >= in.length) {
                        throw new MalformedMessageException("name beyond the end");
                    }
                    int to = (length & 0x3f) << 8 | in[here + 1] & 0xff;
                    if (!jumped) {
                        at = here + 2;
                    }
                    jumped = true;
                    if (to >= least) {
                        throw new MalformedMessageException("pointer that does not lead back");
                    }
                    least = to;
                    here = to;
                    continue;
                }
                if (length > 63 || here + 1 + length > in.length || out.length() + length > 255) {
                    throw new MalformedMessageException("bad label");
                }
                out.append(out.length() == 0 ? "" : ".")
                        .append(new String(in, here + 1, length, StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT));
                here += 1 + length;
            }
        }

        private int u8() throws MalformedMessageException {
            if (at >= in.length) {
                throw new MalformedMessageException("ends early");
            }
            return in[at++] & 0xff;
        }

        private int u16() throws MalformedMessageException {
            return u8() << 8 | u8();
        }
    }
}
