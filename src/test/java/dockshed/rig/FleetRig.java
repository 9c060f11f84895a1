package dockshed.rig;

import dockshed.fleet.ByzantinePeer;
import dockshed.net.Headed;
import dockshed.net.HeadedDecoder;
import dockshed.net.Net;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Brokers as processes, a fabric between them, boxes that answer at once, and viewers that ask and wait for the answer. */
final class FleetRig implements AutoCloseable {
    final List<BrokerProcess> brokers = new ArrayList<>();
    final Fabric fabric;
    final AtomicInteger answered = new AtomicInteger(), failed = new AtomicInteger();
    final Map<String, Integer> paid = new ConcurrentHashMap<>(); // set-ups of the paid class by session
    private final Net net = new Net("rig");
    private final List<ServerSocket> boxes = new ArrayList<>();
    private final AtomicInteger names = new AtomicInteger();

    FleetRig(Path dir, int count, int boxCount, String conf) throws Exception {
        for (int i = 0; i < boxCount; i++) {
            ServerSocket s = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
            boxes.add(s);
            daemon(() -> serve(s));
        }
        InetSocketAddress[] listens = new InetSocketAddress[count];
        List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            held.add(free);
            listens[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        held.forEach(DatagramSocket::close);
        fabric = new Fabric(net, listens);
        Path file = Files.writeString(dir.resolve("fleet.conf"), conf);
        for (int i = 0; i < count; i++) {
            Path config = Files.writeString(dir.resolve("broker" + i + ".json"), config(i, count, listens[i]));
            brokers.add(new BrokerProcess(config, file));
        }
        for (BrokerProcess b : brokers) {
            b.start();
        }
    }

    private static void daemon(Runnable what) {
        Thread t = new Thread(what, "rig");
        t.setDaemon(true);
        t.start();
    }

    private String config(int me, int count, InetSocketAddress listens) {
        StringBuilder peers = new StringBuilder();
        for (int j = 0; j < count; j++) {
            InetSocketAddress a = fabric.address(me, j);
            peers.append(j == 0 ? "" : ",")
                    .append("\"127.0.0.1:")
                    .append(a.getPort())
                    .append('"');
        }
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < boxes.size(); i++) {
            members.append(i == 0 ? "" : ",")
                    .append(String.format(
                                    Locale.ROOT,
                                    "{'id':'s-%d','host_port':'127.0.0.1:%d',"
                                            + "'locality':'east','flavor':'std','cell':%d,'phase':'active','size':1}",
                                    i,
                                    boxes.get(i).getLocalPort(),
                                    i % 3)
                            .replace('\'', '"'));
        }
        return String.format(
                Locale.ROOT, TEMPLATE.replace('\'', '"'), me, me + 1, listens.getPort(), peers, members, me, count);
    }

    private static final String TEMPLATE = "{'name':'n%d','listen':'127.0.0.1:0','seed':'%016x','limits':{'cores':1,"
            + "'memory_mb':192,'sockets':512},'peer_listen':'127.0.0.1:%d','peers':[%s],'known':{'rev':2,'notices':[{'rev':1,"
            + "'pool':{'complete':true,'members':[%s]}},{'rev':2,'pool':{'complete':false,'members':[]}}]},'settings':{'me':%d,"
            + "'balancers':%d,'zone':'east','classes':["
            + "{'name':'refresher','effect':'idempotent','goal_time':800,'deadline':3000,'points':1},"
            + "{'name':'cert-lesson','effect':'at_most_once','goal_time':1000,'deadline':4000,'points':3}],"
            + "'family_info':{'cabinets':2,'cells':3,'class_scale':[1,1],'class_seats':[0,0],'kind_slots':[110],"
            + "'level_worth':[0.17,0.41,1.0],'lowest_rung':[0,1],'rates_kb':[255,425,706],'top_by_class':[2,2],'uplink_kb':0,"
            + "'weight_kb':300000,'links_kb':900000,'reports_every':1000,'see':50,'stall':7,'switch_cost_s':0.49},"
            + "'invariants':{'warm_up':12000,'cold_from':0.4,'drain_grace':1000,'tip_multiple':2.5,'fall':2000},'kinds':['std'],"
            + "'limits':{'try_limit':5,'connect_timeout':250,'idle_close':30000,'peers':true,'retry_after':true,"
            + "'max_retry_after':2000},'prices':{},'report':{'fields':['busy_reqs','x0']}}}";

    /** A box: answers each set-up, says nothing of loads. */
    private void serve(ServerSocket at) {
        while (!at.isClosed()) {
            try {
                Socket line = at.accept();
                daemon(() -> answer(line));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answer(Socket line) {
        try (line;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(line.getInputStream(), StandardCharsets.UTF_8))) {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                var m = com.google.gson.JsonParser.parseString(text).getAsJsonObject();
                if (m.get("type").getAsString().equals("setup")) {
                    String id = m.get("id").getAsString();
                    if (m.getAsJsonObject("fields").get("class").getAsString().equals("cert-lesson")) {
                        paid.merge(id, 1, Integer::sum);
                    }
                    line.getOutputStream()
                            .write(("{\"type\":\"answer\",\"id\":\"" + id + "\",\"fields\":{},\"sdp\":\"v=0\"}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            // the broker is gone
        }
    }

    /** A viewer of a broker: asks, waits for the one final answer, and leaves. Returns its status; 0: the connection ended. */
    int ask(int broker, String cls) throws IOException {
        String session = String.format("%016x", names.incrementAndGet());
        try (Socket s = new Socket()) {
            s.connect(brokers.get(broker).listens(), 5000);
            s.setSoTimeout(20_000);
            Map<String, String> h = new LinkedHashMap<>();
            h.put("CSeq", "1");
            h.put("Session", session);
            h.put("Priority-Class", cls);
            h.put("Expires-Ms", "3000");
            h.put("P-Trunk-Info", "home:0;copies:3;top:2;viewer:" + session);
            s.getOutputStream()
                    .write(Headed.encode(
                            "SETUP rtsp://media/lesson RTSP/1.0", h, "v=0\r\n".getBytes(StandardCharsets.UTF_8)));
            HeadedDecoder decoder = new HeadedDecoder(1 << 16);
            byte[] room = new byte[4096];
            for (int n = s.getInputStream().read(room);
                    n >= 0;
                    n = s.getInputStream().read(room)) {
                decoder.add(room, 0, n);
                Headed m = decoder.next();
                if (m != null) {
                    (m.status() == 200 ? answered : failed).incrementAndGet();
                    return m.status();
                }
            }
            return 0;
        } catch (Headed.Malformed e) {
            throw new IllegalStateException(e);
        }
    }

    /** One broker's place is taken by a byzantine peer, so many datagrams; waits until they are sent. */
    void lie(int liar, int datagrams) throws Exception {
        ByzantinePeer byzantine =
                new ByzantinePeer(liar, brokers.size(), System.currentTimeMillis() * 1000 + 5_000_000, 3);
        for (int i = 0; i < datagrams; i++) {
            net.loop()
                    .schedule(
                            () -> {
                                for (int to = 0; to < brokers.size(); to++) {
                                    if (to != liar) {
                                        fabric.carry(liar, to, byzantine.next(System.currentTimeMillis() * 1000));
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
            if (b.up()) {
                b.kill();
            }
        }
        for (ServerSocket s : boxes) {
            s.close();
        }
        net.close();
    }
}
