package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.net.GracefulShutdown.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** The steps of a graceful shutdown signalled at 0, and the handling of SIGHUP; times in milliseconds. */
class SignalsTest {
    /** The steps with their times, asked for every 10 ms. */
    private static List<String> steps(long longestClientDeadlineMs, IntPredicate unanswered, IntPredicate unwritten) {
        GracefulShutdown shutdown = new GracefulShutdown(0, longestClientDeadlineMs * 1000);
        List<String> out = new ArrayList<>();
        for (int ms = 0; ms < 10_000; ms += 10) {
            Step step = shutdown.nextStep(ms * 1000L, unanswered.test(ms) ? 1 : 0, unwritten.test(ms));
            if (step != Step.WAIT) {
                out.add(ms + " " + step);
            }
            if (step == Step.HALT) {
                return out;
            }
        }
        return out;
    }

    @Test
    void sessionsPlayUntilShortlyBeforeTheKill() {
        // Guards against ending sessions too early: they ended 0.8 s after SIGTERM, though they could have played on
        // for seconds.
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "1910 HALT"), steps(1400, ms -> false, ms -> false));
        assertEquals("3450 TELL", steps(3000, ms -> false, ms -> false).get(0));
        assertEquals("3450 TELL", steps(4000, ms -> false, ms -> false).get(0)); // counted as 3 s
        assertEquals("800 TELL", steps(100, ms -> false, ms -> false).get(0)); // viewers still arrive
    }

    @Test
    void trickleOfRequestsDoesNotDelayTheEndOfSessions() {
        // Guards against sessions that SIGKILL cuts off: they were notified of their end only once no request was
        // unanswered, which a trickle of requests prevented. Requests that still wait at the last moment fail.
        assertEquals(
                List.of("1850 TELL", "2000 FAIL", "2010 TELL_AGAIN", "2060 HALT"),
                steps(1400, ms -> ms <= 2000, ms -> false));
        assertEquals(List.of("1850 TELL", "2000 FAIL", "2080 HALT"), steps(1400, ms -> true, ms -> false));
    }

    @Test
    void haltWaitsForUnwrittenData() {
        // Guards against lost notices: the process halted 50 ms after notifying the sessions, whether or not the bytes
        // had been written.
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "2000 HALT"), steps(1400, ms -> false, ms -> ms <= 1950));
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "2080 HALT"), steps(1400, ms -> false, ms -> true));
    }

    @Test
    void sessionSetUpDuringTheShutdownIsNotifiedToo() {
        assertEquals(
                List.of("1850 TELL", "1930 TELL_AGAIN", "1980 HALT"),
                steps(1400, ms -> ms >= 1840 && ms < 1930, ms -> false));
    }

    @Test
    void earlyHangUpWaitsForItsAction() throws Exception {
        // Guards against a SIGHUP that ends the process early in its start: a broker that was restarted while the name
        // server moved never finished starting.
        Signals.captureHangUps();
        Signal.raise(new Signal("HUP"));
        CountDownLatch actionRun = new CountDownLatch(1);
        Signals.onHangUp(actionRun::countDown);
        assertTrue(actionRun.await(20, TimeUnit.SECONDS));
    }
}
