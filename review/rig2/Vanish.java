package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/**
 * Three in ten edge servers vanish. The viewers of their sessions have to be told within 8 s that these are over.
 */
final class Vanish {
    private static final int SERVERS = 14;
    private static final int VANISHING = 4;
    private static final int RATE = 25; // set-ups a second
    private static final double LIMIT_MS = 8050;
    /** After this time the list says that the vanished edge servers are gone. */
    private static final double LISTED_GONE_MS = 12_000;

    /** The same day is played so often, each time with a new broker and new edge servers; one that fails is enough. */
    private static final int ROUNDS = 3;

    private static final String[] CLASSES = {"warm-up", "permit-drill", "radio-talk"};
    private static final int[] SHARES = {50, 15, 35};
    private static final int[] DEADLINES = {2000, 6000, 3000};

    public static void main(String[] args) {
        Rig.main(args[0], Vanish::run);
    }

    /** The classes of the site quarry-road-drills in the place of the interface page's. */
    private static String withClasses(String json) {
        return json.replaceFirst(
                "\"classes\":\\[.*?\\],\"clients\"",
                "\"classes\":["
                        + "{\"name\":\"warm-up\",\"deadline\":2000.0,\"effect\":\"idempotent\",\"goal_time\":600.0,"
                        + "\"points\":1.0,\"group\":\"all\",\"streaming\":true},"
                        + "{\"name\":\"permit-drill\",\"deadline\":6000.0,\"effect\":\"at_most_once\","
                        + "\"goal_time\":1000.0,\"points\":5.0,\"group\":\"all\",\"streaming\":true},"
                        + "{\"name\":\"radio-talk\",\"deadline\":3000.0,\"effect\":\"idempotent\",\"goal_time\":1500.0,"
                        + "\"points\":1.0,\"group\":\"all\",\"streaming\":true}],\"clients\"");
    }

    private static Rig.Edge add(
            Rig.NameServer names, String id, int cell, Rig.Settings settings, Rig.EdgeListener listener)
            throws IOException {
        Rig.Edge edge = new Rig.Edge(id, cell, settings.slots, settings.reportsEvery, listener);
        edge.lengthMs = 40_000;
        names.members.put(id, new Rig.Member(id, "east-hall", edge.port(), cell, 3, 0));
        return edge;
    }

    private static int run() throws Exception {
        int result = 0;
        for (int round = 1; round <= ROUNDS && result != 2; round++) {
            Rig.log("round " + round);
            result = Math.max(result, round());
        }
        return result;
    }

    private static int round() throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.brokers = 1;
        settings.reportsEvery = 4000;
        settings.see = 1359;
        settings.idleClose = 6000;
        Random random = new Random();
        Rig.NameServer names = new Rig.NameServer();
        List<Rig.Edge> edges = new ArrayList<>();
        Map<String, Double> endedAt = new java.util.concurrent.ConcurrentHashMap<>();
        Rig.EdgeListener listener = new Rig.EdgeListener() {
            @Override
            public void ended(String session) {
                endedAt.putIfAbsent(session, Rig.ms());
            }
        };
        for (int i = 0; i < SERVERS; i++) {
            edges.add(add(names, "s-" + i, i % 12, settings, listener));
        }
        names.serve();
        Rig.Broker broker = new Rig.Broker("n0", Rig.freePort(), "");
        broker.start(withClasses(settings.config("n0", broker.port, names.known(), names.port())));
        Rig.sleep(1500);
        Rig.Viewers viewers = new Rig.Viewers(broker.port);
        double vanishAt = Rig.ms() + 9_000;
        double end = vanishAt + 14_000;
        boolean vanished = false;
        Map<String, String> cut = new LinkedHashMap<>(); // the vanished edge server, by session
        int requests = 0;
        while (Rig.ms() < end) {
            if (!vanished && Rig.ms() >= vanishAt) {
                vanished = true;
                List<Rig.Edge> byLoad = new ArrayList<>(edges);
                byLoad.sort((x, y) -> y.standing.size() - x.standing.size());
                for (Rig.Edge edge : byLoad.subList(0, VANISHING)) {
                    if (!Rig.TROUBLE) { // its sessions end in order
                        edge.standing.keySet().forEach(session -> {
                            cut.put(session, edge.id);
                            edge.end(session, 16);
                        });
                        continue;
                    }
                    Rig.log(edge.id + " vanishes with " + edge.standing.size() + " sessions");
                    for (String session : edge.standing.keySet()) {
                        cut.put(session, edge.id);
                        endedAt.put(session, Rig.ms());
                    }
                    if (!edge.vanish()) {
                        Rig.log("connections to it still come up");
                        return 2;
                    }
                    Rig.later(
                            LISTED_GONE_MS,
                            () -> names.change(edge.id + " left", () -> names.members.get(edge.id).state = "left"));
                }
            }
            int draw = random.nextInt(100);
            int kind = draw < SHARES[0] ? 0 : draw < SHARES[0] + SHARES[1] ? 1 : 2;
            viewers.setUp(
                    Rig.newId(),
                    Rig.newId(),
                    CLASSES[kind],
                    DEADLINES[kind],
                    "home:0;copies:12;top:4;viewer:" + Rig.newId());
            requests++;
            Rig.sleep((long) (1000.0 / RATE * (0.5 + random.nextDouble())));
        }
        broker.stop();
        names.socket.close();
        edges.forEach(Rig.Edge::stop);
        int late = 0;
        for (Map.Entry<String, String> entry : cut.entrySet()) {
            Rig.Told one = Rig.Viewers.sessions.get(entry.getKey());
            double after = one.releasedAt - endedAt.get(entry.getKey());
            boolean lost = one.releasedAt == 0 || after > LIMIT_MS;
            late += lost ? 1 : 0;
            Rig.log((lost ? "LOST " : "") + "session " + entry.getKey() + " at " + entry.getValue()
                    + ": its viewer was told "
                    + (one.releasedAt == 0
                            ? "nothing"
                            : String.format(Locale.ROOT, "%.0f ms after its end", after)));
        }
        Rig.log("requests=" + requests + " sessions over=" + cut.size()
                + " told more than 8 s later or never=" + late);
        if (cut.isEmpty()) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
