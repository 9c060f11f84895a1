package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A player that sends one GET on a connection of its own and reads the whole answer. */
final class HlsPlayer {
    /** What came of a request; {@code status} 0: no whole answer within the time waited. */
    record Answer(int status, String body, long afterMs) {}

    private HlsPlayer() {}

    static Answer get(Case owner, int port, String path, long waitMs) throws IOException {
        long sentAt = System.nanoTime();
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: broker\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            owner.record("player sent: GET %s", path);
            answer = read(socket, sentAt, waitMs);
        }
        owner.record(
                "player got: %s after %d ms: GET %s",
                answer.status() == 0 ? "NO ANSWER" : answer.status(), answer.afterMs(), path);
        return answer;
    }

    private static Answer read(Socket socket, long sentAt, long waitMs) throws IOException {
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[8192];
        InputStream in = socket.getInputStream();
        while (true) {
            long afterMs = (System.nanoTime() - sentAt) / 1_000_000;
            Matcher head = Pattern.compile("(?is)^HTTP/1\\.1 (\\d{3}).*?content-length: (\\d+).*?\r\n\r\n").matcher(received);
            if (head.find() && received.length() >= head.end() + Integer.parseInt(head.group(2))) {
                return new Answer(Integer.parseInt(head.group(1)), received.substring(head.end()), afterMs);
            }
            if (afterMs >= waitMs) {
                return new Answer(0, "", afterMs);
            }
            socket.setSoTimeout((int) Math.max(1, waitMs - afterMs));
            try {
                int count = in.read(buffer);
                if (count < 0) {
                    return new Answer(0, "", afterMs);
                }
                received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            } catch (SocketTimeoutException e) {
                // the loop ends by the time waited
            }
        }
    }
}
