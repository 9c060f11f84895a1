package dockshed.edge;

import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.core.Broker;
import dockshed.core.ProbeCoordinator;
import dockshed.core.ServerAdapter;
import dockshed.core.TimerQueue;
import dockshed.net.ByteHandler;
import dockshed.net.Clock;
import dockshed.net.Net;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The edge servers, over JSON lines. A few lines (connections) lead to a server, so that what spoils one seldom costs
 * more than the set-up that is out on it; one at least is kept while sessions stand there, since news of them comes on
 * any. The adapter finds out that a server's process is gone: new connections are refused again and again, or do not
 * come up. A line that breaks proves nothing: connections are reset under living processes too.
 */
public final class Edges implements ServerAdapter {
    static final int LINE_LIMIT = 16 * 1024;
    /** A connection is not used for a set-up so shortly before the server may close it as idle, a quarter of that at most. */
    private static final long IDLE_MARGIN = 3_000_000;
    /** An id given up at a server does not go there again for so long: what comes of the first could not be told apart. */
    private static final long GIVEN_UP = 5_000_000;
    /** How often in a row a connection to a server with sessions must fail to come up, and the time between. */
    private static final int LOST_AFTER = 2;

    private static final long RETRY = 300_000;
    /** Lines to one server at most: set-ups out at the same time are fewer, and descriptors are scarce. */
    static final int MOST_LINES = 4;
    /** A message that is not whole by then will not be; a set-up unanswered for so long on a mute line casts doubt. */
    private static final long STUCK = 200_000;

    private static final long LOOK = 500_000;
    /** From so many servers with sessions on, all falling silent at once means that reports stay out, not that all died. */
    private static final int MANY = 4;

    private static final int BACKLOG = 1000;
    /** Lines a look that change hands where there are fewer than servers with sessions. */
    private static final int TURNS = 4;
    /** No figure of a note or report is higher: a server runs fewer streams, and asks less of its link. */
    private static final double MOST = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(Edges.class);

    /** The figures of the settings that bear on the connections; times in microseconds, {@code lines} at most in all. */
    public record Terms(
            long connectTimeout, long idleClose, long tell, long see, List<String> reportFields, int lines) {}

    /** A server and the lines to it, the longest in use first. */
    private final class Box {
        final String id;
        InetSocketAddress at;
        final List<Line> lines = new ArrayList<>();
        boolean hold;
        int failures; // connections in a row that did not come up
        long heardAt; // when it last wrote
        long triedAt; // when a connection was last begun for its sessions' sake
        long suspect = -1; // since when it is not known whether its process is there; -1: it is
        final ArrayDeque<Message> owed = new ArrayDeque<>(); // releases for when a line is up again
        final LinkedHashMap<String, Long> givenUp = new LinkedHashMap<>(); // ids, the oldest first, BACKLOG at most

        Box(String id) {
            this.id = id;
        }
    }

    private static final class Pending {
        final byte[] text;
        boolean handed; // given to the connection, which may still hold it
        boolean written; // all of it has left
        long at = Long.MAX_VALUE; // when it was handed over

        Pending(byte[] text) {
            this.text = text;
        }
    }

    private final Broker broker;
    private final Net net;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Terms terms;
    private final ProbeCoordinator finder;
    private final Map<String, Box> boxes = new HashMap<>();
    private final Set<Line> toWrite = new LinkedHashSet<>(); // at the end of this turn of the loop
    private int mostLines = 1;
    private int all; // lines to all servers, those not up yet too
    private boolean oddReport; // told once
    private long notedAt; // when a server last wrote a note
    private long unreachedAt = -TimerQueue.NEVER / 2; // when a server with sessions last did not come up
    private long testedAt = -TimerQueue.NEVER / 2; // when one was last tried in the silence of all

    public Edges(Broker broker, Net net, Clock clock, TimerQueue deadlines, Terms terms) {
        this(broker, net, clock, deadlines, terms, ProbeCoordinator.STANDALONE);
    }

