package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.capacity.SetupFixture.Size;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Guards against set-up figures measured under another load than stated: sessions that accumulate, or requests that
 * are refused.
 */
class SetupFixtureTest {
    private static final int BATCHES = 5;

    @Test
    void asManySessionsEndAsAreSetUpAndNoneIsRefused() {
        for (boolean uplinkReported : new boolean[] {false, true}) {
            SetupFixture fixture = new SetupFixture(new Size(36, 10, 100, uplinkReported), new ThreadCost());
            for (int batch = 0; batch < BATCHES; batch++) {
                fixture.batch();
                assertEquals(100, fixture.playing());
            }
            assertEquals(0, fixture.refusedShare());
        }
    }

    @Test
    void theCommittedFileHasTheKnownColumnsAndOnlyMeasuredRowsWithoutRefusals() throws IOException {
        CapacityCsv table = CapacityCsv.read(Path.of("docs/capacity/setup.csv"));
        assertEquals(SetupCapacity.COLUMNS, table.columns());
        assertEquals(
                table.rows().size(), table.where("basis", "measured").rows().size());
        for (double refused : table.numbers("refused_share")) {
            assertEquals(0, refused);
        }
    }
}
