package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a connection is needed on which a server can send a release again that may have been lost. */
class ReleaseRecoveryTest {
    private final ReleaseRecovery recovery = new ReleaseRecovery();

    @Test
    void aConnectionOpenedAfterTheLossEndsTheNeed() {
        recovery.connectionClosed();
        assertTrue(recovery.isNeeded());
        assertTrue(recovery.connectionOpening());
        assertFalse(recovery.isNeeded());
    }

    @Test
    void aConnectionThatWasComingUpBeforeTheLossDoesNotEndTheNeed() {
        // The server may have accepted it before it wrote the release that was lost.
        assertFalse(recovery.connectionOpening());
        recovery.connectionClosed();
        recovery.connectionOpened();
        assertTrue(recovery.isNeeded());
    }

    @Test
    void onlyTheFailureOfTheNeededConnectionRenewsTheNeed() {
        boolean recovers = recovery.connectionOpening();
        recovery.connectionFailed(recovers);
        assertFalse(recovery.isNeeded());
        recovery.connectionClosed();
        recovers = recovery.connectionOpening();
        recovery.connectionFailed(recovers);
        assertTrue(recovery.isNeeded());
    }

    @Test
    void theIntervalDoublesWithFailuresUpToABoundAndFallsBackOnceAConnectionIsUp() {
        // Guards against a burst of connects from all brokers to a server at its limit of connections.
        long previous = recovery.interval();
        assertEquals(ReleaseRecovery.MIN_INTERVAL_US, previous);
        recovery.connectionClosed();
        for (int failure = 1; failure <= 4; failure++) {
            recovery.connectionFailed(recovery.connectionOpening());
            assertEquals(2 * previous, recovery.interval());
            previous = recovery.interval();
        }
        recovery.connectionFailed(recovery.connectionOpening());
        assertEquals(previous, recovery.interval());
        recovery.connectionOpening();
        recovery.connectionOpened();
        assertEquals(ReleaseRecovery.MIN_INTERVAL_US, recovery.interval());
    }

    @Test
    void nothingIsNeededOnceTheServerHasNoSessions() {
        recovery.connectionClosed();
        recovery.sessionsEnded();
        assertFalse(recovery.isNeeded());
    }
}
