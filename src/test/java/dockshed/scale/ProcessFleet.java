package dockshed.scale;

import dockshed.fleet.FleetInspection.Ages;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A fleet of real and hollow brokers, run as processes on loopback sockets. */
final class ProcessFleet implements ScaleFleet {
    private final FleetLayout layout;
    private final BitSet real;
    private final ProcessGuard guard = new ProcessGuard();
    private final List<HollowProcessClient> hollowProcesses = new ArrayList<>();
    private final List<DatagramSocket> reservedPorts = new ArrayList<>();
    private final RealBrokers realBrokers;
    private LinkFaults faults = LinkFaults.NONE;

    /**
     * Starts the hollow processes, but no broker yet.
     *
     * @param real       number of real brokers
     * @param perProcess largest number of hollow brokers in one process
     * @param jar        the built program; not read if no broker is real
     * @param directory  where configurations and logs are written
     */
    ProcessFleet(FleetLayout layout, Mechanism mechanism, int real, int perProcess, Path jar, Path directory)
            throws IOException {
        this.layout = layout;
        this.real = layout.spreadOverZones(real);
        int[] ports = reservePorts(layout.brokers());
        List<BitSet> parts = splitOverProcesses(BrokerRanges.minus(layout.all(), this.real), perProcess);
        HollowProcessSpec spec = null;
        for (int process = 0; process < parts.size(); process++) {
            spec = new HollowProcessSpec(
                    mechanism.label(),
                    BrokerRanges.format(parts.get(process)),
                    BrokerRanges.format(this.real),
                    ports,
                    System.nanoTime() + process);
            hollowProcesses.add(new HollowProcessClient("hollow" + process, spec, directory, guard));
        }
        hollowProcesses.forEach(HollowProcessClient::awaitReady);
        realBrokers = real == 0
                ? null
                : new RealBrokers(
                        this.real,
                        mechanism,
                        spec.addresses(),
                        jar,
                        directory,
                        guard,
                        pid -> hollowProcesses.get(0).call("take " + pid));
    }

    /** Binds a free port for each broker, so that no other process gets it before {@link #releasePorts}. */
    private int[] reservePorts(int count) throws IOException {
        int[] ports = new int[count];
        for (int broker = 0; broker < count; broker++) {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            reservedPorts.add(socket);
            ports[broker] = socket.getLocalPort();
        }
        return ports;
    }

    private void releasePorts() {
        reservedPorts.forEach(DatagramSocket::close);
        reservedPorts.clear();
    }

    /** Assigns brokers round robin, so that each process runs brokers of all zones and none coincides with a zone. */
    private static List<BitSet> splitOverProcesses(BitSet brokers, int perProcess) {
        int count = (brokers.cardinality() + perProcess - 1) / perProcess;
        List<BitSet> parts = new ArrayList<>();
        for (int process = 0; process < count; process++) {
            parts.add(new BitSet());
        }
        int next = 0;
        for (int broker = brokers.nextSetBit(0); broker >= 0; broker = brokers.nextSetBit(broker + 1)) {
            parts.get(next++ % count).set(broker);
        }
        return parts;
    }

    @Override
    public FleetLayout layout() {
        return layout;
    }

    @Override
    public long nowMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void advance(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void callHollow(String command) {
        HollowProcessClient.callAll(hollowProcesses, command);
    }

    @Override
    public void start(BitSet brokers) {
        releasePorts();
        callHollow("start " + BrokerRanges.format(brokers));
        if (realBrokers != null) {
            realBrokers.start(brokers);
        }
    }

    @Override
    public void kill(BitSet brokers) {
        callHollow("kill " + BrokerRanges.format(brokers));
        if (realBrokers != null) {
            realBrokers.kill(brokers);
        }
    }

    @Override
    public void leave(BitSet brokers) {
        callHollow("leave " + BrokerRanges.format(brokers));
        if (realBrokers != null) {
            realBrokers.leave(brokers);
        }
    }

    @Override
    public void pause(int broker, long millis) {
        if (real.get(broker)) {
            realBrokers.pause(broker, millis);
        } else {
            callHollow("pause " + broker + " " + millis);
        }
    }

    @Override
    public void cut(BitSet from, BitSet to) {
        faults = faults.withCut(from, to);
        callHollow("cut " + BrokerRanges.format(from) + " " + BrokerRanges.format(to));
        applyFaultsToRealBrokers();
    }

    @Override
    public void heal() {
        faults = faults.withoutCuts();
        callHollow("join");
        applyFaultsToRealBrokers();
    }

    @Override
    public void setLoss(double share) {
        faults = faults.withLoss(share);
        callHollow("loss " + share);
        applyFaultsToRealBrokers();
    }

    private void applyFaultsToRealBrokers() {
        if (realBrokers != null) {
            realBrokers.setFaults(faults);
        }
    }

    @Override
    public void publishChange(int broker, int change) {
        callHollow("change " + broker + " " + change);
    }

    @Override
    public boolean observesChanges(int broker) {
        return !real.get(broker);
    }

    @Override
    public Observations collect() {
        Observations since = Observations.empty();
        for (HollowProcessClient client : hollowProcesses) {
            since.add(client.call("collect", Observations.class));
        }
        if (realBrokers != null) {
            since.add(realBrokers.collect());
        }
        return since;
    }

    @Override
    public List<BrokerTotals> totals() {
        return hollowProcesses.parallelStream()
                .flatMap(client -> client.call("totals", HollowProcessTotals.class).totals().stream())
                .toList();
    }

    @Override
    public Ages figureAges() {
        List<FigureAges> ofProcesses = hollowProcesses.parallelStream()
                .map(client -> client.call("ages", FigureAges.class))
                .toList();
        Ages ages = new Ages();
        ofProcesses.forEach(reported -> reported.addTo(ages));
        return ages;
    }

    @Override
    public double memoryKb() {
        return hollowProcesses.parallelStream()
                .mapToDouble(client -> Double.parseDouble(client.call("memory")))
                .average()
                .orElse(Double.NaN);
    }

    int realCount() {
        return real.cardinality();
    }

    int hollowCount() {
        return layout.brokers() - real.cardinality();
    }

    /** Number of processes that run brokers; the benchmark's own is not counted. */
    int processes() {
        return hollowProcesses.size() + real.cardinality();
    }

    /** The real brokers; null if there are none. */
    RealBrokers realBrokers() {
        return realBrokers;
    }

    List<HollowProcessClient> hollowProcesses() {
        return hollowProcesses;
    }

    /** Number of processes that still run. */
    long aliveProcesses() {
        return guard.aliveProcesses();
    }

    @Override
    public void close() {
        releasePorts();
        if (realBrokers != null) {
            realBrokers.close();
        }
        guard.close();
    }
}