    /** {@code finder}: says which broker finds out about a server that may be gone. */
    public Edges(Broker broker, Net net, Clock clock, TimerQueue deadlines, Terms terms, ProbeCoordinator finder) {
        this.finder = finder;
        this.broker = broker;
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.terms = terms;
        deadlines.schedule(clock.now() + LOOK, this::lookAround);
    }

    /** Where the servers listen, as far as they are listed; the others are forgotten once nothing is left there. */
    public void addresses(Map<String, InetSocketAddress> listed) {
        listed.forEach((id, at) -> {
            Box b = boxes.computeIfAbsent(id, Box::new);
            if (!at.equals(b.at)) {
                b.at = at;
                drop(b);
                if (b.hold) {
                    connect(b);
                }
            }
        });
        for (Box b : new ArrayList<>(boxes.values())) {
            if (!listed.containsKey(b.id) && !b.hold && b.lines.stream().allMatch(l -> l.open.isEmpty())) {
                drop(b);
                boxes.remove(b.id);
            }
        }
        mostLines = Math.max(1, Math.min(MOST_LINES, terms.lines() / 2 / Math.max(1, boxes.size())));
    }

    /** The list tells that the process is gone: so are its sessions. */
    public void gone(String server) {
        Box b = boxes.get(server);
        if (b != null) {
            drop(b);
            cleared(b);
        }
        broker.serverLost(clock.now(), this, server, clock.now());
    }

    /** The list tells that the process was started anew: older sessions are over, older lines lead nowhere. */
    public void reborn(String server, long since) {
        Box b = boxes.get(server);
        if (b != null) {
            b.failures = 0;
            for (Line l : List.copyOf(b.lines)) {
                if (l.begunAt < since) {
                    drop(l);
                }
            }
        }
        broker.serverLost(clock.now(), this, server, since);
        if (b != null && b.hold) {
            connect(b);
        }
    }

    // ---- From the broker.

