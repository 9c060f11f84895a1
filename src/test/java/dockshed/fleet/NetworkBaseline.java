package dockshed.fleet;

import dockshed.capacity.ThreadCost;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Measures the cost of the simulated network itself: the same number of datagrams and ticks as in a measured run,
 * without nodes that read them.
 */
final class NetworkBaseline {
    private static final int MAX_SAMPLES = 64;
    private static final int SAMPLE_INTERVAL = 101;

    private final List<byte[]> samples = new ArrayList<>();
    private UnaryOperator<Envelope> previousTamper;
    private long envelopes;
    private long ticks;

    /** Records samples of what a fleet sends from now on. */
    void startRecording(FleetSimulation fleet) {
        previousTamper = fleet.tamper;
        fleet.tamper = envelope -> {
            if (envelopes++ % SAMPLE_INTERVAL == 0 && samples.size() < MAX_SAMPLES) {
                samples.add(envelope.write());
            }
            return envelope;
        };
    }

    /** Stops recording, and counts ticks from now on. */
    void stopRecording(FleetSimulation fleet) {
        fleet.tamper = previousTamper;
        ticks = 0;
    }

    void countTick() {
        ticks++;
    }

    /** Nanoseconds of processor time for that many datagrams and the ticks counted. */
    long nanos(ControlScenario scenario, long datagrams, long micros, ThreadCost cost) {
        FleetSimulation idle = scenario.mechanism().fleet(scenario.brokers(), scenario.seed());
        idle.loss = scenario.loss();
        if (samples.isEmpty()) {
            return 0;
        }
        long datagramsAStep = Math.max(1, datagrams * FleetSimulation.MILLISECOND_US / Math.max(1, micros));
        long ticksAStep = ticks * FleetSimulation.MILLISECOND_US / Math.max(1, micros);
        long steps = datagrams / datagramsAStep;
        cost.start();
        long next = 0;
        for (long step = 0; step < steps; step++) {
            for (long i = 0; i < datagramsAStep; i++, next++) {
                int from = (int) (next % scenario.brokers());
                int to = (from + 1) % scenario.brokers();
                idle.transmit(from, to, samples.get((int) (next % samples.size())));
            }
            for (long tick = 0; tick < ticksAStep; tick++) {
                idle.at(idle.now + FleetSimulation.MILLISECOND_US, () -> {});
            }
            idle.run(FleetSimulation.MILLISECOND_US);
        }
        return cost.nanos();
    }
}
