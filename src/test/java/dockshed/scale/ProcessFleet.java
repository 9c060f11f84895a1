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

/** Real and hollow brokers as processes on loopback sockets. */
final class ProcessFleet implements ScaleFleet {
    private final FleetLayout layout;
    private final BitSet real;
    private final ProcessGuard guard = new ProcessGuard();
    private final List<HollowProcessClient> hollowProcesses = new ArrayList<>();
    private final List<DatagramSocket> reservedPorts = new ArrayList<>();
    private final RealBrokers realBrokers;
    private LinkFaults faults = LinkFaults.NONE;

    /**
     * @param real      how many brokers are real
     * @param perProcess hollow brokers of a process at most
     * @param jar       of the program; not read where no broker is real
     * @param directory for configurations and logs
     */
    ProcessFleet(FleetLayout layout, Mechanism mechanism, int real, int perProcess, Path jar, Path directory)
            throws IOException {
        this.layout = layout;
        this.real = layout.spreadOverZones(real);
        int[] ports = reservePorts(layout.brokers());
        List<BitSet> parts = splitOverProcesses(BrokerRanges.minus(layout.all(), this.real), perProcess);
        HollowProcessSpec spec = null;
        for (int i = 0; i < parts.size(); i++) {
            spec = new HollowProcessSpec(
                    mechanism.label(),
                    BrokerRanges.format(parts.get(i)),
                    BrokerRanges.format(this.real),
                    ports,
                    System.nanoTime() + i);
            hollowProcesses.add(new HollowProcessClient("hollow" + i, spec, directory, guard));
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

    /** Takes a free port for each broker; none of them is given to anybody else until {@link #releasePorts}. */
    private int[] reservePorts(int count) throws IOException {
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            reservedPorts.add(socket);
            ports[i] = socket.getLocalPort();
        }
        return ports;
    }

    private void releasePorts() {
        reservedPorts.forEach(DatagramSocket::close);
        reservedPorts.clear();
    }

    /** Each part has brokers of all zones, so that no process is a zone. */
    private static List<BitSet> splitOverProcesses(BitSet brokers, int most) {
        int count = (brokers.cardinality() + most - 1) / most;
        List<BitSet> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
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
        for (HollowProcessClient handle : hollowProcesses) {
            since.add(handle.call("collect", Observations.class));
        }
        if (realBrokers != null) {
            since.add(realBrokers.collect());
        }
        return since;
    }

    @Override
    public List<BrokerTotals> totals() {
        return hollowProcesses.parallelStream()
                .flatMap(handle -> handle.call("totals", HollowProcessTotals.class).totals().stream())
                .toList();
    }

    @Override
    public Ages figureAges() {
        List<FigureAges> ofProcesses = hollowProcesses.parallelStream()
                .map(handle -> handle.call("ages", FigureAges.class))
                .toList();
        Ages ages = new Ages();
        ofProcesses.forEach(each -> each.addTo(ages));
        return ages;
    }

    @Override
    public double memoryKb() {
        return hollowProcesses.parallelStream()
                .mapToDouble(handle -> Double.parseDouble(handle.call("memory")))
                .average()
                .orElse(Double.NaN);
    }

    int realCount() {
        return real.cardinality();
    }

    int hollowCount() {
        return layout.brokers() - real.cardinality();
    }

    /** Processes of brokers, the driver not counted. */
    int processes() {
        return hollowProcesses.size() + real.cardinality();
    }

    /** The real brokers; null where there are none. */
    RealBrokers realBrokers() {
        return realBrokers;
    }

    List<HollowProcessClient> hollowProcesses() {
        return hollowProcesses;
    }

    /** Processes that still run. */
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
