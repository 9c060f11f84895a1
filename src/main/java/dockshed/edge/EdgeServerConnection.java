package dockshed.edge;

import dockshed.Director.LoadReport;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.net.Clock;
import dockshed.net.InputBudget;
import dockshed.net.MessageHandler;
import dockshed.net.Net;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an edge server and the set-ups assigned to it. What happens on it is reported to the pool that it
 * belongs to, which alone opens and closes connections. Runs on the event loop's thread only. Times are Unix times and
 * durations in microseconds.
 */
final class EdgeServerConnection extends MessageHandler implements ServerMessages.Source {
    /** Told by its connections what happens on them. */
    interface Listener {
        /** The connection has come up; nothing was sent on it yet. */
        void onConnected(EdgeServerConnection connection);

        /** The connection has not come up. */
        void onConnectFailed(EdgeServerConnection connection, Throwable cause);

        /** Something has been received and is about to be interpreted. */
        void onReceived(EdgeServerConnection connection);

        /** Something malformed has been received: message boundaries can no longer be trusted. */
        void onMalformed(EdgeServerConnection connection);

        /** The connection was closed by the server, or has broken ({@code reset}). */
        void onDisconnected(EdgeServerConnection connection, boolean reset);

        /** The connection is about to end, for whatever reason; called once. */
        void onEnding(EdgeServerConnection connection);
    }

    /** What the connections of a pool share. */
    record Context(
            Broker broker,
            Net net,
            Clock clock,
            EdgeServerConnections.Options options,
            ServerMessages messages,
            Listener listener) {}

    /** A set-up that is assigned to a connection and not answered yet. */
    static final class PendingSetUp {
        byte[] bytes; // null once handed over
        boolean handedOver; // to the channel, which may still buffer it
        boolean written; // completely, to the operating system
        long handedOverAt = Long.MAX_VALUE;

        PendingSetUp(byte[] bytes) {
            this.bytes = bytes;
        }
    }

    /**
     * Before the server may close a connection as idle, it is not used for a set-up for this long, or for a quarter of
     * the idle timeout where that is shorter: a set-up written just then would be lost.
     */
    private static final long IDLE_CLOSE_MARGIN_US = 3_000_000;
    /** A connection unused for the idle timeout divided by this is closed along with one that reaches the timeout. */
    private static final int LITTLE_USED_IDLE_DIVISOR = 2;
    /**
     * A connection with a message still incomplete after this time is closed; one that stays silent for this time after
     * a set-up is not used for another one.
     */
    private static final long STUCK_TIMEOUT_US = 200_000;

    /** The logger of the whole package keeps its earlier name, by which operators filter log lines. */
    private static final Logger LOG = LoggerFactory.getLogger("dockshed.edge.Edges");

    private final Context context;
    final ServerEntry entry;
    /** Set-ups by session, in the order in which they were assigned. */
    final Map<String, PendingSetUp> pending = new LinkedHashMap<>();

    private final LineDecoder decoder = new LineDecoder(EdgeServerConnections.MAX_LINE_BYTES);
    private final InputBudget.Account memory;
    Channel channel;
    boolean connected;
    boolean ended;
    boolean retired; // silent after a set-up: not used for another one
    boolean unconfirmed; // silent for long and a newer connection was opened: not used until something arrives
    final long openedAt;
    long lastUsedAt;
    private long lastReceivedAt;
    final boolean recoversReleases; // the server sends releases again on it that may have been lost

    EdgeServerConnection(ServerEntry entry, Context context) {
        super(context.net().inputLimits().turns());
        this.entry = entry;
        this.context = context;
        memory = context.net().inputLimits().memory().open(this::dropMessage);
        openedAt = context.clock().now();
        lastUsedAt = openedAt;
        lastReceivedAt = openedAt;
        recoversReleases = entry.releaseRecovery.connectionOpening();
    }

    /** The lowest is closed first to free a descriptor; 2: the only connection to a server with sessions. */
    int closePriority() {
        return !entry.hasSessions ? 0 : entry.connections.size() > 1 ? 1 : 2;
    }

