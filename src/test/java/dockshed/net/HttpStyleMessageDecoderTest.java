package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Decoding of RTSP and HTTP messages, however the stream of bytes is divided into reads. */
class HttpStyleMessageDecoderTest {
    private static final String EXAMPLE_STREAM =
            "SETUP rtsp://media/ab RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 5\r\n\r\nhallo"
                    + "\r\nOPTIONS rtsp://media/ping RTSP/1.0\nCSeq:3\n\n"
                    + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\n"
                    + "LAST x y\r\n\r\n";

    private static List<HttpStyleMessage> all(HttpStyleMessageDecoder decoder)
            throws HttpStyleMessage.MalformedMessageException {
        List<HttpStyleMessage> messages = new ArrayList<>();
        for (HttpStyleMessage message = decoder.next(); message != null; message = decoder.next()) {
            messages.add(message);
        }
        return messages;
    }

    private static List<HttpStyleMessage> read(int limit, byte[]... parts)
            throws HttpStyleMessage.MalformedMessageException {
        HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(limit);
        List<HttpStyleMessage> messages = new ArrayList<>();
        for (byte[] part : parts) {
            decoder.add(part, 0, part.length);
            messages.addAll(all(decoder));
        }
        assertFalse(decoder.hasPartialMessage(), "all bytes were consumed");
        return messages;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void assertExampleMessages(List<HttpStyleMessage> messages) {
        assertEquals(
                List.of("hallo", "", "abcde", ""),
                messages.stream().map(HttpStyleMessage::bodyText).toList());
        assertEquals("3", messages.get(1).header("cseq"));
        assertEquals(200, messages.get(2).status());
        assertEquals("x", messages.get(3).startLinePart(1));
    }

    @Test
    void everySplitOfTheStreamGivesTheSameMessages() throws Exception {
        for (int i = 0; i <= EXAMPLE_STREAM.length(); i++) {
            for (int j = i; j <= EXAMPLE_STREAM.length(); j++) {
                assertExampleMessages(read(
                        400,
                        bytes(EXAMPLE_STREAM.substring(0, i)),
                        bytes(EXAMPLE_STREAM.substring(i, j)),
                        bytes(EXAMPLE_STREAM.substring(j))));
            }
        }
        byte[][] single = new byte[EXAMPLE_STREAM.length()][];
        for (int i = 0; i < single.length; i++) {
            single[i] = bytes(EXAMPLE_STREAM.substring(i, i + 1));
        }
        assertExampleMessages(read(400, single));
    }

    @Test
    void otherTextsAreMalformed() {
        for (String bad : List.of(
                "A b c\r\nno colon\r\n\r\n",
                "A b c\r\n: x\r\n\r\n",
                "A b c\r\nContent-Length: -1\r\n\r\n",
                "A b c\r\nContent-Length: 1x\r\n\r\n",
                "A b c\r\n folded: x\r\n\r\n",
                "A b c\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "A b c\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabcd")) {
            assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(400, bytes(bad)), bad);
        }
    }

    @Test
    void messageAboveTheLimitIsRefusedBeforeItIsComplete() throws Exception {
        String head = "A b c\r\nContent-Length: 40\r\n\r\n";
        assertEquals(1, read(head.length() + 40, bytes(head + "x".repeat(40))).size());
        assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(head.length() + 39, bytes(head)));
        assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(100, bytes("A".repeat(101))));
        assertThrows(
                HttpStyleMessage.MalformedMessageException.class,
                () -> read(100, bytes("A b c\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n")));
    }

    @Test
    void partialMessageIsKept() throws Exception {
        HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(400);
        decoder.add(bytes(EXAMPLE_STREAM), 0, 20);
        assertNull(decoder.next());
        assertTrue(decoder.hasPartialMessage());
    }

    @Test
    void encodedMessageIsDecoded() throws Exception {
        byte[] encoded = HttpStyleMessage.encode("RTSP/1.0 200 OK", Map.of("Session", "ab"), bytes("body"));
        HttpStyleMessage message = read(400, encoded).get(0);
        assertEquals("body", message.bodyText());
        assertEquals("ab", message.header("session"));
        assertEquals("4", message.header("content-length"));
        assertEquals(200, message.status());
    }

    /** Garbage is either decoded or malformed; no other exception is thrown. */
    @Property(seed = "20261201", tries = 2000)
    void garbageIsDecodedOrMalformed(@ForAll byte[] garbage, @ForAll("pieces") String text) {
        HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(300);
        try {
            decoder.add(garbage, 0, garbage.length);
            all(decoder);
            decoder.add(bytes(text), 0, text.length());
            all(decoder);
        } catch (HttpStyleMessage.MalformedMessageException e) {
            assertTrue(e.getMessage().length() > 0);
        }
    }

    @net.jqwik.api.Provide
    net.jqwik.api.Arbitrary<String> pieces() {
        return net.jqwik.api.Arbitraries.of(
                        "\r\n",
                        "\n",
                        "A b c",
                        "Content-Length: ",
                        "3",
                        "Transfer-Encoding: chunked",
                        ":",
                        " ",
                        "0",
                        "xyz")
                .list()
                .ofMaxSize(20)
                .map(l -> String.join("", l));
    }

    @Test
    void aHeadOfTooManyLinesIsMalformed() throws Exception {
        String line = "a:b\r\n";
        String most = "A b c\r\n" + line.repeat(HttpStyleMessageDecoder.MAX_HEADER_LINES);
        assertEquals(1, read(4000, bytes(most + "\r\n")).size());
        assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(4000, bytes(most + line + "\r\n")));
    }

    @Test
    void onlyAnIncompleteMessageTakesMemory() throws Exception {
        HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(100_000);
        byte[] part = bytes("A b c\r\nContent-Length: 50000\r\n\r\n" + "x".repeat(40_000));
        decoder.add(part, 0, part.length);
        assertNull(decoder.next());
        assertTrue(decoder.incompleteBytes() >= 40_000);
        decoder.add(new byte[10_000], 0, 10_000);
        assertEquals(50_000, decoder.next().body().length);
        assertEquals(0, decoder.incompleteBytes());
    }
}
