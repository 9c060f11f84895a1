package dockshed.names;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.core.TimerQueue;
import dockshed.names.Dns.Answer;
import dockshed.net.Clock;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
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
public final class DnsDiscovery {
    static final String SERVICE_NAME = "_work._tcp.fleet.local";
    static final long QUERY_INTERVAL_US = 250_000;
    /** An answer that has not come by then is no longer waited for; it counts all the same if it comes late. */
    private static final long ANSWER_TIMEOUT_US = 1_000_000;

    /** The logger keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.names.Names");

    /** Hears of every piece of news; {@code addresses} holds all servers that are listed now. */
    public interface Listener {
        void onUpdate(ListScope scope, List<Server> servers, Map<String, InetSocketAddress> addresses);
    }

    /** A query that is out: to whom, when, and the question by name; null for the whole list. */
    private record PendingQuery(InetSocketAddress to, long at, EdgeServerListUpdater.Question of) {}

    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater survey = new EdgeServerListUpdater(list, SERVICE_NAME);
    private final Listener listener;
    private final Clock clock;
    private final TimerQueue deadlines;
    private InetSocketAddress server;
    private final Random random;
    private final Map<Integer, PendingQuery> asked = new HashMap<>(); // by query number
    private Channel channel;
    private boolean confirmed;
    private boolean reached = true;
    private long answeredAt;

    public DnsDiscovery(Listener listener, Clock clock, TimerQueue deadlines, InetSocketAddress server, long seed) {
        this.listener = listener;
        this.clock = clock;
        this.deadlines = deadlines;
        this.server = server;
        random = new Random(seed);
    }

    /** An event that the configuration holds. */
    public void applyConfigured(long number, ListScope scope, List<ListedServer> listings) {
        List<Server> news = list.applyConfigured(number, scope, listings);
        listener.onUpdate(scope, news, list.addresses());
    }

    /** Begins to ask the name server, from a port of the address given. */
    public void start(Net net, InetSocketAddress from) {
        answeredAt = clock.now();
        ChannelFuture bound = net.bindDatagrams(from, new SimpleChannelInboundHandler<DatagramPacket>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                try {
                    answer(Dns.parse(Net.toBytes(packet.content())), packet.sender());
                } catch (Dns.MalformedMessageException e) {
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
                LOG.error(
                        "name server cannot be asked: from={} why={}",
                        from,
                        done.cause().toString());
            }
        });
    }

    /** The name server has another address from now on: it is asked at once, and the numbers go on. */
    public void changeServer(InetSocketAddress to) {
        if (to.equals(server)) {
            return;
        }
        LOG.info("name server moved: from={} to={} number={}", server, to, list.serial());
        server = to;
        survey.reset(); // what one server began the other does not finish
        asked.values().removeIf(q -> q.of() != null); // one that is being shut down may say that it knows nobody
        if (channel != null && channel.isActive()) {
            query(null);
        }
    }

    private void ask(long due) {
        long now = clock.now();
        deadlines.schedule(now + QUERY_INTERVAL_US, this::ask);
        asked.values().removeIf(q -> now - q.at() > 10 * ANSWER_TIMEOUT_US);
        boolean was = reached;
        reached = now - answeredAt < 2 * ANSWER_TIMEOUT_US;
        if (was != reached) {
            LOG.warn("name server {}", reached ? "reached again" : "out of reach: the last list stands");
        }
        query(null);
        askMore(now);
    }

    /** What the list lacks, a few at a time. */
    private void askMore(long now) {
        for (EdgeServerListUpdater.Question q = survey.nextQuestion(now); q != null; q = survey.nextQuestion(now)) {
            query(q);
        }
    }

    private void query(EdgeServerListUpdater.Question of) {
        int id = random.nextInt(1 << 16);
        asked.put(id, new PendingQuery(server, clock.now(), of));
        byte[] query = of == null ? Dns.query(id, SERVICE_NAME, Dns.SRV) : Dns.query(id, of.target(), of.type());
        channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(query), server));
    }

    private void answer(Answer a, InetSocketAddress from) throws Dns.MalformedMessageException {
        PendingQuery q = asked.get(a.id());
        if (q == null || !q.to().equals(from)) {
            LOG.debug("name server's answer to no query: from={} id={}", from, a.id());
            return;
        }
        String name = q.of() == null ? SERVICE_NAME : q.of().target();
        if (!a.question().equals(name) || a.type() != (q.of() == null ? Dns.SRV : q.of().type())) {
            throw new Dns.MalformedMessageException("answers another question than was asked: " + a.question());
        }
        asked.remove(a.id());
        if (a.responseCode() != 0 && (q.of() == null || a.responseCode() != Dns.NXDOMAIN)) {
            return; // its own trouble: asked again
        }
        answeredAt = clock.now();
        long before = list.serial();
        List<Server> changes = q.of() == null ? survey.applyListAnswer(a) : survey.applyRecordAnswer(q.of(), a);
        boolean whole = survey.isSettled();
        if (changes != null && (!changes.isEmpty() || whole && (list.serial() != before || !confirmed))) {
            confirmed |= whole;
            LOG.info(
                    "list of edge servers: number={} before={} changed={}{}",
                    list.serial(),
                    before,
                    changes.size(),
                    a.truncated() ? " cut" : "");
            listener.onUpdate(ListScope.CHANGES, changes, list.addresses());
        }
        askMore(clock.now());
    }
}