    /**
     * Whether the connection is down and {@link #onClosed} is still to be called. When a process dies, the system
     * resets all its connections at once, but they are reported one after the other: further attempts of the first
     * one's set-ups must not be sent on the others.
     */
    boolean isDead() {
        return connected && !channel.isActive();
    }

    /** Whether the connection is idle and the server is about to close it. */
    boolean nearIdleClose(long now) {
        return connected
                && pending.isEmpty()
                && now - lastUsedAt
                        > context.options().idleTimeout()
                                - Math.min(
                                        IDLE_CLOSE_MARGIN_US, context.options().idleTimeout() / 4);
    }

    /** Whether the connection has carried nothing for a good part of the idle timeout. */
    boolean isLittleUsed(long now) {
        return connected
                && pending.isEmpty()
                && now - lastUsedAt > context.options().idleTimeout() / LITTLE_USED_IDLE_DIVISOR;
    }

    /** Whether nothing has arrived since the set-up was sent, or only part of a message. */
    boolean isStuck(PendingSetUp attempt) {
        return decoder.hasPartialLine()
                || attempt.written
                        && attempt.handedOverAt > lastReceivedAt
                        && context.clock().now() - attempt.handedOverAt > STUCK_TIMEOUT_US;
    }

    /** Whether a message has been incomplete for too long. */
    boolean isStuckWithinMessage(long now) {
        return decoder.hasPartialLine() && now - lastUsedAt > STUCK_TIMEOUT_US;
    }

    /** Whether it is retired, carries no set-up any more, and has not been used for a while. */
    boolean isSilentAndUnused(long now) {
        return retired && pending.isEmpty() && now - lastUsedAt > STUCK_TIMEOUT_US;
    }

    /** Begins to connect; the result is reported later, or at once where no socket can be opened. */
    void connect() {
        ChannelFuture connecting =
                context.net().connect(entry.address, (int) (context.options().connectTimeout() / 1000), () -> this);
        channel = connecting.channel();
        context.net().whenDone(connecting, done -> {
            if (ended) {
                channel.close();
            } else if (done.isSuccess()) {
                onConnected();
            } else {
                context.listener().onConnectFailed(this, done.cause());
            }
        });
    }

    private void onConnected() {
        connected = true;
        context.listener().onConnected(this);
        lastUsedAt = context.clock().now();
        for (Message message = entry.queuedMessages.poll(); message != null; message = entry.queuedMessages.poll()) {
            send(message);
        }
        writePending();
    }

    /**
     * Hands the pending set-ups over to the channel, one at a time while the server reads. One that the server no
     * longer accepts, because it began to drain or its process ended in the meantime, is ended as not sent.
     */
    void writePending() {
        for (Map.Entry<String, PendingSetUp> nameAndSetUp : List.copyOf(pending.entrySet())) {
            if (!connected || isDead()) {
                return; // closing the connection ends whatever is still pending
            }
            PendingSetUp attempt = nameAndSetUp.getValue();
            if (attempt.handedOver || pending.get(nameAndSetUp.getKey()) != attempt) {
                continue;
            }
            if (!mayBeSent()) {
                pending.remove(nameAndSetUp.getKey());
                context.broker().trace().add(context.clock().now(), nameAndSetUp.getKey(), "held-back", entry.id);
                context.broker()
                        .ended(context.clock().now(), entry.id, nameAndSetUp.getKey(), Outcome.MOOT, LoadReport.NONE);
            } else if (Net.hasUnwrittenBytes(channel)) {
                return; // continued once that is written
            } else {
                writeSetUp(attempt);
            }
        }
    }

    /** Whether the server still accepts set-ups, and its process listens at the address. */
    private boolean mayBeSent() {
        long now = context.clock().now();
        return context.broker().acceptsSetUp(now, entry.id) && !entry.processEnd.isProcessUnknown(now);
    }

