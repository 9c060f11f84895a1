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

/** RTSP's and HTTP's messages, however the stream of bytes is cut. */
class HttpStyleMessageDecoderTest {
    private static final String THREE = "SETUP rtsp://media/ab RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 5\r\n\r\nhallo"
            + "\r\nOPTIONS rtsp://media/ping RTSP/1.0\nCSeq:3\n\n"
            + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\n"
            + "LAST x y\r\n\r\n";

    private static List<HttpStyleMessage> all(HttpStyleMessageDecoder d)
            throws HttpStyleMessage.MalformedMessageException {
        List<HttpStyleMessage> out = new ArrayList<>();
        for (HttpStyleMessage m = d.next(); m != null; m = d.next()) {
            out.add(m);
        }
        return out;
    }

    private static List<HttpStyleMessage> read(int limit, byte[]... parts)
            throws HttpStyleMessage.MalformedMessageException {
        HttpStyleMessageDecoder d = new HttpStyleMessageDecoder(limit);
        List<HttpStyleMessage> out = new ArrayList<>();
        for (byte[] part : parts) {
            d.add(part, 0, part.length);
            out.addAll(all(d));
        }
        assertFalse(d.hasPartialMessage(), "all of it was taken");
        return out;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void isThree(List<HttpStyleMessage> got) {
        assertEquals(
                List.of("hallo", "", "abcde", ""),
                got.stream().map(HttpStyleMessage::bodyText).toList());
        assertEquals("3", got.get(1).header("cseq"));
        assertEquals(200, got.get(2).status());
        assertEquals("x", got.get(3).startLinePart(1));
    }

    @Test
    void everySplitGivesTheSameMessages() throws Exception {
        for (int i = 0; i <= THREE.length(); i++) {
            for (int j = i; j <= THREE.length(); j++) {
                isThree(read(
                        400, bytes(THREE.substring(0, i)), bytes(THREE.substring(i, j)), bytes(THREE.substring(j))));
            }
        }
        byte[][] single = new byte[THREE.length()][];
        for (int i = 0; i < single.length; i++) {
            single[i] = bytes(THREE.substring(i, i + 1));
        }
        isThree(read(400, single));
    }

    @Test
    void whatIsNoMessageIsMalformed() {
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
    void aMessageLongerThanTheLimitIsRefusedBeforeItIsWhole() throws Exception {
        String head = "A b c\r\nContent-Length: 40\r\n\r\n";
        assertEquals(1, read(head.length() + 40, bytes(head + "x".repeat(40))).size());
        assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(head.length() + 39, bytes(head)));
        assertThrows(HttpStyleMessage.MalformedMessageException.class, () -> read(100, bytes("A".repeat(101))));
        assertThrows(
                HttpStyleMessage.MalformedMessageException.class,
                () -> read(100, bytes("A b c\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n")));
    }

    @Test
    void halfAMessageIsKeptForLater() throws Exception {
        HttpStyleMessageDecoder d = new HttpStyleMessageDecoder(400);
        d.add(bytes(THREE), 0, 20);
        assertNull(d.next());
        assertTrue(d.hasPartialMessage());
    }

    @Test
    void whatIsEncodedIsReadBack() throws Exception {
        byte[] wire = HttpStyleMessage.encode("RTSP/1.0 200 OK", Map.of("Session", "ab"), bytes("body"));
        HttpStyleMessage m = read(400, wire).get(0);
        assertEquals("body", m.bodyText());
        assertEquals("ab", m.header("session"));
        assertEquals("4", m.header("content-length"));
        assertEquals(200, m.status());
    }

    /** Garbage is taken as messages or as malformed, never as another kind of failure. */
    @Property(seed = "20261201", tries = 2000)
    void garbageNeverDoesHarm(@ForAll byte[] garbage, @ForAll("pieces") String text) {
        HttpStyleMessageDecoder d = new HttpStyleMessageDecoder(300);
        try {
            d.add(garbage, 0, garbage.length);
            all(d);
            d.add(bytes(text), 0, text.length());
            all(d);
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
}
