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
 * One session played through the whole program on loopback, its own edge server standing in, and a planned end. The
 * build runs it to learn which classes a broker needs, so that the JVM can keep them ready: half of a start was spent
 * on reading them.
 */
final class ArchiveTraining {
    private static final String SESSION = "0000000000000001";
    private static final int PATIENCE = 20_000;

    private ArchiveTraining() {}

    /** Plays it with a configuration whose {@code EDGE_PORT} is put in; throws where no session came to play. */
    static void play(Path template) throws IOException {
        try (ServerSocket edge = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            edge.setSoTimeout(PATIENCE);
            Path file = Files.createTempFile("rehearsal", ".json");
            Files.writeString(file, Files.readString(template).replace("EDGE_PORT", "" + edge.getLocalPort()));
            InetSocketAddress front = (InetSocketAddress) Wiring.start(
                    Config.load(Map.of("EDGE_CONFIG", file.toString())), null, dockshed.config.OperatorConfig.NONE);
            Files.delete(file);
            try (Socket viewer = new Socket(front.getAddress(), front.getPort())) {
                viewer.setSoTimeout(PATIENCE);
                viewer.getOutputStream()
                        .write(("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
                                        + "SETUP rtsp://media/1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + SESSION
                                        + "\r\nPriority-Class: paid\r\n"
                                        + "Expires-Ms: 1000\r\nP-Trunk-Info: home:2;copies:1;top:1\r\nContent-Length: 5\r\n\r\nv=0\r\n")
                                .getBytes(StandardCharsets.UTF_8));
                try (Socket line = edge.accept()) {
                    line.setSoTimeout(PATIENCE);
                    new BufferedReader(new InputStreamReader(line.getInputStream(), StandardCharsets.UTF_8)).readLine();
                    line.getOutputStream()
                            .write(("{\"type\":\"note\",\"id\":\"" + SESSION + "\",\"fields\":"
                                            + "{\"note\":\"local\",\"value\":\"0.5\"}}\n{\"type\":\"answer\",\"id\":\""
                                            + SESSION
                                            + "\",\"fields\":{},\"sdp\":\"v=0\\r\\n\"}\n{\"type\":\"release\",\"id\":\""
                                            + SESSION
                                            + "\",\"fields\":{\"load\":\"busy_reqs:1;x0:0.5\"},\"cause\":16}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                    heard(viewer.getInputStream(), "TEARDOWN ");
                }
            }
        }
    }

    private static void heard(InputStream in, String last) throws IOException {
        StringBuilder all = new StringBuilder();
        while (all.indexOf(last) < 0) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("the rehearsal's session did not play: " + all);
            }
            all.append((char) c);
        }
    }
}
