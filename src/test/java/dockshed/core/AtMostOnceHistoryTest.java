package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Names of requests that must not run twice. */
class AtMostOnceHistoryTest {
    private final AtMostOnceHistory history = new AtMostOnceHistory();

    @Test
    void namesAreForgottenAfterTheirTime() {
        history.add(0, "a");
        assertTrue(history.contains(AtMostOnceHistory.RETENTION_US, "a"));
        assertFalse(history.contains(AtMostOnceHistory.RETENTION_US + 1, "a"));
        assertFalse(history.contains(0, "b"));
    }

    @Test
    void theOldestNamesGiveWay() {
        // Guards against a table that grows with every request.
        for (int i = 0; i <= AtMostOnceHistory.MAX_NAMES; i++) {
            history.add(i, "n" + i);
        }
        assertFalse(history.contains(AtMostOnceHistory.MAX_NAMES, "n0"));
        assertTrue(history.contains(AtMostOnceHistory.MAX_NAMES, "n1"));
        assertTrue(history.contains(AtMostOnceHistory.MAX_NAMES, "n" + AtMostOnceHistory.MAX_NAMES));
    }
}
