package dockshed.fleet;

import dockshed.topology.Scope;
import dockshed.topology.ZoneMap;
import java.util.BitSet;

/** Public interface of {@link FleetSimulation} for the scale run: a fleet on the simulated network and clock. */
public final class FleetSimulationDriver {
    /** Requests per 250 ms, by priority step; the same as in {@link FleetCosts}. */
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

    /** Makes a broker report a server as down, which all others have to learn. */
    public void reportServerDown(int broker, int server) {
        simulation.nodes[broker].handle(new LocalEvent.HealthReport(server, false));
    }

    /** Gives each running broker a load sample of {@code millis} milliseconds. */
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

    /** Numbers of the other scopes about which a broker has information. */
    public BitSet knownScopes(int broker) {
        FleetSimulation.Node node = simulation.nodes[broker];
        BitSet known = new BitSet();
        for (Scope scope : zones.scopes()) {
            boolean own = scope.contains(broker);
            known.set(scope.number(), !own && node.node.summaries().isKnown(node.clock(), scope));
        }
        return known;
    }

    /** Ages of the figures that all running brokers hold of others. */
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
