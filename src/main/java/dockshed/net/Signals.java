package dockshed.net;

import dockshed.core.Broker;
import dockshed.core.Deadlines;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * The planned end. After SIGTERM viewers still come for a while and are served as ever; once they have stopped
 * coming and each request taken has its answer, the program ends with status 0.
 */
public final class Signals {
    /** New connections come for 0.4 s at most, and requests for 0.2 s more; some slack on top. */
    static final long STILL_COMING = 800_000;
    private static final long LOOK = 20_000;
    /** Time for the last bytes to leave. */
    private static final long FLUSH = 50_000;
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

    private final Net net;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Broker broker;
    private long since;

    public Signals(Net net, Clock clock, Deadlines deadlines, Broker broker) {
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.broker = broker;
    }

    public void watch() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            net.loop().execute(this::begin);
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

    private void begin() {
        since = clock.now();
        LOG.info("planned end begun: unanswered={} standing={}", broker.unanswered(), broker.standing());
        look(since);
    }

    private void look(long due) {
        long now = clock.now();
        if (now - since < STILL_COMING || broker.unanswered() > 0) {
            deadlines.at(now + LOOK, this::look);
            return;
        }
        LOG.info("planned end: ms={} standing={} {}", (now - since) / 1000, broker.standing(), broker.counts());
        broker.releaseAll(now);
        deadlines.at(now + FLUSH, t -> Runtime.getRuntime().halt(0));
    }
}
