package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards the measurement of control figures on a small fleet: what virtual time determines is the same for the same
 * seed.
 */
class ControlMeasurementTest {
    private static final int BROKERS = 7;

    private static ControlFigures measure(double loss, double changesPerMinute, int entries, long seed) {
        return measure(new ControlScenario(ControlMechanism.FULL_MESH, BROKERS, loss, changesPerMinute, entries, seed));
    }

    private static ControlFigures measure(ControlScenario scenario) {
        ControlDurations durations = new ControlDurations(
                6 * FleetSimulation.SECOND_US,
                35 * FleetSimulation.SECOND_US,
                2,
                5 * FleetSimulation.SECOND_US,
                30 * FleetSimulation.SECOND_US);
        return ControlMeasurement.of(scenario, durations);
    }

    /** The figures without those that depend on the machine: processor time, allocation and heap. */
    private static ControlFigures withoutMachine(ControlFigures figures) {
        return new ControlFigures(
                figures.sentBytes(),
                figures.sentBytesMost(),
                figures.receivedBytes(),
                figures.receivedBytesMost(),
                figures.datagrams(),
                0,
                0,
                0,
                0,
                figures.entriesHeld(),
                figures.figureAgeMean(),
                figures.figureAgeP99(),
                figures.figuresMissing(),
                figures.otherAgeMean(),
                figures.otherAgeP99(),
                figures.reportMedian(),
                figures.reportMost(),
                figures.reportsReached(),
                figures.failureKnown(),
                figures.falseDeaths());
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        ControlFigures first = withoutMachine(measure(0.05, 30, 2, 3));
        assertEquals(first, withoutMachine(measure(0.05, 30, 2, 3)));
    }

    @Test
    void aLosslessNetworkDeliversAllThatIsSent() {
        ControlFigures figures = measure(0, 0, 0, 5);
        double inFlight = 5; // bytes per second: datagrams in flight when the window starts or ends
        assertEquals(figures.sentBytes(), figures.receivedBytes(), inFlight);
        assertEquals(0, figures.figuresMissing());
        assertEquals(0, figures.falseDeaths());
        assertEquals(1, figures.reportsReached());
        assertTrue(figures.failureKnown().isPresent());
    }

    @Test
    void lostDatagramsAreSentAndNotReceived() {
        ControlFigures figures = measure(0.2, 0, 0, 5);
        double received = figures.receivedBytes() / figures.sentBytes();
        assertTrue(received > 0.7 && received < 0.9, "received of sent: " + received);
    }

    @Test
    void lastingEntriesAreHeldByAll() {
        int entries = 4;
        double without = measure(0, 0, 0, 7).entriesHeld();
        assertEquals(without + entries * BROKERS, measure(0, 0, entries, 7).entriesHeld(), 1e-9);
    }

    @Test
    void aZonedFleetKnowsItsZoneInFullAndTheOthersInSum() {
        ControlScenario scenario = new ControlScenario(ControlMechanism.ZONED, 21, 0.01, 0, 0, 3);
        ControlFigures figures = withoutMachine(measure(scenario));
        assertEquals(figures, withoutMachine(measure(scenario)));
        assertTrue(figures.otherAgeP99().isPresent());
        assertEquals(0, figures.falseDeaths());
    }
}
