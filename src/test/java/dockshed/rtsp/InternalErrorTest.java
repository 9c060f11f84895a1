package dockshed.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.BrokerHarness;
import dockshed.net.InputLimits;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** That each message is answered once also where handling it throws; a clock that fails stands for any internal error. */
class InternalErrorTest {
    private static final int NEVER = -1;

    private final BrokerHarness harness = new BrokerHarness();
    private int clockCallsUntilError = NEVER;
    private final RtspFront front =
            new RtspFront(harness.broker, harness, this::now, harness.timers, 3, InputLimits.unlimitedMemory());
    private final EmbeddedChannel channel = new EmbeddedChannel(front.accept());

    private long now() {
        if (clockCallsUntilError != NEVER && clockCallsUntilError-- == 0) {
            throw new IllegalStateException("thrown by the test");
        }
        return harness.now;
    }

    /** The messages sent to the viewer since the last call. */
    private List<String> sent() {
        return RtspFrontTest.received(channel).stream()
                .filter(message -> !message.isEmpty())
                .toList();
    }

    private static String teardown(String session) {
        return "TEARDOWN rtsp://media/a RTSP/1.0\r\nCSeq: 7\r\nSession: " + session + "\r\nContent-Length: 0\r\n\r\n";
    }

    @Test
    void messageWhoseHandlingThrowsIsAnsweredAndSoAreOpenSetUps() {
        // Guards against a request that is lost: its connection was closed without an answer to it.
        RtspFrontTest.send(channel, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
        clockCallsUntilError = 1;
        RtspFrontTest.send(channel, teardown("ab"));
        assertEquals(
                List.of("RTSP/1.0 500 Internal Server Error\r\nCSeq: 7\r\nSession: ab\r\nContent-Length: 0\r\n\r\n"),
                sent());
        assertTrue(channel.isOpen(), "a set-up is open");
        harness.broker.setUpAnswered(harness.now, "a", RtspFrontTest.sessionId(1), "x");
        List<String> answers = sent();
        assertTrue(answers.size() == 1 && answers.get(0).startsWith("RTSP/1.0 200 "), answers.toString());
        assertFalse(channel.isOpen());
    }

    @Test
    void setUpWhoseHandlingThrowsIsAnswered() {
        clockCallsUntilError = 0;
        RtspFrontTest.send(channel, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
        List<String> answers = sent();
        assertTrue(answers.size() == 1 && answers.get(0).startsWith("RTSP/1.0 500 "), answers.toString());
        assertEquals(0, harness.count("server a setUp"));
    }

    @Test
    void setUpWhoseAnswerCannotBeWrittenIsAnsweredWithAnError() {
        // Guards against a viewer that is never answered while its session plays without a player.
        RtspFrontTest.send(channel, RtspFrontTest.setUpMessage(RtspFrontTest.sessionId(1), ""));
        clockCallsUntilError = 0;
        harness.broker.setUpAnswered(harness.now, "a", RtspFrontTest.sessionId(1), "x");
        List<String> answers = sent();
        assertTrue(answers.size() == 1 && answers.get(0).startsWith("RTSP/1.0 500 "), answers.toString());
        assertEquals(1, harness.count("server a release " + RtspFrontTest.sessionId(1)));
        assertEquals(0, harness.broker.activeSessions());
    }
}
