package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A lesson request with a figure that is not a number, and the same viewer's correct requests for that lesson after it. */
final class Case1 extends Case {
    /** The viewer's time and the half second after which a request without an answer is lost. */
    private static final long LOST_AFTER_MS = Deployment.PAID_DEADLINE_MS + 500;

    private int unanswered;

    private Case1(String folder) throws java.io.IOException {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new Case1(args[0]).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        List<HlsBox> boxes = new ArrayList<>();
        List<Deployment.Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            HlsBox box = new HlsBox(this, "box-" + i);
            boxes.add(box);
            members.add(new Deployment.Member(box.id, box.port(), i, 0));
        }
        int hlsPort = Deployment.freePort();
        Path hls = temporary.resolve("hls.json");
        Files.writeString(
                hls,
                "{\"listen\":\"127.0.0.1:" + hlsPort + "\",\"idle_ms\":20000,\"servers\":[" + Deployment.list(members) + "]}");
        String listen = "127.0.0.1:" + Deployment.freePort();
        BrokerProcess broker = startBroker(
                "n0", Deployment.config(0, 1, listen, new NameServer(this, 2, List.of()).port(), List.of()), listen, " --hls " + hls);

        request(hlsPort, "phone-0", "8200");
        if (trouble) {
            HlsPlayer.Answer rejected = HlsPlayer.get(this, hlsPort, path("phone-1", "unknown"), LOST_AFTER_MS);
            if (rejected.status() < 400) {
                throw new IllegalStateException("the faulty request was not rejected: " + rejected.status());
            }
        } else {
            request(hlsPort, "phone-1", "8200");
        }
        Thread.sleep(1000);
        for (int i = 0; i < 3; i++) { // the viewer asks correctly, gives up after its time, and comes again
            request(hlsPort, "phone-1", "8200");
            Thread.sleep(1000);
        }
        request(hlsPort, "phone-2", "8200");
        if (!broker.isAlive()) {
            throw new IllegalStateException("broker ended");
        }
        record("correct requests without a whole answer %d ms after they were sent: %d of 5", LOST_AFTER_MS, unanswered);
        boxes.forEach(HlsBox::stop);
        return unanswered == 0;
    }

    private static String path(String viewer, String hint) {
        return "/lessons/sensor-fitting/master.m3u8?class=cert-lesson&viewer=" + viewer + "&expires_ms="
                + Deployment.PAID_DEADLINE_MS + "&expected_ms=" + hint;
    }

    private void request(int port, String viewer, String hint) throws Exception {
        unanswered += HlsPlayer.get(this, port, path(viewer, hint), LOST_AFTER_MS).status() == 0 ? 1 : 0;
    }
}
