package dockshed.fleet;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.BitSet;

/** A fleet on the simulated network and clock as the scale run drives it: the public face of {@link FleetSimulation}. */
public final class FleetSimulationDriver {
    /** Requests of a quarter of a second, by step of rank: as {@link FleetCosts} has them. */
    private static final int[] REQUESTS = requests();

    private static final long MILLISECOND_US = FleetSimulation.MILLISECOND_US;

    private final FleetSimulation simulation;
    private final ZoneMap zones;
    private final long[] startedAt;

    public FleetSimulationDriver(int brokers, FleetSettings settings, long seed) {
        simulation = new FleetSimulation(brokers, settings, seed);
        zones = settings.zoneMap(brokers);
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
        return simulation.now / MILLISECOND_US;
    }

    public void run(long millis) {
        simulation.run(millis * MILLISECOND_US);
    }

    public boolean isRunning(int broker) {
        return simulation.nodes[broker].isUp();
    }

    public void start(int broker) {
        startedAt[broker] = simulation.now;
        simulation.nodes[broker].start();
    }

    public void kill(int broker) {
        simulation.nodes[broker].kill();
    }

    public void leave(int broker) {
        simulation.nodes[broker].handle(new LocalEvent.Leaving());
        kill(broker);
    }

    public void pause(int broker, long millis) {
        simulation.nodes[broker].pause(millis * MILLISECOND_US);
    }

    public void partition(BitSet from, BitSet to) {
        from.stream().forEach(sender -> to.stream().forEach(receiver -> simulation.block(sender, receiver, true)));
    }

    public void heal() {
        for (int sender = 0; sender < simulation.nodes.length; sender++) {
            for (int receiver = 0; receiver < simulation.nodes.length; receiver++) {
                simulation.block(sender, receiver, false);
            }
        }
    }

    public void setLoss(double share) {
        simulation.loss = share;
    }

    /** A report on a server's health, which all others are to know. */
    public void reportServerDown(int broker, int server) {
        simulation.nodes[broker].handle(new LocalEvent.HealthReport(server, false));
    }

    /** Each broker is told what was asked of it in so many milliseconds. */
    public void offerLoadSamples(long millis) {
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.isUp() && node.pausedUntil < 0) {
                node.handle(new LocalEvent.LoadSample(REQUESTS, 4, 1, 0, millis * MILLISECOND_US));
            }
        }
    }

    public BitSet presentMembers(int broker) {
        BitSet listed = new BitSet();
        simulation.nodes[broker].node.membership().presentMembers().forEach(listed::set);
        return listed;
    }

    public boolean hasHealthReport(int broker, int server, int owner) {
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
        for (Scope scope : zones.scopes()) {
            boolean own = scope.contains(broker);
            known.set(scope.number(), !own && node.node.summaries().isKnown(node.clock(), scope));
        }
        return known;
    }

    /** Of the figures that all hold of others. */
    public FleetInspection.Ages figureAges() {
        FleetInspection.Ages ages = new FleetInspection.Ages();
        for (FleetSimulation.Node node : simulation.nodes) {
            if (node.isUp()) {
                FleetInspection.recordFigureAges(node.node, node.clock(), startedAt[node.number], ages);
            }
        }
        return ages;
    }
}
