package dockshed.hls;

import dockshed.net.HttpStyleMessage;
import dockshed.net.InputBudget;

/**
 * What the front needs of a player's request; the rest of the message is not kept while the request waits.
 *
 * @param method           such as GET
 * @param target           the address as sent
 * @param version          such as HTTP/1.1
 * @param lastOnConnection whether the player wants the connection closed after the response
 */
record HlsRequest(String method, String target, String version, boolean lastOnConnection) {
    private static final int BYTES_PER_CHARACTER = 2;

    static HlsRequest of(HttpStyleMessage message) {
        String version = message.startLinePart(2);
        return new HlsRequest(
                message.startLinePart(0),
                message.startLinePart(1),
                version,
                "close".equalsIgnoreCase(message.header("connection")) || version.equals("HTTP/1.0"));
    }

    /** Bytes of memory that the request takes while it waits, at most. */
    long memoryBytes() {
        int characters = method.length() + target.length() + version.length();
        return InputBudget.REQUEST_OVERHEAD_BYTES + (long) BYTES_PER_CHARACTER * characters;
    }
}
