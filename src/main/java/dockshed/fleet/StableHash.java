package dockshed.fleet;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Hashes that are the same in every process and program version, so that all brokers get the same results from them.
 */
public final class StableHash {
    private StableHash() {}

    /** The finalizer of MurmurHash3 (public domain): every bit of the input affects every bit of the output. */
    static int mix(int hash) {
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    /** The hash of two values. */
    static int mix(int a, int b) {
        return mix(a * 0x9e3779b9 + mix(b));
    }

    /** The hash of a name, for example a server's id or a viewer. */
    public static int of(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return mix((int) crc.getValue());
    }

    /** Maps a hash to the range from 0 inclusive to 1 exclusive. */
    static double unit(int hash) {
        return (hash >>> 8) / (double) (1 << 24);
    }
}