    /**
     * Closes the channel and ends the pending set-ups. One that was written completely may have run; any other did
     * not, and ends as {@code outcomeIfUnwritten}, or as not sent where that is RESET.
     */
    void end(Outcome outcomeIfUnwritten) {
        if (!ended) {
            context.listener().onEnding(this);
        }
        ended = true;
        connected = false;
        memory.close();
        if (channel != null && channel.isRegistered()) { // otherwise it never had a socket
            channel.close();
        }
        Map<String, PendingSetUp> unfinished = new LinkedHashMap<>(pending);
        pending.clear();
        unfinished.forEach((name, attempt) -> {
            Outcome end = attempt.written
                    ? Outcome.RESET
                    : outcomeIfUnwritten == Outcome.RESET ? Outcome.MOOT : outcomeIfUnwritten;
            context.broker().trace().add(context.clock().now(), name, end.name(), entry.id);
            context.broker().ended(context.clock().now(), entry.id, name, end, LoadReport.NONE);
        });
    }

    void writeSetUp(PendingSetUp attempt) {
        lastUsedAt = context.clock().now();
        attempt.handedOverAt = lastUsedAt;
        attempt.handedOver = true;
        ByteBuf message = Net.toByteBuf(attempt.bytes);
        attempt.bytes = null;
        writePendingAfter(channel.writeAndFlush(message).addListener(done -> attempt.written |= done.isSuccess()));
    }

    @Override
    public String serverId() {
        return entry.id;
    }

    @Override
    public boolean hasPendingSetUp(String id) {
        return pending.containsKey(id);
    }

    @Override
    public boolean removePendingSetUp(String id) {
        return pending.remove(id) != null;
    }

    @Override
    public void send(Message message) {
        lastUsedAt = context.clock().now();
        writePendingAfter(channel.writeAndFlush(Net.toByteBuf(message.encode().getBytes(StandardCharsets.UTF_8))));
    }

    /** If the write is not done yet, continues with the pending set-ups once it is. */
    private void writePendingAfter(ChannelFuture write) {
        if (!write.isDone()) {
            write.addListener(done -> writePending());
        }
    }

    @Override
    protected boolean discardsInput(int byteCount) {
        return ended;
    }

    @Override
    protected void append(byte[] bytes) {
        lastUsedAt = context.clock().now();
        lastReceivedAt = lastUsedAt;
        entry.lastReceivedAt = lastUsedAt;
        unconfirmed = false;
        context.listener().onReceived(this);
        decoder.add(bytes);
    }

    @Override
    protected boolean hasInput() {
        return decoder.hasPartialLine();
    }

    @Override
    protected boolean handleNext() {
        if (ended) {
            return false;
        }
        try {
            String line = decoder.next();
            if (line == null) {
                memory.setIncomplete(decoder.incompleteBytes());
                return false;
            }
            memory.setIncomplete(0); // what follows is another message
            if (!line.isBlank()) {
                context.messages().handle(this, Message.parse(line));
            }
        } catch (LineDecoder.InvalidLineException | Message.MalformedMessageException e) {
            LOG.warn(
                    "malformed message from edge server: id={} open={} why={}",
                    entry.id,
                    pending.size(),
                    e.getMessage());
            context.listener().onMalformed(this);
        }
        return !ended;
    }

    /** There is no memory for the rest of a message: the messages after it cannot be told apart any more. */
    private void dropMessage() {
        LOG.warn("message from edge server dropped, too many are incomplete: id={} open={}", entry.id, pending.size());
        context.listener().onMalformed(this);
    }

    @Override
    protected void onClosed(ChannelHandlerContext ctx, boolean reset) {
        handleRemaining();
        if (ended) {
            return;
        }
        LOG.info(
                "connection to edge server closed: id={} reset={} open={} sessions={}",
                entry.id,
                reset,
                pending.size(),
                entry.hasSessions);
        context.listener().onDisconnected(this, reset);
    }

    /** Reading continues while writes are blocked: what the server sends is what unblocks it. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {}
}
