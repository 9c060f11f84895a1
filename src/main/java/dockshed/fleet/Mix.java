package dockshed.fleet;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hashes that are the same in every process and version: what brokers agree by. */
public final class Mix {
    private Mix() {}

    /** The finaliser of MurmurHash3 (public domain): every bit of the input moves every bit of the output. */
    static int mix(int h) {
        h = (h ^ h >>> 16) * 0x85ebca6b;
        h = (h ^ h >>> 13) * 0xc2b2ae35;
        return h ^ h >>> 16;
    }

    static int mix(int a, int b) {
        return mix(a * 0x9e3779b9 + mix(b));
    }

    /** Of a name: a box's id or a viewer. */
    public static int of(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return mix((int) crc.getValue());
    }

    /** From 0 up to, not including, 1. */
    static double unit(int hash) {
        return (hash >>> 8) / (double) (1 << 24);
    }
}
