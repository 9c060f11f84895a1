package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long a planned end takes. */
class SignalsTest {
    @Test
    void itStaysUntilShortlyBeforeItMayBeKilled() {
        // Sessions were cut 0.8 s after SIGTERM though their viewers could have watched on for seconds.
        assertEquals(1_850_000, Signals.stay(1_400_000));
        assertEquals(3_450_000, Signals.stay(3_000_000));
        assertEquals(3_450_000, Signals.stay(4_000_000));      // counted as 3 s
        assertEquals(800_000, Signals.stay(100_000));          // viewers still come
    }
}
