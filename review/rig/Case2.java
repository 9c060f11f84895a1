package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The end of a session whose viewer has had to open another connection to the broker. */
final class Case2 extends Case {
    /** Within which an end is to be told, with the slack that sockets are given. */
    private static final long LIMIT_MS = 1_000 + 50;
    /** How long it is waited for after that, for the record: viewers close a connection without sessions after 4 s. */
    private static final long LATER_MS = 2_000;

    private static final String WATCHED = "9b1f03aa5c7e2d41";
    private static final String STOPPED = "9b1f03aa5c7e2d42";

    private Case2(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new Case2(args[0]).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        List<LineBox> boxes = new ArrayList<>();
        List<Deployment.Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            LineBox box = new LineBox(this, "s-" + i);
            boxes.add(box);
            members.add(new Deployment.Member(box.id, box.port(), i, 0));
        }
        int port = Deployment.freePort();
        String listen = "127.0.0.1:" + port;
        BrokerProcess broker = startBroker(
                "n0", Deployment.config(0, 1, listen, new NameServer(this, 2, members).port(), members), listen, "");
        Viewers first = new Viewers(this, "A", port);
        first.test();
        first.setUp(WATCHED);
        first.setUp(STOPPED);
        Thread.sleep(3_000);
        Viewers current = first;
        if (trouble) { // the resting connection ends, and the viewers' side opens another one
            first.reset();
            current = new Viewers(this, "B", port);
            current.test();
        }
        current.teardown(STOPPED); // what ends a session may be sent on any connection
        Thread.sleep(500);
        if (!broker.isAlive()) {
            throw new IllegalStateException("broker ended");
        }
        LineBox box = boxes.stream().filter(b -> b.holds(WATCHED)).findFirst().orElseThrow();
        box.end(WATCHED);
        boolean inTime = current.released(WATCHED, LIMIT_MS);
        record("end told within %d ms: %s", LIMIT_MS, inTime);
        if (!inTime) {
            record("end told within %d ms: %s", LIMIT_MS + LATER_MS, current.released(WATCHED, LATER_MS));
        }
        current.test(); // the connection still works, in both directions
        return inTime;
    }
}
