package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Encoding, parsing and line splitting of messages exchanged with edge servers. */
class MessageTest {
    @Test
    void documentedExampleIsParsedAndEncoded() throws Exception {
        Message message =
                Message.parse("{\"type\":\"setup\",\"id\":\"9b1f03aa5c7e2d41\",\"fields\":{\"class\":\"paid\","
                        + "\"left\":\"1500\"},\"sdp\":\"9d41\\r\\nc=IN\\r\\n\"}");
        assertEquals(
                new Message(
                        "setup", "9b1f03aa5c7e2d41", Map.of("class", "paid", "left", "1500"), -1, "9d41\r\nc=IN\r\n"),
                message);
        assertEquals(message, Message.parse(message.encode().stripTrailing()));
    }

    @Test
    void numbersUnknownMembersAndSpaceAreAccepted() throws Exception {
        Message message =
                Message.parse(" { \"new\" : [1, {\"a\":null}, []] , \"cause\" : 34 , \"type\":\"release\",\"id\":\"x\","
                        + "\"fields\":{ \"value\": -0.5e1, \"deep\":{\"a\":[true]}, \"left\":12 }} ");
        assertEquals(34, message.cause());
        assertEquals(Map.of("value", "-0.5e1", "left", "12"), message.fields());
        assertNull(message.sdp());
    }

    @Test
    void otherTextsAreMalformed() {
        for (String bad : List.of(
                "",
                "[]",
                "{",
                "{}",
                "{\"type\":\"a\"}",
                "{\"type\":\"a\",\"id\":\"b\"} x",
                "{\"type\":\"a\",\"id\":\"b\",}",
                "{\"type\":\"a\",\"id\":1}",
                "{\"type\":\"a\",\"id\":\"b\\x\"}",
                "{\"type\":\"a\",\"id\":\"b\",\"cause\":\"x\"}",
                "{\"type\":\"a\",\"id\":\"b\",\"fields\":{\"v\":nan}}",
                "{\"type\":\"a\",\"id\":\"b\",\"x\":" + "[".repeat(5000) + "}",
                "{\"type\":\"a\",\"id\":\"\\u12")) {
            assertThrows(Message.MalformedMessageException.class, () -> Message.parse(bad), bad);
        }
    }

    @Property(seed = "20261201", tries = 1000)
    void anyTextSurvivesEncodingAndParsing(@ForAll String sdp, @ForAll String key, @ForAll String value)
            throws Exception {
        Message message = new Message("setup", "id", Map.of(key, value), 3, sdp);
        String line = message.encode();
        assertEquals(line.length() - 1, line.indexOf('\n'), "one line");
        byte[] encoded = line.getBytes(StandardCharsets.UTF_8);
        assertEquals(message, Message.parse(new String(encoded, StandardCharsets.UTF_8).stripTrailing()));
    }

    @Property(seed = "20261201", tries = 2000)
    void garbageIsParsedOrMalformed(@ForAll("jsonish") String text) {
        try {
            assertTrue(Message.parse(text).type() != null);
        } catch (Message.MalformedMessageException e) {
            assertTrue(e.getMessage().length() > 0);
        }
    }

    @Provide
    Arbitrary<String> jsonish() {
        return Arbitraries.of(
                        "{",
                        "}",
                        "[",
                        "]",
                        ",",
                        ":",
                        "\"",
                        "\\",
                        "\\u00e9",
                        "type",
                        "id",
                        "fields",
                        "\"type\"",
                        "\"id\"",
                        "1",
                        "-",
                        "e5",
                        "true",
                        " ",
                        "\u0000")
                .list()
                .ofMaxSize(24)
                .map(l -> String.join("", l));
    }

    private static List<String> lines(int limit, byte[]... parts) throws LineDecoder.InvalidLineException {
        LineDecoder decoder = new LineDecoder(limit);
        List<String> out = new ArrayList<>();
        for (byte[] part : parts) {
            decoder.add(part);
            for (String line = decoder.next(); line != null; line = decoder.next()) {
                out.add(line);
            }
        }
        return out;
    }

    @Test
    void linesAreDecodedFromEverySplitOfTheStream() throws Exception {
        byte[] all = "first\n\r\nthird é\r\nrest".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i <= all.length; i++) {
            for (int j = i; j <= all.length; j++) {
                assertEquals(
                        List.of("first", "", "third é"),
                        lines(
                                64,
                                Arrays.copyOfRange(all, 0, i),
                                Arrays.copyOfRange(all, i, j),
                                Arrays.copyOfRange(all, j, all.length)));
            }
        }
    }

    @Test
    void lineAboveTheLimitIsInvalid() throws Exception {
        assertEquals(List.of("x".repeat(64)), lines(64, ("x".repeat(64) + "\n").getBytes(StandardCharsets.UTF_8)));
        assertThrows(LineDecoder.InvalidLineException.class, () -> lines(64, new byte[60], new byte[5]));
    }

    @Test
    void bytesThatAreNotUtf8AreInvalid() {
        // Guards against damaged descriptions: an answer with invalid bytes was passed on to the viewer as served, with
        // replacement characters in their place.
        byte[] damaged = "{\"sdp\":\"v=0 \"}\n".getBytes(StandardCharsets.UTF_8);
        damaged[12] = (byte) 0xfe;
        assertThrows(LineDecoder.InvalidLineException.class, () -> lines(64, damaged));
    }
}
