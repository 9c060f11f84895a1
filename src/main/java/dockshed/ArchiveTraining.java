package dockshed;

import dockshed.config.Config;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one session through the whole program on loopback, with its own stub edge server. The build runs it,
 * with the shutdown after it, to record which classes a broker loads for the JVM's class data sharing archive: loading
 * them took half of the start-up time.
 */
final class ArchiveTraining {
    private static final String SESSION = "0000000000000001";
    private static final int TIMEOUT_MS = 20_000;

    private ArchiveTraining() {}

    /**
     * Runs the session.
     *
     * @param template a configuration with {@code EDGE_PORT} as a placeholder for the edge server's port
     * @throws IOException if the session does not play within the time limit
     */
    static void run(Path template) throws IOException {
        try (ServerSocket edge = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            edge.setSoTimeout(TIMEOUT_MS);
            Path config = Files.createTempFile("rehearsal", ".json");
            Files.writeString(config, Files.readString(template).replace("EDGE_PORT", "" + edge.getLocalPort()));
            InetSocketAddress rtspAddress = (InetSocketAddress) Wiring.start(
                    Config.load(Map.of("EDGE_CONFIG", config.toString())), null, dockshed.config.OperatorConfig.NONE);
            Files.delete(config);
            try (Socket viewer = new Socket(rtspAddress.getAddress(), rtspAddress.getPort())) {
                viewer.setSoTimeout(TIMEOUT_MS);
                viewer.getOutputStream()
                        .write(("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
                                        + "SETUP rtsp://media/1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + SESSION
                                        + "\r\nPriority-Class: paid\r\n"
                                        + "Expires-Ms: 1000\r\nP-Trunk-Info: home:2;copies:1;top:1\r\nContent-Length: 5\r\n\r\nv=0\r\n")
                                .getBytes(StandardCharsets.UTF_8));
                try (Socket edgeConnection = edge.accept()) {
                    edgeConnection.setSoTimeout(TIMEOUT_MS);
                    new BufferedReader(new InputStreamReader(edgeConnection.getInputStream(), StandardCharsets.UTF_8))
                            .readLine();
                    edgeConnection
                            .getOutputStream()
                            .write(("{\"type\":\"note\",\"id\":\"" + SESSION + "\",\"fields\":"
                                            + "{\"note\":\"local\",\"value\":\"0.5\"}}\n{\"type\":\"answer\",\"id\":\""
                                            + SESSION
                                            + "\",\"fields\":{},\"sdp\":\"v=0\\r\\n\"}\n{\"type\":\"release\",\"id\":\""
                                            + SESSION
                                            + "\",\"fields\":{\"load\":\"busy_reqs:1;x0:0.5\"},\"cause\":16}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                    awaitText(viewer.getInputStream(), "TEARDOWN ");
                }
            }
        }
    }

    /** Reads until the text has been received; IOException if the input ends before. */
    private static void awaitText(InputStream in, String text) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(text) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("session did not play: expected TEARDOWN, received: " + received);
            }
            received.append((char) next);
        }
    }
}
