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

/** Brokers as processes, a fabric between them, boxes that answer at once, and viewers that ask and wait for the answer. */
final class FleetRig implements AutoCloseable {
    private static final int SOCKETS = 512;

    final List<BrokerProcess> brokers = new ArrayList<>();
    final LossyNetwork network;
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final Map<String, Integer> paidSetUps = new ConcurrentHashMap<>(); // set-ups of the paid class by session
    private final Net net = new Net("rig");
    private final List<AnsweringEdgeServer> edgeServers = new ArrayList<>();
    private final AtomicInteger names = new AtomicInteger();

    /** Brokers that all read the same operator's file. */
    FleetRig(Path dir, int count, int boxCount, String conf) throws Exception {
        this(dir, count, boxCount, broker -> conf);
    }

    /** {@code conf}: each broker's operator's file. */
    FleetRig(Path dir, int count, int boxCount, IntFunction<String> conf) throws Exception {
        for (int i = 0; i < boxCount; i++) {
            edgeServers.add(new AnsweringEdgeServer(paidSetUps));
        }
        InetSocketAddress[] listens = new InetSocketAddress[count];
        List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            held.add(free);
            listens[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        held.forEach(DatagramSocket::close);
        network = new LossyNetwork(net, listens);
        for (int i = 0; i < count; i++) {
            Path config = Files.writeString(
                    dir.resolve("broker" + i + ".json"),
                    config(i, count, listens[i]).toJson());
            Path file = Files.writeString(dir.resolve("broker" + i + ".conf"), conf.apply(i));
            brokers.add(new BrokerProcess(config, file));
        }
        for (BrokerProcess b : brokers) {
            b.start();
        }
    }

    private BrokerConfig config(int me, int count, InetSocketAddress listens) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int other = 0; other < count; other++) {
            peers.add(network.addressOf(me, other));
        }
        List<InetSocketAddress> addresses =
                edgeServers.stream().map(AnsweringEdgeServer::address).toList();
        return new BrokerConfig(me, SOCKETS, listens, peers, addresses);
    }

    /** A viewer of a broker: asks, waits for the one final answer, and leaves. Returns its status; 0: the connection ended. */
    int requestSession(int broker, String cls) throws IOException {
        String session = String.format("%016x", names.incrementAndGet());
        try (Socket s = new Socket()) {
            s.connect(brokers.get(broker).listenAddress(), 5000);
            s.setSoTimeout(20_000);
            Map<String, String> h = new LinkedHashMap<>();
            h.put("CSeq", "1");
            h.put("Session", session);
            h.put("Priority-Class", cls);
            h.put("Expires-Ms", "3000");
            h.put("P-Trunk-Info", "home:0;copies:3;top:2;viewer:" + session);
            s.getOutputStream()
                    .write(HttpStyleMessage.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", h, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            HttpStyleMessageDecoder decoder = new HttpStyleMessageDecoder(1 << 16);
            byte[] room = new byte[4096];
            for (int n = s.getInputStream().read(room);
                    n >= 0;
                    n = s.getInputStream().read(room)) {
                decoder.add(room, 0, n);
                HttpStyleMessage m = decoder.next();
                if (m != null) {
                    (m.status() == 200 ? answered : failed).incrementAndGet();
                    return m.status();
                }
            }
            return 0;
        } catch (HttpStyleMessage.MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One broker's place is taken by a byzantine peer, so many datagrams; waits until they are sent. */
    void injectByzantine(int liar, int datagrams) throws Exception {
        ByzantinePeer byzantine =
                new ByzantinePeer(liar, brokers.size(), System.currentTimeMillis() * 1000 + 5_000_000, 3);
        for (int i = 0; i < datagrams; i++) {
            net.loop()
                    .schedule(
                            () -> {
                                for (int to = 0; to < brokers.size(); to++) {
                                    if (to != liar) {
                                        network.forward(
                                                liar, to, byzantine.nextDatagram(System.currentTimeMillis() * 1000));
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
        for (BrokerProcess b : brokers) {
            if (b.isUp()) {
                b.kill();
            }
        }
        for (AnsweringEdgeServer box : edgeServers) {
            box.close();
        }
        net.close();
    }
}
