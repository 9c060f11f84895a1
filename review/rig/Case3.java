package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** New configurations in quick succession, of which the last one has to be in force, and a drain after them. */
final class Case3 extends Case {
    /** What the name server has to tell counts as told so long after SIGHUP. */
    private static final long TOLD_AFTER_HANG_UP_MS = 4_000;
    /** An event counts as told at the latest so long after it happened. */
    private static final long TOLD_AFTER_EVENT_MS = 1_500;
    /** After which nothing new may reach the edge server, with the slack that sockets are given. */
    private static final long GRACE_MS = Deployment.DRAIN_GRACE_MS + 50;

    private static final long ROUNDS_MS = 75_000;
    private static final long ROUND_MS = 350;

    private Case3(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new Case3(args[0]).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        List<LineBox> boxes = new ArrayList<>();
        List<Deployment.Member> members = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            LineBox box = new LineBox(this, "s-" + i);
            boxes.add(box);
            members.add(new Deployment.Member(box.id, box.port(), i, 0));
        }
        NameServer passing = new NameServer(this, 2, members); // named for a moment, and out of service since
        passing.setAnswers(false);
        NameServer lasting = new NameServer(this, 2, members);
        int port = Deployment.freePort();
        String listen = "127.0.0.1:" + port;
        String first = Deployment.config(0, 1, listen, passing.port(), members);
        String last = Deployment.config(0, 1, listen, lasting.port(), members);
        BrokerProcess broker = startBroker("n0", last, listen, "");
        Thread.sleep(1_500); // no SIGHUP within the first second

        long begunAt = System.currentTimeMillis();
        long hangUpAt = begunAt;
        int rounds = 0;
        boolean asked = true;
        while (asked && System.currentTimeMillis() - begunAt < ROUNDS_MS && (trouble || rounds < 10)) {
            broker.reconfigure(trouble ? List.of(first, last) : List.of(last));
            hangUpAt = System.currentTimeMillis();
            rounds++;
            Thread.sleep(ROUND_MS);
            if (lasting.lastAskedAtMs() - hangUpAt < ROUND_MS - 300) { // asked every 250 ms; look again, longer
                Thread.sleep(1_000);
                asked = System.currentTimeMillis() - lasting.lastAskedAtMs() < 900;
            }
        }
        record("rounds of new configurations %d; the name server of the last one is asked: %s", rounds, asked);

        long drainedAt = System.currentTimeMillis();
        lasting.drain(boxes.get(0).id);
        long toldAt = Math.max(hangUpAt + TOLD_AFTER_HANG_UP_MS, drainedAt + TOLD_AFTER_EVENT_MS);
        Viewers viewers = new Viewers(this, "A", port);
        viewers.test();
        for (int i = 0; System.currentTimeMillis() < toldAt + GRACE_MS + 2_000; i++) {
            viewers.ask(String.format("%016x", 0xc000_0000L + i));
            Thread.sleep(250); // four a second
        }
        if (!broker.isAlive()) {
            throw new IllegalStateException("broker ended");
        }
        long late = boxes.get(0).lastSetUpAtMs() - toldAt;
        record(
                "last set-up at %s: %s",
                boxes.get(0).id,
                boxes.get(0).lastSetUpAtMs() == 0 ? "none" : late + " ms after its drain counts as told");
        return boxes.get(0).lastSetUpAtMs() == 0 || late <= GRACE_MS;
    }
}
