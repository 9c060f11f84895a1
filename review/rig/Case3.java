package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** An edge server's connection that is reset while the end of a session is on its way, with others to the same one open. */
final class Case3 extends Case {
    /** Within which an end is to be told at the latest, with the slack that sockets are given. */
    private static final long LIMIT_MS = 8_000 + 50;

    private static final int BOXES = 3;
    private static final int SESSIONS = 9;
    private static final long STANDS_STILL_MS = 300;

    private Case3(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new Case3(args[0]).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        List<LineBox> boxes = new ArrayList<>();
        List<Network> networks = new ArrayList<>();
        List<Deployment.Member> members = new ArrayList<>();
        for (int i = 0; i < BOXES; i++) {
            LineBox box = new LineBox(this, "s-" + i);
            boxes.add(box);
            networks.add(new Network(this, box.port()));
            members.add(new Deployment.Member(box.id, networks.get(i).port(), i, 0));
        }
        int port = Deployment.freePort();
        String listen = "127.0.0.1:" + port;
        BrokerProcess broker = startBroker(
                "n0", Deployment.config(0, 1, listen, new NameServer(this, 2, members).port(), members), listen, "");
        Viewers viewers = new Viewers(this, "A", port);
        viewers.test();
        List<String> sessions = new ArrayList<>();
        for (int i = 0; i < BOXES; i++) { // one by one: a broker that has just started knows no loads
            viewers.setUp(String.format("9b1f03aa5c7e2e%02x", i));
        }
        Thread.sleep(1_000);
        List<String> asked = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) { // at the same time, so that several connections lead to a box
            asked.add(String.format("9b1f03aa5c7e2d%02x", i));
            viewers.ask(asked.get(i));
        }
        for (String session : asked) {
            if (viewers.isServed(session)) {
                sessions.add(session);
            }
        }
        Thread.sleep(3_000);

        int chosen = -1;
        for (int i = 0; i < BOXES; i++) {
            record("box %s: connections %d", boxes.get(i).id, boxes.get(i).connectionCount());
            chosen = chosen < 0 && boxes.get(i).connectionCount() > 1 ? i : chosen;
        }
        if (chosen < 0) {
            throw new IllegalStateException("no box has several connections");
        }
        LineBox box = boxes.get(chosen);
        Network network = networks.get(chosen);
        String watched = sessions.stream().filter(box::holds).findFirst().orElseThrow();
        int line = box.peerPort(watched);
        if (trouble) {
            network.hold(line);
        }
        box.end(watched);
        long endedAt = System.currentTimeMillis();
        if (trouble) {
            Thread.sleep(STANDS_STILL_MS);
            network.reset(line);
        }
        boolean inTime = viewers.released(watched, LIMIT_MS - (System.currentTimeMillis() - endedAt));
        if (!broker.isAlive()) {
            throw new IllegalStateException("broker ended");
        }
        viewers.test();
        record(
                "end told within %d ms: %s; connections to the box now: %d",
                LIMIT_MS, inTime, box.connectionCount());
        return inTime;
    }
}
