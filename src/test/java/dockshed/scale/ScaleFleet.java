package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.util.BitSet;
import java.util.List;

/** A fleet that a script of scenes drives: processes on loopback sockets, or nodes on the simulated network. */
interface ScaleFleet extends AutoCloseable {
    FleetLayout layout();

    /** Unix or simulated time. */
    long nowMillis();

    /** Lets so much time go by. */
    void advance(long millis);

    void start(BitSet brokers);

    /** Without a word to the others. */
    void kill(BitSet brokers);

    /** A planned end: told to the others. */
    void leave(BitSet brokers);

    /** The broker stands still for so long, and goes on. */
    void pause(int broker, long millis);

    /** Nothing comes through from one set to the other until {@link #heal}. */
    void cut(BitSet from, BitSet to);

    /** All cuts are over. */
    void heal();

    /** On every link from now on. */
    void setLoss(double share);

    /** The broker has something to share with all others; {@link Observations} tell who knows it. */
    void publishChange(int broker, int change);

    /** Whether {@link ChangeObservation} is told of a broker. */
    boolean observesChanges(int broker);

    Observations collect();

    /** Of the brokers that are measured. */
    List<BrokerTotals> totals();

    /** Of all figures held now. */
    Ages figureAges();

    /** Heap of the control part alone, in kB a broker; NaN where it is not measured. */
    double memoryKb();

    @Override
    void close();
}
