package dockshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.choice.Choice;
import dockshed.config.Config;
import dockshed.config.ConfigTest;
import dockshed.core.Broker;
import dockshed.core.BrokerHarness;
import dockshed.core.SessionRequest;
import dockshed.core.TimerQueue;
import dockshed.edge.EdgeServerConnections;
import dockshed.net.LoopClock;
import dockshed.net.Net;
import dockshed.peers.UdpPeers;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Capacity limits: with 1,024 and 1,025 servers and brokers no list is truncated, every request is served, and the
 * number of connections stays within its limit.
 */
class CapacityTest {
    @TempDir
    Path dir;

    private Config config(int count) throws Exception {
        StringBuilder members = new StringBuilder();
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < count; i++) {
            members.append(i == 0 ? "" : ",")
                    .append(String.format(
                            "{\"id\":\"s-%08x\",\"host_port\":\"127.0.%d.%d:5080\","
                                    + "\"locality\":\"east\",\"flavor\":\"std\",\"cell\":%d,\"phase\":\"active\",\"size\":4,\"up_since_ms\":0}",
                            i, i / 250, i % 250 + 1, i % 3));
            peers.append(i == 0 ? "" : ",").append(String.format("\"127.1.%d.%d:7946\"", i / 250, i % 250 + 1));
        }
        String text = ConfigTest.COMPLETE_CONFIG
                .replaceFirst(
                        "(?s)\"notices\":.*?}]}}]",
                        "\"notices\":[{\"rev\":1,\"pool\":" + "{\"revision\":1,\"complete\":true,\"members\":["
                                + members + "]}}]")
                .replace("\"peers\":[\"127.0.0.1:7946\"]", "\"peers\":[" + peers + "]")
                .replace("\"balancers\":2", "\"balancers\":" + count);
        return Config.load(Map.of(
                "EDGE_CONFIG", Files.writeString(dir.resolve("c.json"), text).toString()));
    }

    @Test
    void listsOfMoreThanAThousandServersAreReadCompletelyAndServed() throws Exception {
        for (int count : new int[] {1024, 1025}) {
            Config config = config(count);
            List<Server> servers = config.knownServers().get(0).servers().stream()
                    .map(l -> l.server())
                    .toList();
            assertEquals(count, servers.size());
            assertEquals(count, config.peers().size());
            BrokerHarness harness = new BrokerHarness();
            Choice[] module = {null};
            Broker broker = new Broker(
                    config.settings(),
                    actions -> module[0] = new Choice(config.settings(), 1, actions),
                    m -> {},
                    harness.timers);
            broker.serversChanged(harness.now, "names", ListScope.DISK, servers);
            broker.serversChanged(harness.now, "names", ListScope.CHANGES, List.of());
            assertEquals(count, module[0].knownServers());
            long connection = broker.connected(harness.now, harness, h -> {});
            for (int i = 0; i < 300; i++) {
                String name = "v" + i;
                broker.request(
                        harness.now,
                        connection,
                        harness,
                        harness,
                        new SessionRequest(
                                name, "paid", "viewer" + i, "t", 3_000_000, 0, 0, 3, 1, false, false, false, "sdp"));
                String sent = harness.log.get(harness.log.size() - 1);
                assertTrue(sent.contains(" setUp " + name + " "), sent);
                broker.setUpAnswered(harness.now, sent.split(" ")[1], name, "answer");
                harness.advance(10_000);
            }
            assertEquals(300, broker.counts().served);
            broker.serversChanged(harness.now, "names", ListScope.SNAPSHOT, servers.subList(0, count / 2));
            broker.serverLost(harness.now, harness, servers.get(0).id(), harness.now);
        }
    }

    @Test
    void connectionsToServersStayWithinTheirLimit() throws Exception {
        // Guards against one connection per server regardless of the descriptors: beyond their limit no viewer could be
        // accepted.
        Net net = new Net();
        try (ServerSocket acceptor = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            BrokerHarness harness = new BrokerHarness();
            EdgeServerConnections edgeConnections = net.callOnLoop(() -> {
                LoopClock clock = new LoopClock(net.loop());
                TimerQueue timers = new TimerQueue(clock::wakeAt);
                clock.onWakeUp(timers::runDue);
                EdgeServerConnections connections = new EdgeServerConnections(
                        harness.broker,
                        net,
                        clock,
                        timers,
                        new EdgeServerConnections.Options(250_000, 30_000_000, 0, 0, List.of(), 8));
                Map<String, InetSocketAddress> addresses = new TreeMap<>();
                for (int i = 0; i < 1025; i++) {
                    addresses.put("s-" + i, new InetSocketAddress("127.0.0.1", acceptor.getLocalPort()));
                }
                connections.updateAddresses(addresses);
                return connections;
            });
            for (int i = 0; i < 1025; i++) {
                String id = "s-" + i;
                assertTrue((int) net.callOnLoop(() -> {
                            edgeConnections.setHasActiveSessions(id, true);
                            return edgeConnections.countConnections();
                        })
                        <= 8);
            }
        } finally {
            net.close();
        }
    }

    @Test
    void peersOfAFullFleetAreDistinguished() throws Exception {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int i = 0; i < 1025; i++) {
            peers.add(new InetSocketAddress("127.1." + i / 250 + "." + (i % 250 + 1), 7946));
        }
        UdpPeers udpPeers = new UdpPeers(peers, null);
        assertEquals(1024, udpPeers.brokerNumber(peers.get(1024)));
        assertEquals(-1, udpPeers.brokerNumber(new InetSocketAddress("127.9.9.9", 7946)));
    }
}
