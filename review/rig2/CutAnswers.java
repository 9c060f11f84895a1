package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Edge servers are replaced while some answers of the name server arrive cut short. Every set-up has to go to an edge
 * server that holds its title.
 */
final class CutAnswers {
    private static final int CELLS = 12;
    private static final int COPIES = 3;
    /** Time between two replacements of an edge server. */
    private static final double RELEASE_EVERY_MS = 8000;
    /** For so long from shortly before each replacement, the name server's answers arrive cut short. */
    private static final double CUT_MS = 2900;

    public static void main(String[] args) {
        Rig.main(args[0], CutAnswers::run);
    }

    private static int run() throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.cells = CELLS;
        Random random = new Random(1);
        Map<String, Integer> homes = new ConcurrentHashMap<>();
        AtomicInteger setUps = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Rig.EdgeListener check = new Rig.EdgeListener() {
            @Override
            public void setUp(Rig.Edge edge, String session, String sessionClass, String title, int rung) {
                setUps.incrementAndGet();
                int home = homes.get(title);
                boolean holds = Math.floorMod(edge.cell - home, CELLS) < COPIES;
                if (!holds) {
                    wrong.incrementAndGet();
                }
                Rig.log((holds ? "set-up " : "SET-UP AT A SERVER THAT DOES NOT HOLD THE TITLE ") + session + " title home="
                        + home + " copies=" + COPIES + " at " + edge.id + " cell=" + edge.cell);
            }
        };
        Rig.NameServer names = new Rig.NameServer();
        List<Rig.Edge> edges = new CopyOnWriteArrayList<>();
        int count = 0;
        for (int i = 0; i < 15; i++) {
            edges.add(add(names, "s-" + String.format("%08x", ++count * 7919), (i * 5 + 1) % CELLS, settings, check));
        }
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        double[] cutUntil = {0};
        if (Rig.TROUBLE) {
            names.spoil = (query, answer) -> {
                answered.incrementAndGet();
                if (Rig.ms() >= cutUntil[0]) {
                    return answer;
                }
                cut.incrementAndGet();
                Rig.log("name server: answer cut short: " + Rig.NameServer.nameOf(query) + " type "
                        + Rig.NameServer.typeOf(query));
                return Rig.NameServer.cut(query, answer, random);
            };
        }
        names.serve();
        int port = Rig.freePort();
        Rig.Broker broker = new Rig.Broker("n0", port, "");
        broker.start(settings.config("n0", port, names.known(), names.port()));
        Rig.sleep(1500);
        Rig.Viewers viewers = new Rig.Viewers(port);
        AtomicInteger cutOff = new AtomicInteger();
        viewers.onMessage = (what, told) -> {
            if (what.equals("TEARDOWN") && edges.stream().anyMatch(edge -> edge.standing.containsKey(told.session))) {
                cutOff.incrementAndGet();
                Rig.log("session " + told.session + " ended by the broker, its edge server still plays it");
            }
        };
        double end = Rig.ms() + 70_000;
        double nextRelease = Rig.ms() + 2000;
        List<Rig.Told> told = new ArrayList<>();
        while (Rig.ms() < end) {
            if (Rig.ms() >= nextRelease) { // the oldest edge server is replaced
                nextRelease += RELEASE_EVERY_MS;
                cutUntil[0] = Rig.ms() + CUT_MS;
                Rig.sleep(100);
                Rig.Edge old = edges.remove(0);
                Rig.Edge fresh = new Rig.Edge("s-" + String.format("%08x", ++count * 7919), old.cell, 53, 2750, check);
                fresh.lengthMs = 6_000;
                edges.add(fresh);
                names.change(old.id + " leaving, " + fresh.id + " active", () -> {
                    names.members.get(old.id).state = "leaving";
                    names.members.put(
                            fresh.id,
                            new Rig.Member(
                                    fresh.id, "east-hall", fresh.port(), fresh.cell, 3, System.currentTimeMillis()));
                });
                Rig.later(7_000, () -> {
                    names.change(old.id + " left", () -> names.members.get(old.id).state = "left");
                    old.stop();
                });
            }
            String title = Rig.newId();
            int home = random.nextInt(CELLS);
            homes.put(title, home);
            told.add(viewers.setUp(
                    Rig.newId(),
                    title,
                    random.nextInt(4) == 0 ? "cert-lesson" : "refresher",
                    3000,
                    "home:" + home + ";copies:" + COPIES + ";top:4;viewer:" + Rig.newId()));
            Rig.sleep(25 + random.nextInt(50));
        }
        Rig.sleep(3500);
        Rig.log("requests=" + told.size() + " set-ups=" + setUps + " served="
                + told.stream().filter(t -> t.code == 200).count() + " answers of the name server=" + answered + " cut="
                + cut + " set-ups at servers that do not hold the title=" + wrong
                + " sessions ended though a listed edge server plays them=" + cutOff);
        if (setUps.get() < 100) {
            return 2;
        }
        return wrong.get() > 0 ? 1 : 0;
    }

    private static Rig.Edge add(
            Rig.NameServer names, String id, int cell, Rig.Settings settings, Rig.EdgeListener listener)
            throws Exception {
        Rig.Edge edge = new Rig.Edge(id, cell, settings.slots, settings.reportsEvery, listener);
        edge.lengthMs = 6_000;
        names.members.put(id, new Rig.Member(id, "east-hall", edge.port(), cell, 3, 0));
        return edge;
    }
}
