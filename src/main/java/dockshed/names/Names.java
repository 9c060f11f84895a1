package dockshed.names;

import dockshed.Director.Scope;
import dockshed.Director.Server;
import dockshed.core.Deadlines;
import dockshed.net.Clock;
import dockshed.net.Net;
import dockshed.names.Dns.Answer;
import dockshed.names.Dns.Record;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The list of edge servers: what the configuration knows of it, then the name server's answers, asked for again and
 * again. While the name server is out of reach the last list stands.
 */
public final class Names {
    static final String SERVICE = "_work._tcp.fleet.local";
    static final long PERIOD = 250_000;
    /** An answer that has not come by then is no longer waited for; it counts all the same if it comes late. */
    private static final long PATIENCE = 1_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(Names.class);

    /** Hears of every piece of news; {@code addresses} holds all servers that are listed now. */
    public interface Listener {
        void news(Scope scope, List<Server> servers, Map<String, InetSocketAddress> addresses);
    }

    /** A list that still lacks records of its targets. */
    private static final class Partial {
        final List<Record> records;
        final Map<Integer, String> asked = new HashMap<>();

        Partial(List<Record> records) {
            this.records = new ArrayList<>(records);
        }
    }

    private final FleetList list = new FleetList();
    private final Listener listener;
    private final Clock clock;
    private final Deadlines deadlines;
    private InetSocketAddress server;
    private final Random random;
    private final Map<Integer, Long> asked = new HashMap<>();   // by query number: when
    private Channel channel;
    private Partial partial;
    private boolean confirmed, reached = true;
    private long answeredAt;

    public Names(Listener listener, Clock clock, Deadlines deadlines, InetSocketAddress server, long seed) {
        this.listener = listener;
        this.clock = clock;
        this.deadlines = deadlines;
        this.server = server;
        random = new Random(seed);
    }

    /** An event that the configuration holds. */
    public void known(long number, Scope scope, List<Listing> listings) {
        List<Server> news = list.known(number, scope, listings);
        listener.news(scope, news, list.addresses());
    }

    /** Begins to ask the name server, from a port of the address given. */
    public void start(Net net, InetSocketAddress from) {
        answeredAt = clock.now();
        ChannelFuture bound = net.datagrams(from, new SimpleChannelInboundHandler<DatagramPacket>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                try {
                    answer(Dns.read(Net.bytes(packet.content())));
                } catch (Dns.Malformed e) {
                    LOG.warn("name server's answer malformed: why={}", e.getMessage());
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                LOG.debug("name server not reached: why={}", cause.toString());
            }
        });
        channel = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                ask(clock.now());
            } else {
                LOG.error("name server cannot be asked: from={} why={}", from, done.cause().toString());
            }
        });
    }

    /** The name server has another address from now on: it is asked at once, and the numbers go on. */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(server)) {
            return;
        }
        LOG.info("name server moved: from={} to={} number={}", server, to, list.serial());
        server = to;
        partial = null;             // what one server began the other does not finish
        if (channel != null && channel.isActive()) {
            query(SERVICE, Dns.SRV);
        }
    }

    private void ask(long due) {
        long now = clock.now();
        deadlines.at(now + PERIOD, this::ask);
        asked.values().removeIf(at -> now - at > 10 * PATIENCE);
        boolean was = reached;
        reached = now - answeredAt < 2 * PATIENCE;
        if (was != reached) {
            LOG.warn("name server {}", reached ? "reached again" : "out of reach: the last list stands");
        }
        query(SERVICE, Dns.SRV);
    }

    private int query(String name, int type) {
        int id = random.nextInt(1 << 16);
        asked.put(id, clock.now());
        channel.writeAndFlush(new DatagramPacket(Net.buf(Dns.query(id, name, type)), server));
        return id;
    }

    private void answer(Answer a) throws Dns.Malformed {
        if (asked.remove(a.id()) == null || a.code() != 0 || a.cut()) {
            return;
        }
        answeredAt = clock.now();
        if (a.type() == Dns.SRV && a.question().equals(SERVICE)) {
            if (FleetList.serial(a.records()) < 0) {
                throw new Dns.Malformed("list without a serial");
            }
            Partial p = new Partial(a.records());
            for (int type : new int[] {Dns.A, Dns.TXT}) {
                for (String target : FleetList.lacking(a.records(), type)) {
                    p.asked.put(query(target, type), target);
                }
            }
            partial = p;
        } else if (partial != null && partial.asked.remove(a.id()) != null) {
            partial.records.addAll(a.records());
        }
        if (partial != null && partial.asked.isEmpty()) {
            List<Record> records = partial.records;
            partial = null;
            take(records);
        }
    }

    private void take(List<Record> records) throws Dns.Malformed {
        long number = FleetList.serial(records);
        if (number == list.serial() && confirmed) {
            return;
        }
        long before = list.serial();
        List<Server> changes = list.whole(number, FleetList.listings(records, SERVICE));
        if (changes == null) {
            return;                 // a late answer
        }
        confirmed = true;
        LOG.info("list of edge servers: number={} before={} changed={}", number, before, changes.size());
        listener.news(Scope.CHANGES, changes, list.addresses());
    }
}
