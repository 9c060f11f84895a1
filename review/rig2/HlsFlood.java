package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients of the HLS front send 32 requests at once and read the answers, again and again. The usual viewers of the
 * RTSP front have to get one answer each, at most half a second after their time.
 */
final class HlsFlood {
    private static final int BAD_CLIENTS = 100;
    private static final int REQUESTS_AT_ONCE = 32;
    private static final int REQUEST_BYTES = 15_000; // a message holds 16 KiB at most
    private static final double FLOOD_MS = 25_000;
    private static final int EXPIRES_MS = 2000;

    public static void main(String[] args) {
        Rig.main(args[0], HlsFlood::run);
    }

    private static int run() throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.brokers = 1;
        settings.cells = 12;
        settings.sockets = 1024;
        Rig.NameServer names = new Rig.NameServer();
        for (int i = 0; i < 6; i++) {
            Rig.Edge edge = new Rig.Edge("s-" + i, i, settings.slots, settings.reportsEvery, new Rig.EdgeListener() {});
            edge.lengthMs = 4000;
            names.members.put(edge.id, new Rig.Member(edge.id, "east-hall", edge.port(), edge.cell, 3, 0));
        }
        names.serve();
        Hls.Server lessonServer = new Hls.Server(
                "h-1",
                path -> path.endsWith("master.m3u8")
                        ? Hls.response(200, "OK", Hls.MASTER)
                        : Hls.response(200, "OK", Hls.MEDIA));
        lessonServer.logged = 20;
        Hls.Registry registry = new Hls.Registry(List.of(lessonServer));
        int port = Rig.freePort();
        int hlsPort = Rig.freePort();
        Path file = Rig.folder().resolve("hls.json");
        Files.writeString(
                file,
                "{\"listen\":\"127.0.0.1:" + hlsPort + "\",\"idle_ms\":20000,\"eureka\":" + registry.json()
                        + ",\"servers\":[]}");
        Rig.Broker broker = new Rig.Broker("n0", port, " --hls " + file);
        broker.start(settings.config("n0", port, names.known(), names.port()));
        Rig.sleep(1500);
        Hls.Player player = new Hls.Player(hlsPort);
        Hls.Answer master = null;
        for (int i = 0; i < 40 && (master == null || master.code() != 200); i++) { // until it is admitted
            player.send(Hls.lesson("abc", "refresher", "v1", 3000));
            master = player.receive(4000);
            Rig.sleep(100);
        }
        if (master.code() != 200) {
            return 2;
        }
        String uri = Hls.firstMediaPlaylist(master);
        byte[] request = ("GET " + uri + " HTTP/1.1\r\nHost: 127.0.0.1\r\nCookie: " + "x".repeat(REQUEST_BYTES) + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            requests.writeBytes(request);
        }
        double end = Rig.ms() + FLOOD_MS;
        AtomicInteger bursts = new AtomicInteger();
        if (Rig.TROUBLE) {
            Rig.log(BAD_CLIENTS + " bad clients, each with " + REQUESTS_AT_ONCE + " requests of " + request.length
                    + " bytes at once");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.daemon(() -> badClient(hlsPort, requests.toByteArray(), end, bursts));
            }
        }
        List<Rig.Told> told = new ArrayList<>();
        List<Rig.Viewers> connections = new ArrayList<>();
        while (Rig.ms() < end) {
            Rig.Viewers viewer = new Rig.Viewers(port);
            connections.add(viewer);
            told.add(viewer.setUp(
                    Rig.newId(),
                    Rig.newId(),
                    "refresher",
                    EXPIRES_MS,
                    "home:0;copies:12;top:4;viewer:" + Rig.newId()));
            Rig.later(12_000, viewer::close);
            Rig.sleep(250);
        }
        Rig.sleep(6000);
        int none = 0;
        int late = 0;
        for (Rig.Told one : told) {
            double after = one.answeredAt - one.sentAt;
            boolean lost = one.code == 0 || after > EXPIRES_MS + 500;
            none += one.code == 0 ? 1 : 0;
            late += one.code != 0 && lost ? 1 : 0;
            Rig.log((lost ? "LOST " : "") + "viewer's request " + one.session + " sent at " + Math.round(one.sentAt) + ": "
                    + (one.code == 0 ? "no answer" : one.code + " after " + Math.round(after) + " ms"));
        }
        Rig.log("usual viewers' requests=" + told.size() + " answered in time=" + (told.size() - none - late)
                + " answered over half a second late=" + late + " never answered=" + none + " bursts of the bad clients="
                + bursts);
        return none + late > 0 ? 1 : 0;
    }

    private static void badClient(int port, byte[] requests, double end, AtomicInteger bursts) {
        while (Rig.ms() < end) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                Thread reader = Rig.daemon(() -> {
                    try {
                        InputStream in = socket.getInputStream();
                        byte[] buffer = new byte[65536];
                        while (in.read(buffer) >= 0) {
                            // reads what it is sent
                        }
                    } catch (IOException e) {
                        // closed
                    }
                });
                socket.getOutputStream().write(requests);
                bursts.incrementAndGet();
                reader.join(3000);
            } catch (IOException | InterruptedException e) {
                Rig.sleep(20);
            }
        }
    }
}
