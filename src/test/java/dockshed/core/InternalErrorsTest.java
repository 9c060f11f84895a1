package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dockshed.Director.Outcome;
import org.junit.jupiter.api.Test;

/** That each request is answered once and each end notified, whatever the decision module, a server or a front throws. */
class InternalErrorsTest {
    private final BrokerHarness harness = new BrokerHarness();

    private void assertFailedOnce(String... names) {
        for (String name : names) {
            assertEquals(1, harness.count("front failed " + name), name + " in " + harness.log);
        }
        assertEquals(0, harness.broker.unansweredRequests());
    }

    private void assertNotifiedOnce(String... names) {
        for (String name : names) {
            assertEquals(1, harness.count("front sessionEnded " + name), name + " in " + harness.log);
        }
        assertEquals(0, harness.broker.activeSessions());
    }

    @Test
    void requestIsAnsweredAtItsDeadlineThoughTheModuleThrows() {
        // Guards against a request that is never answered: the last timer that would do so had run.
        harness.throwOn = "module outcome";
        harness.sendRequest("v1", "safe");
        harness.advance(3 * BrokerHarness.SECOND_US);
        assertFailedOnce("v1");
    }

    @Test
    void requestIsAnsweredAtItsDeadlineThoughItsServerThrows() {
        // Guards against the same where cancelling the attempt throws.
        harness.throwOn = "server a cancelSetUp";
        harness.sendRequest("v1", "safe");
        harness.advance(3 * BrokerHarness.SECOND_US);
        assertFailedOnce("v1");
    }

    @Test
    void allRequestsAreAnsweredAtTheEndOfAShutdownThoughOneThrows() {
        // Guards against requests that a shutdown leaves unanswered, since one before them threw.
        harness.sendRequest("v1", "safe");
        harness.sendRequest("v2", "safe");
        harness.throwOn = "module requestCancelled";
        harness.broker.failAll(harness.now);
        assertFailedOnce("v1", "v2");
    }

    @Test
    void allEndsAreNotifiedInAShutdownThoughOneThrows() {
        // Guards against sessions whose viewers are not told, since one before them threw.
        harness.startSession("v1", "safe");
        harness.startSession("v2", "safe");
        harness.throwOn = "module outcome";
        harness.broker.releaseAll(harness.now);
        assertNotifiedOnce("v1", "v2");
    }

    @Test
    void allEndsAreNotifiedInAShutdownThoughAServerThrows() {
        harness.startSession("v1", "safe");
        harness.startSession("v2", "safe");
        harness.throwOn = "server a release";
        harness.broker.releaseAll(harness.now);
        assertNotifiedOnce("v1", "v2");
    }

    @Test
    void allEndsAreNotifiedAfterALostServerThoughOneThrows() {
        harness.startSession("v1", "safe");
        harness.startSession("v2", "safe");
        harness.throwOn = "module outcome";
        harness.broker.serverLost(harness.now, harness, "a", harness.now + 1);
        assertNotifiedOnce("v1", "v2");
    }

    @Test
    void allRequestsOfAClosedConnectionAreCancelledThoughOneThrows() {
        // Guards against attempts that go on for a viewer that has left.
        harness.sendRequest("v1", "safe");
        harness.sendRequest("v2", "safe");
        harness.throwOn = "module requestCancelled";
        harness.broker.disconnected(harness.now, harness.connection);
        assertEquals(2, harness.count("server a cancelSetUp"));
        assertEquals(0, harness.broker.unansweredRequests());
    }

    @Test
    void allRequestsOfAHalfClosedConnectionAreAnsweredThoughOneThrows() {
        harness.sendRequest("v1", "safe");
        harness.sendRequest("v2", "safe");
        harness.throwOn = "front refused v1";
        harness.broker.halfClosed(harness.now, harness.connection);
        assertEquals(1, harness.count("front refused v2"));
        assertEquals(0, harness.broker.unansweredRequests());
    }

    @Test
    void sessionWhoseAnswerCannotBePassedOnIsFailedAndReleased() {
        // Guards against a viewer that is never answered while its session plays without a player.
        harness.throwOn = "front served v1";
        harness.startSession("v1", "paid");
        assertFailedOnce("v1");
        assertEquals(1, harness.count("server a release v1"));
        assertEquals(0, harness.broker.activeSessions());
        assertEquals(1, harness.count("module outcome 0 a RESET last"));
        harness.throwOn = null;
        harness.advance(4 * BrokerHarness.SECOND_US);
        assertFailedOnce("v1");
    }

    @Test
    void endOfASessionIsNotifiedOnceThoughTheModuleThrows() {
        harness.startSession("v1", "safe");
        harness.throwOn = "module outcome";
        harness.ended("a", "v1", Outcome.OK);
        assertNotifiedOnce("v1");
        assertFalse(harness.broker.isActive("v1"));
    }
}
