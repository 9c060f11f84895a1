package dockshed.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration of a hollow process, written to a JSON file that the process reads at its start.
 *
 * @param mechanism the label of a {@link Mechanism}
 * @param brokers   the brokers that the process runs, in the form of {@link BrokerRanges}
 * @param real      the fleet's real brokers, in the same form
 * @param ports     UDP ports of all brokers on the loopback address, by broker number
 * @param seed      base of the seeds of its brokers
 */
record HollowProcessSpec(String mechanism, String brokers, String real, int[] ports, long seed) {
    /** The loopback addresses of all brokers, by number. */
    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int port : ports) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        return addresses;
    }
}
