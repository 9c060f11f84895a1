package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.capacity.SetupFixture.Size;
import org.junit.jupiter.api.Test;

/** The load that the set-up figures are taken under: steady, and nobody refused. */
class SetupFixtureTest {
    private static final int BATCHES = 5;

    @Test
    void asManySessionsEndAsAreSetUpAndNoneIsRefused() {
        for (boolean uplinkTold : new boolean[] {false, true}) {
            SetupFixture fixture = new SetupFixture(new Size(36, 10, 100, uplinkTold), new ThreadCost());
            for (int i = 0; i < BATCHES; i++) {
                fixture.batch();
                assertEquals(100, fixture.playing());
            }
            assertEquals(0, fixture.refusedShare());
        }
    }
}
