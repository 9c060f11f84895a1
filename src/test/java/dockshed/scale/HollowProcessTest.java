package dockshed.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.BitSet;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two processes of four hollow brokers each. Guards against a benchmark whose brokers do not share state across processes,
 * whose failures go unnoticed, or which leaves processes behind.
 */
class HollowProcessTest {
    private static final int BROKERS = 8;
    private static final int BROKERS_PER_PROCESS = 4;
    private static final int CHANGE = SceneScript.FIRST_CHANGE_NUMBER;
    private static final BitSet KILLED = BrokerRanges.of(5);

    @TempDir
    Path directory;

    private final FleetLayout layout = new FleetLayout(BROKERS);
    private final FleetRecorder recorder = new FleetRecorder(Mechanism.FULL_MESH.visibility(layout), BROKERS);

    private ProcessFleet fleet() throws Exception {
        return new ProcessFleet(layout, Mechanism.FULL_MESH, 0, BROKERS_PER_PROCESS, null, directory);
    }

    /** Polls the processes until the condition holds; each answers as soon as it has an observation. */
    private void awaitUntil(ProcessFleet fleet, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            for (HollowProcessClient client : fleet.hollowProcesses()) {
                recorder.record(client.call("collect 1000", Observations.class));
            }
        }
    }

    private void startAll(ProcessFleet fleet) {
        recorder.started(layout.all(), fleet.nowMillis());
        fleet.start(layout.all());
        awaitUntil(fleet, () -> recorder.listsMatch(layout.all(), layout.all(), true));
    }

    @Test
    @Timeout(120) // seconds; reached only by a failure
    void brokersOfTwoProcessesFindOneAnotherDetectADeathAndShareAChange() throws Exception {
        try (ProcessFleet fleet = fleet()) {
            startAll(fleet);
            fleet.publishChange(0, CHANGE);
            awaitUntil(
                    fleet, () -> recorder.changeDelays(layout.all(), CHANGE, 0).finishedShare() == 1);
            recorder.stopped(KILLED, fleet.nowMillis());
            fleet.kill(KILLED);
            BitSet others = recorder.running();
            awaitUntil(fleet, () -> recorder.listsMatch(others, KILLED, false));
            assertEquals(0, recorder.drainFalseDeaths());
            assertTrue(
                    fleet.totals().stream().allMatch(broker -> broker.bytesSent() > 0 && broker.bytesReceived() > 0));
            for (HollowProcessClient client : fleet.hollowProcesses()) {
                assertEquals(0, client.end());
            }
            assertEquals(0, fleet.aliveProcesses());
        }
    }

    @Test
    @Timeout(120)
    void aFailedCommandIsReportedAndAllProcessesEnd() throws Exception {
        ProcessFleet fleet = fleet();
        try (fleet) {
            HollowProcessClient client = fleet.hollowProcesses().get(0);
            assertThrows(IllegalStateException.class, () -> client.call("nonsense"));
            assertEquals(2, fleet.aliveProcesses());
        }
        assertEquals(0, fleet.aliveProcesses());
    }
}
