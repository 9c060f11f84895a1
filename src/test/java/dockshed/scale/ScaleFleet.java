package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.BitSet;
import java.util.List;

/** The fleet on which {@link SceneScript} plays: processes on loopback sockets, or nodes on the simulated network. */
interface ScaleFleet extends AutoCloseable {
    /** The fleet's zones and regions. */
    FleetLayout layout();

    /** Unix or simulated time, in milliseconds. */
    long nowMillis();

    /** Waits, or advances the simulation by this time. */
    void advance(long millis);

    /** Starts brokers. */
    void start(BitSet brokers);

    /** Ends brokers without notice to the others. */
    void kill(BitSet brokers);

    /** Ends brokers that first notify the others. */
    void leave(BitSet brokers);

    /** Halts a broker for this time, after which it continues; returns at once. */
    void pause(int broker, long millis);

    /** Drops all datagrams from one set of brokers to the other, until {@link #heal}. */
    void cut(BitSet from, BitSet to);

    /** Ends all cuts. */
    void heal();

    /** Sets the share of datagrams lost on every link, 0 to 1. */
    void setLoss(double share);

    /** Has a broker share a new change with the fleet; {@link Observations} report which brokers know of it. */
    void publishChange(int broker, int change);

    /** Whether a broker can publish changes and its {@link ChangeObservation}s are reported. */
    boolean observesChanges(int broker);

    /** Observations since the last call. */
    Observations collect();

    /** Traffic and CPU time of the measured brokers: all simulated ones, or the hollow ones. */
    List<BrokerTotals> totals();

    /** Ages of all figures that the measured brokers hold now. */
    Ages figureAges();

    /** Heap of the control code alone, in kB per broker; NaN if it is not measured. */
    double memoryKb();

    @Override
    void close();
}
