package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One connection from viewers to a broker, in RTSP. It reads all that it is sent, and confirms each end of a session. */
final class Viewers {
    private static final String DESCRIPTION = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n";

    private final Case owner;
    private final String name;
    private final Socket socket;
    private final Map<String, String> received = new HashMap<>(); // first line by "CSeq session" or "TEARDOWN session"

    Viewers(Case owner, String name, int port) throws IOException {
        this.owner = owner;
        this.name = name;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        owner.record("connection %s is open", name);
        Thread reader = new Thread(this::read, "viewers");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
            String first = null;
            String sequence = "";
            String session = "";
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("RTSP/1.0 ") || line.endsWith(" RTSP/1.0")) { // descriptions hold no such line
                    first = line;
                } else if (line.startsWith("CSeq: ")) {
                    sequence = line.substring(6);
                } else if (line.startsWith("Session: ")) {
                    session = line.substring(9);
                } else if (line.isEmpty() && first != null) {
                    received(first, sequence, session);
                    first = null;
                }
            }
            owner.record("connection %s was closed by the broker", name);
        } catch (IOException e) {
            owner.record("connection %s has ended: %s", name, e.getMessage());
        }
    }

    private synchronized void received(String first, String sequence, String session) throws IOException {
        owner.record("on %s got: %s CSeq=%s session=%s", name, first, sequence, session);
        if (first.startsWith("TEARDOWN")) {
            received.put("TEARDOWN " + session, first);
            send("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + session + "\r\nContent-Length: 0\r\n\r\n");
        } else {
            received.put(sequence + " " + (sequence.equals("3") ? "" : session), first);
        }
        notifyAll();
    }

    private synchronized void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Waits for a message; null if it does not come in time. */
    private synchronized String await(String key, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (!received.containsKey(key)) {
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                return null;
            }
            wait(leftMs);
        }
        return received.get(key);
    }

    private void expect(String key, String first) throws InterruptedException {
        String got = await(key, 4_000);
        if (got == null || !got.startsWith(first)) {
            throw new IllegalStateException("expected " + first + " on " + name + ", got " + got);
        }
    }

    /** The platform's test. */
    void test() throws Exception {
        owner.record("on %s sent: OPTIONS", name);
        send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        expect("3 ", "RTSP/1.0 200");
    }

    /** Asks for a paid lesson, which has to be served. */
    void setUp(String session) throws Exception {
        ask(session);
        expect("1 " + session, "RTSP/1.0 200");
    }

    /** Asks for a paid lesson. */
    void ask(String session) throws IOException {
        owner.record("on %s sent: SETUP session=%s", name, session);
        send("SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: " + session
                + "\r\nPriority-Class: cert-lesson\r\nExpires-Ms: 4000\r\nExpected-Ms: 60000.0\r\n"
                + "P-Trunk-Info: home:0;copies:12;top:4;viewer:" + session + "\r\nContent-Length: " + DESCRIPTION.length()
                + "\r\n\r\n" + DESCRIPTION);
    }

    /** Waits for the answer to a set-up; whether the lesson is served. */
    boolean isServed(String session) throws InterruptedException {
        String answer = await("1 " + session, 4_000);
        return answer != null && answer.startsWith("RTSP/1.0 200");
    }

    /** The viewer ends a session that stands. */
    void teardown(String session) throws Exception {
        owner.record("on %s sent: TEARDOWN session=%s", name, session);
        send("TEARDOWN rtsp://media/" + session + " RTSP/1.0\r\nCSeq: 2\r\nSession: " + session
                + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n");
        expect("2 " + session, "RTSP/1.0 200");
    }

    /** Whether the end of a session was told on this connection within a time. */
    boolean released(String session, long waitMs) throws InterruptedException {
        return await("TEARDOWN " + session, waitMs) != null;
    }

    /** The connection is reset. */
    void reset() throws IOException {
        owner.record("connection %s is reset", name);
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
