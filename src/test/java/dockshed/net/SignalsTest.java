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

/** The steps of a planned end, told at 0; times in milliseconds. */
class SignalsTest {
    /** The steps with their times, looked for every 10 ms. */
    private static List<String> steps(long longest, IntPredicate unanswered, IntPredicate unwritten) {
        GracefulShutdown end = new GracefulShutdown(0, longest * 1000);
        List<String> out = new ArrayList<>();
        for (int ms = 0; ms < 10_000; ms += 10) {
            Step step = end.nextStep(ms * 1000L, unanswered.test(ms) ? 1 : 0, unwritten.test(ms));
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
    void itStaysUntilShortlyBeforeItMayBeKilled() {
        // Sessions were cut 0.8 s after SIGTERM though their viewers could have watched on for seconds.
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "1910 HALT"), steps(1400, ms -> false, ms -> false));
        assertEquals("3450 TELL", steps(3000, ms -> false, ms -> false).get(0));
        assertEquals("3450 TELL", steps(4000, ms -> false, ms -> false).get(0)); // counted as 3 s
        assertEquals("800 TELL", steps(100, ms -> false, ms -> false).get(0)); // viewers still come
    }

    @Test
    void aTrickleOfRequestsKeepsNoSessionFromItsEnd() {
        // Sessions were told their ends only once nothing was unanswered: with a trickle of requests never, and SIGKILL
        // found them standing. Who still waits at the last moment is told a failure.
        assertEquals(
                List.of("1850 TELL", "2000 FAIL", "2010 TELL_AGAIN", "2060 HALT"),
                steps(1400, ms -> ms <= 2000, ms -> false));
        assertEquals(List.of("1850 TELL", "2000 FAIL", "2080 HALT"), steps(1400, ms -> true, ms -> false));
    }

    @Test
    void itDoesNotHaltOnWhatIsNotWritten() {
        // 50 ms after the ends were told it halted, whether the bytes had left or not.
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "2000 HALT"), steps(1400, ms -> false, ms -> ms <= 1950));
        assertEquals(List.of("1850 TELL", "1860 TELL_AGAIN", "2080 HALT"), steps(1400, ms -> false, ms -> true));
    }

    @Test
    void aSetUpAnsweredAfterTheEndsWereToldIsToldItsEndToo() {
        assertEquals(
                List.of("1850 TELL", "1930 TELL_AGAIN", "1980 HALT"),
                steps(1400, ms -> ms >= 1840 && ms < 1930, ms -> false));
    }

    @Test
    void aHangUpThatComesBeforeItIsKnownWhatToDoWaitsForThat() throws Exception {
        // In the first moments of a start it ended the program: a broker restarted while the list moved never came up.
        Signals.captureHangUps();
        Signal.raise(new Signal("HUP"));
        CountDownLatch heard = new CountDownLatch(1);
        Signals.onHangUp(heard::countDown);
        assertTrue(heard.await(20, TimeUnit.SECONDS));
    }
}
