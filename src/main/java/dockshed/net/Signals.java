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
    private static Runnable hangUpAction;

    private static boolean hangUpPending;

    private final Net net;
    private final Clock clock;
    private final TimerQueue timers;
    private final Broker broker;
    private final long longestClientDeadlineUs;
    private GracefulShutdown shutdown;

    /** {@code longest}: the longest time that a viewer waits. */
    public Signals(Net net, Clock clock, TimerQueue deadlines, Broker broker, long longest) {
        this.net = net;
        this.clock = clock;
        this.timers = deadlines;
        this.broker = broker;
        this.longestClientDeadlineUs = longest;
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
                what = hangUpAction;
                hangUpPending |= what == null;
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
            hangUpAction = what;
            waits = hangUpPending;
            hangUpPending = false;
        }
        if (waits) {
            what.run();
        }
    }

    private void begin(long told) {
        shutdown = new GracefulShutdown(told, longestClientDeadlineUs);
        LOG.info("planned end begun: unanswered={} standing={}", broker.unansweredRequests(), broker.activeSessions());
        runNextStep(told);
    }

    private void runNextStep(long due) {
        long now = clock.now();
        boolean unwritten = net.hasUnwrittenBytes();
        switch (shutdown.nextStep(now, broker.unansweredRequests(), unwritten)) {
            case WAIT -> {}
            case TELL -> {
                LOG.info(
                        "planned end: ms={} unanswered={} standing={} {}",
                        (now - shutdown.signalledAt()) / 1000,
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
                    LOG.warn(
                            "planned end: not everything could be written: ms={}",
                            (now - shutdown.signalledAt()) / 1000);
                }
                Runtime.getRuntime().halt(0);
            }
        }
        timers.schedule(now + STEP_INTERVAL_US, this::runNextStep);
    }
}
