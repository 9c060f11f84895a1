package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.Director.Outcome;
import org.junit.jupiter.api.Test;

/** A request that comes again under its name after its client has left. */
class RepeatedRequestTest {
    private final BrokerHarness harness = new BrokerHarness();

    private void assertFailsWithoutASetUp(String name) {
        long setUpsBefore = harness.count("server a setUp");
        harness.sendRequest(name, "paid");
        assertEquals(setUpsBefore, harness.count("server a setUp"));
        assertEquals(1, harness.count("front failed " + name));
        assertEquals(0, harness.count("front refused " + name));
    }

    @Test
    void aPaidRequestWhoseClientLeftDuringItsSetUpIsNotSetUpAgain() {
        // Guards against a paid lesson that runs twice: the first set-up may have reached its server.
        harness.sendRequest("v1", "paid");
        harness.broker.cancel(harness.now, "v1");
        assertFailsWithoutASetUp("v1");
    }

    @Test
    void aPaidRequestThatWasServedIsNotSetUpAgain() {
        harness.startSession("v1", "paid");
        harness.ended("a", "v1", Outcome.OK);
        assertFailsWithoutASetUp("v1");
    }

    @Test
    void aPaidRequestThatProvablyNeverRanMayComeAgain() {
        harness.onOutcome = id -> harness.actions.refuse(id, 0);
        harness.sendRequest("v1", "paid");
        harness.ended("a", "v1", Outcome.FULL);
        harness.sendRequest("v1", "paid");
        assertEquals(2, harness.count("server a setUp v1"));
    }

    @Test
    void aSafeRequestMayComeAgain() {
        harness.sendRequest("v1", "safe");
        harness.broker.cancel(harness.now, "v1");
        harness.sendRequest("v1", "safe");
        assertEquals(2, harness.count("server a setUp v1"));
    }
}
