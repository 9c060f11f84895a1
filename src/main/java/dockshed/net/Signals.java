package dockshed.net;

import dockshed.core.Broker;
import dockshed.core.Deadlines;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * The planned end. After SIGTERM viewers still come for a while and are served as ever, and sessions play on for as
 * long as the program may stay; then each is told its end, and the program ends with status 0.
 */
public final class Signals {
    /** New connections come for 0.4 s at most, and requests for 0.2 s more; some slack on top. */
    static final long STILL_COMING = 800_000;
    /** Viewers' time counts up to this, and SIGKILL comes no sooner than that and the grace after SIGTERM. */
    private static final long LONGEST = 3_000_000, GRACE = 700_000;
    /** What is kept of that: to tell every viewer and server, on a processor that others use too. */
    private static final long MARGIN = 250_000;
    private static final long LOOK = 20_000;
    /** Time for the last bytes to leave. */
    private static final long FLUSH = 50_000;
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

    private final Net net;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Broker broker;
    private final long stay;
    private long since;

    /** {@code longest}: the longest time that a viewer waits. */
    public Signals(Net net, Clock clock, Deadlines deadlines, Broker broker, long longest) {
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.broker = broker;
        stay = stay(longest);
    }

    /** How long after SIGTERM the program stays. */
    static long stay(long longest) {
        return Math.max(STILL_COMING, Math.min(longest, LONGEST) + GRACE - MARGIN);
    }

    public void watch() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            long told = clock.now();            // the stay counts from here, however late the loop hears of it
            net.loop().execute(() -> begin(told));
            try {
                Thread.sleep(Long.MAX_VALUE);       // the loop ends the process
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "planned-end"));
    }

    /**
     * Runs something at each SIGHUP, which would end the program otherwise; not on the loop's thread, so that reading
     * a file holds nobody up.
     */
    public static void onHangUp(Runnable what) {
        Signal.handle(new Signal("HUP"), signal -> what.run());
    }

    private void begin(long told) {
        since = told;
        LOG.info("planned end begun: unanswered={} standing={}", broker.unanswered(), broker.standing());
        look(since);
    }

    private void look(long due) {
        long now = clock.now();
        if (now - since < stay || broker.unanswered() > 0) {
            deadlines.at(now + LOOK, this::look);
            return;
        }
        LOG.info("planned end: ms={} standing={} {}", (now - since) / 1000, broker.standing(), broker.counts());
        broker.releaseAll(now);
        deadlines.at(now + FLUSH, t -> Runtime.getRuntime().halt(0));
    }
}
