package dockshed.rig;

import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A broker process with the heap of the deploy file and both fronts, for tests with clients that send too much. Its RTSP
 * edge server answers at once; its HLS edge server holds media playlists back until {@link #releaseMediaPlaylists}.
 */
final class FloodedBroker implements AutoCloseable {
    private static final int MAX_SOCKETS = 1024;
    private static final int MAX_MESSAGE_BYTES = 1 << 16;
    private static final int ANSWER_LIMIT_MS = 60_000; // only a failure takes so long
    private static final String MASTER = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100\nlow.m3u8\n"
            + "#EXT-X-STREAM-INF:BANDWIDTH=900\nmid.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2000\ntop.m3u8\n";
    private static final String MEDIA =
            "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n0.ts\n#EXTINF:4,\n1.ts\n#EXT-X-ENDLIST\n";

    final BrokerProcess process;
    final InetSocketAddress hlsAddress;
    private final AnsweringEdgeServer edgeServer = new AnsweringEdgeServer();
    private final ServerSocket playlistServer = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final CountDownLatch mediaPlaylists = new CountDownLatch(1);
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "flood");
        thread.setDaemon(true);
        return thread;
    });

    FloodedBroker(Path dir, boolean hls) throws Exception {
        threads.submit(this::servePlaylists);
        InetSocketAddress peer = new InetSocketAddress(InetAddress.getLoopbackAddress(), freeDatagramPort());
        Path config = Files.writeString(
                dir.resolve("broker.json"),
                new BrokerConfig(0, MAX_SOCKETS, peer, List.of(peer), List.of(edgeServer.address())).toJson());
        hlsAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        Path hlsFile = Files.writeString(
                dir.resolve("hls.json"),
                ("{'listen':'127.0.0.1:" + hlsAddress.getPort() + "','servers':[{'id':'h-0','host_port':'127.0.0.1:"
                                + playlistServer.getLocalPort()
                                + "','locality':'east','flavor':'std','cell':0,'phase':'active','size':1}]}")
                        .replace('\'', '"'));
        process = new BrokerProcess(config, hls ? List.of("--hls", hlsFile.toString()) : List.of()).start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Void servePlaylists() throws IOException {
        while (true) {
            Socket connection = playlistServer.accept();
            threads.submit(() -> servePlaylist(connection));
        }
    }

    private Void servePlaylist(Socket connection) throws Exception {
        try (connection) {
            String path = new Responses(connection).next().startLinePart(1);
            boolean master = path.endsWith("master.m3u8");
            if (!master) {
                mediaPlaylists.await();
            }
            String body = master ? MASTER : MEDIA;
            connection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
        }
        return null;
    }

    /** Lets the HLS edge server answer requests for media playlists, now and later. */
    void releaseMediaPlaylists() {
        mediaPlaylists.countDown();
    }

    /** Runs a task of a client on a thread of its own. */
    <T> Future<T> start(Callable<T> client) {
        return threads.submit(client);
    }

    /** Opens that many connections. */
    List<Socket> connect(InetSocketAddress address, int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(ANSWER_LIMIT_MS);
            sockets.add(socket);
        }
        return sockets;
    }

    /** The messages that arrive on a connection. */
    static final class Responses {
        private final Socket socket;
        private final HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(MAX_MESSAGE_BYTES);
        private final byte[] buffer = new byte[4096];

        Responses(Socket socket) {
            this.socket = socket;
        }

        /** The next message; an IOException if the connection is closed before it is complete. */
        HttpStyleMessage next() throws IOException, HttpStyleMessage.MalformedMessageException {
            for (HttpStyleMessage message = decoder.next(); ; message = decoder.next()) {
                if (message != null) {
                    return message;
                }
                int count = socket.getInputStream().read(buffer);
                if (count < 0) {
                    throw new IOException("closed before the next message");
                }
                decoder.add(buffer, 0, count);
            }
        }
    }

    @Override
    public void close() throws Exception {
        if (process.isUp()) {
            process.kill();
        }
        edgeServer.close();
        playlistServer.close();
        threads.shutdownNow();
    }
}
