package dockshed.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** What is promised holds under every schedule of faults that is tried: one content a version, never back, and it goes on. */
class RolloutScenariosTest {
    @Property(tries = 60, seed = "29", generation = GenerationMode.RANDOMIZED)
    void oneContentAVersionAndNeverBack(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertEquals(Optional.empty(), RolloutScenarios.all(seed));
    }
}
