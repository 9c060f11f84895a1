package dockshed.fleet;

import java.util.BitSet;

/** A fleet on the simulated network and clock as the scale run drives it: the public face of {@link FleetSimulation}. */
public final class FleetTwin {
    /** Requests of a quarter of a second, by step of rank: as {@link FleetCosts} has them. */
    private static final int[] REQUESTS = requests();

    private static final long MILLI = FleetSimulation.MS;

    private final FleetSimulation simulation;
    private final long[] startedAt;

    public FleetTwin(int brokers, FleetSettings settings, long seed) {
        simulation = new FleetSimulation(brokers, settings, seed);
        startedAt = new long[brokers];
    }

    private static int[] requests() {
        int[] requests = new int[SheddingThreshold.PRIORITY_STEPS];
        requests[0] = 3;
        requests[1] = 1;
        requests[4] = 1;
        return requests;
    }

    public long nowMillis() {
        return simulation.now / MILLI;
    }

    public void run(long millis) {
        simulation.run(millis * MILLI);
    }

    public boolean running(int broker) {
        return simulation.nodes[broker].up();
    }

    public void start(int broker) {
        startedAt[broker] = simulation.now;
        simulation.nodes[broker].start();
    }

    public void kill(int broker) {
        simulation.nodes[broker].kill();
    }

    public void leave(int broker) {
        simulation.nodes[broker].event(new LocalEvent.Leaving());
        kill(broker);
    }

    public void pause(int broker, long millis) {
        simulation.nodes[broker].pause(millis * MILLI);
    }

    public void cut(BitSet from, BitSet to) {
        from.stream().forEach(sender -> to.stream().forEach(receiver -> simulation.block(sender, receiver, true)));
    }

    public void join() {
        for (int sender = 0; sender < simulation.nodes.length; sender++) {
            for (int receiver = 0; receiver < simulation.nodes.length; receiver++) {
                simulation.block(sender, receiver, false);
            }
        }
    }

    public void lose(double share) {
        simulation.loss = share;
    }

    /** A report on a server's health, which all others are to know. */
    public void change(int broker, int server) {
        simulation.nodes[broker].event(new LocalEvent.HealthReport(server, false));
    }

    /** Each broker is told what was asked of it in so many milliseconds. */
    public void offerFigures(long millis) {
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.up() && node.pausedUntil < 0) {
                node.event(new LocalEvent.LoadSample(REQUESTS, 4, 1, 0, millis * MILLI));
            }
        }
    }

    public BitSet listed(int broker) {
        BitSet listed = new BitSet();
        simulation.nodes[broker].node.membership().presentMembers().forEach(listed::set);
        return listed;
    }

    public boolean knows(int broker, int server, int owner) {
        return simulation.nodes[broker].node.entries().get(owner, VersionedEntry.HEALTH_REPORT, server) != null;
    }

    public long bytesSent(int broker) {
        return simulation.sentBy.getOrDefault(broker, 0L);
    }

    public long bytesReceived(int broker) {
        return simulation.receivedBy[broker];
    }

    /** Numbers of the other scopes of which a broker knows something. */
    public BitSet knownScopes(int broker) {
        FleetSimulation.Node node = simulation.nodes[broker];
        BitSet known = new BitSet();
        for (ScopeSummaryStore.Estimate estimate : node.node.summaries().estimates(node.clock())) {
            known.set(estimate.scope().number());
        }
        return known;
    }

    /** Of the figures that all hold of others. */
    public FleetReadings.Ages figureAges() {
        FleetReadings.Ages ages = new FleetReadings.Ages();
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.up()) {
                FleetReadings.figureAges(node.node, node.clock(), startedAt[node.number], ages);
            }
        }
        return ages;
    }
}
