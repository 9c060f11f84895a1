package dockshed.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.net.HttpStyleMessage;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that send more than the broker's heap can hold, against a broker process with the heap of the deploy file. */
class InputFloodTest {
    private static final int CLIENTS = 160; // the HLS front takes 170
    private static final int RTSP_CLIENTS = 380; // the RTSP front takes 384
    private static final int PIPELINED_REQUESTS = 32;
    private static final int TEARDOWNS = 6000; // more than the trace of requests has steps
    private static final int LARGE_BYTES = 15_000; // a message holds 16 KiB at most

    @TempDir
    Path dir;

    private static void assertNoMemoryError(FloodedBroker broker) {
        assertEquals(
                List.of(),
                broker.process.linesSince(0).stream()
                        .filter(line -> line.contains("OutOfMemoryError"))
                        .toList());
        assertTrue(broker.process.isUp(), "the broker runs");
    }

    private static String mediaPlaylistPath(FloodedBroker broker) throws Exception {
        try (Socket socket = broker.connect(broker.hlsAddress, 1).get(0)) {
            socket.getOutputStream()
                    .write("GET /lessons/a/master.m3u8?class=refresher&viewer=v HTTP/1.1\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            HttpStyleMessage response = new FloodedBroker.Responses(socket).next();
            assertEquals(200, response.status());
            return response.bodyText()
                    .lines()
                    .filter(line -> line.startsWith("/sessions/"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void pipelinedHlsRequestsThatWaitDoNotExhaustTheHeap() throws Exception {
        // Guards against whole requests kept on all connections while earlier ones are answered.
        try (FloodedBroker broker = new FloodedBroker(dir, true)) {
            String request = "GET " + mediaPlaylistPath(broker) + " HTTP/1.1\r\nHost: a\r\nCookie: "
                    + "x".repeat(LARGE_BYTES) + "\r\n\r\n";
            byte[] requests = request.repeat(PIPELINED_REQUESTS).getBytes(StandardCharsets.US_ASCII);
            List<Socket> clients = broker.connect(broker.hlsAddress, CLIENTS);
            List<Future<Integer>> written = new ArrayList<>();
            for (Socket client : clients) {
                written.add(broker.start(() -> {
                    client.getOutputStream().write(requests);
                    return requests.length;
                }));
            }
            for (Future<Integer> one : written) {
                assertEquals(requests.length, one.get());
            }
            broker.releaseMediaPlaylists();
            for (Socket client : clients) {
                FloodedBroker.Responses responses = new FloodedBroker.Responses(client);
                for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                    assertTrue(responses.next().status() > 0);
                }
                client.close();
            }
            assertNoMemoryError(broker);
        }
    }

    @Test
    void headsOfManyShortFieldsDoNotExhaustTheHeap() throws Exception {
        // Guards against messages that take many times their length once parsed, held while their body is awaited.
        try (FloodedBroker broker = new FloodedBroker(dir, true)) {
            List<Socket> clients = broker.connect(broker.process.listenAddress(), RTSP_CLIENTS);
            clients.addAll(broker.connect(broker.hlsAddress, CLIENTS));
            for (int i = 0; i < clients.size(); i++) {
                String startLine = i < RTSP_CLIENTS ? "OPTIONS rtsp://media/a RTSP/1.0" : "GET /a HTTP/1.1";
                clients.get(i).getOutputStream().write(unfinishedMessage(startLine));
            }
            for (Socket client : clients) {
                assertTrue(new FloodedBroker.Responses(client).next().status() >= 400);
                client.close();
            }
            assertNoMemoryError(broker);
        }
    }

    @Test
    void longNamesOfUnknownSessionsDoNotFillTheHeap() throws Exception {
        // Guards against tables that keep names as long as a message, under ever new names of one client.
        try (FloodedBroker broker = new FloodedBroker(dir, false)) {
            Socket client = broker.connect(broker.process.listenAddress(), 1).get(0);
            Future<Integer> written = broker.start(() -> {
                for (int i = 0; i < TEARDOWNS; i++) {
                    client.getOutputStream()
                            .write(("TEARDOWN rtsp://media/a RTSP/1.0\r\nCSeq: 2\r\nSession: " + i
                                            + "x".repeat(LARGE_BYTES) + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                }
                return TEARDOWNS;
            });
            FloodedBroker.Responses responses = new FloodedBroker.Responses(client);
            for (int i = 0; i < TEARDOWNS; i++) {
                assertEquals(200, responses.next().status());
            }
            assertEquals(TEARDOWNS, written.get());
            assertNoMemoryError(broker);
        }
    }

    /** A message without its body, with as many short header lines as a message can hold. */
    private static byte[] unfinishedMessage(String startLine) {
        StringBuilder head = new StringBuilder(startLine).append("\r\nContent-Length: 100\r\n");
        for (int i = 0; head.length() < LARGE_BYTES; i++) {
            head.append(Integer.toString(i, Character.MAX_RADIX)).append(":\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }
}
