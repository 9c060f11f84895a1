package dockshed.names;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.core.TimerQueue;
import dockshed.names.Dns.Answer;
import dockshed.names.RecordQuestions.Question;
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
 * Keeps the list of edge servers up to date: first as the configuration has it, then from a name server (DNS over UDP)
 * that is queried periodically. While the name server is unreachable the last list stays in force.
 */
public final class DnsDiscovery {
    /** The name whose SRV records are the edge servers. */
    static final String SERVICE_NAME = "_work._tcp.fleet.local";

    static final long QUERY_INTERVAL_US = 250_000;
    /** After this long without any answer the name server counts as unreachable. */
    private static final long UNREACHABLE_AFTER_US = 2_000_000;
    /** An answer that comes later than this after its query does not count. */
    static final long LATE_ANSWER_LIMIT_US = 10_000_000;

    /** The logger keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.names.Names");

    /** Receives the changes of the list. */
    public interface Listener {
        /**
         * {@code servers} are those that {@code scope} says; {@code addresses} holds every server that is listed now.
         */
        void onUpdate(ListScope scope, List<Server> servers, Map<String, InetSocketAddress> addresses);
    }

    /** A query without an answer yet; {@code question} is null where it asks for the whole list. */
    private record PendingQuery(InetSocketAddress sentTo, long sentAt, Question question) {}

    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, SERVICE_NAME);
    private final Listener listener;
    private final Clock clock;
    private final TimerQueue timers;
    private InetSocketAddress nameServer;
    private final Random random;
    private final Map<Integer, PendingQuery> pendingQueries = new HashMap<>(); // by query number
    private Channel channel;
    private boolean listConfirmed; // by a complete answer of the name server
    private boolean reachable = true;
    private long lastAnswerAt;

    public DnsDiscovery(Listener listener, Clock clock, TimerQueue timers, InetSocketAddress nameServer, long seed) {
        this.listener = listener;
        this.clock = clock;
        this.timers = timers;
        this.nameServer = nameServer;
        random = new Random(seed);
    }

    /** Applies a change of the list that the configuration holds. */
    public void applyConfigured(long number, ListScope scope, List<ListedServer> servers) {
        List<Server> changes = list.applyConfigured(number, scope, servers);
        listener.onUpdate(scope, changes, list.addresses());
    }

    /** Starts to query the name server, from a port of the given local address. */
    public void start(Net net, InetSocketAddress from) {
        lastAnswerAt = clock.now();
        ChannelFuture bound = net.bindDatagrams(from, new SimpleChannelInboundHandler<DatagramPacket>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                try {
                    handleAnswer(Dns.parse(Net.toBytes(packet.content())), packet.sender());
                } catch (Dns.MalformedMessageException e) {
                    LOG.warn("malformed answer from name server: why={}", e.getMessage());
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
                        "name server cannot be queried, no local socket: from={} why={}",
                        from,
                        done.cause().toString());
            }
        });
    }

    /** Switches to another address of the name server and queries it at once; serial numbers continue. */
    public void changeServer(InetSocketAddress to) {
        if (to.equals(nameServer)) {
            return;
        }
        LOG.info("name server moved: from={} to={} number={}", nameServer, to, list.serial());
        nameServer = to;
        updater.reset(); // the new server does not continue what the old one began
        // The old server may be shutting down and answer that it knows no such name.
        pendingQueries.values().removeIf(q -> q.question() != null);
        if (channel != null && channel.isActive()) {
            sendQuery(null);
        }
    }

    private void queryList(long due) {
        long now = clock.now();
        timers.schedule(now + QUERY_INTERVAL_US, this::queryList);
        pendingQueries.values().removeIf(q -> now - q.sentAt() > LATE_ANSWER_LIMIT_US);
        boolean wasReachable = reachable;
        reachable = now - lastAnswerAt < UNREACHABLE_AFTER_US;
        if (wasReachable != reachable) {
            LOG.warn("name server {}", reachable ? "reached again" : "unreachable, the last list stays in force");
        }
        sendQuery(null);
        queryOpenQuestions(now);
    }

    /** Asks for records that the list lacks, a few at a time. */
    private void queryOpenQuestions(long now) {
        for (Question question = updater.nextQuestion(now); question != null; question = updater.nextQuestion(now)) {
            sendQuery(question);
        }
    }

    /** Sends a query for the question, or for the whole list where it is null. */
    private void sendQuery(Question question) {
        int id = random.nextInt(1 << 16);
        pendingQueries.put(id, new PendingQuery(nameServer, clock.now(), question));
        byte[] query = question == null
                ? Dns.query(id, SERVICE_NAME, Dns.SRV)
                : Dns.query(id, question.target(), question.type());
        channel.writeAndFlush(new DatagramPacket(Net.toByteBuf(query), nameServer));
    }

    private void handleAnswer(Answer answer, InetSocketAddress from) throws Dns.MalformedMessageException {
        PendingQuery query = pendingQueries.get(answer.id());
        if (query == null || !query.sentTo().equals(from)) {
            LOG.debug("name server's answer matches no query: from={} id={}", from, answer.id());
            return;
        }
        String name = query.question() == null ? SERVICE_NAME : query.question().target();
        if (!answer.question().equals(name)
                || answer.type()
                        != (query.question() == null
                                ? Dns.SRV
                                : query.question().type())) {
            throw new Dns.MalformedMessageException(
                    "expected an answer to the question asked, got one to " + answer.question());
        }
        pendingQueries.remove(answer.id());
        if (query.question() == null && answer.responseCode() != Dns.NO_ERROR) {
            return; // an error of the server: the next query asks again
        }
        if (!answer.isWhole()) {
            LOG.debug(
                    "incomplete answer from name server: name={} type={} truncated={} code={}",
                    name,
                    answer.type(),
                    answer.truncated(),
                    answer.responseCode());
        }
        long now = clock.now();
        if (!answer.isFailure()) {
            lastAnswerAt = now;
        }
        long serialBefore = list.serial();
        List<Server> changes = query.question() == null
                ? updater.applyListAnswer(answer, now)
                : updater.applyRecordAnswer(query.question(), answer, now);
        boolean settled = updater.isSettled();
        if (changes != null && (!changes.isEmpty() || settled && (list.serial() != serialBefore || !listConfirmed))) {
            listConfirmed |= settled;
            LOG.info(
                    "list of edge servers: number={} before={} changed={}{}",
                    list.serial(),
                    serialBefore,
                    changes.size(),
                    answer.truncated() ? " cut" : "");
            listener.onUpdate(ListScope.CHANGES, changes, list.addresses());
        }
        queryOpenQuestions(clock.now());
    }
}
