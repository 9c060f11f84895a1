package dockshed.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards the rollout's guarantees under random faults: one content per version, never an older version after a newer
 * one, and progress once the faults end.
 */
class RolloutScenariosTest {
    @Property(tries = 60, seed = "29", generation = GenerationMode.RANDOMIZED)
    void oneContentAVersionAndNeverBack(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertEquals(Optional.empty(), RolloutScenarios.all(seed));
    }
}
