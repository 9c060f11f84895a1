package dockshed.fleet;

import dockshed.core.Finder.Suspicion;
import dockshed.core.Finder.Verdict;

/** What the heart costs by the size of a fleet, on the simulated network; for the bench. */
public final class FleetCosts {
    private FleetCosts() {}

    private static FleetWorld fleet(int brokers) {
        FleetWorld w = new FleetWorld(brokers, FleetTerms.USUAL, 11);
        w.loss = 0.01;
        w.startAll();
        w.run(40 * FleetWorld.S);
        return w;
    }

    private static void figures(FleetWorld w) {
        int[] tries = new int[Cut.STEPS];
        tries[0] = 3;
        tries[1] = 1;
        tries[4] = 1;
        for (FleetWorld.Node n : w.nodes) {
            n.news(new News.Figures(tries, 4, 1, 0, 250_000));
        }
    }

    /** Bytes a second and broker: the mean, and of the one that sends most. */
    public static double[] bytes(int brokers, int seconds) {
        FleetWorld w = fleet(brokers);
        w.sentBy.clear();
        w.run(seconds * FleetWorld.S, 250 * FleetWorld.MS, () -> figures(w));
        return new double[] {
            w.sentBy.values().stream().mapToLong(x -> x).sum() / (double) brokers / seconds,
            w.sentBy.values().stream().mapToLong(x -> x).max().orElse(0) / (double) seconds
        };
    }

    /**
     * All brokers suspect a dead box within a tenth of a second and find out as the verdict says, each trial failing after
     * a quarter. Returns trials a second by the whole fleet until the last knows (over five seconds at least), seconds until then, and
     * brokers that do not know after half a minute.
     */
    public static double[] probes(int brokers) {
        return probes(fleet(brokers));
    }

    static double[] probes(FleetWorld w) {
        int brokers = w.nodes.length;
        int box = Mix.of("dead");
        long began = w.now;
        long[] since = new long[brokers];
        long[] tried = new long[brokers];
        long[] due = new long[brokers];
        int[] failures = new int[brokers];
        boolean[] knows = new boolean[brokers];
        int[] trials = {0};
        long[] last = {began};
        for (int i = 0; i < brokers; i++) {
            since[i] = w.nodes[i].clock() + w.random.nextLong(100 * FleetWorld.MS);
        }
        w.run(30 * FleetWorld.S, 50 * FleetWorld.MS, () -> {
            for (FleetWorld.Node n : w.nodes) {
                int i = n.number;
                long now = n.clock();
                if (knows[i] || now < since[i]) {
                    continue;
                }
                if (due[i] > 0 && now >= due[i]) {
                    due[i] = 0;
                    failures[i]++;
                    n.news(new News.Found(box, false));
                }
                if (due[i] > 0) {
                    continue;
                }
                View v = n.view();
                Verdict say = Probes.verdict(
                        now,
                        i,
                        v.living(),
                        box,
                        v.words().getOrDefault(box, java.util.List.of()),
                        new Suspicion(since[i], since[i] - FleetWorld.S, tried[i], failures[i]));
                if (say == Verdict.TRY) {
                    trials[0]++;
                    tried[i] = now;
                    due[i] = now + 250 * FleetWorld.MS;
                } else if (say == Verdict.DOWN || failures[i] >= 2) {
                    knows[i] = true;
                    last[0] = w.now;
                }
            }
        });
        double seconds = (last[0] - began) / (double) FleetWorld.S;
        int missing = 0;
        for (boolean k : knows) {
            missing += k ? 0 : 1;
        }
        return new double[] {trials[0] / Math.max(5, seconds), seconds, missing};
    }
}
