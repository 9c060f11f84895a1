package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A sound edge server that serves HLS: a multivariant playlist for each lesson, which is a set-up, and media playlists. */
final class HlsBox {
    /** A set-up received. */
    record SetUp(long atMs, String session, String sessionClass) {}

    private static final int[] RATES_KB = {255, 425, 706, 1174, 1951};

    final String id;
    final List<SetUp> setUps = new CopyOnWriteArrayList<>();
    private final Case owner;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    HlsBox(Case owner, String id) throws IOException {
        this.owner = owner;
        this.id = id;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        server.createContext("/", this::handle);
        server.setExecutor(threads);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        StringBuilder text = new StringBuilder("#EXTM3U\n");
        if (path.endsWith("/master.m3u8")) {
            String session = exchange.getRequestHeaders().getFirst("Session");
            String sessionClass = exchange.getRequestHeaders().getFirst("Priority-Class");
            setUps.add(new SetUp(System.currentTimeMillis(), session, sessionClass));
            owner.record("box %s: set-up session=%s class=%s path=%s", id, session, sessionClass, path);
            for (int i = 0; i < RATES_KB.length; i++) {
                text.append("#EXT-X-STREAM-INF:BANDWIDTH=").append(RATES_KB[i] * 8000).append("\nv").append(i).append(".m3u8\n");
            }
        } else {
            owner.record("box %s: media playlist %s", id, path);
            text.append("#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n0.ts\n#EXTINF:4,\n1.ts\n#EXT-X-ENDLIST\n");
        }
        byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/vnd.apple.mpegurl");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** Ends the box's process: its connections are reset, and new ones are refused. */
    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }
}
