package review2;

import java.util.List;

/**
 * An edge server answers the fetch of a media playlist with blank lines. The player has to get an answer within the
 * deadline of its class.
 */
final class HlsBlank {
    private static final int DEADLINE_MS = 3000; // of the class refresher

    public static void main(String[] args) {
        Rig.main(args[0], HlsBlank::run);
    }

    private static int run() throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.cells = 1;
        Hls.Server server = new Hls.Server("h-1", path -> {
            if (path.endsWith("master.m3u8")) {
                return Hls.response(200, "OK", Hls.MASTER);
            }
            return Hls.response(200, "OK", Rig.TROUBLE ? "\n" : Hls.MEDIA);
        });
        int port = Hls.start(settings, List.of(server), null);
        Hls.Player player = new Hls.Player(port);
        player.send(Hls.lesson("abc", "refresher", "v1", DEADLINE_MS));
        Hls.Answer master = player.receive(DEADLINE_MS + 1000);
        if (master.code() != 200) {
            return 2;
        }
        player.send(Hls.firstMediaPlaylist(master));
        Hls.Answer media = player.receive(DEADLINE_MS + 500);
        if (media.code() != 0) {
            return 0;
        }
        Rig.log("no answer half a second after the deadline");
        player.receive(30_000);
        return 1;
    }
}
