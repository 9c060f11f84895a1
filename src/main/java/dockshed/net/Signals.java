package dockshed.net;

import dockshed.core.Broker;
import dockshed.core.TimerQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The signals: SIGTERM begins the planned end, whose steps {@link GracefulShutdown} names; SIGHUP runs what it is given. */
public final class Signals {
    private static final long STEP_INTERVAL_US = 10_000;
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

    /** What a SIGHUP runs; whether one came before that was known. */
    private static Runnable hungUp;

    private static boolean early;

    private final Net net;
    private final Clock clock;
    private final TimerQueue deadlines;
    private final Broker broker;
    private final long longest;
    private GracefulShutdown end;

    /** {@code longest}: the longest time that a viewer waits. */
    public Signals(Net net, Clock clock, TimerQueue deadlines, Broker broker, long longest) {
        this.net = net;
        this.clock = clock;
        this.deadlines = deadlines;
        this.broker = broker;
        this.longest = longest;
    }

    /** {@code leaving}: run as the planned end begins, on no loop's thread. */
    public void installShutdownHook(Runnable leaving) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            long told = clock.now(); // the stay counts from here, however late the loop hears of it
                            leaving.run();
                            net.loop().execute(() -> begin(told));
                            try {
                                Thread.sleep(Long.MAX_VALUE); // the loop ends the process
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "planned-end"));
    }

    /** From now on a SIGHUP no longer ends the program; one that comes before {@link #onHangUp} waits for it. */
    public static void captureHangUps() {
        SignalHandler inherited = Signal.handle(new Signal("HUP"), signal -> {
            Runnable what;
            synchronized (Signals.class) {
                what = hungUp;
                early |= what == null;
            }
            if (what != null) {
                what.run();
            }
        });
        if (inherited == SignalHandler.SIG_IGN) { // the JVM then leaves it ignored
            LOG.warn(
                    "SIGHUP was ignored when the program was started, and stays so: a new configuration needs a restart");
        }
    }

    /** Runs something at each SIGHUP; not on the loop's thread, so that reading a file holds nobody up. */
    public static void onHangUp(Runnable what) {
        boolean waits;
        synchronized (Signals.class) {
            hungUp = what;
            waits = early;
            early = false;
        }
        if (waits) {
            what.run();
        }
    }

    private void begin(long told) {
        end = new GracefulShutdown(told, longest);
        LOG.info("planned end begun: unanswered={} standing={}", broker.unansweredRequests(), broker.activeSessions());
        look(told);
    }

    private void look(long due) {
        long now = clock.now();
        boolean unwritten = net.hasUnwrittenBytes();
        switch (end.nextStep(now, broker.unansweredRequests(), unwritten)) {
            case WAIT -> {}
            case TELL -> {
                LOG.info(
                        "planned end: ms={} unanswered={} standing={} {}",
                        (now - end.signalledAt()) / 1000,
                        broker.unansweredRequests(),
                        broker.activeSessions(),
                        broker.counts());
                broker.releaseAll(now);
            }
            case FAIL -> {
                LOG.warn("planned end: failed for want of time: requests={}", broker.unansweredRequests());
                broker.failAll(now);
            }
            case TELL_AGAIN -> broker.releaseAll(now);
            case HALT -> {
                if (unwritten) {
                    LOG.warn("planned end: not everything could be written: ms={}", (now - end.signalledAt()) / 1000);
                }
                Runtime.getRuntime().halt(0);
            }
        }
        deadlines.schedule(now + STEP_INTERVAL_US, this::look);
    }
}
