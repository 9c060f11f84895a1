package dockshed.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.core.TimerQueue;
import dockshed.net.InputLimits;
import dockshed.net.Net;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** That each request of a connection gets one response, whatever its handling does; on a virtual clock. */
class HlsConnectionTest {
    /** Handles requests by their address: answers, throws, or both. */
    private static final class Handler implements HlsConnection.RequestHandler {
        Exchange unanswered;

        @Override
        public boolean opened(HlsConnection connection) {
            return true;
        }

        @Override
        public void handle(Exchange exchange, HlsRequest request) {
            switch (request.target()) {
                case "/throw" -> throw new IllegalStateException("thrown by the test");
                case "/answer-and-throw" -> {
                    exchange.answer(204, "No Content", "text/plain", "", Map.of());
                    throw new IllegalStateException("thrown by the test");
                }
                case "/later" -> unanswered = exchange;
                default -> exchange.answerError(404, "Not Found");
            }
        }

        @Override
        public void refuse(Exchange exchange) {
            throw new IllegalStateException("thrown by the test");
        }

        @Override
        public void closed(HlsConnection connection) {}
    }

    private final Handler handler = new Handler();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            new HlsConnection(handler, () -> 0, new TimerQueue(dueAt -> {}), InputLimits.unlimitedMemory()));

    private void send(String... targets) {
        StringBuilder requests = new StringBuilder();
        for (String target : targets) {
            requests.append("GET ").append(target).append(" HTTP/1.1\r\n\r\n");
        }
        channel.writeInbound(Net.toByteBuf(requests.toString().getBytes(StandardCharsets.UTF_8)));
        channel.runPendingTasks();
    }

    /** The status codes of the responses since the last call. */
    private List<Integer> statuses() {
        List<Integer> statuses = new ArrayList<>();
        for (ByteBuf response = channel.readOutbound(); response != null; response = channel.readOutbound()) {
            statuses.add(
                    Integer.valueOf(response.toString(StandardCharsets.UTF_8).split(" ")[1]));
            response.release();
        }
        return statuses;
    }

    @Test
    void requestWhoseHandlingThrowsIsAnsweredWhereverItStands() {
        // Guards against requests that are never answered, and against those behind them that are lost, too.
        send("/throw");
        assertEquals(List.of(500), statuses());
        send("/a", "/throw", "/b");
        assertEquals(List.of(404, 500, 404), statuses());
        assertTrue(channel.isOpen());
    }

    @Test
    void requestThatWasAnsweredBeforeItsHandlingThrewGetsNoSecondResponse() {
        // Guards against a response that the player would take for that to its next request.
        send("/answer-and-throw", "/a");
        assertEquals(List.of(204, 404), statuses());
    }

    @Test
    void secondResponseToARequestIsNotSent() {
        send("/later", "/later");
        Exchange first = handler.unanswered;
        first.answerError(502, "Bad Gateway");
        first.answerError(504, "Gateway Timeout");
        channel.runPendingTasks();
        assertEquals(List.of(502), statuses());
        first.answerError(504, "Gateway Timeout");
        handler.unanswered.answerError(404, "Not Found");
        assertEquals(List.of(404), statuses());
    }

    @Test
    void requestsBeforeOneThatCannotBeReadForAnInternalErrorAreAnswered() {
        // Guards against requests that are lost because a later one on their connection meets an internal error.
        send("/later");
        channel.pipeline().fireExceptionCaught(new IllegalStateException("thrown by the test"));
        assertTrue(channel.isOpen());
        handler.unanswered.answerError(404, "Not Found");
        channel.runPendingTasks();
        assertEquals(List.of(404, 500), statuses());
        assertFalse(channel.isOpen());
    }
}
