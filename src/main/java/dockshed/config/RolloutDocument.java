package dockshed.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A configuration document that is rolled out to all brokers: its version and what may change at run time.
 *
 * @param versionLine line number of the version
 * @param nameServer  address of the name server; null: unchanged
 */
public record RolloutDocument(long version, int versionLine, InetSocketAddress nameServer) {
    private static final long MAX_VERSION = 1_000_000_000_000L;

    /**
     * Reads a document's file of up to {@code maxBytes} bytes.
     *
     * @throws JsonFields.InvalidInputException if it cannot be read or is larger
     */
    public static byte[] load(Path file, int maxBytes) {
        try {
            if (Files.size(file) > maxBytes) {
                throw new JsonFields.InvalidInputException(file + ": longer than " + maxBytes + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /**
     * Parses a document; {@code name} stands for the file in error messages.
     *
     * @throws JsonFields.InvalidInputException with file, line and key of each error
     */
    public static RolloutDocument read(String name, byte[] content) {
        ConfFile file = ConfFile.read(name, text(name, content));
        ConfFile.Section root = file.root();
        long version = root.longInteger("version", 0, 1, MAX_VERSION);
        if (!root.has("version")) {
            root.rejectCombination("version", "the document's version in its first directive");
        } else if (!root.isFirst("version")) {
            root.rejectCombination("version", "to be the first directive");
        }
        InetSocketAddress nameServer = root.address("names");
        root.rejectUnknown();
        file.throwIfErrors();
        return new RolloutDocument(version, root.lineOf("version"), nameServer);
    }

    private static String text(String name, byte[] content) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new JsonFields.InvalidInputException(name + ": not UTF-8, perhaps truncated");
        }
    }
}
