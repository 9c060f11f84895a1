package dockshed.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * What a hollow process is told at its start.
 *
 * @param mechanism the label of a {@link Mechanism}
 * @param brokers   its brokers, as {@link BrokerRanges}
 * @param real      the brokers of the fleet that are real
 * @param ports     of all brokers, by number, on the loopback address
 * @param seed      of its random numbers
 */
record HollowProcessSpec(String mechanism, String brokers, String real, int[] ports, long seed) {
    List<InetSocketAddress> addresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int port : ports) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        return addresses;
    }
}
