package dockshed.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A document that is spread to all brokers: its version and what may be changed while the program runs.
 *
 * @param version     of the document
 * @param versionLine where that stands
 * @param nameServer       the name server's address; null: it stays as it is
 */
public record RolloutDocument(long version, int versionLine, InetSocketAddress nameServer) {
    private static final long MAX_VERSION = 1_000_000_000_000L;

    /** The bytes of a document's file, at most so many. */
    public static byte[] load(Path file, int mostBytes) {
        try {
            if (Files.size(file) > mostBytes) {
                throw new JsonFields.InvalidInputException(file + ": longer than " + mostBytes + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new JsonFields.InvalidInputException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Reads a document; complaints are an {@link JsonFields.InvalidInputException} with file, line and key. */
    public static RolloutDocument read(String name, byte[] content) {
        ConfFile file = ConfFile.read(name, text(name, content));
        ConfFile.Section root = file.root();
        long version = root.longInteger("version", 0, 1, MAX_VERSION);
        if (!root.has("version")) {
            root.rejectCombination("version", "the document's version in its first directive");
        } else if (!root.isFirst("version")) {
            root.rejectCombination("version", "to be the first directive");
        }
        InetSocketAddress names = root.address("names");
        root.rejectUnknown();
        file.check();
        return new RolloutDocument(version, root.line("version"), names);
    }

    private static String text(String name, byte[] content) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new JsonFields.InvalidInputException(name + ": not UTF-8, perhaps cut off");
        }
    }
}
