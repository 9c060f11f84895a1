package dockshed.rig;

import dockshed.fleet.ByzantinePeer;
import dockshed.net.HttpStyleMessage;
import dockshed.net.HttpStyleMessageDecoder;
import dockshed.net.Net;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/**
 * Brokers as processes, connected by a {@link LossyNetwork}, edge servers that answer at once, and viewers that send one
 * request and wait for the response.
 */
final class FleetRig implements AutoCloseable {
    private static final int MAX_SOCKETS = 512;

    final List<BrokerProcess> brokers = new ArrayList<>();
    final LossyNetwork network;
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final Map<String, Integer> paidSetUps = new ConcurrentHashMap<>(); // set-ups of the paid class, by session
    private final Net net = new Net("rig");
    private final List<AnsweringEdgeServer> edgeServers = new ArrayList<>();
    private final AtomicInteger sessionIds = new AtomicInteger();

    /** Starts brokers that all read the same operator's file. */
    FleetRig(Path dir, int count, int serverCount, String operatorFile) throws Exception {
        this(dir, count, serverCount, broker -> operatorFile);
    }

    /** Starts brokers; {@code operatorFile} gives the contents of each broker's operator's file by its number. */
    FleetRig(Path dir, int count, int serverCount, IntFunction<String> operatorFile) throws Exception {
        for (int i = 0; i < serverCount; i++) {
            edgeServers.add(new AnsweringEdgeServer(paidSetUps));
        }
        InetSocketAddress[] addresses = new InetSocketAddress[count];
        List<DatagramSocket> reserved = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
        reserved.forEach(DatagramSocket::close);
        network = new LossyNetwork(net, addresses);
        for (int i = 0; i < count; i++) {
            Path config = Files.writeString(
                    dir.resolve("broker" + i + ".json"),
                    config(i, count, addresses[i]).toJson());
            Path operatorFilePath = Files.writeString(dir.resolve("broker" + i + ".conf"), operatorFile.apply(i));
            brokers.add(new BrokerProcess(config, List.of("--conf", operatorFilePath.toString())));
        }
        for (BrokerProcess broker : brokers) {
            broker.start();
        }
    }

    private BrokerConfig config(int number, int count, InetSocketAddress listenAddress) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int peer = 0; peer < count; peer++) {
            peers.add(network.addressOf(number, peer));
        }
        List<InetSocketAddress> addresses =
                edgeServers.stream().map(AnsweringEdgeServer::address).toList();
        return new BrokerConfig(number, MAX_SOCKETS, listenAddress, peers, addresses);
    }

    /**
     * Requests a session of a broker and returns the status of the final response; 0 if the connection was closed
     * instead.
     */
    int requestSession(int broker, String className) throws IOException {
        String session = String.format("%016x", sessionIds.incrementAndGet());
        try (Socket socket = new Socket()) {
            socket.connect(brokers.get(broker).listenAddress(), 5000);
            socket.setSoTimeout(20_000);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("CSeq", "1");
            headers.put("Session", session);
            headers.put("Priority-Class", className);
            headers.put("Expires-Ms", "3000");
            headers.put("P-Trunk-Info", "home:0;copies:3;top:2;viewer:" + session);
            socket.getOutputStream()
                    .write(HttpStyleMessage.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", headers, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 16);
            byte[] buffer = new byte[4096];
            for (int length = socket.getInputStream().read(buffer);
                    length >= 0;
                    length = socket.getInputStream().read(buffer)) {
                decoder.add(buffer, 0, length);
                HttpStyleMessage response = decoder.next();
                if (response != null) {
                    (response.status() == 200 ? answered : failed).incrementAndGet();
                    return response.status();
                }
            }
            return 0;
        } catch (HttpStyleMessage.MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends datagrams of a byzantine peer in the place of a broker that is not running, and waits until all are sent. */
    void injectByzantine(int impersonated, int datagrams) throws Exception {
        ByzantinePeer peer =
                new ByzantinePeer(impersonated, brokers.size(), System.currentTimeMillis() * 1000 + 5_000_000, 3);
        for (int i = 0; i < datagrams; i++) {
            net.loop()
                    .schedule(
                            () -> {
                                for (int receiver = 0; receiver < brokers.size(); receiver++) {
                                    if (receiver != impersonated) {
                                        network.forward(
                                                impersonated,
                                                receiver,
                                                peer.nextDatagram(System.currentTimeMillis() * 1000));
                                    }
                                }
                            },
                            5L * i,
                            TimeUnit.MILLISECONDS);
        }
        net.loop().schedule(() -> {}, 5L * datagrams + 5, TimeUnit.MILLISECONDS).sync();
    }

    @Override
    public void close() throws Exception {
        for (BrokerProcess broker : brokers) {
            if (broker.isUp()) {
                broker.kill();
            }
        }
        for (AnsweringEdgeServer edgeServer : edgeServers) {
            edgeServer.close();
        }
        net.close();
    }
}
