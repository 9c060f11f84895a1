package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What shows that another process listens at the address of a server. */
class ProcessEndTest {
    private final ProcessEnd processEnd = new ProcessEnd();

    @Test
    void aResetAndARefusalInARowShowIt() {
        processEnd.allConnectionsReset();
        processEnd.connectionRefused();
        assertTrue(processEnd.connectionOpened(0));
        assertTrue(processEnd.isProcessUnknown(ProcessEnd.UNKNOWN_PROCESS_HOLD_US - 1));
        assertFalse(processEnd.isProcessUnknown(ProcessEnd.UNKNOWN_PROCESS_HOLD_US));
        assertFalse(processEnd.connectionOpened(0), "once");
    }

    @Test
    void eitherAloneDoesNot() {
        processEnd.allConnectionsReset();
        assertFalse(processEnd.connectionOpened(0));
        processEnd.connectionRefused();
        assertFalse(processEnd.connectionOpened(0));
        processEnd.allConnectionsReset();
        processEnd.connectionClosedInOrder();
        processEnd.connectionRefused();
        assertFalse(processEnd.connectionOpened(0));
    }

    @Test
    void theListMakesTheProcessKnown() {
        processEnd.allConnectionsReset();
        processEnd.connectionRefused();
        assertTrue(processEnd.connectionOpened(0));
        processEnd.listed();
        assertFalse(processEnd.isProcessUnknown(1));
    }
}