    @Override
    public void setUp(String server, SetUp s) {
        Box b = boxes.get(server);
        if (b == null || b.at == null) {
            moot(server, s.name());
            return;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", s.className());
        fields.put("key", s.title());
        fields.put("left", Long.toString(Math.max(1, s.answerTimeout() / 1000)));
        fields.put("rung", Integer.toString(s.highestRendition()));
        byte[] text = new Message("setup", s.name(), fields, -1, s.description())
                .write()
                .getBytes(StandardCharsets.UTF_8);
        if (text.length > LINE_LIMIT) {
            LOG.warn("set-up held back: server={} bytes={} why=no server reads so long a line", server, text.length);
            moot(server, s.name());
            return;
        }
        b.givenUp.values().removeIf(at -> clock.now() - at > GIVEN_UP);
        if (b.givenUp.containsKey(s.name())) {
            broker.trace().add(clock.now(), s.name(), "held-back", server);
            LOG.info("set-up held back: server={} why=given up there just now: session={}", server, s.name());
            moot(server, s.name());
            return;
        }
        Line line = usable(b);
        if (line == null) { // no descriptor was to be had, which says nothing of the server
            LOG.warn("set-up held back: server={} why=no descriptor for a line: lines={}", server, all);
            moot(server, s.name());
            return;
        }
        if (line.open.size() >= BACKLOG || line.up && Net.unwritten(line.channel)) {
            broker.trace().add(clock.now(), s.name(), "held-back", server);
            LOG.warn("set-up held back: server={} open={} why=server does not read", server, line.open.size());
            moot(server, s.name());
            return;
        }
        LOG.debug(
                "set-up out: session={} server={} left={} line={}",
                s.name(),
                server,
                s.answerTimeout(),
                line.up ? "up" : "new");
        broker.trace().add(clock.now(), s.name(), line.up ? "out" : "out-on-new-line", server);
        Pending p = new Pending(text);
        line.open.put(s.name(), p);
        if (line.up) {
            written(line);
        }
    }

    /** A set-up has come to nothing, and provably never left. */
    private void moot(String server, String name) {
        broker.ended(clock.now(), server, name, Outcome.MOOT, LoadReport.NONE);
    }

    /**
     * Set-ups leave at the end of the loop's turn, once all that had come has been read: a viewer's going, or the news of a
     * drain, that lay unread beside what caused them takes them back.
     */
    private void written(Line line) {
        if (toWrite.isEmpty()) {
            net.loop().execute(() -> {
                List<Line> now = List.copyOf(toWrite);
                toWrite.clear();
                now.forEach(Line::writeWaiting);
            });
        }
        toWrite.add(line);
    }

    @Override
    public void cancelSetUp(String server, String name) {
        LOG.debug("set-up given up: session={} server={}", name, server);
        Box b = boxes.get(server);
        if (b == null) {
            return;
        }
        for (Line l : List.copyOf(b.lines)) {
            Pending p = l.open.remove(name);
            if (p != null) {
                broker.trace().add(clock.now(), name, "given-up", server);
            }
            if (p == null || !l.up || !p.handed) {
                continue;
            }
            if (b.givenUp.size() >= BACKLOG) {
                b.givenUp.remove(b.givenUp.keySet().iterator().next());
            }
            b.givenUp.put(name, clock.now());
            if (!p.written) { // it would still leave whenever the server reads again
                LOG.warn("line to edge server dropped: id={} why=does not read what was given up", b.id);
                drop(l);
                keep(b);
                continue;
            }
            // Told even where nothing else comes: an answer may cross with it, and its session would stand unheard of.
            l.send(new Message("release", name, Map.of(), 16, null));
            l.retired |= l.stuck(p);
        }
    }

    @Override
    public void release(String server, String name) {
        Box b = boxes.get(server);
        if (b == null) {
            return;
        }
        tell(b, new Message("release", name, Map.of(), 31, null));
    }

    /** Sends at once, or once a line is up. */
    private void tell(Box b, Message m) {
        Line up = b.lines.stream()
                .filter(l -> l.up && !l.dead())
                .max(Comparator.comparing((Line l) -> !l.doubted))
                .orElse(null);
        if (up != null) {
            up.send(m);
        } else if (b.owed.size() < BACKLOG) {
            b.owed.add(m);
            connect(b);
        }
    }

    @Override
    public void setRendition(String server, String name, int rung) {
        Box b = boxes.get(server);
        if (b == null) {
            return;
        }
        tell(b, new Message("rate", name, Map.of("rung", Integer.toString(rung)), -1, null));
    }

    @Override
    public void setHasActiveSessions(String server, boolean sessions) {
        Box b = boxes.computeIfAbsent(server, Box::new);
        b.hold = sessions;
        if (sessions) {
            b.heardAt = clock.now();
            connect(b);
        }
    }

    // ---- Lines.

    /** Lines to all servers, for tests. */
    public int lines() {
        return boxes.values().stream().mapToInt(b -> b.lines.size()).sum();
    }

    /** The line for a set-up: a free one, the longest in use first, else a new one, else the least burdened. */
    private Line usable(Box b) {
        long now = clock.now();
        Line best = null;
        for (Line l : List.copyOf(b.lines)) {
            if (l.nearIdleClose(now)) {
                drop(l);
            } else if (l.retired || l.doubted || l.dead()) {
                continue;
            } else if (best == null
                    || l.open.size() < best.open.size()
                    || l.up && !best.up && l.open.size() == best.open.size()) {
                best = l;
            }
        }
        if (best == null && b.lines.size() > mostLines) {
            Line newest = b.lines.get(b.lines.size() - 1); // none is above doubt
            best = newest.dead() ? null : newest;
        }
        return best == null || !best.open.isEmpty() && b.lines.size() < mostLines ? begin(b) : best;
    }

    private Line begin(Box b) {
        if (b.at == null || all >= terms.lines() && !spare(false)) {
            return null;
        }
        Line l = new Line(b);
        b.lines.add(l);
        all++;
        l.start();
        return l.over ? null : l;
    }

    private void connect(Box b) {
        if (b.lines.isEmpty() && b.at != null && mayTry(b) && (all < terms.lines() || spare(true))) {
            b.triedAt = clock.now();
            begin(b);
        }
    }

    /** Accepting or connecting failed for want of descriptors: lets one go that is idle. */
    public void makeRoom() {
        spare(false);
    }

    /**
     * Ends the line that is missed least: the longest unused one of a server without sessions, then one of several,
     * then, unless {@code kept}, the only one of a server with sessions; none with a set-up out or not up yet.
     */
    private boolean spare(boolean kept) {
        Line least = null;
        for (Box b : boxes.values()) {
            for (Line l : b.lines) {
                if (l.up
                        && l.open.isEmpty()
                        && !(kept && l.sort() == 2)
                        && (least == null
                                || l.sort() < least.sort()
                                || l.sort() == least.sort() && l.usedAt < least.usedAt)) {
                    least = l;
                }
            }
        }
        if (least != null) {
            LOG.debug("line ended to make room: id={} lines={}", least.box.id, all);
            drop(least);
        }
        return least != null;
    }

    /**
     * Where there are more servers with sessions than lines, those without one take turns: an end that could not be
     * sent comes on the next line that is opened.
     */
    private void takeTurns() {
        if (all < terms.lines()) {
            return;
        }
        List<Box> without = boxes.values().stream()
                .filter(b -> b.hold && b.at != null && b.lines.isEmpty())
                .sorted(Comparator.comparingLong(b -> b.triedAt))
                .limit(TURNS)
                .toList();
        for (Box b : without) {
            if (spare(false)) {
                b.triedAt = clock.now();
                begin(b);
            }
        }
    }

    // ---- Whether a process is there.

    private void suspect(Box b) {
        if (b.suspect < 0) {
            b.suspect = clock.now();
            finder.suspicionChanged(b.id, true);
        }
    }

    private void cleared(Box b) {
        if (b.suspect >= 0) {
            b.suspect = -1;
            finder.suspicionChanged(b.id, false);
        }
    }

    /** Whether a line may be begun to find out; does what others' words say of it. */
    private boolean mayTry(Box b) {
        if (b.suspect < 0) {
            return true;
        }
        switch (finder.decide(
                clock.now(), b.id, new ProbeCoordinator.Suspicion(b.suspect, b.heardAt, b.triedAt, b.failures))) {
            case DOWN -> {
                LOG.info("edge server down as others found, too: id={} ms={}", b.id, (clock.now() - b.suspect) / 1000);
                lost(b);
                return false;
            }
            case WAIT -> {
                return false;
            }
            default -> {
                return true;
            }
        }
    }

    /** The process is gone: so are its sessions. */
    private void lost(Box b) {
        b.failures = 0;
        drop(b);
        cleared(b);
        broker.serverLost(clock.now(), this, b.id, clock.now());
    }

    /** One line is kept up where sessions stand; a server that ends each at once is not tried all the time. */
    private void keep(Box b) {
        if (b.hold && b.lines.isEmpty()) {
            if (clock.now() - b.triedAt >= RETRY) {
                connect(b);
            } else {
                again(b);
            }
        }
    }

    private void again(Box b) {
        deadlines.schedule(clock.now() + RETRY, t -> {
            if (b.hold
                    && boxes.get(b.id) == b
                    && b.at != null
                    && b.lines.stream().allMatch(l -> l.doubted)) {
                if (mayTry(b)) {
                    b.triedAt = clock.now();
                    begin(b);
                } else if (b.suspect >= 0) {
                    again(b);
                }
            }
        });
    }

    private void drop(Box b) {
        List.copyOf(b.lines).forEach(this::drop);
    }

    /** Ends the line; what was out on it is over. */
    private void drop(Line l) {
        l.box.lines.remove(l);
        l.end(Outcome.RESET);
    }

    /** Every half second: lines that the server would soon close as idle are ended or renewed, those stuck dropped. */
    private void lookAround(long due) {
        long now = clock.now();
        deadlines.schedule(now + LOOK, this::lookAround);
        for (Box b : List.copyOf(boxes.values())) {
            for (Line l : List.copyOf(b.lines)) {
                if (l.nearIdleClose(now) || l.retired && l.open.isEmpty() && now - l.usedAt > STUCK) {
                    drop(l);
                } else if (l.decoder.midway() && now - l.usedAt > STUCK) {
                    LOG.warn("line to edge server dropped: id={} why=message not finished", b.id);
                    drop(l);
                }
            }
            if (b.hold) {
                connect(b);
            }
        }
        takeTurns();
        tryTheSilent(now);
    }

    /**
     * A server that has sessions but said nothing for longer than its reports may take is tried with one more line.
     * Where no server reports any more, only one is tried at a time, until one does not come up: reports can stay out
     * everywhere, and every broker of a large fleet would shake hands with every server over it.
     */
    private void tryTheSilent(long now) {
        if (terms.tell() <= 0) {
            return;
        }
        long limit = terms.tell() + terms.see() + 500_000;
        List<Box> held = boxes.values().stream().filter(b -> b.hold).toList();
        List<Box> silent = held.stream()
                .filter(b -> now - b.heardAt > limit
                        && !b.lines.isEmpty()
                        && b.lines.stream().allMatch(l -> l.up && l.open.isEmpty()))
                .sorted(Comparator.comparingLong(b -> b.heardAt))
                .toList();
        if (silent.isEmpty()) {
            return;
        }
        if (held.size() >= MANY && now - notedAt > limit / 2 && now - unreachedAt > limit) {
            if (now - testedAt <= limit) {
                return;
            }
            testedAt = now;
            silent = silent.subList(0, 1);
            LOG.info("no edge server reports: held={} ms={}", held.size(), (now - notedAt) / 1000);
        }
        for (Box b : silent) {
            suspect(b);
            if (!mayTry(b)) {
                continue;
            }
            LOG.info("edge server silent: id={} ms={}", b.id, (now - b.heardAt) / 1000);
            b.heardAt = now;
            b.triedAt = now;
            if (b.lines.size() > mostLines) {
                drop(b.lines.get(0)); // silent through two of these
            }
            // The others stay: what a server is just writing on one would be lost with it, an end of a session too.
            b.lines.forEach(l -> l.doubted = true);
            begin(b);
        }
    }

    private final class Line extends ByteHandler {
        final Box box;
        final Map<String, Pending> open = new LinkedHashMap<>();
        private final LineDecoder decoder = new LineDecoder(LINE_LIMIT);
        Channel channel;
        boolean up;
        boolean over;
        boolean retired; // silent after a set-up, not used for another
        boolean doubted; // silent for long, and a newer line was begun: not used until it speaks
        final long begunAt = clock.now();
        long usedAt = begunAt;
        private long heardAt = begunAt;

        Line(Box box) {
            this.box = box;
        }

        /** What goes first where room is needed. */
        int sort() {
            return !box.hold ? 0 : box.lines.size() > 1 ? 1 : 2;
        }

        /**
         * Whether the connection is down and its close is still to be told. When a process dies, the system resets all
         * lines to it at once and they are told one after the other: what the first one's set-ups do next must not go
         * out on the others.
         */
        boolean dead() {
            return up && !channel.isActive();
        }

        boolean nearIdleClose(long now) {
            return up
                    && open.isEmpty()
                    && now - usedAt > terms.idleClose() - Math.min(IDLE_MARGIN, terms.idleClose() / 4);
        }

        /** Whether nothing has come since the set-up went out, or only part of a message. */
        boolean stuck(Pending p) {
            return decoder.midway() || p.written && p.at > heardAt && clock.now() - p.at > STUCK;
        }

        void start() {
            ChannelFuture coming = net.connect(box.at, (int) (terms.connectTimeout() / 1000), () -> this);
            channel = coming.channel();
            net.then(coming, done -> {
                if (over) {
                    channel.close();
                } else if (done.isSuccess()) {
                    came();
                } else {
                    failed(done.cause());
                }
            });
        }

        private void came() {
            up = true;
            box.failures = 0;
            if (box.suspect >= 0) {
                finder.probeFinished(box.id, true);
                cleared(box);
            }
            usedAt = clock.now();
            for (Message m = box.owed.poll(); m != null; m = box.owed.poll()) {
                send(m);
            }
            writeWaiting();
        }

        /**
         * Hands over what has not left yet, one set-up at a time while the server reads. What may not go there any more, as
         * the server was told to drain while it waited, comes to nothing.
         */
        void writeWaiting() {
            for (Map.Entry<String, Pending> e : List.copyOf(open.entrySet())) {
                if (!up || dead()) {
                    return; // its end is told, or will be, with all that is open
                }
                Pending p = e.getValue();
                if (p.handed || open.get(e.getKey()) != p) {
                    continue;
                }
                if (!broker.acceptsSetUp(clock.now(), box.id)) {
                    open.remove(e.getKey());
                    broker.trace().add(clock.now(), e.getKey(), "held-back", "drain");
                    moot(box.id, e.getKey());
                } else if (Net.unwritten(channel)) {
                    return; // goes on once that is written
                } else {
                    write(p);
                }
            }
        }

        private void failed(Throwable why) {
            if (why instanceof ChannelException) { // no socket could be opened: nothing was tried
                LOG.warn("no socket for a line: id={} lines={} why={}", box.id, all, why.toString());
                box.lines.remove(this);
                end(Outcome.MOOT);
                spare(false);
                again(box);
                return;
            }
            boolean refused = why instanceof java.net.ConnectException
                    && !(why instanceof io.netty.channel.ConnectTimeoutException);
            LOG.info("edge server not reached: id={} refused={} waiting={}", box.id, refused, open.size());
            box.lines.remove(this);
            end(Outcome.CONNECT_FAILED);
            finder.probeFinished(box.id, false);
            if (!box.hold || !box.lines.stream().allMatch(l -> l.doubted)) {
                return; // another line is up or on its way, and tells more
            }
            unreachedAt = clock.now();
            suspect(box);
            if (++box.failures >= LOST_AFTER) {
                lost(box);
            } else {
                again(box);
            }
        }

        /** No more of this line: what never left in full did not run, the rest may have. */
        void end(Outcome unwritten) {
            all -= over ? 0 : 1;
            over = true;
            up = false;
            if (channel != null && channel.isRegistered()) { // else it never had a socket
                channel.close();
            }
            Map<String, Pending> left = new LinkedHashMap<>(open);
            open.clear();
            left.forEach((name, p) -> {
                Outcome end = p.written ? Outcome.RESET : unwritten == Outcome.RESET ? Outcome.MOOT : unwritten;
                broker.trace().add(clock.now(), name, end.name(), box.id);
                broker.ended(clock.now(), box.id, name, end, LoadReport.NONE);
            });
        }

        void write(Pending p) {
            usedAt = clock.now();
            p.at = usedAt;
            p.handed = true;
            sent(channel.writeAndFlush(Net.buf(p.text)).addListener(done -> p.written |= done.isSuccess()));
        }

        void send(Message m) {
            usedAt = clock.now();
            sent(channel.writeAndFlush(Net.buf(m.write().getBytes(StandardCharsets.UTF_8))));
        }

        /** Once it is written late, what waited for it goes out. */
        private void sent(ChannelFuture writing) {
            if (!writing.isDone()) {
                writing.addListener(done -> writeWaiting());
            }
        }

        @Override
        protected void bytes(ChannelHandlerContext ctx, byte[] bytes) {
            if (over) {
                return;
            }
            usedAt = clock.now();
            heardAt = usedAt;
            box.heardAt = usedAt;
            doubted = false;
            cleared(box);
            decoder.add(bytes);
            try {
                for (String line = decoder.next(); line != null && !over; line = decoder.next()) {
                    if (!line.isBlank()) {
                        message(this, Message.read(line));
                    }
                }
            } catch (LineDecoder.Unreadable | Message.Malformed e) {
                LOG.warn("edge server's message malformed: id={} open={} why={}", box.id, open.size(), e.getMessage());
                drop(this); // at once: nothing that follows can be told apart
                keep(box);
            }
        }

        @Override
        protected void closed(ChannelHandlerContext ctx, boolean reset) {
            if (over) {
                return;
            }
            LOG.info(
                    "line to edge server closed: id={} reset={} open={} sessions={}",
                    box.id,
                    reset,
                    open.size(),
                    box.hold);
            if (reset && box.hold && box.lines.stream().allMatch(l -> l == this || l.dead())) {
                suspect(box);
            }
            drop(this);
            keep(box);
        }

        /** Writing has no bearing on reading here: what the server tells is what frees it. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {}
    }

    // ---- From the servers.

    private void message(Line line, Message m) throws Message.Malformed {
        long now = clock.now();
        String server = line.box.id;
        if (!m.type().equals("note")) {
            broker.trace().add(now, m.id(), m.type(), server);
            LOG.debug("from server: id={} session={} type={} cause={}", server, m.id(), m.type(), m.cause());
        }
        switch (m.type()) {
            case "answer" -> {
                if (line.open.containsKey(m.id())) { // else a second copy, or what nobody has asked for
                    if (m.sdp() == null) {
                        throw new Message.Malformed("answer without a description");
                    }
                    line.open.remove(m.id());
                    broker.setUpAnswered(now, server, m.id(), m.sdp());
                }
            }
            case "release" -> {
                boolean first = line.open.remove(m.id()) != null;
                broker.ended(
                        now,
                        server,
                        m.id(),
                        first ? beforeAnswer(m.cause()) : afterAnswer(m.cause()),
                        report(m.fields().get("load")));
            }
            case "note" -> {
                notedAt = now;
                note(now, server, m);
            }
            case "ping" -> line.send(new Message("pong", m.id(), Map.of(), 1, null));
            default -> {} // progress and what is free mean nothing
        }
    }

    private static Outcome beforeAnswer(int cause) {
        return switch (cause) {
            case 34 -> Outcome.FULL;
            case 47 -> Outcome.ERROR;
            case 102 -> Outcome.MOOT;
            default -> Outcome.RESET;
        };
    }

    private static Outcome afterAnswer(int cause) {
        return switch (cause) {
            case 16 -> Outcome.OK;
            case 31 -> Outcome.CANCELLED;
            default -> Outcome.RESET;
        };
    }

    private void note(long now, String server, Message m) {
        Metric topic =
                switch (m.fields().getOrDefault("note", "")) {
                    case "fill" -> Metric.DELIVERED;
                    case "grade" -> Metric.RENDITION;
                    case "local" -> Metric.LINK;
                    case "upstream" -> Metric.UPLINK;
                    default -> null;
                };
        try {
            double value = Double.parseDouble(m.fields().getOrDefault("value", ""));
            if (topic != null && value >= 0 && value <= MOST) {
                broker.metricReceived(now, server, m.id(), topic, value);
            }
        } catch (NumberFormatException e) {
            LOG.warn("edge server's note without a figure: id={}", server);
        }
    }

    /** A report as {@code x0:12;x1:40}; none unless every field of the settings is there. */
    private LoadReport report(String load) {
        if (load == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : load.split(";")) {
            int colon = pair.indexOf(':');
            try {
                if (colon > 0) {
                    double value = Double.parseDouble(pair.substring(colon + 1).strip());
                    if (!(value > -1 && value <= MOST)) { // a noisy figure may lie a little under nothing
                        return LoadReport.NONE;
                    }
                    values.put(pair.substring(0, colon).strip(), Math.max(0, value));
                }
            } catch (NumberFormatException e) {
                return LoadReport.NONE;
            }
        }
        List<Double> out = new ArrayList<>();
        for (String field : terms.reportFields()) {
            if (!values.containsKey(field)) {
                if (!oddReport) {
                    LOG.warn("load report lacks a field of the settings: field={} report={}", field, load);
                    oddReport = true;
                }
                return LoadReport.NONE;
            }
            out.add(values.get(field));
        }
        return new LoadReport(out);
    }
}
