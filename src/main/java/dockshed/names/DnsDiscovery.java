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
    private record PendingQuery(InetSocketAddress sentTo, long sentAt, EdgeServerListUpdater.Question question) {}

    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, SERVICE_NAME);
    private final Listener listener;
    private final Clock clock;
    private final TimerQueue timers;
    private InetSocketAddress nameServer;
    private final Random random;
    private final Map<Integer, PendingQuery> pendingQueries = new HashMap<>(); // by query number
    private Channel channel;
    private boolean listConfirmed;
    private boolean reachable = true;
    private long lastAnswerAt;

    public DnsDiscovery(Listener listener, Clock clock, TimerQueue deadlines, InetSocketAddress server, long seed) {
        this.listener = listener;
        this.clock = clock;
        this.timers = deadlines;
        this.nameServer = server;
        random = new Random(seed);
    }

    /** An event that the configuration holds. */
    public void applyConfigured(long number, ListScope scope, List<ListedServer> listings) {
        List<Server> news = list.applyConfigured(number, scope, listings);
        listener.onUpdate(scope, news, list.addresses());
    }

    /** Begins to ask the name server, from a port of the address given. */
    public void start(Net net, InetSocketAddress from) {
        lastAnswerAt = clock.now();
        ChannelFuture bound = net.bindDatagrams(from, new SimpleChannelInboundHandler<DatagramPacket>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                try {
                    handleAnswer(Dns.parse(Net.toBytes(packet.content())), packet.sender());
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
                queryList(clock.now());
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
        if (to.equals(nameServer)) {
            return;
        }
        LOG.info("name server moved: from={} to={} number={}", nameServer, to, list.serial());
        nameServer = to;
        updater.reset(); // what one server began the other does not finish
        pendingQueries
                .values()
                .removeIf(q -> q.question() != null); // one that is being shut down may say that it knows nobody
        if (channel != null && channel.isActive()) {
            sendQuery(null);
        }
    }

    private void queryList(long due) {
        long now = clock.now();
        timers.schedule(now + QUERY_INTERVAL_US, this::queryList);
        pendingQueries.values().removeIf(q -> now - q.sentAt() > 10 * ANSWER_TIMEOUT_US);
        boolean was = reachable;
        reachable = now - lastAnswerAt < 2 * ANSWER_TIMEOUT_US;
        if (was != reachable) {
            LOG.warn("name server {}", reachable ? "reached again" : "out of reach: the last list stands");
        }
        sendQuery(null);
        queryOpenQuestions(now);
    }

    /** What the list lacks, a few at a time. */
    private void queryOpenQuestions(long now) {
        for (EdgeServerListUpdater.Question q = updater.nextQuestion(now); q != null; q = updater.nextQuestion(now)) {
            sendQuery(q);
        }
    }

    private void sendQuery(EdgeServerListUpdater.Question of) {
        int id = random.nextInt(1 << 16);
        pendingQueries.put(id, new PendingQuery(nameServer, clock.now(), of));
        byte[] query = of == null ? Dns.query(id, SERVICE_NAME, Dns.SRV) : Dns.query(id, of.target(), of.type());
        channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(query), nameServer));
    }

    private void handleAnswer(Answer a, InetSocketAddress from) throws Dns.MalformedMessageException {
        PendingQuery q = pendingQueries.get(a.id());
        if (q == null || !q.sentTo().equals(from)) {
            LOG.debug("name server's answer to no query: from={} id={}", from, a.id());
            return;
        }
        String name = q.question() == null ? SERVICE_NAME : q.question().target();
        if (!a.question().equals(name)
                || a.type() != (q.question() == null ? Dns.SRV : q.question().type())) {
            throw new Dns.MalformedMessageException("answers another question than was asked: " + a.question());
        }
        pendingQueries.remove(a.id());
        if (a.responseCode() != 0 && (q.question() == null || a.responseCode() != Dns.NXDOMAIN)) {
            return; // its own trouble: asked again
        }
        lastAnswerAt = clock.now();
        long before = list.serial();
        List<Server> changes =
                q.question() == null ? updater.applyListAnswer(a) : updater.applyRecordAnswer(q.question(), a);
        boolean whole = updater.isSettled();
        if (changes != null && (!changes.isEmpty() || whole && (list.serial() != before || !listConfirmed))) {
            listConfirmed |= whole;
            LOG.info(
                    "list of edge servers: number={} before={} changed={}{}",
                    list.serial(),
                    before,
                    changes.size(),
                    a.truncated() ? " cut" : "");
            listener.onUpdate(ListScope.CHANGES, changes, list.addresses());
        }
        queryOpenQuestions(clock.now());
    }
}
