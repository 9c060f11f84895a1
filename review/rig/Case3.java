package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A lesson box that its operators take out of service in the registry, while paid lessons are asked for. */
final class Case3 extends Case {
    /** The time in which nothing new may reach the box any more, with the slack that sockets are given. */
    private static final long LIMIT_MS = 1_000 + 50;
    /** The box ends so long after it was taken out of service. */
    private static final long STOPS_AFTER_MS = 4_500;

    private static final long REQUEST_EVERY_MS = 250; // four a second

    /** A paid lesson that a player was given. */
    private record Lesson(String path, long grantedAtMs) {}

    private Case3(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new Case3(args[0]).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        Registry registry = new Registry(this);
        List<HlsBox> boxes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            HlsBox box = new HlsBox(this, "box-" + i);
            boxes.add(box);
            registry.register(box.id, box.port(), i);
        }
        HlsBox drained = boxes.get(1);
        int hlsPort = Deployment.freePort();
        // The deploy folder's file, with the two addresses of this run.
        Path hls = temporary.resolve("hls.json");
        String file = Files.readString(Path.of("deploy/hls.json"))
                .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:" + hlsPort + "\"")
                .replaceFirst("\"at\": *\"[^\"]*\"", "\"at\": \"127.0.0.1:" + registry.port() + "\"");
        Files.writeString(hls, file);
        record("HLS file: %s", file.replaceAll("\\s+", " "));
        String listen = "127.0.0.1:" + Deployment.freePort();
        BrokerProcess broker = startBroker(
                "n0",
                Deployment.config(0, 1, listen, new NameServer(this, 2, List.of()).port(), List.of()),
                listen,
                " --hls " + hls);
        awaitAnswers(registry, 2);
        Thread.sleep(1_000);

        long outAtMs = System.currentTimeMillis();
        if (trouble) {
            registry.setStatus(drained.id, "OUT_OF_SERVICE");
        }
        List<Lesson> lessons = new ArrayList<>();
        int asked = 0;
        while (System.currentTimeMillis() - outAtMs < STOPS_AFTER_MS) {
            HlsPlayer.Answer answer = HlsPlayer.get(
                    this,
                    hlsPort,
                    "/lessons/sensor-fitting/master.m3u8?class=cert-lesson&viewer=phone-" + asked++ + "&expires_ms=4000",
                    4_500);
            if (answer.status() == 200) {
                lessons.add(new Lesson(firstPlaylist(answer.body()), System.currentTimeMillis()));
            }
            Thread.sleep(Math.max(0, REQUEST_EVERY_MS - answer.afterMs()));
        }
        long late = drained.setUps.stream()
                .filter(setUp -> setUp.atMs() - outAtMs > LIMIT_MS)
                .count();
        long last = drained.setUps.stream().mapToLong(setUp -> setUp.atMs() - outAtMs).max().orElse(-1);
        if (trouble) {
            drained.stop();
            record("box %s has ended", drained.id);
        }
        int lost = 0;
        for (Lesson lesson : lessons) {
            if (lesson.grantedAtMs() - outAtMs > LIMIT_MS) {
                lost += HlsPlayer.get(this, hlsPort, lesson.path(), 4_500).status() == 200 ? 0 : 1;
            }
        }
        if (!broker.isAlive()) {
            throw new IllegalStateException("broker ended");
        }
        record(
                "paid lessons asked for %d, given %d; the last set-up at %s came %d ms after %s; later than %d ms: %d",
                asked, lessons.size(), drained.id, last, trouble ? "its change of status" : "the same time", LIMIT_MS, late);
        record("paid lessons given later than that which cannot be played: %d", lost);
        return !trouble || late == 0;
    }

    private void awaitAnswers(Registry registry, int count) throws InterruptedException {
        long begunAt = System.currentTimeMillis();
        while (registry.answers() < count) {
            if (System.currentTimeMillis() - begunAt > 30_000) {
                throw new IllegalStateException("the broker does not ask the registry");
            }
            Thread.sleep(10);
        }
    }

    private static String firstPlaylist(String body) {
        return body.lines().filter(line -> line.startsWith("/sessions/")).findFirst().orElseThrow();
    }
}
