package review2;

import java.util.List;

/**
 * A player gives up early and comes again with less time left, while the edge server does not answer. Its second request
 * has to get an answer by its own time, or half a second later at most.
 */
final class HlsLate {
    private static final int FIRST_EXPIRES_MS = 4000;
    private static final int GIVEN_UP_AFTER_MS = 300;
    private static final int SECOND_EXPIRES_MS = 1500;

    public static void main(String[] args) {
        Rig.main(args[0], HlsLate::run);
    }

    private static int run() throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.cells = 1;
        Hls.Server server =
                new Hls.Server("h-1", path -> Rig.TROUBLE ? null : Hls.response(200, "OK", Hls.MASTER));
        int port = Hls.start(settings, List.of(server), null);
        Hls.Player player = new Hls.Player(port);
        player.send(Hls.lesson("abc", "cert-lesson", "v1", FIRST_EXPIRES_MS));
        Rig.sleep(GIVEN_UP_AFTER_MS);
        player.close();
        Hls.Player again = new Hls.Player(port);
        again.send(Hls.lesson("abc", "cert-lesson", "v1", SECOND_EXPIRES_MS) + "&repeat=1&again=1");
        Hls.Answer answer = again.receive(10_000);
        boolean inTime = answer.code() > 0 && answer.afterMs() <= SECOND_EXPIRES_MS + 500;
        if (!inTime) {
            Rig.log(String.format("its time was %d ms: lost", SECOND_EXPIRES_MS));
        }
        return inTime ? 0 : 1;
    }
}
