package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The recorded steps of requests. */
class RequestTraceTest {
    @Test
    void stepsOfARequestAreListedInOrderAndTheOldestAreOverwritten() {
        RequestTrace trace = new RequestTrace();
        trace.add(100, "a", "taken", "paid");
        trace.add(150, "b", "taken", null);
        trace.add(400, "a", "out", "s-1");
        assertEquals("taken(paid)+0 out(s-1)+300", trace.stepsOf("a"));
        for (int i = 0; i < RequestTrace.MAX_STEPS - 1; i++) {
            trace.add(500 + i, "c", "taken", null);
        }
        assertEquals("out(s-1)+0", trace.stepsOf("a"), "the oldest step has been overwritten");
        trace.add(9999, "c", "taken", null);
        assertEquals("", trace.stepsOf("a"));
    }

    @Test
    void longTextsAreNotKept() {
        // Guards against a trace full of whole messages that a client has sent as the name of a session.
        RequestTrace trace = new RequestTrace();
        String longName = "a".repeat(RequestTrace.MAX_NAME_LENGTH + 1);
        trace.add(1, longName, "torn-down", null);
        assertEquals("", trace.stepsOf(longName));
        trace.add(1, "b", "s".repeat(1000), "d".repeat(1000));
        assertTrue(trace.stepsOf("b").length() <= 2 * RequestTrace.MAX_TEXT_LENGTH + 10, trace.stepsOf("b"));
    }

    @Test
    void failuresAreLoggedAtABoundedRate() {
        // Guards against a log line, and a search of the whole trace, for each of thousands of answers to a closed
        // client.
        RequestTrace trace = new RequestTrace();
        trace.add(1_000_000, "a", "taken", null);
        for (int i = 0; i < RequestTrace.MAX_FAILURES_LOGGED_PER_S; i++) {
            assertTrue(trace.mayLogFailure());
        }
        assertFalse(trace.mayLogFailure());
        trace.add(2_000_000, "a", "answered", null);
        assertTrue(trace.mayLogFailure());
    }
}
