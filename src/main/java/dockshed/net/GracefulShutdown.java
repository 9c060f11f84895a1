package dockshed.net;

/**
 * What is due when, from SIGTERM on; no I/O. Viewers still come for a while and are served as ever, and sessions play on
 * for as long as the program may stay. Then nothing new is taken and each session is told its end, whether requests are
 * unanswered or not; those go on until they are answered or shortly before the program would be killed. It halts once
 * nothing that was written waits any more, and nothing more came to be written for a while.
 */
final class GracefulShutdown {
    enum Step {
        WAIT,
        TELL,
        FAIL,
        TELL_AGAIN,
        HALT
    }

    /** New connections come for 0.4 s at most, and requests for 0.2 s more; some slack on top. */
    static final long MIN_SERVING_US = 800_000;
    /** Viewers' time counts up to this, and SIGKILL comes no sooner than that and the grace after SIGTERM. */
    private static final long MAX_CLIENT_DEADLINE_US = 3_000_000;

    private static final long KILL_GRACE_US = 700_000;
    /** What is kept of that: to tell every viewer and server, on a processor that others use too. */
    private static final long RELEASE_MARGIN_US = 250_000;
    /** Before SIGKILL: to tell those still unanswered; to have halted. */
    private static final long FAIL_MARGIN_US = 100_000;

    private static final long HALT_MARGIN_US = 20_000;
    /** So long nothing may have come or waited: what a viewer still sends, unread, would reset its connection. */
    private static final long QUIET_PERIOD_US = 50_000;

    private final long signalledAt;
    private final long releaseAt;
    private final long failAt;
    private final long haltAt;
    private boolean releaseStarted;
    private boolean failStarted;
    private long quietSince = -1; // -1: something is unanswered, or was when last asked

    /** {@code told}: when SIGTERM came; {@code longest}: the longest time that a viewer waits. */
    GracefulShutdown(long told, long longest) {
        this.signalledAt = told;
        long killed = told
                + Math.max(
                        MIN_SERVING_US + RELEASE_MARGIN_US, Math.min(longest, MAX_CLIENT_DEADLINE_US) + KILL_GRACE_US);
        releaseAt = killed - RELEASE_MARGIN_US;
        failAt = killed - FAIL_MARGIN_US;
        haltAt = killed - HALT_MARGIN_US;
    }

    long signalledAt() {
        return signalledAt;
    }

    /** The next step; asked again and again, each step but WAIT having been carried out. */
    Step nextStep(long now, int unanswered, boolean unwritten) {
        if (now < releaseAt) {
            return Step.WAIT;
        }
        if (!releaseStarted) {
            releaseStarted = true;
            return Step.TELL;
        }
        if (now >= haltAt) {
            return Step.HALT;
        }
        if (unanswered > 0) {
            quietSince = -1;
            if (now < failAt || failStarted) {
                return Step.WAIT;
            }
            failStarted = true;
            return Step.FAIL;
        }
        if (quietSince < 0) {
            quietSince = now;
            return Step.TELL_AGAIN; // those answered since the first time
        }
        if (unwritten) {
            quietSince = now;
        }
        return now - quietSince >= QUIET_PERIOD_US ? Step.HALT : Step.WAIT;
    }
}
