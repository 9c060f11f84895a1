package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards the load of a measured fleet: its rates must be those of the scenario, however often the run is observed. */
class ControlLoadTest {
    private static final long MINUTE_US = 60 * FleetSimulation.SECOND_US;

    @Test
    void ratesDoNotDependOnHowOftenTheFleetIsLookedAt() {
        for (long step : new long[] {50 * FleetSimulation.MILLISECOND_US, ControlLoad.SAMPLE_PERIOD_US}) {
            ControlScenario scenario = new ControlScenario(ControlMechanism.FULL_MESH, 5, 0, 120, 0, 1);
            FleetSimulation fleet = ControlMechanism.FULL_MESH.fleet(scenario.brokers(), scenario.seed());
            ControlLoad load = new ControlLoad(fleet, scenario);
            fleet.startAll();
            load.run(MINUTE_US, step, () -> {});
            assertEquals(
                    MINUTE_US / ControlLoad.SAMPLE_PERIOD_US, load.samples(), 1, "samples, looked at each " + step);
            assertEquals(120, load.reports(), 1, "reports, looked at each " + step);
        }
    }
}
