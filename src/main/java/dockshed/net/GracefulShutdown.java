package dockshed.net;

/**
 * The schedule of a shutdown after SIGTERM; performs no I/O. The broker first goes on serving: viewers still arrive for
 * a while, and active sessions play on for as long as the process may run. Then it accepts nothing new and notifies
 * each session of its end, whether or not requests are unanswered; those continue until they are answered or until
 * shortly before the process would be killed. It halts once everything is written and nothing more was written for a
 * while.
 *
 * <p>Times are microseconds of the caller's clock.
 */
final class GracefulShutdown {
    /**
     * What to do now. WAIT: nothing. TELL: accept nothing new and notify all sessions of their end. TELL_AGAIN: notify
     * sessions that were set up since. FAIL: fail the requests still unanswered. HALT: end the process.
     */
    enum Step {
        WAIT,
        TELL,
        FAIL,
        TELL_AGAIN,
        HALT
    }

    /**
     * New connections arrive for up to 0.4 s after SIGTERM, and requests on them for another 0.2 s; plus some slack.
     */
    static final long MIN_SERVING_US = 800_000;
    /** Longest client deadline taken into account: SIGKILL follows SIGTERM no sooner than that plus the grace. */
    private static final long MAX_CLIENT_DEADLINE_US = 3_000_000;

    private static final long KILL_GRACE_US = 700_000;
    /** Before SIGKILL: time to notify every viewer and server, on a processor shared with others. */
    private static final long RELEASE_MARGIN_US = 250_000;
    /** Before SIGKILL: time to fail the requests still unanswered. */
    private static final long FAIL_MARGIN_US = 100_000;
    /** Before SIGKILL: time by which the process has halted. */
    private static final long HALT_MARGIN_US = 20_000;
    /** Nothing may be written for this long before a halt: input of a viewer left unread would reset its connection. */
    private static final long QUIET_PERIOD_US = 50_000;

    private final long signalledAt;
    private final long releaseAt;
    private final long failAt;
    private final long haltAt;
    private boolean releaseStarted;
    private boolean failStarted;
    private long quietSince = -1; // -1: requests were unanswered at the last call

    /**
     * {@code signalledAt}: when SIGTERM arrived; {@code longestClientDeadline}: the longest time that a viewer waits.
     */
    GracefulShutdown(long signalledAt, long longestClientDeadline) {
        this.signalledAt = signalledAt;
        long killedAt = signalledAt
                + Math.max(
                        MIN_SERVING_US + RELEASE_MARGIN_US,
                        Math.min(longestClientDeadline, MAX_CLIENT_DEADLINE_US) + KILL_GRACE_US);
        releaseAt = killedAt - RELEASE_MARGIN_US;
        failAt = killedAt - FAIL_MARGIN_US;
        haltAt = killedAt - HALT_MARGIN_US;
    }

    long signalledAt() {
        return signalledAt;
    }

    /**
     * The next step. To be called repeatedly, after the step returned before was carried out.
     *
     * @param unanswered number of requests without an answer
     * @param unwritten  whether bytes wait to be written to any connection
     */
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
            return Step.TELL_AGAIN; // sessions set up since the first time
        }
        if (unwritten) {
            quietSince = now;
        }
        return now - quietSince >= QUIET_PERIOD_US ? Step.HALT : Step.WAIT;
    }
}
