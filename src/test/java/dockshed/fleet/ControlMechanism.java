package dockshed.fleet;

import java.util.ArrayList;
import java.util.List;

/** A way in which brokers share control state, as seen by the measurements of control traffic. */
public interface ControlMechanism {
    /** The mechanism's name in files of figures. */
    String label();

    /** A simulated fleet, not started yet. */
    FleetSimulation fleet(int brokers, long seed);

    /** The brokers of which this one holds the full state, itself excluded. */
    List<Integer> peersOf(int broker, int brokers);

    /** The gossip of package fleet with its default settings: every broker holds the state of every other. */
    ControlMechanism FULL_MESH = new ControlMechanism() {
        @Override
        public String label() {
            return "full_mesh";
        }

        @Override
        public FleetSimulation fleet(int brokers, long seed) {
            return new FleetSimulation(brokers, FleetSettings.DEFAULTS, seed);
        }

        @Override
        public List<Integer> peersOf(int broker, int brokers) {
            List<Integer> peers = new ArrayList<>();
            for (int peer = 0; peer < brokers; peer++) {
                if (peer != broker) {
                    peers.add(peer);
                }
            }
            return peers;
        }
    };

    /** Gossip within zones, and summaries of the other zones. */
    ControlMechanism ZONED = new ControlMechanism() {
        private static final int ZONES = 7;

        @Override
        public String label() {
            return "zoned";
        }

        @Override
        public FleetSimulation fleet(int brokers, long seed) {
            return new ZonedFleet(brokers, ZONES, seed).simulation;
        }

        @Override
        public List<Integer> peersOf(int broker, int brokers) {
            return FleetSettings.DEFAULTS
                    .withZones(ZonedFleet.evenZones(brokers, ZONES))
                    .zoneMap(brokers)
                    .scopes()
                    .stream()
                    .filter(scope -> scope.contains(broker))
                    .flatMap(scope -> scope.brokers().boxed())
                    .filter(peer -> peer != broker)
                    .toList();
        }
    };
}
