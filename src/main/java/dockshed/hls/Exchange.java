package dockshed.hls;

import dockshed.net.HttpStyleMessage;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A request that awaits its response, which is written to its connection. It gets exactly one, also where handling it
 * throws.
 */
final class Exchange {
    private static final String PLAYLIST_CONTENT_TYPE = "application/vnd.apple.mpegurl";
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(HlsFront.class);

    private final HlsConnection connection;
    private final boolean closeAfter; // the connection is closed after this response
    private boolean answered;

    Exchange(HlsConnection connection, boolean closeAfter) {
        this.connection = connection;
        this.closeAfter = closeAfter;
    }

    HlsConnection connection() {
        return connection;
    }

    /** Handles the request, or does a step of that; if it throws, the request is answered with an error. */
    void handle(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("internal error while handling an HLS request", e);
            answerError(500, "Internal Server Error");
        }
    }

    /** Writes the response; does nothing if there is one already. */
    void answer(int code, String phrase, String contentType, String body, Map<String, String> extraHeaders) {
        if (answered) {
            LOG.warn("second response to an HLS request not sent: code={}", code);
            return;
        }
        answered = true;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", contentType);
        headers.put("Cache-Control", "no-store");
        headers.putAll(extraHeaders);
        if (closeAfter) {
            headers.put("Connection", "close");
        }
        connection.write(
                HttpStyleMessage.encode(
                        "HTTP/1.1 " + code + " " + phrase, headers, body.getBytes(StandardCharsets.UTF_8)),
                closeAfter);
    }

    void answerPlaylist(String text) {
        answer(200, "OK", PLAYLIST_CONTENT_TYPE, text, Map.of());
    }

    void answerError(int code, String phrase) {
        answer(code, phrase, "text/plain", phrase + "\n", Map.of());
    }

    /** Refuses the request; {@code retryAfter} is in microseconds, 0: the player may come again at any time. */
    void answerRefused(long retryAfter) {
        Map<String, String> extraHeaders = retryAfter > 0
                ? Map.of("Retry-After", Long.toString((retryAfter + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND))
                : Map.of();
        answer(503, "Service Unavailable", "text/plain", "refused\n", extraHeaders);
    }
}
