package dockshed.fleet;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hashes that are the same in every process and program version, so that brokers agree by them. */
public final class StableHash {
    private StableHash() {}

    /** The finaliser of MurmurHash3 (public domain): every bit of the input affects every bit of the output. */
    static int mix(int h) {
        h = (h ^ h >>> 16) * 0x85ebca6b;
        h = (h ^ h >>> 13) * 0xc2b2ae35;
        return h ^ h >>> 16;
    }

    /** A hash of two values. */
    static int mix(int a, int b) {
        return mix(a * 0x9e3779b9 + mix(b));
    }

    /** A hash of a name, such as a server's id or a client. */
    public static int of(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return mix((int) crc.getValue());
    }

    /** Maps a hash to the range from 0 up to, not including, 1. */
    static double unit(int hash) {
        return (hash >>> 8) / (double) (1 << 24);
    }
}
