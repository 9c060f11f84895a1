package dockshed.fleet;

import dockshed.core.Peers;
import dockshed.net.Clock;
import dockshed.net.Net;
import dockshed.peers.UdpPeers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ties the heart to one event loop on one thread of its own and to datagrams. The broker's loop reads {@link #view()} and
 * hands over {@link #news}; it never waits for this one. News beyond {@link #MOST_NEWS} is dropped and counted.
 */
public final class FleetHost implements Peers {
    /** News not taken yet: a second of the busiest broker's, each tenth of a second one of figures and words on boxes. */
    static final int MOST_NEWS = 1024;

    private static final long REPORT = 10_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(FleetHost.class);

    private final Net net = new Net("fleet");
    private final Clock clock;
    private final UdpPeers peers;
    private final Heart heart;
    private final ArrayBlockingQueue<News> news = new ArrayBlockingQueue<>(MOST_NEWS);
    private final AtomicBoolean woken = new AtomicBoolean();
    private final AtomicLong dropped = new AtomicLong();
    private volatile View view = View.ALONE;
    private long reportAt, stalls;
    private List<Integer> living = List.of();
    private boolean purser;
    private long leased;
    private int cut;

    /** {@code me}: this broker's number, and place in {@code peers}. */
    public FleetHost(FleetTerms terms, int me, List<InetSocketAddress> peers, Clock clock, long seed) {
        this.clock = clock;
        this.peers = new UdpPeers(peers, null);
        long now = clock.now();
        heart = new Heart(terms, me, peers.size(), now / 1000, now, seed);
    }

    /** Begins to listen and to talk. Throws IllegalStateException where the address cannot be listened on. */
    public void start(InetSocketAddress at) {
        reportAt = clock.now() + REPORT;
        peers.listen(net, at, (from, message) -> turn(() -> heart.receive(clock.now(), message, peers::tell)));
        net.loop().execute(this::look);
    }

    public View view() {
        return view;
    }

    /** Hands news over; false where the queue is full: then it is lost. From any thread. */
    public boolean news(News n) {
        boolean taken = news.offer(n);
        if (!taken) {
            dropped.incrementAndGet();
        } else if (woken.compareAndSet(false, true)) {
            net.loop().execute(() -> turn(this::takeNews));
        }
        return taken;
    }

    /** The storm part's note: told as a row, so that all brokers' talk has one form and one budget. */
    @Override
    public void tell(byte[] message) {
        news(new News.Note(message.clone()));
    }

    private void takeNews() {
        woken.set(false);
        for (News n = news.poll(); n != null; n = news.poll()) {
            heart.news(clock.now(), n, peers::tell);
        }
    }

    private void look() {
        turn(() -> {
            takeNews();
            heart.tick(clock.now(), peers::tell);
            publish();
        });
        long now = clock.now();
        net.loop().schedule(this::look, Math.max(1000, heart.next(now) - now), TimeUnit.MICROSECONDS);
    }

    /** What goes wrong in one turn is not to end the loop; the broker goes on alone if nothing comes of it any more. */
    private void turn(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            stalls++;
            LOG.error("internal error in the fleet's loop, gone on after it: number={}", stalls, e);
        }
    }

    private void publish() {
        long now = clock.now();
        View v = heart.view(now);
        view = v;
        boolean shares = heart.shares().isPurser(now);
        if (!v.living().equals(living) || shares != purser || v.cut() > 0 != cut > 0) {
            LOG.atInfo()
                    .setMessage("fleet")
                    .addKeyValue("living", v.living().size())
                    .addKeyValue("gone", minus(living, v.living()))
                    .addKeyValue("come", minus(v.living(), living))
                    .addKeyValue("steady", v.steady())
                    .addKeyValue("purser", shares)
                    .addKeyValue("cut", v.cut())
                    .log();
        }
        if (v.until() > leased && v.until() > now && v.newcomers() >= 0) {
            LOG.atDebug()
                    .setMessage("fleet lease")
                    .addKeyValue("from", now)
                    .addKeyValue("until", v.until())
                    .addKeyValue("share", v.newcomers())
                    .log();
        }
        leased = Math.max(leased, v.until());
        living = v.living();
        purser = shares;
        cut = v.cut();
        if (now >= reportAt) {
            reportAt = now + REPORT;
            Heart.Counts c = heart.counts();
            LOG.atInfo()
                    .setMessage("fleet figures")
                    .addKeyValue("sent", c.sent)
                    .addKeyValue("bytes", c.bytes)
                    .addKeyValue("received", c.received)
                    .addKeyValue("passed_over", c.passedOver)
                    .addKeyValue("made_up", c.mended)
                    .addKeyValue("stood_still", c.stoodStill)
                    .addKeyValue("news_dropped", dropped.get())
                    .addKeyValue("rows", heart.rows().size())
                    .addKeyValue("newcomers", v.newcomers(now))
                    .addKeyValue("cut", v.cut())
                    .log();
        }
    }

    private static List<Integer> minus(List<Integer> all, List<Integer> but) {
        return all.stream().filter(i -> !but.contains(i)).toList();
    }

    public void close() {
        net.close();
    }
}
