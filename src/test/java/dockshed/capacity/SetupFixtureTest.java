package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.capacity.SetupFixture.Size;
import java.io.IOException;
import java.nio.file.Path;
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

    @Test
    void theFileThatIsKeptHasTheKnownColumnsAndOnlyMeasuredRowsWithoutRefusals() throws IOException {
        CapacityCsv table = CapacityCsv.read(Path.of("docs/capacity/setup.csv"));
        assertEquals(SetupCapacity.COLUMNS, table.columns());
        assertEquals(
                table.rows().size(), table.where("basis", "measured").rows().size());
        for (double refused : table.numbers("refused_share")) {
            assertEquals(0, refused);
        }
    }
}
