package dockshed.net;

import dockshed.core.Broker;
import dockshed.core.TimerQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles signals: SIGTERM starts a graceful shutdown, called planned end in log lines, by the schedule of {@link
 * GracefulShutdown}; SIGHUP runs a given action.
 */
public final class Signals {
    private static final long STEP_INTERVAL_US = 10_000;
    private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

    /** Run at each SIGHUP; null until it is set. */
    private static Runnable hangUpAction;

    /** Whether a SIGHUP arrived before the action was set. */
    private static boolean hangUpPending;

    private final Net net;
    private final Clock clock;
    private final TimerQueue timers;
    private final Broker broker;
    private final long longestClientDeadlineUs;
    private GracefulShutdown shutdown;

    /** {@code longestClientDeadlineUs} is the longest time that a viewer waits for an answer. */
    public Signals(Net net, Clock clock, TimerQueue timers, Broker broker, long longestClientDeadlineUs) {
        this.net = net;
        this.clock = clock;
        this.timers = timers;
        this.broker = broker;
        this.longestClientDeadlineUs = longestClientDeadlineUs;
    }

    /** {@code leaving} is run when the shutdown starts, on a thread of its own rather than an event loop. */
    public void installShutdownHook(Runnable leaving) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            long signalledAt = clock.now(); // the schedule starts here, however late the loop runs
                            leaving.run();
                            net.loop().execute(() -> begin(signalledAt));
                            try {
                                Thread.sleep(Long.MAX_VALUE); // the event loop halts the process
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "planned-end"));
    }

    /**
     * From now on a SIGHUP does not end the process; one that arrives before {@link #onHangUp} waits for its action.
     */
    public static void captureHangUps() {
        SignalHandler inherited = Signal.handle(new Signal("HUP"), signal -> {
            Runnable action;
            synchronized (Signals.class) {
                action = hangUpAction;
                hangUpPending |= action == null;
            }
            if (action != null) {
                action.run();
            }
        });
        if (inherited == SignalHandler.SIG_IGN) { // the JVM leaves an ignored signal ignored
            LOG.warn("SIGHUP was ignored when the process started and still is: a new configuration needs a restart");
        }
    }

    /** Sets what each SIGHUP runs; not on the event loop, so that reading a file delays no viewer. */
    public static void onHangUp(Runnable action) {
        boolean pending;
        synchronized (Signals.class) {
            hangUpAction = action;
            pending = hangUpPending;
            hangUpPending = false;
        }
        if (pending) {
            action.run();
        }
    }

    private void begin(long signalledAt) {
        shutdown = new GracefulShutdown(signalledAt, longestClientDeadlineUs);
        LOG.info("planned end begun: unanswered={} standing={}", broker.unansweredRequests(), broker.activeSessions());
        runNextStep(signalledAt);
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
                LOG.warn(
                        "planned end: out of time, unanswered requests failed: requests={}",
                        broker.unansweredRequests());
                broker.failAll(now);
            }
            case TELL_AGAIN -> broker.releaseAll(now);
            case HALT -> {
                if (unwritten) {
                    LOG.warn("planned end: halting with unwritten data: ms={}", (now - shutdown.signalledAt()) / 1000);
                }
                Runtime.getRuntime().halt(0);
            }
        }
        timers.schedule(now + STEP_INTERVAL_US, this::runNextStep);
    }
}
